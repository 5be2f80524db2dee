//! Decides whether the budget allows a call.

use super::FanOut;
use crate::ports::WireDialect;
use camphorway_daemon::event;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::GatherRule;
use camphorway_policy::{ExtraCall, QueryForecast};
use std::time::Instant;

impl<Wire> FanOut<'_, Wire>
where
    Wire: WireDialect,
{
    /// Whether the budget allows a call. A part's calls are free until one may
    /// have reached a server.
    pub(super) fn may_send(
        &mut self,
        part: usize,
        purpose: CallPurpose,
        allowance: f64,
        now: Instant,
    ) -> bool {
        if self.progress[part].has_reached_no_server() {
            return true;
        }
        let reserve = self.reserve(purpose, now);
        let call = ExtraCall { allowance, reserve };
        let service = &self.progress[part].service;
        let budgets = &self.context.budgets;
        let allowed = match self.request.gather {
            Some(_) => budgets.spend_on_shard(service, call, now),
            None => budgets.spend(service, call, now),
        };
        if allowed {
            self.extra_calls += 1;
        } else {
            self.progress[part].last_event = "no-budget";
            self.context.metrics.budget_refusals.inc();
            event!(
                Debug,
                "extra-call-refused",
                request = self.spec.head.id,
                service = self.progress[part].service,
                purpose = purpose,
                reserve = reserve
            );
        }
        allowed
    }

    /// The fraction of the budget that an extra call leaves to other calls.
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
        forecast.reserve(purpose == CallPurpose::Hedge && now < self.hedge_deadline)
    }
}
