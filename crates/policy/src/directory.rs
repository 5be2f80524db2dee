//! The backend servers that are believed to be there, from their registrations.
//!
//! A registration that is gone means that its server leaves. But registrations
//! also lapse while the store is down, and are renewed soon after its return. So
//! after trouble with the store, or when many vanish at once, a server whose
//! registration is missing is kept as a last resort for a short time.

use camphorway_model::{ServerName, ServerRecord};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Lapsed registrations are back within two seconds of the store's return.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// A removal without any trouble is believed after this time.
const REMOVAL_GRACE: Duration = Duration::from_millis(300);
/// Removals of this part of all servers within [`BURST_TIME`] count as trouble.
const BURST_PART: f64 = 0.2;
const BURST_TIME: Duration = Duration::from_secs(1);

/// All servers believed to be there.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    entries: HashMap<ServerName, DirectoryEntry>,
    trouble: StoreTrouble,
    is_listed: bool,
    removals: Vec<Instant>,
}

/// One server of the directory.
#[derive(Clone, Debug)]
pub struct DirectoryEntry {
    /// Its newest registration.
    pub record: ServerRecord,
    /// Set while the registration is missing: when that is believed.
    pub expires_at: Option<Instant>,
}

/// What was seen of the store itself.
#[derive(Clone, Copy, Debug, Default)]
enum StoreTrouble {
    /// It answers.
    #[default]
    None,
    /// It does not.
    Lasting,
    /// It answers again since then.
    Over(Instant),
}

impl ServerDirectory {
    /// The servers, with those whose registration is missing.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Whether the servers were listed since the start.
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

    /// The store did not answer.
    pub fn record_store_loss(&mut self) {
        self.trouble = StoreTrouble::Lasting;
    }

    /// The store answered.
    pub fn record_store_answer(&mut self, now: Instant) {
        if let StoreTrouble::Lasting = self.trouble {
            self.trouble = StoreTrouble::Over(now);
        }
    }

    /// Until when servers that are not listed may still come back.
    pub fn settles_at(&self) -> Option<Instant> {
        match self.trouble {
            StoreTrouble::Over(at) => Some(at + LAPSE_GRACE),
            StoreTrouble::None | StoreTrouble::Lasting => None,
        }
    }

    /// Takes the whole list; what is not in it is missing.
    pub fn apply_list(&mut self, records: Vec<ServerRecord>, now: Instant) {
        if !std::mem::replace(&mut self.is_listed, true) {
            // What was before the start is not known: it may have been an outage.
            self.trouble = StoreTrouble::Over(now);
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

    /// Takes a new or changed registration.
    pub fn insert(&mut self, record: ServerRecord) {
        let entry = DirectoryEntry {
            record,
            expires_at: None,
        };
        self.entries.insert(entry.record.name.clone(), entry);
    }

    /// A registration is missing.
    pub fn remove(&mut self, name: &ServerName, now: Instant) {
        let is_listed = |entry: &DirectoryEntry| entry.expires_at.is_none();
        if !self.entries.get(name).is_some_and(is_listed) {
            return;
        }
        self.removals
            .retain(|at| now.saturating_duration_since(*at) < BURST_TIME);
        self.removals.push(now);
        let at = now + REMOVAL_GRACE.max(self.lapse_left(now));
        if let Some(entry) = self.entries.get_mut(name) {
            entry.expires_at = Some(at);
        }
    }

    /// Forgets the servers whose time is over; their names.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerName> {
        let is_over = |entry: &&DirectoryEntry| entry.expires_at.is_some_and(|at| now >= at);
        let over = self.entries.values().filter(is_over);
        let names: Vec<ServerName> = over.map(|entry| entry.record.name.clone()).collect();
        for name in &names {
            self.entries.remove(name);
        }
        names
    }

    /// When [`Self::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries
            .values()
            .filter_map(|entry| entry.expires_at)
            .min()
    }

    /// How long a missing registration may still be a lapse.
    fn lapse_left(&self, now: Instant) -> Duration {
        let burst = self.removals.len() as f64 > (BURST_PART * self.entries.len() as f64).max(1.0);
        let since = match self.trouble {
            StoreTrouble::Lasting => return LAPSE_GRACE,
            StoreTrouble::Over(at) => now.saturating_duration_since(at),
            StoreTrouble::None => LAPSE_GRACE,
        };
        let after_trouble = LAPSE_GRACE.saturating_sub(since);
        if burst {
            after_trouble.max(LAPSE_GRACE)
        } else {
            after_trouble
        }
    }
}
