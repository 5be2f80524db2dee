//! Whether an extra call may go.

use super::FanOut;
use crate::ports::WireDialect;
use camphorway_daemon::event;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::GatherRule;
use camphorway_policy::QueryForecast;
use std::time::Instant;

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
        let parts = self.progress.len();
        let doubtful = self.progress.iter().filter(|part| part.is_doubtful());
        let forecast = QueryForecast {
            parts,
            min_parts: self
                .request
                .gather
                .as_ref()
                .map_or(parts, GatherRule::min_parts),
            doubtful: doubtful.count(),
        };
        forecast.reserve(purpose == CallPurpose::Hedge && now < self.last_chance)
    }
}
