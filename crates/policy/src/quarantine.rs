//! Quarantine of content that crashes backend servers.
//!
//! A content hash covers service and body but not the request id, since a caller
//! resends the same content under a new id. When a server crashes, all content
//! that was running there becomes suspect. A suspect runs alone on its server. It
//! is quarantined for a time after two crashes if it ran alone at both, or if the
//! servers differ and it ran alone at one. After that time it is suspect again, and
//! one more crash quarantines it for twice as long. A suspect that succeeds is
//! cleared, since the crashes that this guards against occur whenever the content
//! runs.
//!
//! A quarantine begins with the crash that causes it, so that it ends at the same time
//! at all daemons, whenever they receive the report. A daemon that starts later takes
//! it over with its end.

use camphorway_model::{CanaryMode, ServerName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

const SUSPECT_LIFETIME: Duration = Duration::from_secs(60);
const MIN_QUARANTINE_TIME: Duration = Duration::from_secs(30);
const MAX_QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// All daemons know a quarantine this long after it began: a later crash shows that the
/// content was tried again.
const SPREAD_TIME: Duration = Duration::from_secs(5);
/// A daemon tries content whose quarantine has ended once in this time.
const TRIAL_TIME: Duration = Duration::from_secs(3);
/// Content that was quarantined stays suspect this long after it is admitted again.
const RELAPSE_LIFETIME: Duration = Duration::from_secs(600);
const MAX_PROVEN: usize = 65_536;
const PROVEN_LIFETIME: Duration = Duration::from_secs(600);
const MAX_SUSPECTS: usize = 4_096;

/// Identifies a request's content: service and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// The hash of a service's name and a body.
    pub fn of(service: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(service.as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        Self(hasher.digest())
    }
}

/// The conditions under which content may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentVerdict {
    /// Without restrictions.
    Unrestricted,
    /// On one backend server first, on the others once it has answered.
    CanaryFirst,
    /// On one backend server first, alone on it, without a retry.
    SuspectAlone,
    /// Not at all until this time has passed.
    Quarantined(Duration),
}

/// A crash, as reported to other daemons. Times are relative, since clocks
/// differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The content that was running.
    pub content: ContentHash,
    /// The server that crashed.
    pub server: ServerName,
    /// A number that is the same in each copy of the report.
    pub crash: u64,
    /// Whether nothing else was running on the server.
    pub alone: bool,
    /// The time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// The success of a suspect, as reported to other daemons: crashes before that
/// time no longer count against it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClearReport {
    /// The content.
    pub content: ContentHash,
    /// The time since it succeeded, in milliseconds.
    pub age_ms: u64,
}

/// A quarantine, as reported to other daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineNotice {
    /// The content.
    pub content: ContentHash,
    /// The time until it ends.
    pub ends_in: Duration,
    /// The time that it lasts; the next one lasts twice as long.
    pub lasts: Duration,
}

#[derive(Clone, Debug)]
struct Crash {
    server: ServerName,
    alone: bool,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeMap<u64, Crash>,
    quarantine: Option<Quarantine>,
    /// The last time at which it was tried after a quarantine.
    tried_at: Option<Instant>,
}

/// The latest quarantine of a content.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: Instant,
    lasts: Duration,
}

impl Quarantine {
    fn starting(began: Instant, lasts: Duration) -> Self {
        Self {
            until: began + lasts,
            lasts,
        }
    }

    /// The quarantine after a crash at `at`: a longer one if the content was tried again.
    fn after_crash(self, at: Instant) -> Self {
        if at + self.lasts < self.until + SPREAD_TIME {
            return self;
        }
        Self::starting(at, (self.lasts * 2).min(MAX_QUARANTINE_TIME))
    }
}

/// Contents that are suspect, quarantined, or proven by an answer.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    suspects: HashMap<ContentHash, Suspect>,
    proven: HashMap<ContentHash, Instant>,
    /// The times at which suspects succeeded.
    cleared: HashMap<ContentHash, Instant>,
    proven_order: VecDeque<ContentHash>,
}

impl QuarantineTable {
    /// The conditions under which `content` may run, given a rule's `mode`.
    pub fn verdict(
        &mut self,
        content: ContentHash,
        mode: CanaryMode,
        now: Instant,
    ) -> ContentVerdict {
        self.remove_expired(now);
        if let Some(suspect) = self.suspects.get(&content)
            && mode != CanaryMode::Never
        {
            if let Some(until) = suspect.quarantined_until(now) {
                return ContentVerdict::Quarantined(until.saturating_duration_since(now));
            }
            return ContentVerdict::SuspectAlone;
        }
        match mode {
            CanaryMode::Always if !self.is_proven(content, now) => ContentVerdict::CanaryFirst,
            CanaryMode::Always | CanaryMode::Suspects | CanaryMode::Never => {
                ContentVerdict::Unrestricted
            }
        }
    }

