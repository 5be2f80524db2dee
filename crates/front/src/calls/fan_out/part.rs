//! The state of one part of a request: its calls and their results.

use crate::answer::ServerAnswer;
use crate::peers::stall_notices::StallNotices;
use crate::servers::server_endpoint::ServerEndpoint;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::{RequestRoute, ServerName, ServiceName};
use camphorway_policy::{PlaceGap, StallChange};
use std::sync::Arc;
use std::time::Instant;

/// One part's calls and results so far.
#[derive(Debug)]
pub(super) struct PartProgress {
    pub(super) service: ServiceName,
    pub(super) tried: Vec<ServerName>,
    pub(super) calls: Vec<PartCall>,
    pub(super) rejected: usize,
    pub(super) is_waiting: bool,
    /// Whether the part is called only after another one has been answered.
    pub(super) is_held: bool,
    /// Whether a call was late or has failed.
    pub(super) has_late_or_failed_call: bool,
    /// The time at which a server may be called, if that is too late for this
    /// request.
    pub(super) opens_at: Option<Instant>,
    /// Why no server may serve the part, if so.
    pub(super) place_gap: Option<PlaceGap>,
    /// The time to retry a hedge that could not be sent.
    pub(super) hedge_at: Option<Instant>,
    pub(super) answer: Option<ServerAnswer>,
    pub(super) failure: Option<ServerAnswer>,
    /// The name of the latest event, for logs.
    pub(super) last_event: &'static str,
}

/// One call of a part.
#[derive(Debug)]
pub(super) struct PartCall {
    pub(super) endpoint: Arc<ServerEndpoint>,
    /// The time at which the call becomes late; `None` once it ended or was marked late.
    pub(super) late_at: Option<Instant>,
    pub(super) is_running: bool,
    /// Whether the request may have reached the server.
    pub(super) may_have_arrived: bool,
}

impl PartProgress {
    pub(super) fn new(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            tried: Vec::new(),
            calls: Vec::new(),
            rejected: 0,
            is_waiting: false,
            is_held: false,
            has_late_or_failed_call: false,
            opens_at: None,
            place_gap: None,
            hedge_at: None,
            answer: None,
            failure: None,
            last_event: "not-asked",
        }
    }

    /// Whether the part has an answer, or neither runs nor waits for a call.
    pub(super) fn is_done(&self) -> bool {
        let is_running = self.calls.iter().any(|call| call.is_running);
        self.answer.is_some() || !(is_running || self.is_waiting || self.is_held)
    }

    /// Whether a call was late or has failed, and no running call is on time.
    pub(super) fn is_doubtful(&self) -> bool {
        let is_on_time = |call: &PartCall| call.is_running && call.late_at.is_some();
        self.answer.is_none() && self.has_late_or_failed_call && !self.calls.iter().any(is_on_time)
    }

    pub(super) fn has_reached_no_server(&self) -> bool {
        !self.calls.iter().any(|call| call.may_have_arrived)
    }

    /// The purpose of the next call; it counts as the first as long as no call
    /// may have reached a server.
    pub(super) fn next_purpose(&self) -> CallPurpose {
        if self.has_reached_no_server() {
            CallPurpose::First
        } else {
            CallPurpose::Retry
        }
    }

    pub(super) fn next_hedge(&self) -> Option<Instant> {
        if self.answer.is_some() {
            return None;
        }
        let late = self.calls.iter().filter_map(|call| call.late_at);
        late.chain(self.hedge_at).min()
    }

    /// Marks late calls, reports their servers as stalled and returns whether a
    /// hedge is due.
    pub(super) fn mark_late_calls(&mut self, stall_notices: &StallNotices, now: Instant) -> bool {
        if self.answer.is_some() {
            return false;
        }
        let mut is_due = self.hedge_at.take_if(|at| now >= *at).is_some();
        for call in &mut self.calls {
            if call.late_at.is_some_and(|at| now >= at) {
                call.late_at = None;
                if call.endpoint.mark_stalled() {
                    stall_notices.report(&call.endpoint, StallChange::Began);
                }
                self.has_late_or_failed_call = true;
                is_due = true;
            }
        }
        is_due
    }

    /// Whether a second call may be sent while one runs.
    pub(super) fn may_hedge(&self, route: &RequestRoute) -> bool {
        route.idempotent && self.answer.is_none() && self.possible_runs() < route.attempts
    }

    /// Whether a call may be sent after one has failed.
    pub(super) fn may_retry(&self, route: &RequestRoute, max_rejected: usize) -> bool {
        let is_running = self.calls.iter().any(|call| call.is_running);
        let may_repeat = route.idempotent || self.has_not_run();
        let has_attempts_left =
            self.possible_runs() < route.attempts && self.rejected <= max_rejected;
        self.answer.is_none() && !is_running && !self.is_waiting && may_repeat && has_attempts_left
    }

    /// Whether it is certain that no call ran.
    pub(super) fn has_not_run(&self) -> bool {
        self.possible_runs() == 0
    }

    /// Calls that ran or may have run.
    fn possible_runs(&self) -> usize {
        let arrived = self
            .calls
            .iter()
            .filter(|call| call.may_have_arrived)
            .count();
        arrived.saturating_sub(self.rejected)
    }
}
