//! Versions of objects, which are only comparable within one history of the store.
//!
//! A store that comes back from an older copy gives versions out again, under a later
//! era. A qualified version has the era in its upper bits, so that each version of a later
//! history is higher than all earlier ones. A store that names no era has era 0.

/// Bits of a qualified version that hold the version within its history.
const NUMBER_BITS: u32 = 40;

/// The version `number` of the history `era`.
pub(super) fn qualify(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | number
}

/// The history of a qualified version.
pub(super) fn era_of(version: u64) -> u64 {
    version >> NUMBER_BITS
}

/// A qualified version within its history.
pub(super) fn number_of(version: u64) -> u64 {
    version & ((1 << NUMBER_BITS) - 1)
}
