//! The backend servers that are considered present, according to their
//! registrations.
//!
//! A missing registration means that its server is leaving. But registrations
//! also lapse during an outage of the store, and are renewed soon after it. So
//! after an outage, or when many registrations vanish at once, a server whose
//! registration is missing is kept as a last resort for a short time.
//!
//! A store that comes back from an older copy has servers as they were before they began
//! to leave. Such a server stays unused until it registers anew, or for as long as the
//! registration of a server that is gone needs to lapse.

use camphorway_model::{RegisteredState, ServerName, ServerRecord};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How long a lapsed registration may be missing: it is renewed within two
/// seconds of the store's recovery.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// How long a server stays after its registration was removed without an outage.
const REMOVAL_GRACE: Duration = Duration::from_millis(300);
/// Removals of more than this fraction of all servers within [`BURST_WINDOW`] are
/// treated as lapses.
const BURST_FRACTION: f64 = 0.2;
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// How long it is remembered that a server leaves; copies of the store are younger.
const LEAVING_MEMORY: Duration = Duration::from_secs(120);

/// A server's process: its name and incarnation.
type ServerProcess = (ServerName, u64);

/// All servers that are considered present.
#[derive(Debug)]
pub struct ServerDirectory {
    entries: HashMap<ServerName, DirectoryEntry>,
    /// When each of the servers that leave began to, by its registration or because that
    /// was removed.
    leaving: HashMap<ServerProcess, Instant>,
    /// The time after which the registration of a server that is gone has lapsed.
    lapse_time: Duration,
    /// Until when registrations that have lapsed are in the history of the store.
    history_settles_at: Option<Instant>,
    outage: StoreOutage,
    is_listed: bool,
    removals: Vec<Instant>,
}

/// One server of the directory.
#[derive(Clone, Debug)]
pub struct DirectoryEntry {
    /// Its newest registration.
    pub record: ServerRecord,
    /// The time at which the server is removed; set while its registration is
    /// missing.
    pub expires_at: Option<Instant>,
    /// The time until which an older registration says that the server, which leaves,
    /// does not.
    pub held_until: Option<Instant>,
}

impl DirectoryEntry {
    /// Whether the server takes new calls.
    pub fn takes_calls(&self) -> bool {
        self.record.state == RegisteredState::Ready && self.held_until.is_none()
    }
}

/// Whether the store is reachable.
#[derive(Clone, Copy, Debug, Default)]
enum StoreOutage {
    /// It answers.
    #[default]
    None,
    /// It does not answer.
    Ongoing,
    /// It has answered again since this time.
    EndedAt(Instant),
}

