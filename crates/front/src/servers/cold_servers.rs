//! Until when servers are cold, by what their registrations say.
//!
//! A registration may reach this front late, or may not say that its server has just
//! started. So a process that registers while others are served already counts as cold
//! for the time that its service's rule names, unless it was registered before.

use camphorway_model::{ServerName, ServerRecord, WarmUpRule};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Processes whose registration has been missing for longer are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// A process has just started for this time after it has registered.
const START_TIME: Duration = Duration::from_secs(1);

/// A server's process: its name and incarnation.
type ServerProcess = (ServerName, u64);

/// The processes that have registered, and until when each is cold.
#[derive(Debug, Default)]
pub(crate) struct ColdServers {
    processes: HashMap<ServerProcess, ColdProcess>,
    /// Whether the servers at this front's start are known.
    is_listed: bool,
}

#[derive(Clone, Copy, Debug)]
struct ColdProcess {
    cold_until: Instant,
    /// The time of its first registration, unless others were listed with it.
    started_at: Option<Instant>,
    registered_at: Instant,
}

impl ColdServers {
    /// Records a registration of a server whose service has `rule`, if any.
    pub(crate) fn record(
        &mut self,
        server: &ServerRecord,
        rule: Option<&WarmUpRule>,
        now: Instant,
    ) {
        let key = (server.name.clone(), server.incarnation);
        let said = now + server.warmup_left;
        let assumed = match rule {
            Some(rule) if self.is_listed => now + rule.time,
            _ => now,
        };
        let process = self.processes.entry(key).or_insert(ColdProcess {
            cold_until: said.max(assumed),
            started_at: self.is_listed.then_some(now),
            registered_at: now,
        });
        process.registered_at = now;
        process.cold_until = process.cold_until.max(said);
    }

    /// Records that a registered server may have turned cold unseen, since nothing was
    /// sent there.
    pub(crate) fn record_return(&mut self, server: &ServerRecord, rule: &WarmUpRule, now: Instant) {
        let key = (server.name.clone(), server.incarnation);
        if let Some(process) = self.processes.get_mut(&key) {
            process.cold_until = process.cold_until.max(now + rule.time);
        }
    }

    /// Records that all servers have been listed.
    pub(crate) fn record_list(&mut self, now: Instant) {
        self.is_listed = true;
        self.processes.retain(|_, process| {
            now.saturating_duration_since(process.registered_at) < FORGET_AFTER
        });
    }

    /// Whether the process of `server` has just started.
    pub(crate) fn has_started(&self, server: &ServerRecord, now: Instant) -> bool {
        let key = (server.name.clone(), server.incarnation);
        let started_at = self
            .processes
            .get(&key)
            .and_then(|process| process.started_at);
        started_at.is_some_and(|at| now.saturating_duration_since(at) < START_TIME)
    }

    /// Until when the process of `server` is cold, if it has registered.
    pub(crate) fn cold_until(&self, server: &ServerRecord) -> Option<Instant> {
        let key = (server.name.clone(), server.incarnation);
        self.processes.get(&key).map(|process| process.cold_until)
    }
}
