//! Detects server crashes and quarantines the content that causes them.
//!
//! A call counts as a crash if its answer doesn't come to an end that shows it whole,
//! and its server then refuses connections. The quarantine table decides which content a crash
//! counts against and when that content is quarantined. Fronts notify each other of
//! crashes (see [`crate::messages::crash_notice`]), and of quarantined content also through
//! the store.

use crate::messages::crash_notice::CrashNotice;
use crate::ports::{QuarantineRecord, RequestHead};
use crate::servers::server_endpoint::ServerEndpoint;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::http_client::{ConnectError, connect};
use camphorway_daemon::sync::lock;
use camphorway_daemon::task::TaskSpawner;
use camphorway_model::{CanaryMode, FrontRecord, VmName};
use camphorway_policy::{
    ClearReport, ContentHash, ContentVerdict, CrashReport, QuarantineNotice, QuarantineTable,
    RetryTurn,
};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time a process that exits needs to close its port.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(20);
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Quarantined content that may wait for the store; more is dropped.
const MAX_WAITING: usize = 64;
/// Notices that may wait to be sent to other fronts; more are dropped.
const MAX_WAITING_NOTICES: usize = 1_024;
/// The number of contents for which own crashes are remembered.
const MAX_OWN_CONTENTS: usize = 1_024;

/// Records crashes and decides which content may run.
#[derive(Debug)]
pub struct CrashGuard {
    table: Mutex<QuarantineTable>,
    /// The contents of which this front has itself detected a crash.
    own_contents: Mutex<HashSet<ContentHash>>,
    turn: RetryTurn,
    /// The registered fronts, without this one.
    members: Arc<Mutex<Vec<FrontRecord>>>,
    quarantine_sender: Sender<ContentHash>,
    notice_sender: Sender<CrashNotice>,
    clock: DaemonClock,
    spawner: TaskSpawner,
}

/// The hash of a request's content, without its id and deadline.
pub fn content_of(head: &RequestHead, body: &Bytes) -> ContentHash {
    let target = format!("{} {} {}", head.method, head.host, head.uri);
    ContentHash::of(&target, body)
}

/// What a guard tells others.
#[derive(Debug)]
pub struct GuardOutput {
    /// Content to be written to the store as quarantined.
    pub quarantined: Receiver<ContentHash>,
    /// Notices for other fronts.
    pub notices: Receiver<CrashNotice>,
}

impl CrashGuard {
    /// Creates the guard of the front `own`, and the channels of what it tells others.
    pub fn new(
        own: &VmName,
        members: &Arc<Mutex<Vec<FrontRecord>>>,
        clock: &DaemonClock,
        spawner: &TaskSpawner,
    ) -> (Self, GuardOutput) {
        let (quarantine_sender, quarantined) = async_channel::bounded(MAX_WAITING);
        let (notice_sender, notices) = async_channel::bounded(MAX_WAITING_NOTICES);
        let guard = Self {
            table: Mutex::default(),
            own_contents: Mutex::default(),
            turn: RetryTurn::new(own, clock.now()),
            members: Arc::clone(members),
            quarantine_sender,
            notice_sender,
            clock: clock.clone(),
            spawner: spawner.clone(),
        };
        let output = GuardOutput {
            quarantined,
            notices,
        };
        (guard, output)
    }

    /// The number of suspects and, among them, of quarantined contents that this
    /// front knows from crashes.
    pub fn counts(&self) -> (usize, usize) {
        lock(&self.table).counts(self.clock.now())
    }

    /// How a request with `content` may run. Content whose quarantine has ended is
    /// admitted in this front's turn, once at a time.
    pub fn admit(&self, content: ContentHash) -> ContentVerdict {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let verdict = table.verdict(content, CanaryMode::Suspects, now);
        if verdict != ContentVerdict::SuspectAlone {
            return verdict;
        }
        let members = lock(&self.members);
        let others = members.iter().map(|member| &member.vm);
        let turn = self.turn.delay(content, others, now);
        table.admit(content, CanaryMode::Suspects, turn, now)
    }

    /// Records that another front has quarantined `content`, for an unknown time.
    pub fn record_remote_quarantine(&self, content: ContentHash) {
        let now = self.clock.now();
        lock(&self.table).record_quarantine(content, now);
    }

