//! One call of one backend server: connection, exchange, and what its end says
//! about the request and the server.

use crate::answer::ServerAnswer;
use crate::ports::{ReplyHead, RequestHead, RunStatus, ServerRequest, WireDialect};
use crate::service_lines::LinePermit;
use crate::stall_news::StallNews;
use bytes::Bytes;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::http_client::{ConnectError, RequestSender, connect};
use camphorway_daemon::http_port::{BodyError, read_body};
use camphorway_daemon::task::TaskSpawner;
use camphorway_policy::ReplicaOutcome;
use futures_lite::FutureExt;
use hyper::Response;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest answer of a server, in bytes.
const MOST_ANSWER: usize = 8 * 1_048_576;
/// After the caller has left, a call that is nearly done may still end, since
/// closing its connection costs a new one.
const LEFT_GRACE: Duration = Duration::from_millis(200);
/// A connection that was idle for longer is not used for what must not run
/// twice: if the server has just closed it, nobody can tell whether it ran.
pub const ONCE_MOST_IDLE: Duration = Duration::from_millis(500);
/// A connection that was idle for longer is not used.
pub const MOST_IDLE: Duration = Duration::from_secs(60);

/// What a call asks.
#[derive(Debug)]
pub struct CallOrder {
    /// The request's head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the answer is worthless.
    pub deadline: Instant,
}

/// What calls need of the daemon.
#[derive(Clone, Debug)]
pub struct CallTools<Wire> {
    /// Reads and writes messages.
    pub wire: Arc<Wire>,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Runs connections.
    pub spawner: TaskSpawner,
    /// Tells other fronts which servers stall.
    pub news: Arc<StallNews>,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallEnd {
    /// The server ran the request; its answer is whole.
    Answered(ServerAnswer),
    /// The server got the request and did not run it.
    NotRun(NotRunCause),
    /// No byte of the request was sent.
    Unsent(UnsentCause),
    /// It may have run.
    Lost(LostCause),
}

/// Why a server did not run a request that reached it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// It said so.
    Rejected,
    /// It is not the server that was meant.
    Misdirected,
}

/// Why nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnsentCause {
    /// The port is closed.
    Refused,
    /// No connection in time, or another error.
    NotConnected,
    /// The connection had closed before.
    Closed,
    /// The caller left before.
    CallerLeft,
}

/// Why an answer is missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LostCause {
    /// The connection broke.
    Broken,
    /// The answer ended early or was no answer.
    Malformed,
    /// The answer belongs to another request, or has no signature.
    Foreign,
    /// The time was over.
    Timeout,
    /// The caller left meanwhile.
    CallerLeft,
}

impl CallEnd {
    /// A word for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(answer) if answer.status.is_success() => "answered",
            Self::Answered(_) => "failure-answered",
            Self::NotRun(NotRunCause::Rejected) => "rejected",
            Self::NotRun(NotRunCause::Misdirected) => "misdirected",
            Self::Unsent(UnsentCause::Refused) => "connection-refused",
            Self::Unsent(UnsentCause::NotConnected) => "not-connected",
            Self::Unsent(UnsentCause::Closed) => "connection-closed",
            Self::Unsent(UnsentCause::CallerLeft) => "caller-left-unsent",
            Self::Lost(LostCause::Broken) => "connection-lost",
            Self::Lost(LostCause::Malformed) => "answer-broken",
            Self::Lost(LostCause::Foreign) => "answer-of-another",
            Self::Lost(LostCause::Timeout) => "timeout",
            Self::Lost(LostCause::CallerLeft) => "caller-left",
        }
    }
}

