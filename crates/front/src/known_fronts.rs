//! The registered fronts, and which of them can be asked.
//!
//! A front that has just registered does not know the keys of the others yet and
//! refuses their connections.

use camphorway_model::{FrontRecord, VmName};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A front that registers knows the others after this time.
const JOIN_TIME: Duration = Duration::from_millis(2_500);

/// All registered fronts.
#[derive(Debug, Default)]
pub struct KnownFronts {
    by_vm: BTreeMap<VmName, KnownFront>,
}

#[derive(Debug)]
struct KnownFront {
    record: FrontRecord,
    /// The time from which it can be asked.
    joined_at: Instant,
}

impl KnownFronts {
    /// Replaces all fronts by those of a list. Only a front that was known before
    /// with another record has just registered.
    pub fn replace_all(&mut self, records: Vec<FrontRecord>, now: Instant) {
        let mut before = std::mem::take(&mut self.by_vm);
        let is_first_list = before.is_empty();
        for record in records {
            let joined_at = match before.remove(&record.vm) {
                Some(known) if known.record == record => known.joined_at,
                _ if is_first_list => now,
                _ => now + JOIN_TIME,
            };
            self.insert_at(record, joined_at);
        }
    }

    /// Adds a front that has registered.
    pub fn insert(&mut self, record: FrontRecord, now: Instant) {
        let is_same = |known: &KnownFront| known.record == record;
        if !self.by_vm.get(&record.vm).is_some_and(is_same) {
            self.insert_at(record, now + JOIN_TIME);
        }
    }

    fn insert_at(&mut self, record: FrontRecord, joined_at: Instant) {
        let vm = record.vm.clone();
        self.by_vm.insert(vm, KnownFront { record, joined_at });
    }

    /// Removes a front.
    pub fn remove(&mut self, vm: &VmName) {
        self.by_vm.remove(vm);
    }

    /// All registered fronts, in the order of their names.
    pub fn registered(&self) -> impl Iterator<Item = &FrontRecord> {
        self.by_vm.values().map(|known| &known.record)
    }

    /// The fronts that can be asked, and `own`.
    pub fn joined(&self, own: &VmName, now: Instant) -> Vec<FrontRecord> {
        let has_joined = |known: &&KnownFront| known.joined_at <= now || known.record.vm == *own;
        let joined = self.by_vm.values().filter(has_joined);
        joined.map(|known| known.record.clone()).collect()
    }

    /// The time at which [`Self::joined`] next changes by itself.
    pub fn next_join(&self, now: Instant) -> Option<Instant> {
        let times = self.by_vm.values().map(|known| known.joined_at);
        times.filter(|at| *at > now).min()
    }
}
