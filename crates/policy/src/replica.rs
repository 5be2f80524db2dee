//! The state of one backend server as observed by one daemon, and the resulting
//! cost of choosing it.
//!
//! All state comes from calls. A late call marks the server as stalled (see
//! [`crate::stall`]), so that other requests avoid it at once; a server that
//! can't be reached is closed for a time that doubles. The limit on concurrent
//! calls increases additively with answers and decreases multiplicatively with
//! signs of overload, as a congestion window does.

use crate::failure_rate::FailureRate;
use crate::stall::{ServerStall, StallChange};
use std::time::{Duration, Instant};

/// Weight of the newest sample in the mean time of a call.
const MEAN_SMOOTHING: f64 = 0.2;
/// Cost of a failure: a failed part may cost its query the answer.
const FAILURE_COST_MS: f64 = 400.0;
/// Cost of a stalled server.
const STALL_COST_MS: f64 = 250.0;
/// Cost of a closed server, which is a last resort.
const CLOSED_COST_MS: f64 = 5_000.0;
const MIN_CLOSED_TIME: Duration = Duration::from_millis(500);
const MAX_CLOSED_TIME: Duration = Duration::from_secs(4);
/// Cost of a call to another region beside its time: traffic between regions is
/// expensive.
const CROSS_REGION_COST_MS: f64 = 8.0;
/// Weight of the newest sample in the usual time of a call.
const USUAL_SMOOTHING: f64 = 0.05;
/// Number of calls to other servers of the service after which the time measured here
/// loses half of its weight: a server that is never called would stay slow for ever.
const HALVING_CALLS: f64 = 24.0;
/// The same for a server whose last calls were late one after the other.
const SLOW_HALVING_CALLS: f64 = 48.0;

/// The factor by which the limit on concurrent calls decreases at a sign of
/// overload.
const LIMIT_DECREASE_FACTOR: f64 = 0.6;
const MAX_LIMIT: f64 = 64.0;

/// The distance of a backend server.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ServerDistance {
    /// In the daemon's failure domain.
    #[display("near")]
    Near,
    /// In another failure domain of the region.
    #[display("region")]
    Region,
    /// In another region.
    #[display("far")]
    Far,
}

impl ServerDistance {
    /// The assumed time of a call until one was measured.
    fn initial_estimate_ms(self) -> f64 {
        match self {
            Self::Near => 10.0,
            Self::Region => 12.0,
            Self::Far => 50.0,
        }
    }

    fn fixed_cost_ms(self) -> f64 {
        match self {
            Self::Near => 0.0,
            Self::Region => 1.0,
            Self::Far => CROSS_REGION_COST_MS,
        }
    }
}

/// The result of a call with regard to its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaOutcome {
    /// A valid answer.
    Answered,
    /// A valid answer, later than usual.
    AnsweredLate,
    /// The server reported that it did not run the call.
    Rejected,
    /// The call ran and failed, or its answer was wrong.
    Failed,
    /// The connection was lost; a server with too many connections resets new ones.
    Reset,
    /// No answer within the timeout.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// Abandoned for reasons unrelated to the server.
    Abandoned,
}

/// What is known of a call to a server beside the calls that it has had.
#[derive(Clone, Copy, Debug)]
pub struct CallExpectation {
    /// The factor by which a call is expected to take longer than calls show.
    pub time_factor: f64,
    /// The time that servers like this one usually take, in milliseconds, if known.
    pub peers_ms: Option<f64>,
}

/// Statistics of the calls to one backend server.
#[derive(Clone, Debug)]
pub struct ReplicaStats {
    distance: ServerDistance,
    slots: u32,
    outstanding: u32,
    /// The limit on concurrent calls: raised by answers, lowered by signs of
    /// overload.
    limit: f64,
    mean_ms: Option<f64>,
    failure_rate: FailureRate,
    /// The long-term mean of answers on time.
    usual_ms: Option<f64>,
    stall: ServerStall,
    closed_until: Option<Instant>,
    closed_time: Duration,
    /// Whether a probe call to a closed server is running.
    is_probing: bool,
    /// Whether the server has refused calls since its last answer.
    is_refusing: bool,
    /// Whether the server has recovered, until that is asked for.
    has_recovered: bool,
    /// Calls that others got since the last one here, as they cost less.
    passed_over: u32,
}