impl<Wire> CallTools<Wire>
where
    Wire: WireDialect,
{
    /// Calls the server of `permit`; `left` is cancelled when the caller leaves.
    pub async fn call(
        &self,
        order: &CallOrder,
        mut permit: LinePermit,
        left: &CancellationToken,
    ) -> CallEnd {
        if left.is_cancelled() {
            return CallEnd::Unsent(UnsentCause::CallerLeft);
        }
        let (mut end, mut outcome) = match permit.take_connection() {
            Some(pooled) => self.exchange(order, &permit, pooled, left).await,
            None => (
                CallEnd::Unsent(UnsentCause::Closed),
                ReplicaOutcome::Abandoned,
            ),
        };
        // A pooled connection may have closed while it was idle.
        if let CallEnd::Unsent(UnsentCause::Closed) = end {
            (end, outcome) = self.connect_and_exchange(order, &mut permit, left).await;
        }
        if let CallEnd::NotRun(NotRunCause::Misdirected) = end {
            permit.line().set_misdirected();
        }
        let line = Arc::clone(permit.line());
        if let Some(change) = permit.end(outcome, self.clock.now()) {
            self.news.tell(&line, change);
        }
        end
    }

    async fn connect_and_exchange(
        &self,
        order: &CallOrder,
        permit: &mut LinePermit,
        left: &CancellationToken,
    ) -> (CallEnd, ReplicaOutcome) {
        permit.begin_connecting();
        let connecting = connect(permit.line().record().address, &self.spawner);
        let connected = self.clock.timeout(CONNECT_TIMEOUT, connecting).await;
        permit.end_connecting();
        let cause = match connected {
            Some(Ok(sender)) => return self.exchange(order, permit, sender, left).await,
            Some(Err(ConnectError::Refused(_))) => UnsentCause::Refused,
            Some(Err(ConnectError::Other(..))) | None => UnsentCause::NotConnected,
        };
        (CallEnd::Unsent(cause), ReplicaOutcome::Unreachable)
    }

    async fn exchange(
        &self,
        order: &CallOrder,
        permit: &LinePermit,
        mut sender: RequestSender,
        left: &CancellationToken,
    ) -> (CallEnd, ReplicaOutcome) {
        let now = self.clock.now();
        let ask = ServerRequest {
            head: &order.head,
            body: &order.body,
            server: permit.line().name(),
            time_left: order.deadline.saturating_duration_since(now),
        };
        let request = self.wire.server_request(&ask);
        let replied = async {
            match sender.try_send_request(request).await {
                Ok(response) => self.read_reply(order, response).await,
                Err(mut error) => Err(match error.take_message() {
                    Some(_) => CallEnd::Unsent(UnsentCause::Closed),
                    None => CallEnd::Lost(LostCause::Broken),
                }),
            }
        };
        let late = async {
            self.clock.sleep_until(order.deadline).await;
            Err(CallEnd::Lost(LostCause::Timeout))
        };
        let deserted = async {
            if !order.idempotent {
                // It runs once at most, so its end is worth waiting for.
                return std::future::pending().await;
            }
            left.cancelled().await;
            self.clock.sleep(LEFT_GRACE).await;
            Err(CallEnd::Lost(LostCause::CallerLeft))
        };
        match replied.or(late).or(deserted).await {
            Ok((reply, answer)) => {
                permit.line().put_idle(sender, reply.idle_limit);
                let outcome = outcome_of(&reply, &answer);
                (end_of(reply.run, answer), outcome)
            }
            Err(end) => {
                let outcome = failed_outcome(&end);
                (end, outcome)
            }
        }
    }

    async fn read_reply(
        &self,
        order: &CallOrder,
        response: Response<Incoming>,
    ) -> Result<(ReplyHead, ServerAnswer), CallEnd> {
        let (parts, body) = response.into_parts();
        let mut reply = self.wire.read_reply(&parts);
        let is_other = reply
            .request
            .as_ref()
            .is_some_and(|id| *id != order.head.id);
        let is_unsigned = parts.status.is_success() && reply.signature.is_none();
        if is_other || is_unsigned || reply.is_encoded {
            return Err(CallEnd::Lost(LostCause::Foreign));
        }
        let time_left = order.deadline.saturating_duration_since(self.clock.now());
        let body = read_body(body, MOST_ANSWER, time_left).await;
        let body = body.map_err(|error| {
            CallEnd::Lost(match error {
                BodyError::TooSlow => LostCause::Timeout,
                BodyError::Broken | BodyError::TooLarge => LostCause::Malformed,
            })
        })?;
        let answer = ServerAnswer {
            status: parts.status,
            headers: std::mem::take(&mut reply.headers),
            signature: reply.signature.take(),
            body,
        };
        Ok((reply, answer))
    }
}

fn end_of(run: RunStatus, answer: ServerAnswer) -> CallEnd {
    match run {
        RunStatus::Ran => CallEnd::Answered(answer),
        RunStatus::Rejected => CallEnd::NotRun(NotRunCause::Rejected),
        RunStatus::Misdirected => CallEnd::NotRun(NotRunCause::Misdirected),
    }
}

fn outcome_of(reply: &ReplyHead, answer: &ServerAnswer) -> ReplicaOutcome {
    match reply.run {
        RunStatus::Ran if answer.status.is_server_error() => ReplicaOutcome::Failed,
        RunStatus::Ran => ReplicaOutcome::Answered,
        RunStatus::Rejected => ReplicaOutcome::Rejected,
        RunStatus::Misdirected => ReplicaOutcome::Unreachable,
    }
}

fn failed_outcome(end: &CallEnd) -> ReplicaOutcome {
    match end {
        CallEnd::Lost(LostCause::Timeout) => ReplicaOutcome::TimedOut,
        CallEnd::Lost(LostCause::Broken) => ReplicaOutcome::Reset,
        CallEnd::Lost(LostCause::CallerLeft) | CallEnd::Unsent(_) => ReplicaOutcome::Abandoned,
        CallEnd::Lost(_) | CallEnd::NotRun(_) | CallEnd::Answered(_) => ReplicaOutcome::Failed,
    }
}
