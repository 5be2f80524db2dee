//! Keeps content that crashes servers away from them.
//!
//! A call whose connection breaks and whose server then refuses connections is
//! a crash. What crashes counts against, and when content is held, the
//! quarantine decides; fronts tell each other what is held over the store.

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
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Content that another front holds is refused for this time.
const REMOTE_QUARANTINE: Duration = Duration::from_secs(30);
/// A process that ends needs this long until its port is closed.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(20);
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// News of held content that waits to be written; more is dropped.
const MAX_WAITING: usize = 64;

/// What is known of crashes and their contents.
#[derive(Debug)]
pub struct CrashGuard {
    table: Mutex<QuarantineTable>,
    quarantined_elsewhere: Mutex<HashMap<ContentHash, Instant>>,
    held_here: Sender<ContentHash>,
    clock: DaemonClock,
    spawner: TaskSpawner,
}

/// The content of a request: all of it but its id and deadline.
pub fn content_of(head: &RequestHead, body: &Bytes) -> ContentHash {
    let target = format!("{} {} {}", head.method, head.host, head.uri);
    ContentHash::of(&target, body)
}

impl CrashGuard {
    /// A guard that knows nothing, and where content comes out that it holds.
    pub fn new(clock: &DaemonClock, spawner: &TaskSpawner) -> (Self, Receiver<ContentHash>) {
        let (held_here, held) = async_channel::bounded(MAX_WAITING);
        let guard = Self {
            table: Mutex::default(),
            quarantined_elsewhere: Mutex::default(),
            held_here,
            clock: clock.clone(),
            spawner: spawner.clone(),
        };
        (guard, held)
    }

    /// How `content` may run.
    pub fn verdict(&self, content: ContentHash) -> ContentVerdict {
        let now = self.clock.now();
        let mut elsewhere = lock(&self.quarantined_elsewhere);
        elsewhere.retain(|_, since| now.saturating_duration_since(*since) < REMOTE_QUARANTINE);
        if let Some(since) = elsewhere.get(&content) {
            let age = now.saturating_duration_since(*since);
            return ContentVerdict::Quarantined(REMOTE_QUARANTINE.saturating_sub(age));
        }
        drop(elsewhere);
        lock(&self.table).verdict(content, CanaryMode::Suspects, now)
    }

    /// Another front holds `content`.
    pub fn record_remote_quarantine(&self, content: ContentHash) {
        let now = self.clock.now();
        lock(&self.quarantined_elsewhere).insert(content, now);
    }

    /// Content was answered that is suspect, or may become so by an earlier call.
    pub fn succeeded(&self, content: ContentHash) {
        let now = self.clock.now();
        lock(&self.table).record_success(content, now);
    }

    /// The connection of a call of `content` broke: finds out whether the
    /// server's process has ended.
    pub fn connection_lost(self: &Arc<Self>, content: ContentHash, endpoint: &Arc<ServerEndpoint>) {
        let (guard, endpoint) = (Arc::clone(self), Arc::clone(endpoint));
        self.spawner.spawn(async move {
            let alone = endpoint.outstanding() == 0;
            let lost_at = guard.clock.now();
            guard.clock.sleep(PORT_CLOSE_DELAY).await;
            if guard.has_exited(&endpoint).await {
                guard.crashed(content, &endpoint, alone, lost_at);
            }
        });
    }

    async fn has_exited(&self, endpoint: &ServerEndpoint) -> bool {
        // A connection that is still open shows that the process lives.
        if endpoint.has_open_connection() {
            return false;
        }
        let connecting = connect(endpoint.record().address, &self.spawner);
        let connected = self.clock.timeout(CHECK_TIMEOUT, connecting).await;
        matches!(connected, Some(Err(ConnectError::Refused(_))))
    }

    fn crashed(
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
            // Rounded up, so that an answer after the loss counts as later.
            age_ms: age.as_millis() as u64 + 1,
        };
        let mut table = lock(&self.table);
        let is_new = table.record_crash(&report, now);
        let verdict = table.verdict(content, CanaryMode::Suspects, now);
        drop(table);
        let is_held = matches!(verdict, ContentVerdict::Quarantined(_));
        event!(
            Warn,
            "server-crash",
            server = record.name,
            content = content.0,
            alone = alone,
            held = is_held
        );
        if is_new && is_held && self.held_here.try_send(content).is_err() {
            event!(Warn, "held-content-not-told", content = content.0);
        }
    }
}