impl ReplicaStats {
    /// Statistics without any call.
    pub fn new(distance: ServerDistance, slots: u32, now: Instant) -> Self {
        Self {
            distance,
            slots: slots.max(1),
            outstanding: 0,
            limit: f64::from(slots.max(1)),
            mean_ms: None,
            failure_rate: FailureRate::new(now),
            usual_ms: None,
            stall: ServerStall::default(),
            closed_until: None,
            closed_time: Duration::ZERO,
            is_probing: false,
            is_refusing: false,
            has_recovered: false,
            passed_over: 0,
        }
    }

    /// The number of running calls.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Whether one more call may be sent.
    pub fn has_capacity(&self) -> bool {
        f64::from(self.outstanding) < self.limit.floor()
    }

    /// The distance of the server.
    pub fn distance(&self) -> ServerDistance {
        self.distance
    }

    /// Whether calls are expected to be answered.
    pub fn is_healthy(&self, now: Instant) -> bool {
        !self.stall.is_stalled(now) && !self.is_closed(now)
    }

    /// The usual time of a call, if there were answers on time.
    pub fn usual_time(&self) -> Option<Duration> {
        self.usual_ms
            .map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Whether the server has answered on time after it was slow, refused calls or was
    /// closed, since this was last asked.
    pub fn take_recovery(&mut self) -> bool {
        std::mem::take(&mut self.has_recovered)
    }

    /// The expected time of a call to an idle server, in milliseconds. `peers_ms` is
    /// what servers like this one usually take, if known.
    fn expected_ms(&self, peers_ms: Option<f64>) -> f64 {
        let Some(mean) = self.mean_ms else {
            let own = self.usual_ms.or(peers_ms);
            return own.unwrap_or_else(|| self.distance.initial_estimate_ms());
        };
        let own = self.usual_ms.unwrap_or(mean);
        let usual = peers_ms.map_or(own, |peers| peers.min(own));
        if mean <= usual {
            return mean;
        }
        usual + (mean - usual) * self.mean_weight()
    }

    /// What the time measured here counts, 0 to 1, if it is longer than usual.
    fn mean_weight(&self) -> f64 {
        let halving_calls = if self.stall.is_slow() {
            SLOW_HALVING_CALLS
        } else {
            HALVING_CALLS
        };
        0.5_f64.powf(f64::from(self.passed_over) / halving_calls)
    }

    /// The cost of one more call, in milliseconds.
    pub fn cost(&self, now: Instant) -> f64 {
        let usual = CallExpectation {
            time_factor: 1.0,
            peers_ms: None,
        };
        self.expected_cost(&usual, now)
    }

    /// The cost of one more call, in milliseconds, given what is expected of it.
    pub fn expected_cost(&self, expectation: &CallExpectation, now: Instant) -> f64 {
        let load_factor = 1.0 + f64::from(self.outstanding) / f64::from(self.slots);
        let failure_cost = FAILURE_COST_MS * self.failure_rate.value(now);
        let expected = self.expected_ms(expectation.peers_ms);
        let time = expected * load_factor * expectation.time_factor;
        let mut cost = time + failure_cost + self.distance.fixed_cost_ms();
        if self.stall.is_stalled(now) {
            cost += STALL_COST_MS;
        }
        if self.is_closed(now) {
            cost += CLOSED_COST_MS;
        }
        cost
    }

    /// Records that a call was sent to another server, which costs less.
    pub fn record_passed_over(&mut self) {
        self.passed_over = self.passed_over.saturating_add(1);
    }

    /// Records that a call was sent.
    pub fn record_start(&mut self, now: Instant) {
        self.passed_over = 0;
        self.outstanding += 1;
        // The first call after a closed time is a probe: until it ends, no other
        // call follows.
        if self.closed_until.is_some_and(|until| now >= until) {
            self.closed_until = Some(now + self.closed_time);
            self.is_probing = true;
        }
        self.stall.record_call(now);
    }

    /// Records that a call takes longer than usual. Returns whether this starts a
    /// stall.
    pub fn record_stall(&mut self, now: Instant) -> bool {
        let was_slow = self.stall.is_slow();
        let is_new = self.stall.record_stall(now);
        self.check_relapse(was_slow);
        is_new
    }

    /// A server that has become slow again keeps the time that was measured.
    fn check_relapse(&mut self, was_slow: bool) {
        if self.stall.is_slow() && !was_slow {
            self.passed_over = 0;
        }
    }

    /// Applies a change that another front observed.
    pub fn apply_change(&mut self, change: StallChange, now: Instant) {
        match change {
            StallChange::AnswerLost => {
                self.failure_rate.record_failure(now);
                return;
            }
            StallChange::OnTime => self.has_recovered |= self.stall.is_slow(),
            StallChange::Began | StallChange::Ended => {}
        }
        let was_slow = self.stall.is_slow();
        self.stall.apply_change(change, now);
        self.check_relapse(was_slow);
    }

    /// Records that a call ended after `took`. Returns the change to report to
    /// other fronts, if any.
    pub fn record_end(
        &mut self,
        outcome: ReplicaOutcome,
        took: Duration,
        now: Instant,
    ) -> Option<StallChange> {
        self.outstanding = self.outstanding.saturating_sub(1);
        match outcome {
            ReplicaOutcome::Answered => {
                self.record_recovery();
                self.record_answer_time(took, now);
                self.record_usual_time(took);
                return self.stall.record_answer(false);
            }
            ReplicaOutcome::AnsweredLate => {
                self.record_answer_time(took, now);
                return self.stall.record_answer(true);
            }
            // The server sheds load from all callers, so other fronts are
            // notified rather than each losing a call.
            ReplicaOutcome::Rejected => {
                self.is_refusing = true;
                self.decrease_limit();
                self.failure_rate.record_failure(now);
                return self.stall.record_stall(now).then_some(StallChange::Began);
            }
            ReplicaOutcome::Reset => {
                self.decrease_limit();
                return self.record_lost_answer(now);
            }
            ReplicaOutcome::Failed => return self.record_lost_answer(now),
            ReplicaOutcome::TimedOut | ReplicaOutcome::Unreachable => {
                self.decrease_limit();
                self.failure_rate.record_failure(now);
                self.close(now);
            }
            ReplicaOutcome::Abandoned => {}
        }
        None
    }

    /// Records that an answer was lost or wrong. Returns the change to report.
    fn record_lost_answer(&mut self, now: Instant) -> Option<StallChange> {
        let is_news = self.failure_rate.record_failure(now);
        is_news.then_some(StallChange::AnswerLost)
    }

    fn record_recovery(&mut self) {
        let was_refusing = std::mem::take(&mut self.is_refusing);
        let was_closed = self.closed_until.is_some();
        self.has_recovered |= was_refusing || was_closed || self.stall.is_slow();
    }

    fn record_usual_time(&mut self, took: Duration) {
        let sample = took.as_secs_f64() * 1_000.0;
        let usual = self.usual_ms.unwrap_or(sample);
        self.usual_ms = Some(usual + USUAL_SMOOTHING * (sample - usual));
    }

    fn record_answer_time(&mut self, took: Duration, now: Instant) {
        self.closed_until = None;
        self.closed_time = Duration::ZERO;
        self.is_probing = false;
        let sample = took.as_secs_f64() * 1_000.0;
        let mean = self.mean_ms.unwrap_or(sample);
        self.mean_ms = Some(mean + MEAN_SMOOTHING * (sample - mean));
        self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        self.failure_rate.record_answer(now);
    }

    fn decrease_limit(&mut self) {
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
    }

    fn close(&mut self, now: Instant) {
        // Calls sent before the server was closed give no new information.
        if self.is_closed(now) && !std::mem::take(&mut self.is_probing) {
            return;
        }
        self.closed_time = (self.closed_time * 2).clamp(MIN_CLOSED_TIME, MAX_CLOSED_TIME);
        self.closed_until = Some(now + self.closed_time);
    }

    /// Whether the server is considered unreachable.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }
}
