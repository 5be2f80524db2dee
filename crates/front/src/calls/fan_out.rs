//! Fans a request out: one call per part, hedges and retries within budgets,
//! and the final answer.
//!
//! A route to one service has a single part, whose answer is passed through. A
//! route over shards has one part per shard, and their answers are merged.

mod budgets;
mod context;
mod extra;
mod finish;
mod part;
mod running_call;
mod sending;
mod times;

pub use budgets::CallBudgets;
pub use context::{FanOutContext, FanOutRequest, RequestTerms};
pub use times::CallTimes;

use crate::answer::RoutedAnswer;
use crate::calls::fan_out::part::PartProgress;
use crate::calls::fan_out::running_call::ContentEvidence;
use crate::calls::server_call::CallSpec;
use crate::ports::WireDialect;
use crate::servers::call_end::{CallEnd, NotRunCause, UnsentCause};
use async_channel::{Receiver, Sender};
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::{RequestRoute, RouteTarget};
use camphorway_policy::{DispatchLedger, UnsentToken};
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Expected duration of a hedge, as a fraction of the objective. A hedge sent
/// with less time left until the answer would be too late.
const HEDGE_FRACTION: f64 = 0.4;
/// A part is no longer retried after more than this many rejected calls, which
/// don't count against the route's attempts.
const MAX_REJECTED: usize = 2;
/// The answer is built this long before the request's time limit.
const REPLY_MARGIN: Duration = Duration::from_millis(10);
/// Timeout of a call to a shard, as a multiple of the objective.
const SHARD_TIMEOUT_FACTOR: u32 = 4;

/// The longest time that a request on `route` takes: a query over shards waits no
/// longer than for its last calls.
pub fn time_limit(route: &RequestRoute, time_limit: Duration) -> Duration {
    match route.target {
        RouteTarget::Gather(_) => time_limit.min(route.objective * SHARD_TIMEOUT_FACTOR),
        RouteTarget::Service(_) | RouteTarget::Split(_) => time_limit,
    }
}

/// The running fan-out of one request.
struct FanOut<'request, Wire> {
    context: &'request Arc<FanOutContext<Wire>>,
    request: &'request FanOutRequest,
    spec: Arc<CallSpec>,
    progress: Vec<PartProgress>,
    ledger: DispatchLedger,
    events: Receiver<FanOutEvent>,
    sender: Sender<FanOutEvent>,
    /// Cancels waiting for a free server when the request ends.
    done: CancellationToken,
    _done_guard: DropGuard,
    /// The time at which a query is answered with the parts received so far.
    answer_at: Instant,
    has_answer_delay: bool,
    /// The latest time to send a hedge that can be answered by `answer_at`.
    hedge_deadline: Instant,
    deadline: Instant,
    extra_calls: usize,
    evidence: Arc<ContentEvidence>,
}

/// An event that advances a fan-out.
enum FanOutEvent {
    Ended {
        part: usize,
        call: usize,
        end: CallEnd,
    },
    /// A server may be free or newly registered.
    Capacity { part: usize },
    /// A call is late, a hedge is due, or it is time to answer.
    Timer,
}

/// Returns a request's answer and the number of extra calls; `token` proves
/// that nothing was sent yet.
pub async fn run<Wire>(
    context: &Arc<FanOutContext<Wire>>,
    request: FanOutRequest,
    token: UnsentToken,
) -> (RoutedAnswer, usize)
where
    Wire: WireDialect,
{
    let mut fan_out = FanOut::new(context, &request, token.dispatch());
    fan_out.drive().or(context.stop.wait_answer_now()).await;
    let extra = fan_out.extra_calls;
    (fan_out.finish(), extra)
}

