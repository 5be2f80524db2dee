//! The timing of hedges, which repeat a slow call on another replica.
//!
//! The usual rule, to repeat after the 95th percentile, repeats one call in
//! twenty whether or not it is a straggler. This alone consumes a budget of 5%,
//! so real stragglers often find it empty. Therefore the delay increases with
//! each attempted hedge while the budget is less than half full, and decreases
//! with first calls otherwise.

use crate::budget::RatioBudget;
use camphorway_model::PolicySwitches;
use std::time::Duration;

const DELAY_INCREASE: f64 = 1.05;
const DELAY_DECREASE: f64 = 0.997;
const MAX_DELAY_SCALE: f64 = 8.0;

/// The budget of hedges and the delay that keeps them within it.
#[derive(Clone, Debug)]
pub struct HedgePacer {
    budget: RatioBudget,
    delay_scale: f64,
}

impl HedgePacer {
    /// A pacer that allows `ratio` hedges for each first call.
    pub fn new(ratio: f64) -> Self {
        Self {
            budget: RatioBudget::new(ratio),
            delay_scale: 1.0,
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
            let decreased = self.delay_scale * DELAY_DECREASE.powi(calls as i32);
            self.delay_scale = decreased.max(1.0);
        }
    }

    /// The time to wait before hedging a call with this 95th percentile.
    pub fn delay(&self, percentile_95: Duration) -> Duration {
        percentile_95.mul_f64(self.delay_scale)
    }

    /// Takes one hedge from the budget. Returns whether it is allowed.
    pub fn spend(&mut self) -> bool {
        let allowed = self.budget.spend(1);
        if !self.budget.is_half_full() {
            self.delay_scale = (self.delay_scale * DELAY_INCREASE).min(MAX_DELAY_SCALE);
        }
        allowed
    }
}

/// The budgets of extra calls.
#[derive(Clone, Debug)]
pub struct RepeatBudgets {
    /// For calls repeated while the first is still running.
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
    /// Applies the rules' ratios and counts `calls` first calls.
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
