//! The load that a backend server states in its answers.
//!
//! Answers the load of servers that other callers fill, and of machines that are slow
//! for some hundred milliseconds: a front's own calls are too rare to notice. What was
//! stated is old once it is used, and may be wrong. So its influence on the cost is
//! bounded and fades, and a server that states that it is full is left alone only for a
//! moment. A server that states nothing is judged by its calls alone.

use std::time::{Duration, Instant};

/// Time in which the influence of what was stated halves.
const HALF_LIFE: Duration = Duration::from_millis(150);
const MIN_TIME_FACTOR: f64 = 0.7;
const MAX_TIME_FACTOR: f64 = 3.0;
/// A server with this many waiting requests for each slot is full.
const FULL_QUEUE: u32 = 2;
/// The longest wait that is believed, as a multiple of the usual time of a call.
const MAX_WAIT_FACTOR: f64 = 100.0;
/// A full server gets no call of this front for this time.
const FULL_TIME: Duration = Duration::from_millis(60);

/// The load that a server states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes there now, relative to the usual time, if stated.
    pub slowdown: Option<f64>,
}

impl StatedLoad {
    fn time_factor(&self, own_calls: u32) -> f64 {
        let all_calls = self.running.saturating_add(self.waiting);
        let others = all_calls.saturating_sub(own_calls);
        let slots = f64::from(self.slots.max(1));
        let factor = (1.0 + f64::from(others) / slots) * self.slowdown.unwrap_or(1.0);
        factor.clamp(MIN_TIME_FACTOR, MAX_TIME_FACTOR)
    }

    /// The time that a further request would wait for a slot, where one takes `usual`.
    pub(crate) fn queue_wait(&self, usual: Duration) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let factor = f64::from(self.waiting) / slots * self.slowdown.unwrap_or(1.0);
        usual.mul_f64(factor.clamp(0.0, MAX_WAIT_FACTOR))
    }

    pub(crate) fn is_full(&self) -> bool {
        self.waiting >= self.slots.max(1).saturating_mul(FULL_QUEUE)
    }
}

/// The newest load that a server has stated to one front.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    newest: Option<(StatedLoad, Instant)>,
}

impl LoadReport {
    /// Records the load of an answer.
    pub fn record(&mut self, load: StatedLoad, now: Instant) {
        self.newest = Some((load, now));
    }

    /// The factor by which a call is expected to take longer than the front's own
    /// calls show, of which `own_calls` run; 1 if nothing was stated lately.
    pub fn time_factor(&self, own_calls: u32, now: Instant) -> f64 {
        let Some((load, at)) = &self.newest else {
            return 1.0;
        };
        let age = now.saturating_duration_since(*at);
        let weight = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        load.time_factor(own_calls).powf(weight)
    }

    /// The time until which a server that is full gets no call.
    pub fn full_until(&self, now: Instant) -> Option<Instant> {
        let (_, at) = self.newest.filter(|(load, _)| load.is_full())?;
        Some(at + FULL_TIME).filter(|until| now < *until)
    }
}
