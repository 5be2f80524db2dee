//! Admission at the entry, before any work is done.
//!
//! Holders report with each reply how long a call of each rank would wait. For
//! each service and rank the entry keeps a limit on requests in flight, raised
//! slowly while the reported wait is short and cut when it is long, as TCP does
//! with its window. So a flood is refused where it costs least, and the queues
//! in front of backend servers stay short enough that a rank's order matters.
//!
//! Within a rank each kind (service and caller) may have its fair part of the
//! limit in flight even when others fill it, so that a kind that floods is
//! refused alone.

use crate::queue::KindHash;
use camphorway_model::{GroupId, PerRank, RequestRank, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const REPORT_LIFETIME: Duration = Duration::from_millis(500);
const REFUSAL_WINDOW: Duration = Duration::from_secs(5);
const LEAST_COUNTED: u32 = 20;
const FIRST_LIMIT: f64 = 16.0;
const LEAST_LIMIT: f64 = 2.0;
const MOST_LIMIT: f64 = 4_096.0;
const CUT_FACTOR: f64 = 0.7;
const LEAST_CUT_GAP: Duration = Duration::from_millis(50);
const SHORTEST_RETRY: Duration = Duration::from_millis(10);
/// The wait allowed to each rank, in times a call takes.
const ALLOWED_WAIT: [f64; 3] = [1.0, 2.0, 4.0];
const SHORTEST_ALLOWED_WAIT: Duration = Duration::from_millis(2);
/// The wait allowed to each rank in any case, as a part of the time limit.
const ALLOWED_PART: [f64; 3] = [0.02, 0.05, 0.1];

/// What the entry does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Send it on, and call [`EntryAdmission::finish`] when it ends.
    Admit,
    /// Refuse it; it may be sent again after this time.
    Refuse {
        /// How long the queues need to shorten.
        retry_after: Duration,
    },
}

/// What the entry is asked to admit.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'request> {
    /// The service asked.
    pub service: &'request ServiceName,
    /// The rank.
    pub rank: RequestRank,
    /// The kind.
    pub kind: KindHash,
    /// Time until the answer is worthless.
    pub time_left: Duration,
    /// The part of the answer's weight that must be in time, 0 to 1.
    pub coverage_target: f64,
}

impl AdmissionRequest<'_> {
    /// The longest wait for a slot that is no sign of congestion.
    fn allowed_wait(&self, service_time: Duration) -> Duration {
        let rank = self.rank as usize;
        let by_service = service_time.mul_f64(ALLOWED_WAIT[rank]);
        let by_limit = self.time_left.mul_f64(ALLOWED_PART[rank]);
        by_service.max(by_limit).max(SHORTEST_ALLOWED_WAIT)
    }
}

/// A holder's report on one group.
#[derive(Clone, Copy, Debug)]
pub struct WaitReport {
    /// The wait of each rank for a slot.
    pub waits: PerRank<Duration>,
    /// The time that a call takes once it has a slot.
    pub service_time: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    refused: u32,
    seen: u32,
}

#[derive(Clone, Debug)]
struct RankLimit {
    limit: f64,
    in_flight: usize,
    kinds: HashMap<KindHash, usize>,
    cut_at: Option<Instant>,
}

impl Default for RankLimit {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            in_flight: 0,
            kinds: HashMap::new(),
            cut_at: None,
        }
    }
}

