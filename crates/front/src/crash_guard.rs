//! Detects server crashes and quarantines the content that causes them.
//!
//! A call counts as a crash if its connection is lost and its server then
//! refuses connections. The quarantine table decides which content a crash
//! counts against and when that content is quarantined. Fronts notify each
//! other of quarantined content through the store.

use crate::ports::RequestHead;
use crate::server_endpoint::ServerEndpoint;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::http_client::{ConnectError, connect};
use camphorway_daemon::sync::lock;
use camphorway_daemon::task::TaskSpawner;
use camphorway_model::CanaryMode;
use camphorway_policy::{ContentHash, ContentVerdict, CrashReport, QuarantineTable};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time a process that exits needs to close its port.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(20);
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Quarantined content that may wait for the store; more is dropped.
const MAX_WAITING: usize = 64;

/// Records crashes and decides which content may run.
#[derive(Debug)]
pub struct CrashGuard {
    table: Mutex<QuarantineTable>,
    quarantine_sender: Sender<ContentHash>,
    clock: DaemonClock,
    spawner: TaskSpawner,
}

/// The hash of a request's content, without its id and deadline.
pub fn content_of(head: &RequestHead, body: &Bytes) -> ContentHash {
    let target = format!("{} {} {}", head.method, head.host, head.uri);
    ContentHash::of(&target, body)
}

impl CrashGuard {
    /// Creates a guard, and the channel of content that it quarantines.
    pub fn new(clock: &DaemonClock, spawner: &TaskSpawner) -> (Self, Receiver<ContentHash>) {
        let (quarantine_sender, quarantined) = async_channel::bounded(MAX_WAITING);
        let guard = Self {
            table: Mutex::default(),
            quarantine_sender,
            clock: clock.clone(),
            spawner: spawner.clone(),
        };
        (guard, quarantined)
    }

    /// The number of suspects and, among them, of quarantined contents that this
    /// front knows from crashes.
    pub fn counts(&self) -> (usize, usize) {
        lock(&self.table).counts(self.clock.now())
    }

    /// How `content` may run.
    pub fn verdict(&self, content: ContentHash) -> ContentVerdict {
        let now = self.clock.now();
        lock(&self.table).verdict(content, CanaryMode::Suspects, now)
    }

    /// Records that another front has quarantined `content`.
    pub fn record_remote_quarantine(&self, content: ContentHash) {
        let now = self.clock.now();
        lock(&self.table).record_quarantine(content, now);
    }

    /// Records that `content` was answered. Needed if it is suspect, or may
    /// become so once the crash of an earlier call is detected.
    pub fn record_success(&self, content: ContentHash) {
        let now = self.clock.now();
        lock(&self.table).record_success(content, now);
    }

    /// After the connection of a call with `content` was lost, checks whether the
    /// server's process has exited, and records a crash if so.
    pub fn check_for_crash(self: &Arc<Self>, content: ContentHash, endpoint: &Arc<ServerEndpoint>) {
        let (guard, endpoint) = (Arc::clone(self), Arc::clone(endpoint));
        self.spawner.spawn(async move {
            let alone = endpoint.outstanding() == 0;
            let lost_at = guard.clock.now();
            guard.clock.sleep(PORT_CLOSE_DELAY).await;
            if guard.has_exited(&endpoint).await {
                guard.record_crash(content, &endpoint, alone, lost_at);
            }
        });
    }

    async fn has_exited(&self, endpoint: &ServerEndpoint) -> bool {
        // An open connection shows that the process is running.
        if endpoint.has_open_connection() {
            return false;
        }
        let connecting = connect(endpoint.record().address, &self.spawner);
        let connected = self.clock.timeout(CHECK_TIMEOUT, connecting).await;
        matches!(connected, Some(Err(ConnectError::Refused(_))))
    }

    fn record_crash(
        &self,
        content: ContentHash,
        endpoint: &ServerEndpoint,
        alone: bool,
        lost_at: Instant,
    ) {
        let now = self.clock.now();
        let age = now.saturating_duration_since(lost_at);
        let record = endpoint.record();
        let report = CrashReport {
            content,
            server: record.name.clone(),
            crash: xxh3_64_with_seed(record.name.as_str().as_bytes(), record.incarnation),
            alone,
            // Rounded up, so that an answer after the loss counts as newer.
            age_ms: age.as_millis() as u64 + 1,
        };
        let mut table = lock(&self.table);
        let is_new = table.record_crash(&report, now);
        let verdict = table.verdict(content, CanaryMode::Suspects, now);
        let crashes = table.crash_count(content);
        drop(table);
        let is_quarantined = matches!(verdict, ContentVerdict::Quarantined(_));
        event!(
            Warn,
            "server-crash",
            server = record.name,
            content = content.0,
            alone = alone,
            crashes = crashes,
            held = is_quarantined
        );
        if is_new && is_quarantined && self.quarantine_sender.try_send(content).is_err() {
            event!(Warn, "held-content-not-told", content = content.0);
        }
    }
}
