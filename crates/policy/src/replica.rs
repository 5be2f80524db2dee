//! What one daemon has seen of one backend server, and the cost that follows
//! for choosing it.
//!
//! All knowledge comes from calls. A call that is late marks the server as
//! stalled (see [`crate::stall`]), so that other requests go elsewhere at once; a
//! server that can't be reached is closed for a time that doubles. The number of
//! calls at once rises by addition with answers and falls by a factor with signs of
//! overload, as a congestion window does.

use crate::stall::{ServerStall, StallChange};
use std::time::{Duration, Instant};

/// Weight of the newest sample in the moving averages.
const SMOOTHING: f64 = 0.2;
/// Time in which a failure rate halves without new calls.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the newest sample in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.1;
/// Cost of a failure, in milliseconds: a part that failed may cost its query the
/// answer.
const FAILURE_COST: f64 = 400.0;
/// Cost of a stalled server, in milliseconds.
const STALL_COST: f64 = 250.0;
/// Cost of a closed server, in milliseconds: a last resort.
const CLOSED_COST: f64 = 5_000.0;
const FIRST_CLOSED: Duration = Duration::from_millis(500);
const LONGEST_CLOSED: Duration = Duration::from_secs(4);
/// What a call over a region's border costs beside its time, in milliseconds:
/// bytes there are dear.
const FAR_COST: f64 = 8.0;
/// A server that just started counts as slower by this factor.
const COLD_FACTOR: f64 = 1.6;

/// The limit on calls at once falls by this factor when the server has too many.
const LIMIT_DECREASE: f64 = 0.6;
const HIGHEST_LIMIT: f64 = 64.0;

/// How far a backend server is.
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
    /// Time of a call, in milliseconds, until one was seen.
    fn first_estimate(self) -> f64 {
        match self {
            Self::Near => 10.0,
            Self::Region => 12.0,
            Self::Far => 50.0,
        }
    }

    fn fixed_cost(self) -> f64 {
        match self {
            Self::Near => 0.0,
            Self::Region => 1.0,
            Self::Far => FAR_COST,
        }
    }
}

/// How a call ended, for the server that it went to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaOutcome {
    /// A good answer.
    Answered,
    /// A good answer, later than is usual.
    AnsweredLate,
    /// The server said that it did not run the call.
    Rejected,
    /// It ran and failed, or the answer was wrong.
    Failed,
    /// The connection broke; a server that has too many of them resets new ones.
    Reset,
    /// No answer within the time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// Given up for reasons that have nothing to do with the server.
    Abandoned,
}

/// What calls to one backend server have shown.
#[derive(Clone, Debug)]
pub struct ReplicaStats {
    distance: ServerDistance,
    slots: u32,
    outstanding: u32,
    /// The most calls at once: raised by answers, lowered by signs of overload.
    limit: f64,
    mean_ms: Option<f64>,
    failure: f64,
    failure_at: Instant,
    stall: ServerStall,
    closed_until: Option<Instant>,
    closed_for: Duration,
    /// Whether a call that tries a closed server again is running.
    is_probing: bool,
    cold_until: Instant,
}

impl ReplicaStats {
    /// Nothing was seen yet.
    pub fn new(distance: ServerDistance, slots: u32, warmup_left: Duration, now: Instant) -> Self {
        Self {
            distance,
            slots: slots.max(1),
            outstanding: 0,
            limit: f64::from(slots.max(1)),
            mean_ms: None,
            failure: 0.0,
            failure_at: now,
            stall: ServerStall::default(),
            closed_until: None,
            closed_for: Duration::ZERO,
            is_probing: false,
            cold_until: now + warmup_left,
        }
    }

    /// Calls running now.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Whether one more call may be sent.
    pub fn has_capacity(&self) -> bool {
        f64::from(self.outstanding) < self.limit.floor()
    }

    /// How far the server is.
    pub fn distance(&self) -> ServerDistance {
        self.distance
    }

