//! Refusal at the entry, before any work is done, of what could only come late.
//!
//! Holders report with each reply how long a call of each rank would wait. A
//! report is believed for a short time only, so that some requests always go
//! through and refresh it.

use camphorway_model::{GroupId, PerRank, RequestRank};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const REPORT_LIFETIME: Duration = Duration::from_millis(500);
const REFUSAL_WINDOW: Duration = Duration::from_secs(5);
const LEAST_COUNTED: u32 = 20;

/// What the entry does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Send it on.
    Admit,
    /// Refuse it; it may be sent again after this time.
    Refuse {
        /// How long the queues need to shorten.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct WaitReport {
    waits: PerRank<Duration>,
    at: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    refused: u32,
    seen: u32,
}

/// The waits that holders reported, and the refusals they led to.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    reports: HashMap<GroupId, WaitReport>,
    window: PerRank<RefusalCount>,
    last_window: PerRank<RefusalCount>,
    window_start: Option<Instant>,
    max_refused: PerRank<f64>,
}

impl EntryAdmission {
    /// Sets the highest part of each rank's requests that should be refused.
    pub fn set_max_refused(&mut self, max_refused: PerRank<f64>) {
        self.max_refused = max_refused;
    }

    /// Takes a holder's report.
    pub fn report(&mut self, group: &GroupId, waits: PerRank<Duration>, now: Instant) {
        let report = WaitReport { waits, at: now };
        if let Some(entry) = self.reports.get_mut(group) {
            *entry = report;
        } else {
            self.reports.insert(group.clone(), report);
        }
    }

    /// The wait a call of `rank` would have in `group`, as far as known.
    pub fn wait(&self, group: &GroupId, rank: RequestRank, now: Instant) -> Duration {
        let Some(report) = self.reports.get(group) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(report.at);
        if age > REPORT_LIFETIME {
            return Duration::ZERO;
        }
        // Queues drain while nothing is heard of them.
        report.waits[rank].saturating_sub(age)
    }

    /// Decides on a request whose shards lie in groups with these weights.
    ///
    /// It is refused when the groups that would answer too late carry more
    /// weight than the coverage target lets go, or when a more urgent rank is
    /// refused beyond its bound and needs the room.
    pub fn decide<'group, Groups>(
        &mut self,
        rank: RequestRank,
        time_left: Duration,
        coverage_target: f64,
        groups: Groups,
        now: Instant,
    ) -> AdmissionDecision
    where
        Groups: Iterator<Item = (&'group GroupId, f64)>,
    {
        self.roll_window(now);
        let mut total = 0.0;
        let mut late = 0.0;
        let mut longest = Duration::ZERO;
        for (group, weight) in groups {
            total += weight;
            let wait = self.wait(group, rank, now);
            if wait > time_left {
                late += weight;
                longest = longest.max(wait.saturating_sub(time_left));
            }
        }
        let too_late = late > total * (1.0 - coverage_target);
        let yields = self.urgent_needs_help(rank);
        self.window[rank].seen += 1;
        if !too_late && !yields {
            return AdmissionDecision::Admit;
        }
        self.window[rank].refused += 1;
        let retry_after = longest.max(Duration::from_millis(10));
        AdmissionDecision::Refuse { retry_after }
    }

    /// Whether a rank above `rank` is refused beyond its bound.
    pub fn urgent_needs_help(&self, rank: RequestRank) -> bool {
        RequestRank::ALL
            .into_iter()
            .take_while(|other| *other < rank)
            .any(|other| self.is_over_bound(other))
    }

    fn is_over_bound(&self, rank: RequestRank) -> bool {
        let count = self.last_window[rank];
        let bound = self.max_refused[rank];
        bound < 1.0
            && count.seen >= LEAST_COUNTED
            && f64::from(count.refused) > bound * f64::from(count.seen)
    }

    fn roll_window(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(start) >= REFUSAL_WINDOW {
            self.window_start = Some(now);
            self.last_window = std::mem::take(&mut self.window);
        }
    }
}