impl ServerDirectory {
    /// A directory without servers; the registration of a server that is gone lapses
    /// within `lapse_time`.
    pub fn new(lapse_time: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            leaving: HashMap::new(),
            lapse_time,
            history_settles_at: None,
            outage: StoreOutage::None,
            is_listed: false,
            removals: Vec::new(),
        }
    }

    /// Records that the store came back from an older copy; the next list is of that.
    pub fn begin_history(&mut self, now: Instant) {
        // Servers that the copy lacks register again.
        self.outage = StoreOutage::EndedAt(now);
        self.history_settles_at = Some(now + self.lapse_time);
    }

    /// All servers, including those whose registration is missing.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Whether a complete list of the servers was received since the start.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that the store did not answer.
    pub fn record_store_loss(&mut self) {
        self.outage = StoreOutage::Ongoing;
    }

    /// Records that the store answered.
    pub fn record_store_answer(&mut self, now: Instant) {
        if let StoreOutage::Ongoing = self.outage {
            self.outage = StoreOutage::EndedAt(now);
        }
    }

    /// The time until which servers that are not listed may still return after an
    /// outage.
    pub fn settles_at(&self) -> Option<Instant> {
        match self.outage {
            StoreOutage::EndedAt(at) => Some(at + LAPSE_GRACE),
            StoreOutage::None | StoreOutage::Ongoing => None,
        }
    }

    /// Applies a complete list of registrations; one that is not in it is
    /// missing.
    pub fn apply_list(&mut self, records: Vec<ServerRecord>, now: Instant) {
        if !std::mem::replace(&mut self.is_listed, true) {
            // The start may follow an outage that this daemon did not observe.
            self.outage = StoreOutage::EndedAt(now);
        }
        let listed: HashSet<ServerName> =
            records.iter().map(|record| record.name.clone()).collect();
        for record in records {
            let held_until = self.held_until(&record, now);
            if record.state == RegisteredState::Draining {
                self.leaving.insert(process(&record), now);
            }
            self.insert_held(record, held_until);
        }
        let absent = |name: &&ServerName| !listed.contains(*name);
        let missing: Vec<ServerName> = self.entries.keys().filter(absent).cloned().collect();
        for name in missing {
            self.remove(&name, now);
        }
    }

    /// Inserts a new or changed registration.
    pub fn insert(&mut self, record: ServerRecord, now: Instant) {
        match record.state {
            RegisteredState::Ready => self.leaving.remove(&process(&record)),
            RegisteredState::Draining => self.leaving.insert(process(&record), now),
        };
        self.insert_held(record, None);
    }

    fn insert_held(&mut self, record: ServerRecord, held_until: Option<Instant>) {
        let entry = DirectoryEntry {
            record,
            expires_at: None,
            held_until,
        };
        self.entries.insert(entry.record.name.clone(), entry);
    }

    /// Until when a listed registration counts as older than what is known of the server.
    fn held_until(&self, record: &ServerRecord, now: Instant) -> Option<Instant> {
        let is_ready = record.state == RegisteredState::Ready;
        let is_leaving = self.leaving.contains_key(&process(record));
        self.history_settles_at
            .filter(|at| is_ready && is_leaving && now < *at)
    }

    /// Records that a registration is missing.
    pub fn remove(&mut self, name: &ServerName, now: Instant) {
        let is_listed = |entry: &DirectoryEntry| entry.expires_at.is_none();
        if !self.entries.get(name).is_some_and(is_listed) {
            return;
        }
        self.removals
            .retain(|at| now.saturating_duration_since(*at) < BURST_WINDOW);
        self.removals.push(now);
        let lapse_left = self.lapse_left(now);
        if let Some(entry) = self.entries.get_mut(name) {
            entry.expires_at = Some(now + REMOVAL_GRACE.max(lapse_left));
            if lapse_left.is_zero() {
                self.leaving.insert(process(&entry.record), now);
            }
        }
        self.leaving
            .retain(|_, at| now.saturating_duration_since(*at) < LEAVING_MEMORY);
    }

    /// Uses the servers again that registered anew in time or did not lapse. Returns
    /// their names.
    pub fn release(&mut self, now: Instant) -> Vec<ServerName> {
        let is_due = |entry: &&mut DirectoryEntry| entry.held_until.is_some_and(|at| now >= at);
        let due = self.entries.values_mut().filter(is_due);
        let names = due.map(|entry| {
            entry.held_until = None;
            entry.record.name.clone()
        });
        names.collect()
    }

    /// Removes the servers that have expired. Returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerName> {
        let is_expired = |entry: &&DirectoryEntry| entry.expires_at.is_some_and(|at| now >= at);
        let expired = self.entries.values().filter(is_expired);
        let names: Vec<ServerName> = expired.map(|entry| entry.record.name.clone()).collect();
        for name in &names {
            self.entries.remove(name);
        }
        names
    }

    /// The time at which [`Self::expire`] next removes a server, or [`Self::release`]
    /// uses one again.
    pub fn next_expiry(&self) -> Option<Instant> {
        let times = self.entries.values();
        let times = times.flat_map(|entry| [entry.expires_at, entry.held_until]);
        times.flatten().min()
    }

    /// How long a missing registration may still be a lapse.
    fn lapse_left(&self, now: Instant) -> Duration {
        let burst =
            self.removals.len() as f64 > (BURST_FRACTION * self.entries.len() as f64).max(1.0);
        let since = match self.outage {
            StoreOutage::Ongoing => return LAPSE_GRACE,
            StoreOutage::EndedAt(at) => now.saturating_duration_since(at),
            StoreOutage::None => LAPSE_GRACE,
        };
        let after_outage = LAPSE_GRACE.saturating_sub(since);
        if burst {
            after_outage.max(LAPSE_GRACE)
        } else {
            after_outage
        }
    }
}

fn process(record: &ServerRecord) -> ServerProcess {
    (record.name.clone(), record.incarnation)
}