    /// Records a crash. Returns false if it is already recorded, too old or
    /// followed by a success, or if the table is full.
    pub fn record_crash(&mut self, report: &CrashReport, now: Instant) -> bool {
        self.remove_expired(now);
        let at = now
            .checked_sub(Duration::from_millis(report.age_ms))
            .unwrap_or(now);
        if now.saturating_duration_since(at) >= SUSPECT_LIFETIME {
            return false;
        }
        if !self.suspects.contains_key(&report.content) && self.suspects.len() >= MAX_SUSPECTS {
            return false;
        }
        let cleared = self.cleared.get(&report.content);
        if cleared.is_some_and(|cleared| at <= *cleared) {
            return false;
        }
        // The content succeeded between the crash and its report.
        let proven = self.proven.get(&report.content);
        if let Some(proven) = proven.copied()
            && at <= proven
        {
            self.clear(report.content, proven);
            return false;
        }
        self.proven.remove(&report.content);
        let suspect = self.suspects.entry(report.content).or_default();
        let crash = Crash {
            server: report.server.clone(),
            alone: report.alone,
            at,
        };
        if suspect.crashes.insert(report.crash, crash).is_some() {
            return false;
        }
        suspect.quarantine = match suspect.quarantine {
            Some(latest) => Some(latest.after_crash(at)),
            None if suspect.is_crash_cause() => {
                let newest = suspect.crashes.values().map(|crash| crash.at).max();
                let began = newest.unwrap_or(at);
                Some(Quarantine::starting(began, MIN_QUARANTINE_TIME))
            }
            None => None,
        };
        true
    }

    /// Records that another daemon has quarantined `content`, unless this one knows
    /// more of it already.
    pub fn record_quarantine(&mut self, content: ContentHash, now: Instant) {
        self.remove_expired(now);
        if self.cleared.contains_key(&content) || self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let suspect = self.suspects.entry(content).or_default();
        let quarantine = Quarantine::starting(now, MIN_QUARANTINE_TIME);
        suspect.quarantine.get_or_insert(quarantine);
    }

    /// Records a quarantine that another daemon, or this one before its restart, has
    /// told, unless this one knows of a longer one.
    pub fn record_notice(&mut self, notice: &QuarantineNotice, now: Instant) {
        self.remove_expired(now);
        let is_full = self.suspects.len() >= MAX_SUSPECTS;
        if self.cleared.contains_key(&notice.content) || is_full {
            return;
        }
        let lasts = notice.lasts.clamp(MIN_QUARANTINE_TIME, MAX_QUARANTINE_TIME);
        let suspect = self.suspects.entry(notice.content).or_default();
        if suspect.quarantine.is_none_or(|own| own.lasts < lasts) {
            let until = now + notice.ends_in.min(lasts);
            suspect.quarantine = Some(Quarantine { until, lasts });
        }
    }

    /// The latest quarantine of `content`, to be told to other daemons.
    pub fn notice(&self, content: ContentHash, now: Instant) -> Option<QuarantineNotice> {
        let latest = self.suspects.get(&content)?.quarantine?;
        Some(QuarantineNotice {
            content,
            ends_in: latest.until.saturating_duration_since(now),
            lasts: latest.lasts,
        })
    }

    /// The quarantines that have not ended.
    pub fn notices(&self, now: Instant) -> Vec<QuarantineNotice> {
        let contents = self.suspects.keys();
        let notices = contents.filter_map(|content| self.notice(*content, now));
        notices.filter(|notice| !notice.ends_in.is_zero()).collect()
    }

    /// Like [`Self::verdict`], for one request that runs if it is allowed. Content whose
    /// quarantine has ended is tried `turn` later, by one request at a time.
    pub fn admit(
        &mut self,
        content: ContentHash,
        mode: CanaryMode,
        turn: Duration,
        now: Instant,
    ) -> ContentVerdict {
        let verdict = self.verdict(content, mode, now);
        let suspect = self.suspects.get_mut(&content);
        let Some(suspect) = suspect.filter(|_| verdict == ContentVerdict::SuspectAlone) else {
            return verdict;
        };
        let Some(latest) = suspect.quarantine else {
            return verdict;
        };
        let after_trial = suspect.tried_at.map(|at| at + TRIAL_TIME);
        let due = after_trial
            .into_iter()
            .fold(latest.until + turn, Instant::max);
        if now < due {
            return ContentVerdict::Quarantined(due.saturating_duration_since(now));
        }
        suspect.tried_at = Some(now);
        verdict
    }

