//! The budgets of a daemon's extra calls: one for each service, and one for all.
//!
//! The load: queries over many shards, of which some servers stall or lose answers.
//! A limit on a service's extra calls is a limit on each shard. A budget that the
//! shards of a query share allows only a small part of that, and queries fail for
//! want of one more part. With a budget for each shard, what bounds a query is the
//! load that it adds: its extra calls follow the ratio of all its first calls.

use crate::window_budget::{BudgetLimits, WindowBudget};
use camphorway_model::ServiceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The fraction of a shard's limit that is used. The rest is for what a daemon can't
/// see: extra calls of daemons that have ended, and windows in which requests became
/// fewer.
const SHARD_FRACTION: f64 = 0.65;

/// The budgets of extra calls by service, and the one that queries share.
#[derive(Debug)]
pub struct ExtraBudgets {
    limits: BudgetLimits,
    by_service: HashMap<ServiceName, WindowBudget>,
    /// When services without calls were last forgotten.
    forgotten_at: Option<Instant>,
    /// Counts the calls of all parts of queries.
    queries: WindowBudget,
    shard_allowance: RisingAllowance,
}

impl ExtraBudgets {
    /// Budgets without any call. `limits` apply to each service.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            by_service: HashMap::new(),
            forgotten_at: None,
            queries: WindowBudget::new(limits),
            shard_allowance: RisingAllowance::default(),
        }
    }

    /// Records a request that calls each of `services`. `allowance` is this daemon's
    /// share of the shared allowance.
    pub fn earn(&mut self, services: &[ServiceName], allowance: f64, now: Instant) {
        self.shard_allowance
            .follow(allowance, self.limits.window, now);
        self.forget_idle(now);
        for service in services {
            self.of_service(service).earn(now);
        }
        if services.len() > 1 {
            self.queries.earn_calls(services.len(), now);
        }
    }

    /// Records an extra call to a request's only service if it is allowed. Returns
    /// whether it is.
    pub fn spend(&mut self, service: &ServiceName, call: ExtraCall, now: Instant) -> bool {
        let budget = self.of_service(service);
        budget.set_allowance(call.allowance);
        budget.spend(call.reserve, now)
    }

    /// Records an extra call to one of a query's services if it is allowed. Returns
    /// whether it is.
    pub fn spend_on_shard(&mut self, service: &ServiceName, call: ExtraCall, now: Instant) -> bool {
        self.queries.set_allowance(call.allowance);
        if !self.queries.allows(call.reserve, now) {
            return false;
        }
        let allowance = self.shard_allowance.current.min(call.allowance);
        let budget = self.of_service(service);
        budget.set_allowance(allowance);
        // A daemon has few calls for each shard; what the more valuable ones need is
        // left in the queries' budget.
        budget.spend(1.0 - SHARD_FRACTION, now) && self.queries.spend(call.reserve, now)
    }

    /// The fewest extra calls left in any budget; `None` before the first request.
    pub fn min_left(&mut self, now: Instant) -> Option<f64> {
        let services = self.by_service.values_mut();
        let left = services.map(|budget| budget.remaining(now));
        let left = left.min_by(f64::total_cmp)?;
        Some(left.min(self.queries.remaining(now)))
    }

    /// Forgets services without calls in the last window, once a window: their
    /// budgets are as those of new services.
    fn forget_idle(&mut self, now: Instant) {
        let last = *self.forgotten_at.get_or_insert(now);
        if now.saturating_duration_since(last) < self.limits.window {
            return;
        }
        self.forgotten_at = Some(now);
        self.by_service.retain(|_, budget| !budget.is_empty(now));
    }

    /// The number of services that have a budget.
    pub fn service_count(&self) -> usize {
        self.by_service.len()
    }

    fn of_service(&mut self, service: &ServiceName) -> &mut WindowBudget {
        if !self.by_service.contains_key(service) {
            let budget = WindowBudget::new(self.limits);
            self.by_service.insert(service.clone(), budget);
        }
        self.by_service
            .get_mut(service)
            .expect("it was just inserted")
    }
}

/// What an extra call asks of a budget.
#[derive(Clone, Copy, Debug)]
pub struct ExtraCall {
    /// This daemon's share of the shared allowance.
    pub allowance: f64,
    /// The fraction of the budget, 0 to 1, left to other calls.
    pub reserve: f64,
}

/// A share of an allowance that rises over a window. A daemon's share rises when
/// others have ended, whose calls still count.
#[derive(Clone, Copy, Debug, Default)]
struct RisingAllowance {
    current: f64,
    followed_at: Option<Instant>,
}

impl RisingAllowance {
    fn follow(&mut self, allowance: f64, window: Duration, now: Instant) {
        let Some(last) = self.followed_at.replace(now) else {
            self.current = allowance;
            return;
        };
        let age = now.saturating_duration_since(last).as_secs_f64();
        let risen = self.current + allowance * age / window.as_secs_f64();
        self.current = risen.min(allowance);
    }
}
