//! The registered fronts, and which of them can be asked.
//!
//! A front that has just registered does not know the keys of the others yet and
//! refuses their connections.
//!
//! A store that comes back from an older copy lacks the registrations written since, and
//! has some that were removed since. Fronts that it lacks are kept until they register
//! again; registrations that were removed stay so.
//!
//! A front that grants quotas lists the others once more, as soon as it has registered:
//! all fronts may have started at once, and nobody grants until they know each other.

use camphorway_model::{FrontRecord, PeerKey, VmName};
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

/// A front that registers knows the others after this time.
const JOIN_TIME: Duration = Duration::from_millis(2_500);
/// A front whose registration the store has lost is kept at least this long: it may not
/// reach the store.
const LOST_TIME: Duration = Duration::from_secs(600);
/// A front that has listed the others early takes those that register within this time as
/// started together with it, and doesn't wait for them to join.
const STARTING_TIME: Duration = Duration::from_secs(10);
/// Registrations that were removed are remembered for this time; copies are younger.
const REMOVED_TIME: Duration = Duration::from_secs(120);

/// The history of the store that a list is of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListHistory {
    /// The same as that of the list before, or the first one.
    Same,
    /// A later one: the store came back from an older copy.
    New,
}

/// All registered fronts.
#[derive(Debug, Default)]
pub struct KnownFronts {
    by_vm: BTreeMap<VmName, KnownFront>,
    /// The last registrations that were removed.
    removed: Vec<(Instant, FrontRecord)>,
    early: Option<EarlyList>,
}

/// The registrations that this front listed at its start, before it follows them.
#[derive(Debug)]
struct EarlyList {
    records: Vec<FrontRecord>,
    /// The end of the time in which fronts may have started together with this one.
    until: Instant,
}

#[derive(Debug)]
struct KnownFront {
    record: FrontRecord,
    /// The time from which it can be asked.
    joined_at: Instant,
    /// The time at which it is forgotten; set while the store has lost its registration.
    lost_until: Option<Instant>,
}

impl KnownFronts {
    /// Replaces all fronts by those of a list. Only a front that was known before
    /// with another record has just registered. `history` is the list's history of the
    /// store.
    pub fn replace_all(&mut self, records: Vec<FrontRecord>, history: ListHistory, now: Instant) {
        let mut before = std::mem::take(&mut self.by_vm);
        let is_first_list = before.is_empty();
        self.removed
            .retain(|(at, _)| now.saturating_duration_since(*at) < REMOVED_TIME);
        for record in records {
            if self.is_removed(&record) {
                continue;
            }
            let joined_at = match before.remove(&record.vm) {
                Some(known) if known.record == record => known.joined_at,
                _ if is_first_list => now,
                _ => now + JOIN_TIME,
            };
            self.insert_at(record, joined_at);
        }
        for (vm, mut known) in before {
            if history == ListHistory::New {
                known.lost_until.get_or_insert(now + LOST_TIME);
            }
            if known.lost_until.is_some_and(|until| until > now) {
                self.by_vm.insert(vm, known);
            }
        }
    }

    /// Records what this front listed before it follows the registrations.
    pub fn list_early(&mut self, records: Vec<FrontRecord>, now: Instant) {
        let until = now + STARTING_TIME;
        self.early = Some(EarlyList { records, until });
    }

    /// Adds a front that has registered.
    pub fn insert(&mut self, record: FrontRecord, now: Instant) {
        self.removed.retain(|(_, removed)| *removed != record);
        match self.by_vm.get_mut(&record.vm) {
            Some(known) if known.record == record => known.lost_until = None,
            Some(_) | None => self.insert_at(record, now + JOIN_TIME),
        }
    }

    /// Whether the registration was removed: a list that has it is older.
    fn is_removed(&self, record: &FrontRecord) -> bool {
        self.removed.iter().any(|(_, removed)| removed == record)
    }

    fn insert_at(&mut self, record: FrontRecord, joined_at: Instant) {
        let vm = record.vm.clone();
        let known = KnownFront {
            record,
            joined_at,
            lost_until: None,
        };
        self.by_vm.insert(vm, known);
    }

    /// Removes a front.
    pub fn remove(&mut self, vm: &VmName, now: Instant) {
        if let Some(known) = self.by_vm.remove(vm) {
            self.removed.push((now, known.record));
        }
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

    /// The fronts that may grant quotas, in the order of their names: those of
    /// [`Self::joined`], and all that may have started together with this one.
    pub fn grantors(&self, own: &VmName, now: Instant) -> Vec<FrontRecord> {
        let Some(early) = self.early.as_ref().filter(|early| now < early.until) else {
            return self.joined(own, now);
        };
        let early = early
            .records
            .iter()
            .filter(|record| !self.is_removed(record));
        let mut by_vm: BTreeMap<&VmName, &FrontRecord> =
            early.map(|record| (&record.vm, record)).collect();
        by_vm.extend(self.registered().map(|record| (&record.vm, record)));
        by_vm.into_values().cloned().collect()
    }

    /// The keys of all fronts whose connections are accepted.
    pub fn keys(&self, now: Instant) -> HashSet<PeerKey> {
        let early = self.early.iter().filter(|early| now < early.until);
        // The first list that is followed may be older than the early one.
        let early = early.flat_map(|early| &early.records);
        let early = early.filter(|record| !self.is_removed(record));
        let fronts = self.registered().chain(early);
        fronts.map(|front| front.key.clone()).collect()
    }

    /// The time at which [`Self::joined`] or [`Self::grantors`] next changes by itself.
    pub fn next_join(&self, now: Instant) -> Option<Instant> {
        let joined = self.by_vm.values().map(|known| known.joined_at);
        let times = joined.chain(self.early.iter().map(|early| early.until));
        times.filter(|at| *at > now).min()
    }
}
