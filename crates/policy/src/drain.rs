//! Draining backend servers, as daemons report them to each other.
//!
//! A daemon that never called a server can't detect from its own calls that the
//! server is draining. A daemon that the server has notified reports this to the
//! others, with the boot number of the server's process: a new process accepts
//! calls again.

use camphorway_model::ServerName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a report is kept. A server that drains for longer is detected again
/// by a call.
const REPORT_LIFETIME: Duration = Duration::from_secs(1_800);

/// A draining process of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// The server.
    pub server: ServerName,
    /// The boot number of its process.
    pub boot: u64,
    /// The time since the server reported it, in milliseconds.
    pub age_ms: u64,
}

/// The reports of draining servers that a daemon keeps.
#[derive(Debug, Default)]
pub struct DrainTable {
    drains: BTreeMap<ServerName, (u64, Instant)>,
}

impl DrainTable {
    /// Records a report. Returns whether it changed the table.
    pub fn record(&mut self, report: &DrainReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age_ms);
        let Some(at) = now.checked_sub(age).filter(|_| age < REPORT_LIFETIME) else {
            return false;
        };
        if let Some((boot, reported_at)) = self.drains.get(&report.server)
            && (*boot == report.boot || *reported_at >= at)
        {
            return false;
        }
        let drain = (report.boot, at);
        self.drains.insert(report.server.clone(), drain);
        true
    }

    /// Removes expired reports. Returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let before = self.drains.len();
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < REPORT_LIFETIME;
        self.drains.retain(|_, (_, at)| is_fresh(at));
        self.drains.len() < before
    }

    /// All current reports, to be sent to other daemons.
    pub fn reports(&self, now: Instant) -> Vec<DrainReport> {
        let report = |(server, (boot, at)): (&ServerName, &(u64, Instant))| DrainReport {
            server: server.clone(),
            boot: *boot,
            age_ms: now.saturating_duration_since(*at).as_millis() as u64,
        };
        self.drains.iter().map(report).collect()
    }

    /// The draining servers, each with the boot number of its draining process.
    pub fn boots(&self) -> BTreeMap<ServerName, u64> {
        let boots = self.drains.iter();
        boots
            .map(|(server, (boot, _))| (server.clone(), *boot))
            .collect()
    }

    /// A hash that is equal for tables with the same processes.
    pub fn digest(&self) -> u64 {
        let hash = |(server, (boot, _)): (&ServerName, &(u64, Instant))| {
            xxh3_64_with_seed(server.as_str().as_bytes(), *boot)
        };
        self.drains.iter().map(hash).fold(0, u64::wrapping_add)
    }
}
