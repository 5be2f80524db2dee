//! A request's fan-out: a call for each part, extra calls within budgets, and
//! the answer.
//!
//! A route to one service has one part, whose answer is passed on. A route over
//! shards has a part for each, and the parts are merged.

mod budgets;
mod part;
mod times;

pub use budgets::CallBudgets;
pub use times::CallTimes;

use crate::answer::{FailReason, MergedAnswer, RefusedAnswer, RoutedAnswer};
use crate::crash_guard::CrashGuard;
use crate::fan_out::part::{PartProgress, RunningCall};
use crate::knowledge::FeedKnowledge;
use crate::metrics::FrontMetrics;
use crate::ports::WireDialect;
use crate::server_call::{
    CallEnd, CallOrder, CallTools, LostCause, MOST_IDLE, NotRunCause, ONCE_MOST_IDLE, UnsentCause,
};
use crate::server_line::{AcquireError, LinePermit, ServiceLines};
use crate::view::SharedFront;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use camphorway_daemon::event;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::{GatherRule, RefusalReason, RequestRoute, ServiceName};
use camphorway_policy::{ContentHash, DispatchLedger, UnsentToken, greatest_records};
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

/// The part of a budget, 0 to 1, that is left by extra calls without which the
/// answer would still be a success.
const OPTIONAL_RESERVE: f64 = 0.2;
/// The part that is left by hedges that can still be made later.
const EARLY_RESERVE: f64 = 0.6;
/// The part that is left by hedges without which there may be no answer in time.
const HEDGE_RESERVE: f64 = 0.1;
/// A hedge takes this part of the objective; one that is made later than that
/// before the answer is due would not be in it.
const HEDGE_TIME: f64 = 0.4;
/// Calls of a part that servers may reject beside the route's attempts.
const MOST_REJECTED: usize = 2;
/// The answer is built this long before the time limit.
const REPLY_MARGIN: Duration = Duration::from_millis(10);
/// A call of a shard is given up after this many times the objective.
const PATIENCE: u32 = 4;
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);

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
    pub budgets: CallBudgets,
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
        let least = rule.least_parts();
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

    /// Whether the budget lets a call go; first arrivals cost nothing.
    fn may_send(
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

    fn send(&mut self, part: usize, purpose: CallPurpose, permit: LinePermit) {
        let route = &self.request.route;
        let line = Arc::clone(permit.line());
        let distance = line.distance();
        let delay = self.parts.times.late_after(route, distance);
        let progress = &mut self.progress[part];
        progress.tried.push(line.name().clone());
        let call = progress.calls.len();
        progress.calls.push(RunningCall {
            line: Arc::clone(&line),
            late_at: Some(permit.started() + delay),
            is_running: true,
            is_arrived: true,
        });
        self.ledger.sent(1);
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
                if is_suspect {
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
                self.ledger.came_back_unsent();
            }
            CallEnd::Unsent(cause) => {
                progress.calls[call].is_arrived = false;
                self.ledger.came_back_unsent();
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

    fn finish(mut self) -> RoutedAnswer {
        let answer = match &self.request.gather {
            Some(rule) => self.merge(rule),
            None => self.pass(),
        };
        let Some(answer) = answer else {
            return self.fail();
        };
        answer
    }

    fn merge(&self, rule: &GatherRule) -> Option<RoutedAnswer> {
        let answers = self.progress.iter().filter_map(|part| part.answer.as_ref());
        let answers: Vec<_> = answers.collect();
        if answers.len() < rule.least_parts() {
            return None;
        }
        let bodies = answers.iter().map(|answer| answer.body.as_ref());
        let signatures = answers.iter().filter_map(|answer| answer.signature.clone());
        if answers.len() < self.progress.len() {
            self.log_missing("parts-missing");
        }
        Some(RoutedAnswer::Merged(MergedAnswer {
            body: Bytes::from(greatest_records(bodies, rule.top_records)),
            signatures: signatures.collect(),
            missing: self.progress.len() - answers.len(),
        }))
    }

    fn pass(&mut self) -> Option<RoutedAnswer> {
        let part = self.progress.first_mut()?;
        let answer = part.answer.take().or_else(|| part.failure.take())?;
        Some(RoutedAnswer::Passed(answer))
    }

    /// Names the parts without an answer and what happened to each last.
    fn log_missing(&self, name: &str) {
        let missing = self.progress.iter().filter(|part| part.answer.is_none());
        let causes: Vec<String> = missing
            .map(|part| format!("{}:{}", part.service, part.last))
            .collect();
        event!(
            Warn,
            "parts-without-answer",
            request = self.order.head.id,
            route = self.request.route.name,
            step = name,
            parts = causes.join(",")
        );
    }

    /// The answer to a request that has none: a refusal only if nothing ran.
    fn fail(self) -> RoutedAnswer {
        let is_late = self.now() >= self.deadline;
        let few = self.request.gather.is_some();
        self.log_missing("request-without-answer");
        let retry_after = (self.request.route.objective / 4).max(LEAST_RETRY_AFTER);
        let reason = if is_late {
            RefusalReason::Deadline
        } else {
            RefusalReason::Unavailable
        };
        match self.ledger.close() {
            Ok(token) => {
                RoutedAnswer::Refused(RefusedAnswer::new(&token.refuse(reason), retry_after))
            }
            Err(_) if is_late => RoutedAnswer::Failed(FailReason::Timeout),
            Err(_) if few => RoutedAnswer::Failed(FailReason::TooFewParts),
            Err(_) => RoutedAnswer::Failed(FailReason::Lost),
        }
    }
}
