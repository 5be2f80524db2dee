//! When a slow call is repeated on another replica.
//!
//! The usual rule, to repeat after the 95th percentile, repeats one call in
//! twenty whether or not it is a straggler, which by itself uses up a budget of
//! 5%: real stragglers then often find it empty. So the delay is stretched
//! whenever the budget runs dry, and shrinks again while it is full.

use crate::budget::RatioBudget;
use camphorway_model::PolicySwitches;
use std::time::Duration;

const STRETCH: f64 = 1.05;
const SHRINK: f64 = 0.997;
const MOST_SCALE: f64 = 8.0;

/// The budget of repeated calls and the delay that keeps within it.
#[derive(Clone, Debug)]
pub struct HedgePacer {
    budget: RatioBudget,
    scale: f64,
}

impl HedgePacer {
    /// A pacer that allows `ratio` repeated calls for each first call.
    pub fn new(ratio: f64) -> Self {
        Self {
            budget: RatioBudget::new(ratio),
            scale: 1.0,
        }
    }

    /// Changes the ratio.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.budget.set_ratio(ratio);
    }

    /// Counts `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        self.budget.earn(calls);
        if self.budget.is_half_full() {
            let shrunk = self.scale * SHRINK.powi(calls as i32);
            self.scale = shrunk.max(1.0);
        }
    }

    /// How long to wait for a call whose 95th percentile is `usual`.
    pub fn delay(&self, usual: Duration) -> Duration {
        usual.mul_f64(self.scale)
    }

    /// Takes one repeated call from the budget.
    pub fn spend(&mut self) -> bool {
        let allowed = self.budget.spend(1);
        if !self.budget.is_half_full() {
            self.scale = (self.scale * STRETCH).min(MOST_SCALE);
        }
        allowed
    }
}

/// The budgets for calls beyond the first.
#[derive(Clone, Debug)]
pub struct RepeatBudgets {
    /// For calls repeated while the first is still under way.
    pub hedge: HedgePacer,
    /// For calls repeated after a failure.
    pub retry: RatioBudget,
}

impl Default for RepeatBudgets {
    fn default() -> Self {
        Self {
            hedge: HedgePacer::new(0.0),
            retry: RatioBudget::new(0.0),
        }
    }
}

impl RepeatBudgets {
    /// Takes over the rules' ratios and counts `calls` first calls.
    pub fn earn(&mut self, policy: &PolicySwitches, calls: usize) {
        let hedge_ratio = if policy.hedging {
            policy.hedge_budget
        } else {
            0.0
        };
        self.hedge.set_ratio(hedge_ratio);
        self.retry.set_ratio(policy.retry_budget);
        self.hedge.earn(calls);
        self.retry.earn(calls);
    }
}
