//! Keeps content that crashes servers away from them.
//!
//! A call whose connection breaks and whose server then refuses connections is
//! a crash. What crashes counts against, and when content is held, the
//! quarantine decides; fronts tell each other what is held over the store.

use crate::ports::RequestHead;
use crate::server_line::ServerLine;
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
const HELD_ELSEWHERE: Duration = Duration::from_secs(30);
/// A process that ends needs this long until its port is closed.
const PORT_CLOSES: Duration = Duration::from_millis(20);
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// News of held content that waits to be written; more is dropped.
const MOST_WAITING: usize = 64;

/// What is known of crashes and their contents.
#[derive(Debug)]
pub struct CrashGuard {
    table: Mutex<QuarantineTable>,
    held_elsewhere: Mutex<HashMap<ContentHash, Instant>>,
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
        let (held_here, held) = async_channel::bounded(MOST_WAITING);
        let guard = Self {
            table: Mutex::default(),
            held_elsewhere: Mutex::default(),
            held_here,
            clock: clock.clone(),
            spawner: spawner.clone(),
        };
        (guard, held)
    }

    /// How `content` may run.
    pub fn verdict(&self, content: ContentHash) -> ContentVerdict {
        let now = self.clock.now();
        let mut elsewhere = lock(&self.held_elsewhere);
        elsewhere.retain(|_, since| now.saturating_duration_since(*since) < HELD_ELSEWHERE);
        if let Some(since) = elsewhere.get(&content) {
            let age = now.saturating_duration_since(*since);
            return ContentVerdict::Quarantined(HELD_ELSEWHERE.saturating_sub(age));
        }
        drop(elsewhere);
        lock(&self.table).verdict(content, CanaryMode::Suspects, now)
    }

    /// Another front holds `content`.
    pub fn heard_held(&self, content: ContentHash) {
        let now = self.clock.now();
        lock(&self.held_elsewhere).insert(content, now);
    }

    /// Content was answered that is suspect, or may become so by an earlier call.
    pub fn succeeded(&self, content: ContentHash) {
        let now = self.clock.now();
        lock(&self.table).record_success(content, now);
    }

    /// The connection of a call of `content` broke: finds out whether the
    /// server's process has ended.
    pub fn connection_lost(self: &Arc<Self>, content: ContentHash, line: &Arc<ServerLine>) {
        let (guard, line) = (Arc::clone(self), Arc::clone(line));
        self.spawner.spawn(async move {
            let alone = line.outstanding() == 0;
            let lost_at = guard.clock.now();
            guard.clock.sleep(PORT_CLOSES).await;
            if guard.has_ended(&line).await {
                guard.crashed(content, &line, alone, lost_at);
            }
        });
    }

    async fn has_ended(&self, line: &ServerLine) -> bool {
        // A connection that is still open shows that the process lives.
        if line.has_open_connection() {
            return false;
        }
        let connecting = connect(line.record().address, &self.spawner);
        let connected = self.clock.timeout(CHECK_TIMEOUT, connecting).await;
        matches!(connected, Some(Err(ConnectError::Refused(_))))
    }

    fn crashed(&self, content: ContentHash, line: &ServerLine, alone: bool, lost_at: Instant) {
        let now = self.clock.now();
        let age = now.saturating_duration_since(lost_at);
        let record = line.record();
        let report = CrashReport {
            content,
            server: record.name.clone(),
            crash: xxh3_64_with_seed(record.name.as_str().as_bytes(), record.incarnation),
            alone,
            // Rounded up, so that an answer after the loss counts as later.
            age_ms: age.as_millis() as u64 + 1,
        };
        let mut table = lock(&self.table);
        let is_news = table.record_crash(&report, now);
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
        if is_news && is_held && self.held_here.try_send(content).is_err() {
            event!(Warn, "held-content-not-told", content = content.0);
        }
    }
}
