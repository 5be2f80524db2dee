//! Admission control at the entry, before any work is done.
//!
//! Holders report with each reply how long a call of each rank would wait. For
//! each service and rank the entry limits the requests in flight. The limit is
//! raised slowly while the reported wait is short and cut when it is long, as TCP
//! does with its congestion window. So a flood is refused where that costs least,
//! and the queues in front of backend servers stay short enough for the order of
//! ranks to matter.
//!
//! Within a rank each kind (service and caller) may have its fair share of the
//! limit in flight even when others fill it, so that only a kind that floods is
//! refused.

use crate::queue::KindHash;
use camphorway_model::{GroupId, PerRank, RequestRank, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const REPORT_LIFETIME: Duration = Duration::from_millis(500);
const REFUSAL_WINDOW: Duration = Duration::from_secs(5);
const MIN_COUNTED_REQUESTS: u32 = 20;
const INITIAL_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 4_096.0;
const CUT_FACTOR: f64 = 0.7;
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(50);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// The allowed wait of each rank as a multiple of the time that a call takes.
const ALLOWED_WAIT_FACTOR: [f64; 3] = [1.0, 2.0, 4.0];
const MIN_ALLOWED_WAIT: Duration = Duration::from_millis(2);
/// The wait allowed to each rank in any case, as a fraction of the time left.
const ALLOWED_WAIT_FRACTION: [f64; 3] = [0.02, 0.05, 0.1];

/// The decision of the entry about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Forward it, and call [`EntryAdmission::finish`] when it ends.
    Admit,
    /// Refuse it; it may be retried after this time.
    Refuse {
        /// The time that the queues need to shorten.
        retry_after: Duration,
    },
}

/// The properties of a request that decide about its admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'request> {
    /// The requested service.
    pub service: &'request ServiceName,
    /// The rank.
    pub rank: RequestRank,
    /// The kind.
    pub kind: KindHash,
    /// The time until the answer is useless.
    pub time_left: Duration,
    /// The fraction of the answer's weight that must be in time, 0 to 1.
    pub coverage_target: f64,
}

impl AdmissionRequest<'_> {
    /// The longest wait for a slot that doesn't indicate congestion.
    fn allowed_wait(&self, service_time: Duration) -> Duration {
        let rank = self.rank as usize;
        let by_service = service_time.mul_f64(ALLOWED_WAIT_FACTOR[rank]);
        let by_time_left = self.time_left.mul_f64(ALLOWED_WAIT_FRACTION[rank]);
        by_service.max(by_time_left).max(MIN_ALLOWED_WAIT)
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
    total: u32,
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
            limit: INITIAL_LIMIT,
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
    /// Sets the maximum fraction of each rank's requests that should be refused.
    pub fn set_max_refused(&mut self, max_refused: PerRank<f64>) {
        self.max_refused = max_refused;
    }

    /// Records a holder's report.
    pub fn report(&mut self, group: &GroupId, report: WaitReport, now: Instant) {
        if let Some(entry) = self.reports.get_mut(group) {
            *entry = (report, now);
        } else {
            self.reports.insert(group.clone(), (report, now));
        }
    }

    /// The expected wait of a call of `rank` in `group`, zero if unknown.
    ///
    /// A report is used for a short time only, so that some requests always get
    /// through and refresh it.
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

    /// Decides on a request whose shards are in these groups, each with its
    /// weight.
    pub fn decide<'group, Groups>(
        &mut self,
        request: &AdmissionRequest<'_>,
        groups: Groups,
        now: Instant,
    ) -> AdmissionDecision
    where
        Groups: Iterator<Item = (&'group GroupId, f64)>,
    {
        self.roll_window(now);
        self.window[request.rank].total += 1;
        let excess = self.excess_wait(request, groups, now);
        let must_yield = self.is_higher_rank_over_bound(request.rank);
        let limits = self.limits.entry(request.service.clone()).or_default();
        let limit = &mut limits[request.rank];
        if excess.is_none() && !must_yield && limit.has_capacity(request.kind) {
            limit.start(request.kind);
            return AdmissionDecision::Admit;
        }
        self.window[request.rank].refused += 1;
        AdmissionDecision::Refuse {
            retry_after: excess.unwrap_or_default().max(MIN_RETRY_AFTER),
        }
    }

    /// Records that an admitted request ended: `late` if its deadline passed
    /// without an answer; `groups` are those that it queried.
    pub fn finish<'group, Groups>(
        &mut self,
        request: &AdmissionRequest<'_>,
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
            congested |= report.waits[request.rank] > request.allowed_wait(report.service_time);
        }
        let limits = self.limits.entry(request.service.clone()).or_default();
        limits[request.rank].end(request.kind, congested, now);
    }

    /// The limit on requests in flight and their current number.
    pub fn in_flight(&self, service: &ServiceName, rank: RequestRank) -> (f64, usize) {
        let limit = self.limits.get(service).map(|limits| &limits[rank]);
        limit.map_or((INITIAL_LIMIT, 0), |limit| (limit.limit, limit.in_flight))
    }

    /// Whether a rank above `rank` is refused beyond its bound, so that `rank`
    /// must yield.
    pub fn is_higher_rank_over_bound(&self, rank: RequestRank) -> bool {
        RequestRank::ALL
            .into_iter()
            .take_while(|other| *other < rank)
            .any(|other| self.is_over_bound(other))
    }

    /// The time by which the wait exceeds the time left, if the groups that would
    /// answer too late have more weight than the coverage target allows.
    fn excess_wait<'group, Groups>(
        &self,
        request: &AdmissionRequest<'_>,
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
            let wait = self.wait(group, request.rank, now);
            if wait > request.time_left {
                late += weight;
                longest = longest.max(wait.saturating_sub(request.time_left));
            }
        }
        (late > total * (1.0 - request.coverage_target)).then_some(longest)
    }

    fn is_over_bound(&self, rank: RequestRank) -> bool {
        let count = self.last_window[rank];
        let bound = self.max_refused[rank];
        bound < 1.0
            && count.total >= MIN_COUNTED_REQUESTS
            && f64::from(count.refused) > bound * f64::from(count.total)
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
    fn has_capacity(&self, kind: KindHash) -> bool {
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
        let was_utilized = self.in_flight as f64 >= self.limit * 0.5;
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.kinds.get_mut(&kind) {
            *count -= 1;
            if *count == 0 {
                self.kinds.remove(&kind);
            }
        }
        if !congested {
            if was_utilized {
                self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
            }
            return;
        }
        let since = self.cut_at.map(|at| now.saturating_duration_since(at));
        // All requests in flight indicate the same congestion, so only one cut
        // follows.
        if since.is_none_or(|since| since >= MIN_CUT_INTERVAL) {
            self.cut_at = Some(now);
            self.limit = (self.limit * CUT_FACTOR).max(MIN_LIMIT);
        }
    }
}
