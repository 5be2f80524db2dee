//! A request's fan-out: a call for each part, extra calls within budgets, and
//! the answer.
//!
//! A route to one service has one part, whose answer is passed on. A route over
//! shards has a part for each, and the parts are merged.

mod budgets;
mod extra;
mod finish;
mod part;
mod times;

pub use budgets::CallBudgets;
pub use times::CallTimes;

use crate::answer::RoutedAnswer;
use crate::crash_guard::CrashGuard;
use crate::fan_out::part::{PartProgress, RunningCall};
use crate::knowledge::FeedKnowledge;
use crate::metrics::FrontMetrics;
use crate::ports::WireDialect;
use crate::server_call::{
    CallEnd, CallOrder, CallTools, LostCause, MOST_IDLE, NotRunCause, ONCE_MOST_IDLE, UnsentCause,
};
use crate::service_lines::{AcquireError, LinePermit, ServiceLines};
use crate::view::SharedFront;
use async_channel::{Receiver, Sender};
use camphorway_daemon::event;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::{GatherRule, RequestRoute, ServiceName};
use camphorway_policy::{ContentHash, DispatchLedger, UnsentToken};
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

/// A hedge takes this part of the objective; one that is made later than that
/// before the answer is due would not be in it.
const HEDGE_TIME: f64 = 0.4;
/// Calls of a part that servers may reject beside the route's attempts.
const MOST_REJECTED: usize = 2;
/// The answer is built this long before the time limit.
const REPLY_MARGIN: Duration = Duration::from_millis(10);
/// A call of a shard is given up after this many times the objective.
const PATIENCE: u32 = 4;
/// What fan-outs share.
#[derive(Debug)]
pub struct FanOutParts<Wire> {
    /// Routes and servers.
    pub view: Arc<SharedFront>,
    /// Calls servers.
    pub tools: CallTools<Wire>,
    /// How long calls take.
    pub times: Arc<CallTimes>,
    /// Keeps content that crashes servers away from them.
    pub guard: Arc<CrashGuard>,
    /// How old the knowledge of routes and servers is.
    pub knowledge: Arc<FeedKnowledge>,
    /// What extra calls may be made.
    pub budgets: Arc<CallBudgets>,
    /// The daemon's metrics.
    pub metrics: Arc<FrontMetrics>,
    /// A query is answered this long before its objective, with what is there.
    pub answer_margin: Duration,
}

/// A request and its route.
#[derive(Debug)]
pub struct FanRequest {
    /// What servers are asked.
    pub order: CallOrder,
    /// The route.
    pub route: Arc<RequestRoute>,
    /// The services asked, one a part.
    pub services: Vec<ServiceName>,
    /// How parts are merged; none passes the one answer on.
    pub gather: Option<GatherRule>,
    /// The request's content.
    pub content: ContentHash,
    /// Whether the content may have crashed a server: then no part is asked twice.
    pub is_suspect: bool,
    /// When the request arrived.
    pub began: Instant,
    /// Cancelled when the caller leaves.
    pub left: CancellationToken,
}

/// One request's fan-out.
struct FanOut<'request, Wire> {
    parts: &'request Arc<FanOutParts<Wire>>,
    request: &'request FanRequest,
    order: Arc<CallOrder>,
    progress: Vec<PartProgress>,
    ledger: DispatchLedger,
    events: Receiver<FanEvent>,
    sender: Sender<FanEvent>,
    /// Ends waiting for room when the request ends.
    done: CancellationToken,
    _done_guard: DropGuard,
    /// When a query is answered with what is there.
    answer_at: Instant,
    /// A hedge that starts later would come after the answer is due.
    last_chance: Instant,
    deadline: Instant,
    extra_calls: usize,
}

/// What the fan-out is told.
enum FanEvent {
    Ended {
        part: usize,
        call: usize,
        end: CallEnd,
    },
    Room {
        part: usize,
    },
    /// A call is late, or it is time to answer.
    Timer,
}

/// Answers a request; `token` proves that nothing was sent yet.
pub async fn run<Wire>(
    parts: &Arc<FanOutParts<Wire>>,
    request: FanRequest,
    token: UnsentToken,
) -> (RoutedAnswer, usize)
where
    Wire: WireDialect,
{
    let mut fan = FanOut::new(parts, &request, token.dispatch());
    fan.drive().await;
    let extra = fan.extra_calls;
    (fan.finish(), extra)
}

