//! The servers that have said that they leave.
//!
//! What a server said holds for its process, also if its registration is gone for a time
//! or says otherwise.

use camphorway_daemon::sync::lock;
use camphorway_model::{ServerName, ServerRecord};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server exits at most this long after it began to leave.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(600);
/// The number of servers that are remembered.
const MAX_SERVERS: usize = 16_384;

/// A server's process: its name and incarnation.
type ServerProcess = (ServerName, u64);

/// When each server began to leave, as seen by this front.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    since: Arc<Mutex<HashMap<ServerProcess, Instant>>>,
}

impl LeavingServers {
    /// Records that a server leaves.
    pub fn record(&self, server: &ServerRecord, now: Instant) {
        let mut since = lock(&self.since);
        if since.len() >= MAX_SERVERS {
            since.retain(|_, at| now.saturating_duration_since(*at) < MAX_LEAVING_TIME);
        }
        if since.len() < MAX_SERVERS {
            since.entry(process(server)).or_insert(now);
        }
    }

    /// The time at which the process of `server` said that it leaves, if it did.
    pub fn leaving_since(&self, server: &ServerRecord) -> Option<Instant> {
        lock(&self.since).get(&process(server)).copied()
    }
}

fn process(server: &ServerRecord) -> ServerProcess {
    (server.name.clone(), server.incarnation)
}
