//! How often calls to a server fail, by own calls and by those of other daemons.
//!
//! The load: servers that lose a part of their answers, called by many daemons, each
//! of them rarely. A daemon's own failures say too little, so failures are shared
//! while they are news. Daemons don't share answers: servers that lose none have no
//! failures, and the rate of a server that nobody calls any more decays, so that it
//! is tried again.

use std::time::{Duration, Instant};

/// Time in which the rate halves without new calls.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the newest call.
const SMOOTHING: f64 = 0.1;
/// A failure at a server with a higher rate is no news: it is avoided already.
const MAX_NEWS_RATE: f64 = 0.25;

/// The smoothed share of calls to one server that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailureRate {
    last: f64,
    last_at: Instant,
}

impl FailureRate {
    /// The rate of a server that was not called yet.
    pub fn new(now: Instant) -> Self {
        Self {
            last: 0.0,
            last_at: now,
        }
    }

    /// The rate, 0 to 1.
    pub fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last_at).as_secs_f64();
        self.last * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Instant) {
        self.record(0.0, now);
    }

    /// Records a failed call. Returns whether other daemons should hear of it.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let is_news = self.value(now) < MAX_NEWS_RATE;
        self.record(1.0, now);
        is_news
    }

    fn record(&mut self, sample: f64, now: Instant) {
        let rate = self.value(now);
        self.last = rate + SMOOTHING * (sample - rate);
        self.last_at = now;
    }
}
