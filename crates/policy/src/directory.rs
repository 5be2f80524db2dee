//! The backend servers that are considered present, according to their
//! registrations.
//!
//! A missing registration means that its server is leaving. But registrations
//! also lapse during an outage of the store, and are renewed soon after it. So
//! after an outage, or when many registrations vanish at once, a server whose
//! registration is missing is kept as a last resort for a short time.

use camphorway_model::{ServerName, ServerRecord};
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

/// All servers that are considered present.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    entries: HashMap<ServerName, DirectoryEntry>,
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
            self.insert(record);
        }
        let absent = |name: &&ServerName| !listed.contains(*name);
        let missing: Vec<ServerName> = self.entries.keys().filter(absent).cloned().collect();
        for name in missing {
            self.remove(&name, now);
        }
    }

    /// Inserts a new or changed registration.
    pub fn insert(&mut self, record: ServerRecord) {
        let entry = DirectoryEntry {
            record,
            expires_at: None,
        };
        self.entries.insert(entry.record.name.clone(), entry);
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
        let at = now + REMOVAL_GRACE.max(self.lapse_left(now));
        if let Some(entry) = self.entries.get_mut(name) {
            entry.expires_at = Some(at);
        }
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

    /// The time at which [`Self::expire`] next removes a server.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries
            .values()
            .filter_map(|entry| entry.expires_at)
            .min()
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