impl<'request, Wire> FanOut<'request, Wire>
where
    Wire: WireDialect,
{
    fn new(
        parts: &'request Arc<FanOutParts<Wire>>,
        request: &'request FanRequest,
        ledger: DispatchLedger,
    ) -> Self {
        let (sender, events) = async_channel::unbounded();
        let done = CancellationToken::new();
        let route = &request.route;
        let deadline = request.order.deadline;
        let patience = request.began + route.objective * PATIENCE;
        let give_up = match request.gather {
            Some(_) => patience.min(deadline),
            None => deadline,
        };
        let order = CallOrder {
            head: request.order.head.clone(),
            body: request.order.body.clone(),
            idempotent: route.idempotent,
            deadline: give_up,
        };
        let time_limit = deadline.saturating_duration_since(request.began);
        let time_limit = time_limit.saturating_sub(REPLY_MARGIN);
        let objective = route.objective.saturating_sub(parts.answer_margin);
        let answer_after = objective.min(time_limit);
        let hedge_after = answer_after.saturating_sub(route.objective.mul_f64(HEDGE_TIME));
        Self {
            parts,
            request,
            order: Arc::new(order),
            progress: request.services.iter().map(PartProgress::new).collect(),
            ledger,
            events,
            sender,
            _done_guard: done.clone().drop_guard(),
            done,
            answer_at: request.began + answer_after,
            last_chance: request.began + hedge_after,
            deadline: request.began + time_limit,
            extra_calls: 0,
        }
    }

    async fn drive(&mut self) {
        let services = &self.request.services;
        self.parts.budgets.earn(services, self.now());
        for part in 0..self.progress.len() {
            self.start(part, CallPurpose::First);
        }
        while !self.is_settled() {
            match self.next_event().await {
                FanEvent::Ended { part, call, end } => self.take(part, call, end),
                FanEvent::Room { part } => {
                    self.progress[part].is_waiting = false;
                    let purpose = self.progress[part].next_purpose();
                    self.start(part, purpose);
                }
                FanEvent::Timer => self.hedge_due(),
            }
        }
    }

    fn now(&self) -> Instant {
        self.parts.tools.clock.now()
    }

    /// Whether the answer should go out now.
    fn is_settled(&self) -> bool {
        let now = self.now();
        if now >= self.deadline || self.progress.iter().all(PartProgress::is_over) {
            return true;
        }
        let Some(rule) = &self.request.gather else {
            return false;
        };
        let least = rule.min_parts();
        let failed = |part: &&PartProgress| part.is_over() && part.answer.is_none();
        let may_answer = self.progress.len() - self.progress.iter().filter(failed).count();
        may_answer < least || (now >= self.answer_at && self.answered() >= least)
    }

    fn answered(&self) -> usize {
        let answered = |part: &&PartProgress| part.answer.is_some();
        self.progress.iter().filter(answered).count()
    }

    async fn next_event(&self) -> FanEvent {
        if let Ok(event) = self.events.try_recv() {
            return event;
        }
        let told = async {
            match self.events.recv().await {
                Ok(event) => event,
                // The fan-out holds a sender itself.
                Err(_) => FanEvent::Timer,
            }
        };
        let due = async {
            self.parts.tools.clock.sleep_until(self.next_due()).await;
            FanEvent::Timer
        };
        told.or(due).await
    }

    fn next_due(&self) -> Instant {
        let hedges = self.progress.iter().filter_map(PartProgress::next_hedge);
        let due = hedges.fold(self.deadline, Instant::min);
        if self.request.gather.is_some() && self.now() < self.answer_at {
            return due.min(self.answer_at);
        }
        due
    }

    /// Asks a server for a part, if there is one and the budget allows it.
    fn start(&mut self, part: usize, purpose: CallPurpose) {
        let now = self.now();
        if self.request.left.is_cancelled() || now >= self.deadline {
            return;
        }
        let view = self.parts.view.load();
        let Some(lines) = view.services.get(&self.progress[part].service) else {
            self.progress[part].last = "no-server";
            return;
        };
        let most_idle = if self.request.route.idempotent {
            MOST_IDLE
        } else {
            ONCE_MOST_IDLE
        };
        match lines.acquire(&self.progress[part].tried, most_idle, now) {
            Ok(permit) => {
                if self.may_send(part, purpose, view.allowance, now) {
                    self.send(part, purpose, permit);
                }
            }
            Err(_) if purpose == CallPurpose::Hedge => {}
            Err(AcquireError::AllTried) => self.progress[part].last = "all-tried",
            Err(AcquireError::NoneKnown) => {
                self.progress[part].last = "no-server";
                if let Some(until) = view.settles_at.filter(|until| now < *until) {
                    self.wait_for_room(part, lines, until);
                }
            }
            Err(AcquireError::Busy) => self.wait_for_room(part, lines, self.deadline),
        }
    }

    /// Tries again when a server may have become free or known, or at `until`.
    fn wait_for_room(&mut self, part: usize, lines: &Arc<ServiceLines>, until: Instant) {
        self.progress[part].is_waiting = true;
        let lines = Arc::clone(lines);
        let sender = self.sender.clone();
        let done = self.done.clone();
        let priority = self.request.route.priority;
        let clock = self.parts.tools.clock.clone();
        self.parts.tools.spawner.spawn(async move {
            let room = async {
                lines
                    .wait_for_room(priority)
                    .or(clock.sleep_until(until))
                    .await;
                // The request may have ended.
                let _ = sender.try_send(FanEvent::Room { part });
            };
            room.or(done.cancelled()).await;
        });
    }

    fn send(&mut self, part: usize, purpose: CallPurpose, mut permit: LinePermit) {
        let route = &self.request.route;
        let line = Arc::clone(permit.line());
        let distance = line.distance();
        let late_at = permit.started() + self.parts.times.late_after(route, distance);
        permit.set_late_at(late_at);
        let progress = &mut self.progress[part];
        progress.tried.push(line.name().clone());
        let call = progress.calls.len();
        progress.calls.push(RunningCall {
            line: Arc::clone(&line),
            late_at: Some(late_at),
            is_running: true,
            is_arrived: true,
        });
        self.ledger.record_sent(1);
        self.parts.metrics.called_server(purpose);
        let parts = Arc::clone(self.parts);
        let order = Arc::clone(&self.order);
        let left = self.request.left.clone();
        let sender = self.sender.clone();
        let route = Arc::clone(route);
        let (content, is_suspect) = (self.request.content, self.request.is_suspect);
        self.parts.tools.spawner.spawn(async move {
            let started = permit.started();
            let end = parts.tools.call(&order, permit, &left).await;
            let took = parts.tools.clock.now().saturating_duration_since(started);
            if let CallEnd::Lost(LostCause::Broken) = &end {
                parts.guard.connection_lost(content, &line);
            }
            if let CallEnd::Answered(answer) = &end
                && answer.status.is_success()
            {
                // A crash that an earlier call met may not be known yet.
                if is_suspect || purpose != CallPurpose::First {
                    parts.guard.succeeded(content);
                }
                parts.times.record(&route, distance, took);
            } else {
                event!(
                    Info,
                    "server-call-failed",
                    request = order.head.id,
                    route = route.name,
                    server = line.name(),
                    purpose = purpose,
                    end = end.name(),
                    took_us = took.as_micros()
                );
            }
            parts.metrics.call_ended(&end);
            // The request may have its answer already.
            let _ = sender.try_send(FanEvent::Ended { part, call, end });
        });
    }

    fn take(&mut self, part: usize, call: usize, end: CallEnd) {
        let progress = &mut self.progress[part];
        progress.calls[call].is_running = false;
        progress.calls[call].late_at = None;
        progress.last = end.name();
        progress.is_in_doubt = true;
        match end {
            CallEnd::Answered(answer) if answer.status.is_success() => {
                progress.answer.get_or_insert(answer);
                return;
            }
            CallEnd::Answered(answer) => {
                let is_callers_fault = answer.status.is_client_error();
                progress.failure = Some(answer);
                if is_callers_fault {
                    return;
                }
            }
            CallEnd::NotRun(NotRunCause::Rejected | NotRunCause::Misdirected) => {
                progress.rejected += 1;
                self.ledger.record_unsent();
            }
            CallEnd::Unsent(cause) => {
                progress.calls[call].is_arrived = false;
                self.ledger.record_unsent();
                if cause == UnsentCause::CallerLeft {
                    return;
                }
            }
            CallEnd::Lost(_) => {}
        }
        let may_repeat = !self.request.is_suspect || self.progress[part].has_not_run();
        if may_repeat && self.progress[part].may_retry(&self.request.route, MOST_REJECTED) {
            let purpose = self.progress[part].next_purpose();
            self.start(part, purpose);
        }
    }

    /// Marks servers whose calls are late, and asks others: at once if the
    /// budget is rich, else when it is the last chance to answer in time.
    fn hedge_due(&mut self) {
        let now = self.now();
        let due: Vec<usize> = (0..self.progress.len())
            .filter(|part| self.progress[*part].take_late(&self.parts.tools.news, now))
            .collect();
        for part in due {
            if self.request.is_suspect || !self.progress[part].may_hedge(&self.request.route) {
                continue;
            }
            let calls = self.progress[part].calls.len();
            self.start(part, CallPurpose::Hedge);
            let is_sent = self.progress[part].calls.len() > calls;
            if !is_sent && now < self.last_chance {
                self.progress[part].hedge_at = Some(self.last_chance);
            }
        }
    }
}