    /// Records that a backend server answered `content`.
    pub fn record_success(&mut self, content: ContentHash, now: Instant) {
        if self.suspects.contains_key(&content) {
            self.clear(content, now);
        }
        if self.proven.insert(content, now).is_none() {
            self.proven_order.push_back(content);
        }
        while self.proven_order.len() > MAX_PROVEN {
            if let Some(oldest) = self.proven_order.pop_front() {
                self.proven.remove(&oldest);
            }
        }
    }

    /// Records another daemon's report that a suspect succeeded. Returns false if
    /// that was already recorded or is too old.
    pub fn record_clear(&mut self, report: &ClearReport, now: Instant) -> bool {
        let at = now
            .checked_sub(Duration::from_millis(report.age_ms))
            .unwrap_or(now);
        if now.saturating_duration_since(at) >= SUSPECT_LIFETIME {
            return false;
        }
        let was_cleared = self.cleared.contains_key(&report.content);
        self.clear(report.content, at);
        !was_cleared
    }

    fn clear(&mut self, content: ContentHash, at: Instant) {
        let cleared = self.cleared.entry(content).or_insert(at);
        *cleared = at.max(*cleared);
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        suspect.crashes.retain(|_, crash| crash.at > at);
        if suspect.crashes.is_empty() {
            self.suspects.remove(&content);
        }
    }

    /// All retained successes of suspects.
    pub fn clear_reports(&self, now: Instant) -> Vec<ClearReport> {
        let mut reports: Vec<ClearReport> = self
            .cleared
            .iter()
            .map(|(content, at)| ClearReport {
                content: *content,
                age_ms: now.saturating_duration_since(*at).as_millis() as u64,
            })
            .collect();
        reports.sort_by_key(|report| report.content);
        reports
    }

    /// All retained crashes, to be sent to other daemons.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (content, suspect) in &self.suspects {
            for (id, crash) in &suspect.crashes {
                reports.push(CrashReport {
                    content: *content,
                    server: crash.server.clone(),
                    crash: *id,
                    alone: crash.alone,
                    age_ms: now.saturating_duration_since(crash.at).as_millis() as u64,
                });
            }
        }
        reports.sort_by_key(|report| (report.content, report.crash));
        reports
    }

    /// A hash that is equal for tables with the same crashes and successes.
    pub fn digest(&self) -> u64 {
        let sum =
            |digest: u64, id: &u64| digest.wrapping_add(id.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let crashes = self
            .suspects
            .values()
            .flat_map(|suspect| suspect.crashes.keys());
        let cleared = self.cleared.keys().map(|content| &content.0);
        crashes.chain(cleared).fold(0, sum)
    }

    /// The number of retained crashes of `content`.
    pub fn crash_count(&self, content: ContentHash) -> usize {
        let suspect = self.suspects.get(&content);
        suspect.map_or(0, |suspect| suspect.crashes.len())
    }

    /// The number of suspects and, among them, of quarantined contents.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let quarantined = self
            .suspects
            .values()
            .filter(|suspect| suspect.quarantined_until(now).is_some());
        (self.suspects.len(), quarantined.count())
    }

    fn is_proven(&self, content: ContentHash, now: Instant) -> bool {
        self.proven
            .get(&content)
            .is_some_and(|at| now.saturating_duration_since(*at) < PROVEN_LIFETIME)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SUSPECT_LIFETIME;
        self.cleared.retain(|_, at| is_recent(at));
        self.suspects.retain(|_, suspect| {
            let Some(latest) = suspect.quarantine else {
                let newest = suspect.crashes.values().map(|crash| crash.at).max();
                return newest.is_some_and(|at| is_recent(&at));
            };
            // Other daemons no longer take reports of older crashes.
            suspect.crashes.retain(|_, crash| is_recent(&crash.at));
            now < latest.until + RELAPSE_LIFETIME
        });
    }
}

impl Suspect {
    /// The end of the quarantine in force.
    fn quarantined_until(&self, now: Instant) -> Option<Instant> {
        self.quarantine
            .map(|latest| latest.until)
            .filter(|until| now < *until)
    }

    fn is_crash_cause(&self) -> bool {
        if self.crashes.len() < 2 {
            return false;
        }
        let servers: BTreeSet<_> = self.crashes.values().map(|crash| &crash.server).collect();
        // Content that ran beside others at both crashes may be harmless, so one
        // crash must have happened while it ran alone.
        let alone = self.crashes.values().filter(|crash| crash.alone).count();
        (servers.len() >= 2 && alone >= 1) || alone >= 2
    }
}
