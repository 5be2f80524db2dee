//! Whether an extra call may go.

use super::FanOut;
use super::part::PartProgress;
use crate::ports::WireDialect;
use camphorway_daemon::event;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::GatherRule;
use std::time::Instant;

/// The part of a budget, 0 to 1, that is left by extra calls without which the
/// answer would still be a success.
const OPTIONAL_RESERVE: f64 = 0.2;
/// The part that is left by hedges that can still be made later.
const EARLY_RESERVE: f64 = 0.6;
/// The part that is left by hedges without which there may be no answer in time.
const HEDGE_RESERVE: f64 = 0.1;
impl<Wire> FanOut<'_, Wire>
where
    Wire: WireDialect,
{
    /// Whether the budget lets a call go; first arrivals cost nothing.
    pub(super) fn may_send(
        &mut self,
        part: usize,
        purpose: CallPurpose,
        allowance: f64,
        now: Instant,
    ) -> bool {
        if self.progress[part].has_no_arrival() {
            return true;
        }
        let reserve = self.reserve(purpose, now);
        let services = &self.request.services;
        let allowed = self.parts.budgets.spend(services, allowance, reserve, now);
        if allowed {
            self.extra_calls += 1;
        } else {
            self.progress[part].last = "no-budget";
            self.parts.metrics.budget_refusals.inc();
            event!(
                Debug,
                "extra-call-refused",
                request = self.order.head.id,
                service = self.progress[part].service,
                purpose = purpose,
                reserve = reserve
            );
        }
        allowed
    }

    /// How much of the budget an extra call leaves to others.
    fn reserve(&self, purpose: CallPurpose, now: Instant) -> f64 {
        let is_optional = match &self.request.gather {
            Some(rule) => self.may_answer_without_one(rule),
            None => false,
        };
        let is_hedge = purpose == CallPurpose::Hedge;
        if is_hedge && now < self.last_chance {
            EARLY_RESERVE
        } else if is_optional {
            OPTIONAL_RESERVE
        } else if is_hedge {
            HEDGE_RESERVE
        } else {
            0.0
        }
    }

    /// Whether the answer is a success without the parts that are late or failed.
    fn may_answer_without_one(&self, rule: &GatherRule) -> bool {
        let is_in_doubt = |part: &&PartProgress| part.answer.is_none() && part.is_in_doubt;
        let in_doubt = self.progress.iter().filter(is_in_doubt).count();
        self.progress.len() - in_doubt >= rule.least_parts()
    }
}
