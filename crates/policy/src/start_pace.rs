//! The pace at which a backend server that has just started or recovered is called.
//!
//! Answers the load of many fronts that all choose such a server at the same moment,
//! since it looks idle, and of a server that nobody tries again. The pace starts at a
//! part of what the server's slots bear at its usual time, doubles with each answer on
//! time, and falls with late and refused calls; it never falls to nothing. Each front
//! keeps to its part, knowing how many others call the server, and learns from its own
//! calls; no messages are needed. Calls beyond the pace are dearer the more there are,
//! not forbidden: where no other server is better, the server is called all the same.

use crate::replica::ReplicaOutcome;
use std::time::{Duration, Instant};

/// The part of its usual calls that a server gets at first: it may be slow for a while.
const START_FRACTION: f64 = 0.3;
/// The pace ends once it has reached this multiple of the usual calls.
const FULL_FACTOR: f64 = 2.0;
/// The lowest pace, so that an answer on time is found soon.
const MIN_FRACTION: f64 = 0.05;
const ON_TIME_FACTOR: f64 = 2.0;
const LATE_FACTOR: f64 = 0.5;
const REFUSED_FACTOR: f64 = 0.25;
/// The longest time between calls of one front.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// A pace without a late or refused call ends after this time.
const MAX_CALM_TIME: Duration = Duration::from_secs(10);
/// Cost of each call beyond the pace.
const EARLY_COST_MS: f64 = 10.0;
const MAX_EARLY_COST_MS: f64 = 200.0;

/// What a server usually does, and for how many fronts.
#[derive(Clone, Copy, Debug)]
pub struct UsualService {
    /// Calls that it runs at once.
    pub slots: u32,
    /// The time of a call.
    pub time: Duration,
    /// The fronts that call it.
    pub callers: usize,
}

impl UsualService {
    /// This front's part of the calls a second that the slots bear.
    fn own_calls_per_s(&self) -> f64 {
        let time = self.time.max(Duration::from_millis(1)).as_secs_f64();
        f64::from(self.slots.max(1)) / time / self.callers.max(1) as f64
    }
}

/// One front's pace of calls to a server that has just started or recovered.
#[derive(Clone, Debug)]
pub struct StartPace {
    usual_per_s: f64,
    /// The part of the usual calls that the server gets now.
    fraction: f64,
    /// This front's place among all, 0 to 1.
    phase: f64,
    next_at: Instant,
    calm_since: Instant,
}

impl StartPace {
    /// The pace at first. A call is due after `phase`, 0 to 1, of the first interval,
    /// since all fronts may see the server start at once.
    pub fn new(usual: &UsualService, phase: f64, now: Instant) -> Self {
        let mut pace = Self {
            usual_per_s: usual.own_calls_per_s(),
            fraction: START_FRACTION,
            phase,
            next_at: now,
            calm_since: now,
        };
        pace.next_at = now + pace.interval().mul_f64(phase);
        pace
    }

    /// The cost of a call now beside its time, in milliseconds.
    pub fn cost(&self, now: Instant) -> f64 {
        let early = self.next_at.saturating_duration_since(now);
        let calls = early.as_secs_f64() / self.interval().as_secs_f64();
        (calls * EARLY_COST_MS).min(MAX_EARLY_COST_MS)
    }

    /// Records that a call was sent.
    pub fn record_call(&mut self, now: Instant) {
        self.next_at = self.next_at.max(now) + self.interval();
    }

    /// Records how a call ended.
    pub fn record_end(&mut self, outcome: ReplicaOutcome, now: Instant) {
        let factor = match outcome {
            ReplicaOutcome::Answered => ON_TIME_FACTOR,
            ReplicaOutcome::AnsweredLate => LATE_FACTOR,
            ReplicaOutcome::Rejected
            | ReplicaOutcome::Reset
            | ReplicaOutcome::TimedOut
            | ReplicaOutcome::Unreachable => REFUSED_FACTOR,
            ReplicaOutcome::Abandoned | ReplicaOutcome::Failed => return,
        };
        let before = self.fraction;
        self.fraction = (before * factor).max(MIN_FRACTION);
        if factor < 1.0 {
            self.calm_since = now;
        }
        if self.fraction > before {
            self.next_at = self.next_at.min(now + self.interval());
        } else if self.fraction < before {
            // Fronts whose calls were late together don't all call again together.
            self.next_at = now + self.interval().mul_f64(0.5 + self.phase);
        }
    }

    /// Whether the server is called as usual again.
    pub fn is_over(&self, now: Instant) -> bool {
        let is_calm = now.saturating_duration_since(self.calm_since) >= MAX_CALM_TIME;
        self.fraction >= FULL_FACTOR || is_calm
    }

    fn interval(&self) -> Duration {
        let calls_per_s = self.usual_per_s * self.fraction;
        Duration::from_secs_f64((1.0 / calls_per_s).min(MAX_INTERVAL.as_secs_f64()))
    }
}