    /// Whether calls are expected to be answered.
    pub fn is_healthy(&self, now: Instant) -> bool {
        !self.stall.is_stalled(now) && !self.is_closed(now)
    }

    /// The cost of one more call, in milliseconds.
    pub fn cost(&self, now: Instant) -> f64 {
        let mean = self
            .mean_ms
            .unwrap_or_else(|| self.distance.first_estimate());
        let crowding = 1.0 + f64::from(self.outstanding) / f64::from(self.slots);
        let failing = FAILURE_COST * self.failure_rate(now);
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let mut cost = mean * crowding * cold + failing + self.distance.fixed_cost();
        if self.stall.is_stalled(now) {
            cost += STALL_COST;
        }
        if self.is_closed(now) {
            cost += CLOSED_COST;
        }
        cost
    }

    /// A call was sent.
    pub fn record_start(&mut self, now: Instant) {
        self.outstanding += 1;
        // The call that follows a closed time is a probe: until it ends, no
        // other follows.
        if self.closed_until.is_some_and(|until| now >= until) {
            self.closed_until = Some(now + self.closed_for);
            self.is_probing = true;
        }
        self.stall.record_call(now);
    }

    /// A call has taken longer than is usual; whether that is news.
    pub fn record_stall(&mut self, now: Instant) -> bool {
        self.stall.record_stall(now)
    }

    /// Takes what another front has seen of the server.
    pub fn apply_change(&mut self, change: StallChange, now: Instant) {
        self.stall.apply_change(change, now);
    }

    /// A call ended after `took`; what others should hear of that.
    pub fn record_end(
        &mut self,
        outcome: ReplicaOutcome,
        took: Duration,
        now: Instant,
    ) -> Option<StallChange> {
        self.outstanding = self.outstanding.saturating_sub(1);
        match outcome {
            ReplicaOutcome::Answered => {
                self.note_answer(took, now);
                return self.stall.record_answer(false);
            }
            ReplicaOutcome::AnsweredLate => {
                self.note_answer(took, now);
                return self.stall.record_answer(true);
            }
            // It sheds load, from all callers: others need not find out.
            ReplicaOutcome::Rejected => {
                self.lower_limit();
                self.note_failure(1.0, now);
                return self.stall.record_stall(now).then_some(StallChange::Began);
            }
            ReplicaOutcome::Reset => {
                self.lower_limit();
                self.note_failure(1.0, now);
            }
            ReplicaOutcome::Failed => self.note_failure(1.0, now),
            ReplicaOutcome::TimedOut | ReplicaOutcome::Unreachable => {
                self.lower_limit();
                self.note_failure(1.0, now);
                self.close(now);
            }
            ReplicaOutcome::Abandoned => {}
        }
        None
    }

    fn note_answer(&mut self, took: Duration, now: Instant) {
        self.closed_until = None;
        self.closed_for = Duration::ZERO;
        self.is_probing = false;
        let sample = took.as_secs_f64() * 1_000.0;
        let mean = self.mean_ms.unwrap_or(sample);
        self.mean_ms = Some(mean + SMOOTHING * (sample - mean));
        self.limit = (self.limit + 1.0 / self.limit).min(HIGHEST_LIMIT);
        self.note_failure(0.0, now);
    }

    fn lower_limit(&mut self) {
        self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
    }

    fn close(&mut self, now: Instant) {
        // Calls that were sent before the server was closed say nothing new.
        if self.is_closed(now) && !std::mem::take(&mut self.is_probing) {
            return;
        }
        self.closed_for = (self.closed_for * 2).clamp(FIRST_CLOSED, LONGEST_CLOSED);
        self.closed_until = Some(now + self.closed_for);
    }

    /// Whether the server counts as unreachable.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_at).as_secs_f64();
        self.failure * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn note_failure(&mut self, sample: f64, now: Instant) {
        let rate = self.failure_rate(now);
        self.failure = rate + FAILURE_SMOOTHING * (sample - rate);
        self.failure_at = now;
    }
}
