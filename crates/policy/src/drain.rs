//! Backend servers that said they are draining, as told between daemons.
//!
//! A daemon that never called a server can't know from its own calls that it is
//! going away. Whoever is told so by the server tells the others, with the boot
//! number of the server's process: a new process takes calls again.

use camphorway_model::ServerName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a report is remembered; a server that drains for longer is found
/// out again by a call.
const REPORT_LIFETIME: Duration = Duration::from_secs(1_800);

/// A backend server's process that is draining.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// The server.
    pub server: ServerName,
    /// The number of its process.
    pub boot: u64,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}

/// The draining servers that a daemon knows of.
#[derive(Debug, Default)]
pub struct DrainTable {
    drains: BTreeMap<ServerName, (u64, Instant)>,
}

impl DrainTable {
    /// Takes a report; whether it was news.
    pub fn record(&mut self, report: &DrainReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age_ms);
        let Some(at) = now.checked_sub(age).filter(|_| age < REPORT_LIFETIME) else {
            return false;
        };
        if let Some((boot, known_at)) = self.drains.get(&report.server)
            && (*boot == report.boot || *known_at >= at)
        {
            return false;
        }
        let drain = (report.boot, at);
        self.drains.insert(report.server.clone(), drain);
        true
    }

    /// Forgets old reports; whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let before = self.drains.len();
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < REPORT_LIFETIME;
        self.drains.retain(|_, (_, at)| is_fresh(at));
        self.drains.len() < before
    }

    /// All that is known, to be told to others.
    pub fn reports(&self, now: Instant) -> Vec<DrainReport> {
        let report = |(server, (boot, at)): (&ServerName, &(u64, Instant))| DrainReport {
            server: server.clone(),
            boot: *boot,
            age_ms: now.saturating_duration_since(*at).as_millis() as u64,
        };
        self.drains.iter().map(report).collect()
    }

    /// The draining servers, with the number of the process that drains.
    pub fn boots(&self) -> BTreeMap<ServerName, u64> {
        let boots = self.drains.iter();
        boots
            .map(|(server, (boot, _))| (server.clone(), *boot))
            .collect()
    }

    /// Equal for tables that hold the same processes.
    pub fn digest(&self) -> u64 {
        let hash = |(server, (boot, _)): (&ServerName, &(u64, Instant))| {
            xxh3_64_with_seed(server.as_str().as_bytes(), *boot)
        };
        self.drains.iter().map(hash).fold(0, u64::wrapping_add)
    }
}
