//! Content that crashes backend servers.
//!
//! A content hash covers service and body but not the request id, since a
//! caller sends the same content again under a new id. When a server crashes,
//! all content that was running there becomes suspect. Suspects run one at a
//! time with nothing beside them. A suspect that sees a second crash, on
//! another server or alone on the server, is held for a time; one that succeeds
//! is cleared, since the crashes that this guards against repeat.

use camphorway_model::{CanaryMode, ServerName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

const SUSPECT_LIFETIME: Duration = Duration::from_secs(60);
const HELD_LIFETIME: Duration = Duration::from_secs(30);
const MOST_PROVEN: usize = 65_536;
const PROVEN_LIFETIME: Duration = Duration::from_secs(600);
const MOST_SUSPECTS: usize = 4_096;

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

/// How content may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContentVerdict {
    /// Without restriction.
    Unrestricted,
    /// One backend server first, the others once it has answered.
    CanaryFirst,
    /// One backend server first, alone on it, and no second try.
    SuspectAlone,
    /// Not at all, for this long.
    Quarantined(Duration),
}

/// A crash as told to other daemons. Times are relative, since clocks differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Content that was running.
    pub content: ContentHash,
    /// The server that crashed.
    pub server: ServerName,
    /// A number that is the same in each copy of this report.
    pub crash: u64,
    /// Whether nothing else was running there.
    pub alone: bool,
    /// How long ago the crash was, in milliseconds.
    pub age_ms: u64,
}

/// A suspect that succeeded, as told to other daemons: its crashes before that
/// time speak against it no longer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClearReport {
    /// The content.
    pub content: ContentHash,
    /// How long ago it succeeded, in milliseconds.
    pub age_ms: u64,
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
    held_since: Option<Instant>,
}

/// What is known about contents.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    suspects: HashMap<ContentHash, Suspect>,
    proven: HashMap<ContentHash, Instant>,
    /// When contents that were suspect succeeded.
    cleared: HashMap<ContentHash, Instant>,
    proven_order: VecDeque<ContentHash>,
}

impl QuarantineTable {
    /// How `content` may run under a rule's `mode`.
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
            if let Some(since) = suspect.held_since {
                let age = now.saturating_duration_since(since);
                return ContentVerdict::Quarantined(HELD_LIFETIME.saturating_sub(age));
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

    /// Takes the report of a crash; false if it was known.
    pub fn record_crash(&mut self, report: &CrashReport, now: Instant) -> bool {
        self.remove_expired(now);
        let at = now
            .checked_sub(Duration::from_millis(report.age_ms))
            .unwrap_or(now);
        if now.saturating_duration_since(at) >= SUSPECT_LIFETIME {
            return false;
        }
        if !self.suspects.contains_key(&report.content) && self.suspects.len() >= MOST_SUSPECTS {
            return false;
        }
        let cleared = self.cleared.get(&report.content);
        if cleared.is_some_and(|cleared| at <= *cleared) {
            return false;
        }
        // It was answered after the crash and before this report of it.
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
        if suspect.held_since.is_none() && suspect.is_guilty() {
            suspect.held_since = Some(now);
        }
        true
    }

    /// `content` was answered by a backend server.
    pub fn record_success(&mut self, content: ContentHash, now: Instant) {
        if self.suspects.contains_key(&content) {
            self.clear(content, now);
        }
        if self.proven.insert(content, now).is_none() {
            self.proven_order.push_back(content);
        }
        while self.proven_order.len() > MOST_PROVEN {
            if let Some(oldest) = self.proven_order.pop_front() {
                self.proven.remove(&oldest);
            }
        }
    }

    /// Takes another daemon's word that a suspect succeeded; false if it was known.
    pub fn record_clear(&mut self, report: &ClearReport, now: Instant) -> bool {
        let at = now
            .checked_sub(Duration::from_millis(report.age_ms))
            .unwrap_or(now);
        if now.saturating_duration_since(at) >= SUSPECT_LIFETIME {
            return false;
        }
        let is_known = self.cleared.contains_key(&report.content);
        self.clear(report.content, at);
        !is_known
    }

    fn clear(&mut self, content: ContentHash, at: Instant) {
        let cleared = self.cleared.entry(content).or_insert(at);
        *cleared = at.max(*cleared);
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        if suspect.held_since.is_some() {
            return;
        }
        suspect.crashes.retain(|_, crash| crash.at > at);
        if suspect.crashes.is_empty() {
            self.suspects.remove(&content);
        }
    }

    /// All successes of suspects that are still remembered.
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

    /// All crashes that are still remembered, to be told to others.
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

    /// Equal for tables that remember the same crashes.
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

    /// Number of suspects and, among them, of held contents.
    pub fn counts(&self) -> (usize, usize) {
        let held = self
            .suspects
            .values()
            .filter(|suspect| suspect.held_since.is_some());
        (self.suspects.len(), held.count())
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
            let lifetime = if suspect.held_since.is_some() {
                HELD_LIFETIME
            } else {
                SUSPECT_LIFETIME
            };
            let newest = suspect.crashes.values().map(|crash| crash.at).max();
            let since = suspect.held_since.or(newest);
            since.is_some_and(|at| now.saturating_duration_since(at) < lifetime)
        });
    }
}

impl Suspect {
    fn is_guilty(&self) -> bool {
        if self.crashes.len() < 2 {
            return false;
        }
        let servers: BTreeSet<_> = self.crashes.values().map(|crash| &crash.server).collect();
        // Content that ran beside others twice may be innocent, so one crash must be its own.
        let alone = self.crashes.values().filter(|crash| crash.alone).count();
        (servers.len() >= 2 && alone >= 1) || alone >= 2
    }
}
