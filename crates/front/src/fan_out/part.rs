//! One part of a request: the calls made for it and what came back.

use crate::answer::ServerAnswer;
use crate::server_line::ServerLine;
use crate::stall_news::StallNews;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::{RequestRoute, ServerName, ServiceName};
use camphorway_policy::StallChange;
use std::sync::Arc;
use std::time::Instant;

/// What became of a part so far.
#[derive(Debug)]
pub(super) struct PartProgress {
    pub(super) service: ServiceName,
    pub(super) tried: Vec<ServerName>,
    pub(super) calls: Vec<RunningCall>,
    pub(super) rejected: usize,
    pub(super) is_waiting: bool,
    /// Whether a call was late or has failed.
    pub(super) is_in_doubt: bool,
    /// When to try again to ask a second server.
    pub(super) hedge_at: Option<Instant>,
    pub(super) answer: Option<ServerAnswer>,
    pub(super) failure: Option<ServerAnswer>,
    /// What happened last, for logs.
    pub(super) last: &'static str,
}

/// One call.
#[derive(Debug)]
pub(super) struct RunningCall {
    pub(super) line: Arc<ServerLine>,
    /// When the call counts as late; none once that is noted.
    pub(super) late_at: Option<Instant>,
    pub(super) is_running: bool,
    /// Whether the request may have reached the server.
    pub(super) is_arrived: bool,
}

impl PartProgress {
    pub(super) fn new(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            tried: Vec::new(),
            calls: Vec::new(),
            rejected: 0,
            is_waiting: false,
            is_in_doubt: false,
            hedge_at: None,
            answer: None,
            failure: None,
            last: "not-asked",
        }
    }

    /// Whether nothing more will come for this part.
    pub(super) fn is_over(&self) -> bool {
        let is_running = self.calls.iter().any(|call| call.is_running);
        self.answer.is_some() || !(is_running || self.is_waiting)
    }

    /// Whether a call was late or has failed, and none is on time.
    pub(super) fn is_doubtful(&self) -> bool {
        let is_on_time = |call: &RunningCall| call.is_running && call.late_at.is_some();
        self.answer.is_none() && self.is_in_doubt && !self.calls.iter().any(is_on_time)
    }

    pub(super) fn has_no_arrival(&self) -> bool {
        !self.calls.iter().any(|call| call.is_arrived)
    }

    /// A part that no server got yet is still waiting for its first call.
    pub(super) fn next_purpose(&self) -> CallPurpose {
        if self.has_no_arrival() {
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

    /// Notes the calls that became late by `now`; whether a second server should
    /// be asked.
    pub(super) fn take_late(&mut self, news: &StallNews, now: Instant) -> bool {
        if self.answer.is_some() {
            return false;
        }
        let mut any = self.hedge_at.take_if(|at| now >= *at).is_some();
        for call in &mut self.calls {
            if call.late_at.is_some_and(|at| now >= at) {
                call.late_at = None;
                if call.line.note_stalled() {
                    news.tell(&call.line, StallChange::Began);
                }
                self.is_in_doubt = true;
                any = true;
            }
        }
        any
    }

    /// Whether a second server may be asked while the first still runs.
    pub(super) fn may_hedge(&self, route: &RequestRoute) -> bool {
        route.idempotent && self.answer.is_none() && self.ran() < route.attempts
    }

    /// Whether another server may be asked after one has failed.
    pub(super) fn may_retry(&self, route: &RequestRoute, most_rejected: usize) -> bool {
        let is_running = self.calls.iter().any(|call| call.is_running);
        let may_repeat = route.idempotent || self.has_not_run();
        let has_room = self.ran() < route.attempts && self.rejected <= most_rejected;
        self.answer.is_none() && !is_running && !self.is_waiting && may_repeat && has_room
    }

    /// Whether no call ran, nor may have.
    pub(super) fn has_not_run(&self) -> bool {
        self.ran() == 0
    }

    /// Calls that ran, or may have.
    fn ran(&self) -> usize {
        let arrived = self.calls.iter().filter(|call| call.is_arrived).count();
        arrived.saturating_sub(self.rejected)
    }
}
