//! Rendezvous hashing: an order of VMs that follows from a key alone.

use camphorway_model::VmName;
use xxhash_rust::xxh3::Xxh3;

/// The place of `vm` in the order for `key`; the lowest comes first.
pub(crate) fn score(key: &str, vm: &VmName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    hasher.digest()
}
