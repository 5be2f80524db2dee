//! Budgets of extra calls.
//!
//! The services of one query count as one: a query earns once, however many
//! shards it has, and the extra calls of all its shards are paid from that.

use camphorway_daemon::sync::lock;
use camphorway_model::ServiceName;
use camphorway_policy::{AllowanceRamp, BudgetLimits, WindowBudget};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// The budgets of all services.
#[derive(Debug)]
pub struct CallBudgets {
    limits: BudgetLimits,
    /// Grows the allowance after a restart.
    ramp: Option<AllowanceRamp>,
    table: Mutex<HashMap<ServiceName, WindowBudget>>,
}

impl CallBudgets {
    /// Budgets with these limits; `restarted` is when a front started that may
    /// have made extra calls just before.
    pub fn new(limits: BudgetLimits, restarted: Option<Instant>) -> Self {
        let window = limits.window;
        Self {
            limits,
            ramp: restarted.map(|started_at| AllowanceRamp { started_at, window }),
            table: Mutex::default(),
        }
    }

    /// Counts a request to `services`.
    pub fn earn(&self, services: &[ServiceName], now: Instant) {
        self.with(services, |budget| budget.earn(now));
    }

    /// Counts an extra call if it may go. `allowance` is this front's part of
    /// those that all fronts share; `reserve` is left to others, 0 to 1.
    pub fn spend(
        &self,
        services: &[ServiceName],
        allowance: f64,
        reserve: f64,
        now: Instant,
    ) -> bool {
        let grown = self.ramp.map_or(1.0, |ramp| ramp.fraction(now));
        let allowance = allowance * grown;
        let spent = self.with(services, |budget| {
            budget.set_allowance(allowance);
            budget.spend(reserve, now)
        });
        spent.unwrap_or(false)
    }

    /// The least number of extra calls left to any set of services; none before
    /// the first request.
    pub fn least_left(&self, now: Instant) -> Option<f64> {
        let mut table = lock(&self.table);
        let left = table.values_mut().map(|budget| budget.remaining(now));
        left.min_by(f64::total_cmp)
    }

    fn with<Use, Output>(&self, services: &[ServiceName], use_budget: Use) -> Option<Output>
    where
        Use: FnOnce(&mut WindowBudget) -> Output,
    {
        // All routes over one set of services find the same budget.
        let key = services.iter().min()?;
        let mut table = lock(&self.table);
        if !table.contains_key(key) {
            table.insert(key.clone(), WindowBudget::new(self.limits));
        }
        table.get_mut(key).map(use_budget)
    }
}
