//! The calls for one shard of one request: choice of the replica, hedging,
//! retries, and the exchange with the backend server.

use crate::event;
use crate::holder::pool::{PoolError, PooledConnection};
use crate::holder::port::{ServerPort, SlotAsk, SlotPermit};
use crate::holder::protocol::{self, ReplyKind, ServerRequest};
use crate::holder::{GroupHolder, ShardTask};
use crate::http_port::read_body;
use crate::metrics::CallPurpose;
use crate::peer::message::{FailCause, NotSentReason, RunMode, ShardResult};
use bytes::Bytes;
use camphorway_model::{RequestRank, ShardId};
use camphorway_policy::{CallEnd, CallId, CrashReport, ServerState, WaitingCall};
use futures_lite::FutureExt;
use hyper::Response;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const MOST_ANSWER: usize = 8 * 1_048_576;
const MOST_ATTEMPTS: usize = 3;
const LEAST_HEDGE_DELAY: Duration = Duration::from_millis(1);
const HEDGE_QUANTILE: f64 = 0.95;
/// How long a cancelled call may still hold its connection.
const CANCEL_GRACE: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How one try ended.
#[derive(Debug)]
enum AttemptEnd {
    Answered(Bytes),
    NotSent(NotSentReason),
    NoSnapshot,
    Crashed(CrashReport),
    Failed(FailCause),
    Preempted,
    Cancelled,
}

/// The calls for one shard.
#[derive(Debug)]
pub struct ShardCall {
    holder: Arc<GroupHolder>,
    task: ShardTask,
    shard: ShardId,
    servers: Vec<Arc<ServerPort>>,
}

/// State of the tries of one shard call.
struct Attempts {
    ends: async_channel::Receiver<AttemptEnd>,
    sender: async_channel::Sender<AttemptEnd>,
    used: Vec<usize>,
    /// Whether a try was cancelled for a more urgent call; it happens once.
    preempted: bool,
    outstanding: usize,
    sent: bool,
    last: ShardResult,
    cancel: CancellationToken,
}

impl ShardCall {
    /// A call for `shard` to one of `servers`.
    pub fn new(
        holder: Arc<GroupHolder>,
        task: ShardTask,
        shard: ShardId,
        servers: Vec<Arc<ServerPort>>,
    ) -> Self {
        Self {
            holder,
            task,
            shard,
            servers,
        }
    }

    /// Runs until there is an answer, or none can be had in time.
    pub async fn run(self) -> ShardResult {
        let (sender, ends) = async_channel::bounded(MOST_ATTEMPTS + 1);
        let mut attempts = Attempts {
            ends,
            sender,
            used: Vec::new(),
            preempted: false,
            outstanding: 0,
            sent: false,
            last: GroupHolder::unavailable(),
            cancel: self.task.cancel.child_token(),
        };
        // Whatever still runs when the result is known is cancelled.
        let guard = attempts.cancel.clone().drop_guard();
        let result = self.drive(&mut attempts).await;
        drop(guard);
        result
    }

    async fn drive(&self, attempts: &mut Attempts) -> ShardResult {
        let Some(first) = self.choose(attempts) else {
            return GroupHolder::unavailable();
        };
        let hedge_at = self.hedge_time();
        self.start(first, CallPurpose::First, attempts);
        let mut hedged = !self.may_repeat();
        while attempts.outstanding > 0 {
            let hedge_at = if hedged { None } else { hedge_at };
            match self.next_event(attempts, hedge_at).await {
                CallEvent::Ended(AttemptEnd::Answered(body)) => return ShardResult::Answered(body),
                CallEvent::Ended(end) => self.ended(end, attempts),
                CallEvent::HedgeDue => {
                    hedged = true;
                    self.hedge(attempts);
                }
                CallEvent::Late => return Self::late(attempts),
                CallEvent::Cancelled => return ShardResult::Failed(FailCause::Timeout),
            }
        }
        if attempts.sent && matches!(attempts.last, ShardResult::NotSent(_)) {
            return ShardResult::Failed(FailCause::Lost);
        }
        attempts.last.clone()
    }

    fn late(attempts: &Attempts) -> ShardResult {
        // A try that has not got its slot yet is withdrawn by its own guard, but
        // from here it can't be told from one that was just sent.
        if attempts.outstanding > 0 || attempts.sent {
            return ShardResult::Failed(FailCause::Timeout);
        }
        ShardResult::NotSent(NotSentReason::Late)
    }

