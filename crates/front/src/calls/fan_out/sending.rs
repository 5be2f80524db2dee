//! Finds a server for a part, or waits for one, and sends the call.

use super::part::PartCall;
use super::running_call::RunningCall;
use super::{FanOut, FanOutEvent};
use crate::calls::server_call::{MAX_IDLE, NON_IDEMPOTENT_MAX_IDLE};
use crate::ports::WireDialect;
use crate::servers::service_endpoints::{AcquireError, CallPermit, ServiceEndpoints, WantedServer};
use camphorway_daemon::metrics::CallPurpose;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Instant;

impl<Wire> FanOut<'_, Wire>
where
    Wire: WireDialect,
{
    /// Calls a server for a part, if one is available and the budget allows it.
    pub(super) fn start(&mut self, part: usize, purpose: CallPurpose) {
        let now = self.now();
        if self.request.disconnected.is_cancelled() || now >= self.deadline {
            return;
        }
        let view = self.context.view.load();
        let Some(endpoints) = view.services.get(&self.progress[part].service) else {
            self.progress[part].last_event = "no-server";
            return;
        };
        let max_idle = if self.request.route.idempotent {
            MAX_IDLE
        } else {
            NON_IDEMPOTENT_MAX_IDLE
        };
        let wanted = WantedServer {
            tried: &self.progress[part].tried,
            max_idle,
            homes: self.request.homes(),
        };
        match endpoints.acquire(&wanted, now) {
            Ok(permit) => {
                if self.may_send(part, purpose, view.allowance, now) {
                    self.send(part, purpose, permit);
                }
            }
            Err(_) if purpose == CallPurpose::Hedge => {}
            Err(AcquireError::AllTried) => self.progress[part].last_event = "all-tried",
            Err(AcquireError::NoServer) => {
                self.progress[part].last_event = "no-server";
                self.wait_until_settled(part, endpoints, view.settles_at);
            }
            Err(AcquireError::NoPlace(gap)) => {
                self.progress[part].last_event = gap.name();
                self.progress[part].place_gap = Some(gap);
                if !gap.is_lasting() {
                    self.wait_until_settled(part, endpoints, view.settles_at);
                }
            }
            Err(AcquireError::Busy(opens_at)) => {
                self.wait_for_capacity(part, endpoints, self.deadline, opens_at);
            }
            Err(AcquireError::ClosedUntil(at)) if at < self.deadline => {
                self.progress[part].last_event = "servers-closed";
                self.wait_for_capacity(part, endpoints, self.deadline, Some(at));
            }
            Err(AcquireError::ClosedUntil(at)) => {
                self.progress[part].last_event = "servers-closed";
                self.progress[part].opens_at = Some(at);
            }
        }
    }

    /// Retries the part when servers have registered again after a failure of the store,
    /// at the latest at `settles_at`.
    fn wait_until_settled(
        &mut self,
        part: usize,
        endpoints: &Arc<ServiceEndpoints>,
        settles_at: Option<Instant>,
    ) {
        let now = self.now();
        if let Some(until) = settles_at.filter(|until| now < *until) {
            self.wait_for_capacity(part, endpoints, until, None);
        }
    }

    /// Retries the part when a server may be free or newly registered, or opens at
    /// `opens_at`, at the latest at `until`.
    fn wait_for_capacity(
        &mut self,
        part: usize,
        endpoints: &Arc<ServiceEndpoints>,
        until: Instant,
        opens_at: Option<Instant>,
    ) {
        self.progress[part].is_waiting = true;
        let waiter = endpoints.enqueue(self.request.terms.priority, self.now());
        let sender = self.sender.clone();
        // Whoever changes the servers wakes only calls that are in the queue by then.
        if !self.is_current(part, endpoints) {
            // The fan-out itself holds the receiver.
            let _ = sender.try_send(FanOutEvent::Capacity { part });
            return;
        }
        let done = self.done.clone();
        let clock = self.context.client.clock.clone();
        self.context.client.spawner.spawn(async move {
            let capacity = async {
                let waiting = waiter.wait(opens_at, &clock);
                waiting.or(clock.sleep_until(until)).await;
                // Fails only if the request has ended.
                let _ = sender.try_send(FanOutEvent::Capacity { part });
            };
            capacity.or(done.cancelled()).await;
        });
    }

    /// Whether `endpoints` are still those of the part's service.
    fn is_current(&self, part: usize, endpoints: &Arc<ServiceEndpoints>) -> bool {
        let view = self.context.view.load();
        let current = view.services.get(&self.progress[part].service);
        current.is_some_and(|current| Arc::ptr_eq(current, endpoints))
    }

    fn send(&mut self, part: usize, purpose: CallPurpose, mut permit: CallPermit) {
        let route = &self.request.route;
        let endpoint = Arc::clone(permit.endpoint());
        let distance = endpoint.distance();
        let late_at = permit.started_at() + self.context.times.late_after(route, distance);
        permit.set_late_at(late_at);
        let progress = &mut self.progress[part];
        progress.tried.push(endpoint.name().clone());
        let call = progress.calls.len();
        progress.calls.push(PartCall {
            endpoint: Arc::clone(&endpoint),
            late_at: Some(late_at),
            is_running: true,
            may_have_arrived: true,
        });
        self.ledger.record_sent(1);
        self.context.metrics.count_server_call(purpose);
        let running = RunningCall {
            context: Arc::clone(self.context),
            spec: Arc::clone(&self.spec),
            route: Arc::clone(route),
            endpoint,
            purpose,
            content: self.request.content,
            is_suspect: self.request.is_suspect,
            evidence: Arc::clone(&self.evidence),
        };
        let disconnected = self.request.disconnected.clone();
        let sender = self.sender.clone();
        self.context.client.spawner.spawn(async move {
            let end = running.run(permit, &disconnected).await;
            // Fails only if the request has been answered already.
            let _ = sender.try_send(FanOutEvent::Ended { part, call, end });
        });
    }
}
