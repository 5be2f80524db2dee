//! Budgets of extra calls: hedges and retries.

use camphorway_daemon::sync::lock;
use camphorway_model::ServiceName;
use camphorway_policy::{AllowanceRamp, BudgetLimits, ExtraBudgets, ExtraCall};
use std::sync::Mutex;
use std::time::Instant;

/// The budgets of all services.
#[derive(Debug)]
pub struct CallBudgets {
    /// Raises the allowance gradually after a restart.
    ramp: Option<AllowanceRamp>,
    budgets: Mutex<ExtraBudgets>,
}

impl CallBudgets {
    /// Creates budgets. `restarted` is the start time if the front may have
    /// made extra calls just before.
    pub fn new(limits: BudgetLimits, restarted: Option<Instant>) -> Self {
        let window = limits.window;
        Self {
            ramp: restarted.map(|started_at| AllowanceRamp { started_at, window }),
            budgets: Mutex::new(ExtraBudgets::new(limits)),
        }
    }

    /// Credits the budgets of `services` for a request. `allowance` is this front's
    /// share of the shared allowance.
    pub fn earn(&self, services: &[ServiceName], allowance: f64, now: Instant) {
        lock(&self.budgets).earn(services, allowance, now);
    }

    /// Spends an extra call to a request's only service. Returns whether the budget
    /// allowed it.
    pub fn spend(&self, service: &ServiceName, call: ExtraCall, now: Instant) -> bool {
        let call = self.after_ramp(call, now);
        lock(&self.budgets).spend(service, call, now)
    }

    /// Spends an extra call to one of a query's services. Returns whether the budgets
    /// allowed it.
    pub fn spend_on_shard(&self, service: &ServiceName, call: ExtraCall, now: Instant) -> bool {
        let call = self.after_ramp(call, now);
        lock(&self.budgets).spend_on_shard(service, call, now)
    }

    /// The fewest extra calls left in any budget; `None` before the first
    /// request.
    pub fn min_left(&self, now: Instant) -> Option<f64> {
        lock(&self.budgets).min_left(now)
    }

    fn after_ramp(&self, call: ExtraCall, now: Instant) -> ExtraCall {
        let fraction = self.ramp.map_or(1.0, |ramp| ramp.fraction(now));
        ExtraCall {
            allowance: call.allowance * fraction,
            ..call
        }
    }
}