/// The waits that holders reported, the limits, and the refusals.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    reports: HashMap<GroupId, (WaitReport, Instant)>,
    limits: HashMap<ServiceName, PerRank<RankLimit>>,
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
    pub fn report(&mut self, group: &GroupId, report: WaitReport, now: Instant) {
        if let Some(entry) = self.reports.get_mut(group) {
            *entry = (report, now);
        } else {
            self.reports.insert(group.clone(), (report, now));
        }
    }

    /// The wait a call of `rank` would have in `group`, as far as known.
    ///
    /// A report is believed for a short time only, so that some requests always
    /// go through and refresh it.
    pub fn wait(&self, group: &GroupId, rank: RequestRank, now: Instant) -> Duration {
        let Some((report, at)) = self.reports.get(group) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(*at);
        if age > REPORT_LIFETIME {
            return Duration::ZERO;
        }
        report.waits[rank]
    }

    /// Decides on a request whose shards lie in groups with these weights.
    pub fn decide<'group, Groups>(
        &mut self,
        ask: &AdmissionRequest<'_>,
        groups: Groups,
        now: Instant,
    ) -> AdmissionDecision
    where
        Groups: Iterator<Item = (&'group GroupId, f64)>,
    {
        self.roll_window(now);
        self.window[ask.rank].seen += 1;
        let excess = self.excess_wait(ask, groups, now);
        let yields = self.is_higher_rank_over_bound(ask.rank);
        let limits = self.limits.entry(ask.service.clone()).or_default();
        let limit = &mut limits[ask.rank];
        if excess.is_none() && !yields && limit.has_room(ask.kind) {
            limit.start(ask.kind);
            return AdmissionDecision::Admit;
        }
        self.window[ask.rank].refused += 1;
        AdmissionDecision::Refuse {
            retry_after: excess.unwrap_or_default().max(SHORTEST_RETRY),
        }
    }

    /// An admitted request ended: `late` if its deadline passed without an
    /// answer; `groups` are those it asked.
    pub fn finish<'group, Groups>(
        &mut self,
        ask: &AdmissionRequest<'_>,
        late: bool,
        groups: Groups,
        now: Instant,
    ) where
        Groups: Iterator<Item = &'group GroupId>,
    {
        let mut congested = late;
        for group in groups {
            let Some((report, _)) = self.reports.get(group) else {
                continue;
            };
            congested |= report.waits[ask.rank] > ask.allowed_wait(report.service_time);
        }
        let limits = self.limits.entry(ask.service.clone()).or_default();
        limits[ask.rank].end(ask.kind, congested, now);
    }

    /// The limit on requests in flight and their number.
    pub fn in_flight(&self, service: &ServiceName, rank: RequestRank) -> (f64, usize) {
        let limit = self.limits.get(service).map(|limits| &limits[rank]);
        limit.map_or((FIRST_LIMIT, 0), |limit| (limit.limit, limit.in_flight))
    }

    /// Whether a rank above `rank` is refused beyond its bound, so that `rank`
    /// has to make room.
    pub fn is_higher_rank_over_bound(&self, rank: RequestRank) -> bool {
        RequestRank::ALL
            .into_iter()
            .take_while(|other| *other < rank)
            .any(|other| self.is_over_bound(other))
    }

    /// By how much the wait exceeds the time left, if the groups that would
    /// answer too late carry more weight than the coverage target lets go.
    fn excess_wait<'group, Groups>(
        &self,
        ask: &AdmissionRequest<'_>,
        groups: Groups,
        now: Instant,
    ) -> Option<Duration>
    where
        Groups: Iterator<Item = (&'group GroupId, f64)>,
    {
        let mut total = 0.0;
        let mut late = 0.0;
        let mut longest = Duration::ZERO;
        for (group, weight) in groups {
            total += weight;
            let wait = self.wait(group, ask.rank, now);
            if wait > ask.time_left {
                late += weight;
                longest = longest.max(wait.saturating_sub(ask.time_left));
            }
        }
        (late > total * (1.0 - ask.coverage_target)).then_some(longest)
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

impl RankLimit {
    fn has_room(&self, kind: KindHash) -> bool {
        if (self.in_flight as f64) < self.limit {
            return true;
        }
        let own = self.kinds.get(&kind).copied().unwrap_or_default();
        let others = self.kinds.len() - usize::from(own > 0);
        (own as f64) < self.limit / (others as f64 + 1.0)
    }

    fn start(&mut self, kind: KindHash) {
        self.in_flight += 1;
        *self.kinds.entry(kind).or_default() += 1;
    }

    fn end(&mut self, kind: KindHash, congested: bool, now: Instant) {
        let was_bound = self.in_flight as f64 >= self.limit * 0.5;
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.kinds.get_mut(&kind) {
            *count -= 1;
            if *count == 0 {
                self.kinds.remove(&kind);
            }
        }
        if !congested {
            if was_bound {
                self.limit = (self.limit + 1.0 / self.limit).min(MOST_LIMIT);
            }
            return;
        }
        let since = self.cut_at.map(|at| now.saturating_duration_since(at));
        // All requests in flight tell of the same congestion; one cut answers it.
        if since.is_none_or(|since| since >= LEAST_CUT_GAP) {
            self.cut_at = Some(now);
            self.limit = (self.limit * CUT_FACTOR).max(LEAST_LIMIT);
        }
    }
}
