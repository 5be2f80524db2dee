//! How long before its objective a query over shards is answered with the parts
//! received.
//!
//! The answer leaves later than planned while a VM is busy with the other answers of
//! the same query. The lead follows this delay: a longer one makes the answer late, a
//! needless one costs parts.

use std::time::Duration;

/// Weight of the newest delay while delays grow.
const RISE_SMOOTHING: f64 = 0.5;
/// Weight of the newest delay while delays shrink.
const FALL_SMOOTHING: f64 = 0.15;
/// Largest fraction of the objective that the lead adds to the fixed margin.
const MAX_LEAD_FRACTION: f64 = 0.25;

/// Fraction of the objective assumed for the delay of the first answer: connections
/// are opened for it.
const INITIAL_LEAD_FRACTION: f64 = 0.12;

/// The delay of a route's recent answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerLead {
    /// `None` before the first answer.
    delay: Option<Duration>,
}

impl AnswerLead {
    /// Records that an answer left `delay` after the planned time.
    pub fn record(&mut self, delay: Duration) {
        let before = self.delay.unwrap_or(delay);
        let weight = if delay > before {
            RISE_SMOOTHING
        } else {
            FALL_SMOOTHING
        };
        self.delay = Some(before.mul_f64(1.0 - weight) + delay.mul_f64(weight));
    }

    /// The lead for an answer that is due after `objective`.
    pub fn lead(&self, objective: Duration) -> Duration {
        let initial = objective.mul_f64(INITIAL_LEAD_FRACTION);
        let delay = self.delay.unwrap_or(initial);
        delay.min(objective.mul_f64(MAX_LEAD_FRACTION))
    }
}