impl<'request, Wire> FanOut<'request, Wire>
where
    Wire: WireDialect,
{
    fn new(
        context: &'request Arc<FanOutContext<Wire>>,
        request: &'request FanOutRequest,
        ledger: DispatchLedger,
    ) -> Self {
        let (sender, events) = async_channel::unbounded();
        let done = CancellationToken::new();
        let route = &request.route;
        let deadline = request.spec.deadline;
        let shard_deadline = request.arrived_at + route.objective * SHARD_TIMEOUT_FACTOR;
        let call_deadline = match request.gather {
            Some(_) => shard_deadline.min(deadline),
            None => deadline,
        };
        let spec = CallSpec {
            head: request.spec.head.clone(),
            body: request.spec.body.clone(),
            idempotent: route.idempotent,
            deadline: call_deadline,
        };
        let time_limit = deadline.saturating_duration_since(request.arrived_at);
        let time_limit = time_limit.saturating_sub(REPLY_MARGIN);
        let lead = context.times.answer_lead(route);
        let objective = route.objective.saturating_sub(context.answer_margin + lead);
        let answer_after = objective.min(time_limit);
        let hedge_after = answer_after.saturating_sub(route.objective.mul_f64(HEDGE_FRACTION));
        Self {
            context,
            request,
            spec: Arc::new(spec),
            progress: request.services.iter().map(PartProgress::new).collect(),
            ledger,
            events,
            sender,
            _done_guard: done.clone().drop_guard(),
            done,
            answer_at: request.arrived_at + answer_after,
            has_answer_delay: false,
            hedge_deadline: request.arrived_at + hedge_after,
            deadline: request.arrived_at + time_limit,
            extra_calls: 0,
            evidence: Arc::default(),
        }
    }

    async fn drive(&mut self) {
        let services = &self.request.services;
        let allowance = self.context.view.load().allowance;
        let budgets = &self.context.budgets;
        budgets.earn(services, allowance, self.now());
        if self.request.is_suspect {
            self.hold_after_first();
            self.start(0, CallPurpose::First);
            self.release_held();
        } else {
            self.start_all();
        }
        while !self.is_finished() {
            let event = self.next_event().await;
            self.handle_event(event);
            self.record_answer_delay();
        }
    }

    fn handle_event(&mut self, event: FanOutEvent) {
        match event {
            FanOutEvent::Ended { part, call, end } => self.handle_end(part, call, end),
            FanOutEvent::Capacity { part } => {
                self.progress[part].is_waiting = false;
                let purpose = self.progress[part].next_purpose();
                self.start(part, purpose);
            }
            FanOutEvent::Timer => self.send_due_hedges(),
        }
        self.release_held();
    }

    /// Records how long after the planned time the answer of a query is considered.
    fn record_answer_delay(&mut self) {
        let now = self.now();
        if self.request.gather.is_none() || self.has_answer_delay || now < self.answer_at {
            return;
        }
        self.has_answer_delay = true;
        let delay = now.saturating_duration_since(self.answer_at);
        let times = &self.context.times;
        times.record_answer_delay(&self.request.route, delay);
    }

    fn start_all(&mut self) {
        for part in 0..self.progress.len() {
            self.start(part, CallPurpose::First);
        }
    }

    /// Holds all parts back until the first one has shown that the content crashes
    /// no server.
    fn hold_after_first(&mut self) {
        for part in self.progress.iter_mut().skip(1) {
            part.is_held = true;
        }
    }

    /// Starts the parts that were held back once the first one is answered; without
    /// an answer they are not called.
    fn release_held(&mut self) {
        if !self.progress.iter().any(|part| part.is_held) || !self.progress[0].is_done() {
            return;
        }
        for part in 1..self.progress.len() {
            self.progress[part].is_held = false;
            if self.progress[0].answer.is_some() {
                self.start(part, CallPurpose::First);
            }
        }
    }

    fn now(&self) -> Instant {
        self.context.client.clock.now()
    }

    /// Whether the answer should be sent now.
    fn is_finished(&self) -> bool {
        let now = self.now();
        if now >= self.deadline || self.progress.iter().all(PartProgress::is_done) {
            return true;
        }
        let Some(rule) = &self.request.gather else {
            return false;
        };
        let min_parts = rule.min_parts();
        let failed = |part: &&PartProgress| part.is_done() && part.answer.is_none();
        let may_answer = self.progress.len() - self.progress.iter().filter(failed).count();
        may_answer < min_parts || (now >= self.answer_at && self.answered() >= min_parts)
    }

    fn answered(&self) -> usize {
        let answered = |part: &&PartProgress| part.answer.is_some();
        self.progress.iter().filter(answered).count()
    }

    async fn next_event(&self) -> FanOutEvent {
        if let Ok(event) = self.events.try_recv() {
            return event;
        }
        let received = async {
            match self.events.recv().await {
                Ok(event) => event,
                // Unreachable: the fan-out itself holds a sender.
                Err(_) => FanOutEvent::Timer,
            }
        };
        let due = async {
            self.context.client.clock.sleep_until(self.next_due()).await;
            FanOutEvent::Timer
        };
        received.or(due).await
    }

    fn next_due(&self) -> Instant {
        let hedges = self.progress.iter().filter_map(PartProgress::next_hedge);
        let due = hedges.fold(self.deadline, Instant::min);
        if self.request.gather.is_some() && self.now() < self.answer_at {
            return due.min(self.answer_at);
        }
        due
    }

    /// Records the end of a call, and retries the part if allowed.
    fn handle_end(&mut self, part: usize, call: usize, end: CallEnd) {
        let progress = &mut self.progress[part];
        progress.calls[call].is_running = false;
        progress.calls[call].late_at = None;
        progress.last_event = end.name();
        progress.has_late_or_failed_call = true;
        match end {
            CallEnd::Answered(answer) if answer.status.is_success() => {
                progress.answer.get_or_insert(answer);
                return;
            }
            CallEnd::Answered(answer) => {
                let is_client_error = answer.status.is_client_error();
                progress.failure = Some(answer);
                if is_client_error {
                    return;
                }
            }
            CallEnd::NotRun(NotRunCause::Rejected | NotRunCause::Misdirected) => {
                progress.rejected += 1;
                self.ledger.record_unsent();
            }
            CallEnd::Unsent(cause) => {
                progress.calls[call].may_have_arrived = false;
                self.ledger.record_unsent();
                if cause == UnsentCause::CallerDisconnected {
                    return;
                }
            }
            CallEnd::Lost(_) => {}
        }
        let may_repeat = !self.request.is_suspect || self.progress[part].has_not_run();
        if may_repeat && self.progress[part].may_retry(&self.request.route, MAX_REJECTED) {
            let purpose = self.progress[part].next_purpose();
            self.start(part, purpose);
        }
    }

    /// Marks the servers of late calls as stalled and hedges those calls: at
    /// once if the budget has enough left, else at `hedge_deadline`.
    fn send_due_hedges(&mut self) {
        let now = self.now();
        let due: Vec<usize> = (0..self.progress.len())
            .filter(|part| {
                self.progress[*part].mark_late_calls(&self.context.client.stall_notices, now)
            })
            .collect();
        for part in due {
            if self.request.is_suspect || !self.progress[part].may_hedge(&self.request.route) {
                continue;
            }
            let calls = self.progress[part].calls.len();
            self.start(part, CallPurpose::Hedge);
            let is_sent = self.progress[part].calls.len() > calls;
            if !is_sent && now < self.hedge_deadline {
                self.progress[part].hedge_at = Some(self.hedge_deadline);
            }
        }
    }
}
