//! Revisions of the store, which are only comparable within one history of it.

use derive_more::Display;

/// A revision of the store, and the history that it belongs to.
///
/// A store that comes back from an older copy gives revisions out again, under a later
/// era. So revisions are ordered by their eras first.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{era}/{number}")]
pub struct StoreRevision {
    /// The number of the history; 0 if the store names none.
    pub era: u64,
    /// The revision within the history.
    pub number: u64,
}

impl StoreRevision {
    /// A revision of the history `era`.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}