    async fn next_event(&self, attempts: &Attempts, hedge_at: Option<Instant>) -> CallEvent {
        let clock = self.holder.clock();
        let ended = async {
            match attempts.ends.recv().await {
                Ok(end) => CallEvent::Ended(end),
                Err(_) => CallEvent::Cancelled,
            }
        };
        let cancelled = async {
            self.task.cancel.cancelled().await;
            CallEvent::Cancelled
        };
        // Each try ends itself at the deadline; the margin lets it say how.
        let late = async {
            clock.sleep_until(self.task.deadline + CANCEL_GRACE).await;
            CallEvent::Late
        };
        let hedge = async {
            match hedge_at {
                Some(at) => clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
            CallEvent::HedgeDue
        };
        ended.or(cancelled).or(hedge).or(late).await
    }

    fn ended(&self, end: AttemptEnd, attempts: &mut Attempts) {
        attempts.outstanding -= 1;
        if matches!(end, AttemptEnd::Preempted) && attempts.outstanding == 0 {
            self.restart(attempts);
            return;
        }
        let (result, retriable) = match end {
            AttemptEnd::Answered(body) => (ShardResult::Answered(body), false),
            AttemptEnd::NotSent(NotSentReason::Late) => {
                (ShardResult::NotSent(NotSentReason::Late), false)
            }
            AttemptEnd::NotSent(reason) => (ShardResult::NotSent(reason), true),
            AttemptEnd::NoSnapshot => (ShardResult::NoSnapshot, true),
            AttemptEnd::Crashed(report) => (ShardResult::Crashed(report), false),
            AttemptEnd::Failed(cause) => (ShardResult::Failed(cause), true),
            AttemptEnd::Preempted => (ShardResult::Failed(FailCause::Refused), true),
            AttemptEnd::Cancelled => (ShardResult::Failed(FailCause::Timeout), false),
        };
        let unsent = matches!(result, ShardResult::NotSent(_));
        attempts.sent |= !unsent;
        attempts.last = result;
        // What was not sent may go elsewhere even if it may run only once.
        let may = retriable && (unsent || self.may_repeat());
        if may && attempts.outstanding == 0 && attempts.used.len() < MOST_ATTEMPTS {
            self.retry(attempts);
        }
    }

    /// Runs a preempted call again: it was our own decision to stop it, so this
    /// costs no budget and any server will do.
    fn restart(&self, attempts: &mut Attempts) {
        attempts.sent = true;
        attempts.preempted = true;
        attempts.used.clear();
        attempts.last = ShardResult::Failed(FailCause::Refused);
        if let Some(server) = self.choose(attempts) {
            self.start(server, CallPurpose::Retry, attempts);
        }
    }

    fn retry(&self, attempts: &mut Attempts) {
        let Some(server) = self.choose(attempts) else {
            return;
        };
        if self.holder.budgets().retry.spend(1) {
            self.start(server, CallPurpose::Retry, attempts);
        }
    }

    fn hedge(&self, attempts: &mut Attempts) {
        let Some(server) = self.choose(attempts) else {
            return;
        };
        // A hedge that would queue takes a slot from a first call.
        if self.servers[server].is_idle() && self.holder.budgets().hedge.spend() {
            self.start(server, CallPurpose::Hedge, attempts);
        }
    }

    /// Whether the request may run on a second server.
    fn may_repeat(&self) -> bool {
        self.task.request.idempotent && self.task.request.mode == RunMode::Free
    }

    /// When the first try counts as slow: the best replica's running quantile.
    fn hedge_time(&self) -> Option<Instant> {
        let quantiles = self
            .servers
            .iter()
            .filter_map(|port| port.latency(HEDGE_QUANTILE));
        let delay = quantiles.min()?.max(LEAST_HEDGE_DELAY);
        let paced = self.holder.budgets().hedge.delay(delay);
        Some(self.holder.clock().now() + paced)
    }

    /// The replica expected to answer first, among those not tried yet.
    fn choose(&self, attempts: &Attempts) -> Option<usize> {
        let now = self.holder.clock().now();
        let snapshot = self.task.request.snapshot;
        let rank = self.task.request.rank;
        let candidates = || {
            let fresh = (0..self.servers.len()).filter(|index| !attempts.used.contains(index));
            fresh.filter(|index| self.servers[*index].state() != ServerState::Leaving)
        };
        let cost = |index: &usize| self.servers[*index].expected_time(rank);
        let good = |index: &usize| {
            let port = &self.servers[*index];
            port.is_usable(now) && port.may_hold(snapshot)
        };
        // A closed server whose probe is due gets this call, or it would never reopen.
        let probe = candidates()
            .find(|index| good(index) && self.servers[*index].state() == ServerState::Closed);
        if self.may_repeat()
            && self.servers.len() > 1
            && attempts.used.is_empty()
            && probe.is_some()
        {
            return probe;
        }
        let best = candidates().filter(good).min_by_key(cost);
        best.or_else(|| {
            candidates()
                .filter(|index| self.servers[*index].is_usable(now))
                .min_by_key(cost)
        })
    }

    fn start(&self, server: usize, purpose: CallPurpose, attempts: &mut Attempts) {
        attempts.used.push(server);
        attempts.outstanding += 1;
        let attempt = Attempt {
            holder: Arc::clone(&self.holder),
            task: self.task.clone(),
            shard: self.shard,
            port: Arc::clone(&self.servers[server]),
            purpose,
            preemptible: !attempts.preempted,
            cancel: attempts.cancel.clone(),
        };
        let sender = attempts.sender.clone();
        self.holder.spawner().spawn(async move {
            let end = attempt.run().await;
            let _ = sender.try_send(end);
        });
    }
}

enum CallEvent {
    Ended(AttemptEnd),
    HedgeDue,
    Late,
    Cancelled,
}

/// One try at one server.
struct Attempt {
    holder: Arc<GroupHolder>,
    task: ShardTask,
    shard: ShardId,
    port: Arc<ServerPort>,
    purpose: CallPurpose,
    preemptible: bool,
    cancel: CancellationToken,
}

impl Attempt {
    async fn run(self) -> AttemptEnd {
        let request = &self.task.request;
        let call = WaitingCall {
            id: CallId(0),
            rank: request.rank,
            kind: request.kind,
            deadline: self.task.deadline,
            preemptible: self.preemptible
                && request.idempotent
                && request.rank == RequestRank::Bulk,
            exclusive: request.mode == RunMode::Alone,
        };
        let ask = SlotAsk { call };
        let granted = async { Some(self.port.acquire(&ask).await) };
        let late = async {
            self.holder.clock().sleep_until(self.task.deadline).await;
            Some(Err(NotSentReason::Late))
        };
        let cancelled = async {
            self.cancel.cancelled().await;
            None
        };
        let permit = match granted.or(late).or(cancelled).await {
            Some(Ok(permit)) => permit,
            Some(Err(reason)) => return AttemptEnd::NotSent(reason),
            None => return AttemptEnd::NotSent(NotSentReason::Late),
        };
        match self.connect().await {
            Ok(connection) => self.exchange(permit, connection).await,
            Err(error) => {
                self.log("server-connect-failed", &error.to_string());
                let end = match error {
                    PoolError::Full(_) => CallEnd::NotSent,
                    PoolError::Connect(_) => CallEnd::Failed,
                };
                permit.end(end);
                AttemptEnd::NotSent(NotSentReason::Unavailable)
            }
        }
    }

