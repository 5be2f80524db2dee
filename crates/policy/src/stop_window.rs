//! What a daemon still accepts once it has been asked to stop.
//!
//! The process is killed when its grace period ends, and a request that is cut then
//! may have run. So a stopping daemon accepts a request only if it is expected to
//! end in time, and refuses others at once: another daemon can run them.

use std::time::{Duration, Instant};

/// A request may take this multiple of the longest recent one: the servers may be
/// slower now.
const WORK_FACTOR: u32 = 3;

/// The rest of a stopping daemon's grace period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopWindow {
    /// The time at which all requests must have been answered.
    pub answer_by: Instant,
}

/// How long a request may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkForecast {
    /// The longest recent request of its route; `None` if there were too few.
    pub longest: Option<Duration>,
    /// The longest time that it can take.
    pub time_limit: Duration,
}

impl StopWindow {
    /// Whether a request that arrives at `now` is expected to end in time.
    pub fn accepts(&self, forecast: &WorkForecast, now: Instant) -> bool {
        let expected = match forecast.longest {
            Some(longest) => longest.saturating_mul(WORK_FACTOR).min(forecast.time_limit),
            None => forecast.time_limit,
        };
        now.checked_add(expected)
            .is_some_and(|ends_at| ends_at <= self.answer_by)
    }
}
