//! The failure domains that are evacuated, as the store's entries say.
//!
//! Answers the load of an operator who empties a failure domain because its servers
//! must get nothing, while the store may come back from an older copy that lacks the
//! entry: until the operator can have written it again, the domain stays evacuated.

use camphorway_model::FailureDomain;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The time within which an operator writes entries again that the store has lost.
const RESTORE_TIME: Duration = Duration::from_secs(10);

/// The evacuated failure domains.
#[derive(Clone, Debug)]
pub struct EvacuationTable {
    /// The time within which a front learns what was written.
    bound: Duration,
    entries: BTreeMap<FailureDomain, EvacuationEntry>,
}

/// What is known of the entry of an evacuated failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EvacuationEntry {
    /// The store has it.
    Stored,
    /// The store may have lost it; it counts until this time unless it is written again.
    Lost(Instant),
}

impl EvacuationTable {
    /// No evacuated failure domains; what is written to the store is known here within
    /// `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            entries: BTreeMap::new(),
        }
    }

    /// Records an entry.
    pub fn insert(&mut self, domain: FailureDomain) {
        self.entries.insert(domain, EvacuationEntry::Stored);
    }

    /// Records that an entry was removed.
    pub fn remove(&mut self, domain: &FailureDomain) {
        self.entries.remove(domain);
    }

    /// Records that the store came back from an older copy, before its first list.
    pub fn begin_history(&mut self, now: Instant) {
        let until = now + RESTORE_TIME + self.bound;
        for entry in self.entries.values_mut() {
            *entry = EvacuationEntry::Lost(until);
        }
    }

    /// Applies a list of all entries. What it lacks was removed, or is lost.
    pub fn apply_list(&mut self, listed: BTreeSet<FailureDomain>) {
        self.entries
            .retain(|_, entry| *entry != EvacuationEntry::Stored);
        for domain in listed {
            self.insert(domain);
        }
    }

    /// Ends the evacuations that the store has lost and nobody has written again.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| match entry {
            EvacuationEntry::Lost(until) => now < *until,
            EvacuationEntry::Stored => true,
        });
    }

    /// The time at which the next evacuation expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        let entries = self.entries.values();
        let expiries = entries.filter_map(|entry| match entry {
            EvacuationEntry::Lost(until) => Some(*until),
            EvacuationEntry::Stored => None,
        });
        expiries.min()
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> BTreeSet<FailureDomain> {
        self.entries.keys().cloned().collect()
    }
}