    async fn connect(&self) -> Result<PooledConnection, PoolError> {
        let checkout = self.port.pool().checkout();
        let limit = self.holder.clock().timeout(CONNECT_TIMEOUT, checkout).await;
        limit.unwrap_or_else(|| {
            let address = self.port.server().address;
            let error = crate::http_client::ConnectError::Other(address, "timeout".to_owned());
            Err(PoolError::Connect(error))
        })
    }

    /// Sends the call and waits for its reply. The slot is freed only when the
    /// server is known to have ended the call or the connection is closed.
    async fn exchange(&self, permit: SlotPermit, mut connection: PooledConnection) -> AttemptEnd {
        let clock = self.holder.clock();
        let started = clock.now();
        let call = self.server_request(&permit, started);
        self.holder.metrics().called_server(self.purpose);
        self.log("server-call", "");
        let mut reply = std::pin::pin!(connection.sender().send_request(call.to_http()));
        let stopped = async {
            let preempted = async {
                permit.preempt.cancelled().await;
                Stop::Preempted
            };
            let cancelled = async {
                self.cancel.cancelled().await;
                Stop::Cancelled
            };
            let late = async {
                clock.sleep_until(self.task.deadline).await;
                Stop::Late
            };
            Err(preempted.or(cancelled).or(late).await)
        };
        let replied = async { Ok(reply.as_mut().await) };
        let (outcome, stop) = match replied.or(stopped).await {
            Ok(outcome) => (Some(outcome), None),
            Err(stop) => {
                self.cancel_at_server(call.call);
                (clock.timeout(CANCEL_GRACE, reply).await, Some(stop))
            }
        };
        let took = clock.now().saturating_duration_since(started);
        match outcome {
            Some(Ok(response)) => {
                let (end, slot) = self.judge(&call, response, took).await;
                if !matches!(
                    end,
                    AttemptEnd::Failed(FailCause::Mismatch | FailCause::Lost)
                ) {
                    connection.put_back();
                }
                permit.end(if stop.is_some() && slot == CallEnd::Failed {
                    CallEnd::Cancelled
                } else {
                    slot
                });
                stop.map_or(end, Stop::end)
            }
            Some(Err(cause)) => {
                drop(connection);
                self.lost(permit, &cause).await
            }
            None => {
                drop(connection);
                // A server that ignores both deadline and cancellation may be frozen.
                permit.end(if stop == Some(Stop::Late) {
                    CallEnd::Failed
                } else {
                    CallEnd::Cancelled
                });
                stop.unwrap_or(Stop::Late).end()
            }
        }
    }

