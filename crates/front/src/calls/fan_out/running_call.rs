//! One call on its own task: what its end shows about the server and the content.

use super::FanOutContext;
use crate::calls::server_call::CallSpec;
use crate::ports::WireDialect;
use crate::servers::call_end::CallEnd;
use crate::servers::server_endpoint::ServerEndpoint;
use crate::servers::service_endpoints::CallPermit;
use camphorway_daemon::event;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::RequestRoute;
use camphorway_policy::ContentHash;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// What the calls of one request have shown about its content. Content that crashes
/// servers crashes each one that runs it.
#[derive(Debug, Default)]
pub(super) struct ContentEvidence {
    /// Whether a server has answered it.
    has_answer: AtomicBool,
    /// Whether a server may have crashed while it had it.
    has_loss: AtomicBool,
}

/// A call and what it needs to be evaluated.
pub(super) struct RunningCall<Wire> {
    pub(super) context: Arc<FanOutContext<Wire>>,
    pub(super) spec: Arc<CallSpec>,
    pub(super) route: Arc<RequestRoute>,
    pub(super) endpoint: Arc<ServerEndpoint>,
    pub(super) purpose: CallPurpose,
    pub(super) content: ContentHash,
    pub(super) is_suspect: bool,
    pub(super) evidence: Arc<ContentEvidence>,
}

impl<Wire> RunningCall<Wire>
where
    Wire: WireDialect,
{
    /// Sends the call with `permit` and records its end.
    pub(super) async fn run(
        &self,
        permit: CallPermit,
        disconnected: &CancellationToken,
    ) -> CallEnd {
        let client = &self.context.client;
        let started_at = permit.started_at();
        let end = client.call(&self.spec, permit, disconnected).await;
        let took = client.clock.now().saturating_duration_since(started_at);
        if end.may_be_crash() {
            self.check_for_crash();
        }
        match &end {
            CallEnd::Answered(answer) if answer.status.is_success() => {
                if answer.is_delimited {
                    self.record_answer();
                }
                let distance = self.endpoint.distance();
                self.context.times.record(&self.route, distance, took);
            }
            _ => self.log_failure(&end, took),
        }
        self.context.metrics.count_call_end(&end);
        end
    }

    fn record_answer(&self) {
        self.evidence.has_answer.store(true, Ordering::Relaxed);
        // An earlier call may have caused a crash that is not detected yet; this
        // answer then clears the content.
        let has_loss = self.evidence.has_loss.load(Ordering::Relaxed);
        if self.is_suspect || has_loss || self.purpose != CallPurpose::First {
            self.context.guard.record_success(self.content);
        }
    }

    fn check_for_crash(&self) {
        self.evidence.has_loss.store(true, Ordering::Relaxed);
        if !self.evidence.has_answer.load(Ordering::Relaxed) {
            let guard = &self.context.guard;
            guard.check_for_crash(self.content, &self.endpoint);
        }
    }

    fn log_failure(&self, end: &CallEnd, took: Duration) {
        event!(
            Info,
            "server-call-failed",
            request = self.spec.head.id,
            route = self.route.name,
            server = self.endpoint.name(),
            purpose = self.purpose,
            end = end.name(),
            took_us = took.as_micros()
        );
    }
}