    /// Records a quarantine that the store holds.
    pub fn record_stored(&self, record: &QuarantineRecord) {
        let ends_in = record.ends_at_ms.saturating_sub(self.clock.unix_ms());
        let notice = QuarantineNotice {
            content: record.content,
            ends_in: Duration::from_millis(ends_in),
            lasts: record.lasts,
        };
        lock(&self.table).record_notice(&notice, self.clock.now());
    }

    /// The quarantines that the store should hold.
    pub fn records_to_store(&self) -> Vec<QuarantineRecord> {
        let notices = lock(&self.table).notices(self.clock.now());
        notices
            .iter()
            .map(|notice| self.record_of(notice))
            .collect()
    }

    fn record_of(&self, notice: &QuarantineNotice) -> QuarantineRecord {
        QuarantineRecord {
            content: notice.content,
            ends_at_ms: self.clock.unix_ms() + notice.ends_in.as_millis() as u64,
            lasts: notice.lasts,
        }
    }

    /// What the store should hold of `content`, if it is quarantined.
    pub fn record_to_store(&self, content: ContentHash) -> Option<QuarantineRecord> {
        let notice = lock(&self.table).notice(content, self.clock.now())?;
        if notice.ends_in.is_zero() {
            return None;
        }
        Some(self.record_of(&notice))
    }

    /// Records that `content` was answered. Needed if it is suspect, or may
    /// become so once the crash of an earlier call is detected.
    pub fn record_success(&self, content: ContentHash) {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let before = table.verdict(content, CanaryMode::Suspects, now);
        table.record_success(content, now);
        drop(table);
        if before != ContentVerdict::Unrestricted {
            self.notify(CrashNotice::Cleared(ClearReport { content, age_ms: 0 }));
        }
    }

    /// After a call with `content` ended so that its server may have crashed, checks
    /// whether the process has exited, and records a crash if so.
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
        match self.clock.timeout(CHECK_TIMEOUT, connecting).await {
            Some(Ok(sender)) => {
                endpoint.put_idle(sender, None);
                false
            }
            Some(Err(ConnectError::Refused(_))) => true,
            Some(Err(ConnectError::Other(..))) | None => false,
        }
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
        self.record_own_content(content);
        if self.record_report(&report) {
            self.notify(CrashNotice::Crashed(report));
        }
    }

    fn record_own_content(&self, content: ContentHash) {
        let mut own_contents = lock(&self.own_contents);
        if own_contents.len() >= MAX_OWN_CONTENTS {
            let table = lock(&self.table);
            own_contents.retain(|content| table.crash_count(*content) > 0);
        }
        own_contents.insert(content);
    }

    /// Records a crash that this front or another one has detected. Returns whether
    /// it is new. A front that has itself detected a crash of content that is now
    /// quarantined writes it to the store.
    pub(crate) fn record_report(&self, report: &CrashReport) -> bool {
        let now = self.clock.now();
        let content = report.content;
        let mut table = lock(&self.table);
        let is_new = table.record_crash(report, now);
        let verdict = table.verdict(content, CanaryMode::Suspects, now);
        let crashes = table.crash_count(content);
        drop(table);
        if !is_new {
            return false;
        }
        let is_quarantined = matches!(verdict, ContentVerdict::Quarantined(_));
        let is_own = lock(&self.own_contents).contains(&content);
        event!(
            Warn,
            "server-crash",
            server = report.server,
            content = content.0,
            alone = report.alone,
            crashes = crashes,
            held = is_quarantined,
            own = is_own
        );
        if is_own && is_quarantined && self.quarantine_sender.try_send(content).is_err() {
            event!(Warn, "held-content-not-told", content = content.0);
        }
        true
    }

    /// Records that content which was suspect was answered at another front. Returns
    /// whether that is new.
    pub(crate) fn record_clear(&self, report: &ClearReport) -> bool {
        let now = self.clock.now();
        lock(&self.table).record_clear(report, now)
    }

    pub(crate) fn notify(&self, notice: CrashNotice) {
        if self.notice_sender.try_send(notice).is_err() {
            event!(Warn, "crash-notice-dropped", waiting = MAX_WAITING_NOTICES);
        }
    }
}

impl CrashGuard {
    /// Applies notices of another front; those that are new are passed on.
    pub fn receive(&self, batch: Vec<CrashNotice>) {
        for notice in batch {
            let is_new = match &notice {
                CrashNotice::Crashed(report) => self.record_report(report),
                CrashNotice::Cleared(report) => self.record_clear(report),
            };
            if is_new {
                self.notify(notice);
            }
        }
    }
}