    fn server_request(&self, permit: &SlotPermit, now: Instant) -> ServerRequest<'_> {
        let request = &self.task.request;
        ServerRequest {
            request: request.request,
            call: permit.call(),
            service: &request.service,
            shard: self.shard,
            snapshot: request.snapshot,
            time_left: self.task.deadline.saturating_duration_since(now),
            rank: request.rank,
            idempotent: request.idempotent,
            body: &request.body,
        }
    }

    /// What a reply means for the call and for the slot.
    async fn judge(
        &self,
        call: &ServerRequest<'_>,
        response: Response<Incoming>,
        took: Duration,
    ) -> (AttemptEnd, CallEnd) {
        let headers = response.headers().clone();
        if !call.is_answered_by(&headers) {
            self.holder.metrics().mismatched_replies.inc();
            self.log("reply-mismatch", "");
            return (AttemptEnd::Failed(FailCause::Mismatch), CallEnd::Failed);
        }
        if let Some(boot) = protocol::boot_number(&headers) {
            self.port.set_boot(boot);
        }
        let kind = protocol::reply_kind(response.status(), &headers);
        let time_left = self
            .task
            .deadline
            .saturating_duration_since(self.holder.clock().now());
        let body = read_body(
            response.into_body(),
            MOST_ANSWER,
            time_left.max(CANCEL_GRACE),
        )
        .await;
        let Ok(body) = body else {
            return (AttemptEnd::Failed(FailCause::Lost), CallEnd::Failed);
        };
        match kind {
            ReplyKind::Answer => (AttemptEnd::Answered(body), CallEnd::Answered { took }),
            ReplyKind::NoSnapshot(held) => {
                self.port.set_held(held);
                (AttemptEnd::NoSnapshot, CallEnd::Cancelled)
            }
            ReplyKind::Shed => (AttemptEnd::Failed(FailCause::Refused), CallEnd::Shed),
            ReplyKind::Draining => (AttemptEnd::Failed(FailCause::Refused), CallEnd::Draining),
            ReplyKind::Abandoned => (AttemptEnd::Failed(FailCause::Timeout), CallEnd::Cancelled),
            ReplyKind::Refused => (AttemptEnd::Failed(FailCause::Refused), CallEnd::Failed),
        }
    }

    /// The connection was lost in the middle of the call.
    async fn lost(&self, permit: SlotPermit, cause: &hyper::Error) -> AttemptEnd {
        self.log("server-connection-lost", &cause.to_string());
        let running = permit.port().running_at_loss();
        let crashed = permit.port().has_crashed().await;
        let report = permit
            .port()
            .crash_report(self.task.request.content, running <= 1);
        permit.end(CallEnd::Failed);
        if !crashed {
            return AttemptEnd::Failed(FailCause::Lost);
        }
        self.log("server-crashed", "");
        self.holder.report_crash(report.clone());
        AttemptEnd::Crashed(report)
    }

    /// Asks the server to end a call, over another connection.
    fn cancel_at_server(&self, call: u64) {
        let port = Arc::clone(&self.port);
        let clock = self.holder.clock().clone();
        self.holder.spawner().spawn(async move {
            let cancel = async {
                let Ok(mut connection) = port.pool().checkout().await else {
                    return;
                };
                if connection
                    .sender()
                    .send_request(protocol::cancel_request(call))
                    .await
                    .is_ok()
                {
                    connection.put_back();
                }
            };
            clock.timeout(CANCEL_GRACE, cancel).await;
        });
    }

    fn log(&self, name: &'static str, cause: &str) {
        event!(
            Debug,
            "server-call",
            step = name,
            request = self.task.request.request,
            shard = self.shard,
            snapshot = self.task.request.snapshot,
            server = self.port.server().name,
            purpose = self.purpose,
            cause = cause
        );
    }
}

/// Why a call was stopped before its reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stop {
    Preempted,
    Cancelled,
    Late,
}

impl Stop {
    fn end(self) -> AttemptEnd {
        match self {
            Self::Preempted => AttemptEnd::Preempted,
            Self::Cancelled => AttemptEnd::Cancelled,
            Self::Late => AttemptEnd::Failed(FailCause::Timeout),
        }
    }
}
