//! One call of one backend server: connection, exchange, and what its end says
//! about the request and the server.

use crate::answer::ServerAnswer;
use crate::ports::{ReplyHead, RequestHead, RunStatus, ServerRequest, WireDialect};
use crate::service_endpoints::CallPermit;
use crate::stall_notices::StallNotices;
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
const MAX_ANSWER_BYTES: usize = 8 * 1_048_576;
/// After the caller has left, a call that is nearly done may still end, since
/// closing its connection costs a new one.
const DISCONNECT_GRACE: Duration = Duration::from_millis(200);
/// A connection that was idle for longer is not used for what must not run
/// twice: if the server has just closed it, nobody can tell whether it ran.
pub const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(500);
/// A connection that was idle for longer is not used.
pub const MAX_IDLE: Duration = Duration::from_secs(60);

/// What a call asks.
#[derive(Debug)]
pub struct CallSpec {
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
pub struct ServerClient<Wire> {
    /// Reads and writes messages.
    pub wire: Arc<Wire>,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Runs connections.
    pub spawner: TaskSpawner,
    /// Tells other fronts which servers stall.
    pub stall_notices: Arc<StallNotices>,
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
    CallerDisconnected,
}

/// Why an answer is missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LostCause {
    /// The connection broke.
    Broken,
    /// The answer ended early or was no answer.
    Malformed,
    /// The answer belongs to another request, or has no signature.
    Mismatched,
    /// The time was over.
    Timeout,
    /// The caller left meanwhile.
    CallerDisconnected,
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
            Self::Unsent(UnsentCause::CallerDisconnected) => "caller-left-unsent",
            Self::Lost(LostCause::Broken) => "connection-lost",
            Self::Lost(LostCause::Malformed) => "answer-broken",
            Self::Lost(LostCause::Mismatched) => "answer-of-another",
            Self::Lost(LostCause::Timeout) => "timeout",
            Self::Lost(LostCause::CallerDisconnected) => "caller-left",
        }
    }
}

impl<Wire> ServerClient<Wire>
where
    Wire: WireDialect,
{
    /// Calls the server of `permit`; `disconnected` is cancelled when the caller leaves.
    pub async fn call(
        &self,
        spec: &CallSpec,
        mut permit: CallPermit,
        disconnected: &CancellationToken,
    ) -> CallEnd {
        if disconnected.is_cancelled() {
            return CallEnd::Unsent(UnsentCause::CallerDisconnected);
        }
        let (mut end, mut outcome) = match permit.take_connection() {
            Some(pooled) => self.exchange(spec, &permit, pooled, disconnected).await,
            None => (
                CallEnd::Unsent(UnsentCause::Closed),
                ReplicaOutcome::Abandoned,
            ),
        };
        // A pooled connection may have closed while it was idle.
        if let CallEnd::Unsent(UnsentCause::Closed) = end {
            (end, outcome) = self
                .connect_and_exchange(spec, &mut permit, disconnected)
                .await;
        }
        if let CallEnd::NotRun(NotRunCause::Misdirected) = end {
            permit.endpoint().set_misdirected();
        }
        let endpoint = Arc::clone(permit.endpoint());
        if let Some(change) = permit.end(outcome, self.clock.now()) {
            self.stall_notices.report(&endpoint, change);
        }
        end
    }

    async fn connect_and_exchange(
        &self,
        spec: &CallSpec,
        permit: &mut CallPermit,
        disconnected: &CancellationToken,
    ) -> (CallEnd, ReplicaOutcome) {
        permit.begin_connecting();
        let connecting = connect(permit.endpoint().record().address, &self.spawner);
        let connected = self.clock.timeout(CONNECT_TIMEOUT, connecting).await;
        permit.end_connecting();
        let cause = match connected {
            Some(Ok(sender)) => return self.exchange(spec, permit, sender, disconnected).await,
            Some(Err(ConnectError::Refused(_))) => UnsentCause::Refused,
            Some(Err(ConnectError::Other(..))) | None => UnsentCause::NotConnected,
        };
        (CallEnd::Unsent(cause), ReplicaOutcome::Unreachable)
    }

    async fn exchange(
        &self,
        spec: &CallSpec,
        permit: &CallPermit,
        mut sender: RequestSender,
        disconnected: &CancellationToken,
    ) -> (CallEnd, ReplicaOutcome) {
        let now = self.clock.now();
        let request = ServerRequest {
            head: &spec.head,
            body: &spec.body,
            server: permit.endpoint().name(),
            time_left: spec.deadline.saturating_duration_since(now),
        };
        let request = self.wire.server_request(&request);
        let replied = async {
            match sender.try_send_request(request).await {
                Ok(response) => self.read_reply(spec, response).await,
                Err(mut error) => Err(match error.take_message() {
                    Some(_) => CallEnd::Unsent(UnsentCause::Closed),
                    None => CallEnd::Lost(LostCause::Broken),
                }),
            }
        };
        let late = async {
            self.clock.sleep_until(spec.deadline).await;
            Err(CallEnd::Lost(LostCause::Timeout))
        };
        let abandoned = async {
            if !spec.idempotent {
                // It runs once at most, so its end is worth waiting for.
                return std::future::pending().await;
            }
            disconnected.cancelled().await;
            self.clock.sleep(DISCONNECT_GRACE).await;
            Err(CallEnd::Lost(LostCause::CallerDisconnected))
        };
        match replied.or(late).or(abandoned).await {
            Ok((reply, answer)) => {
                permit.endpoint().put_idle(sender, reply.idle_limit);
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
        spec: &CallSpec,
        response: Response<Incoming>,
    ) -> Result<(ReplyHead, ServerAnswer), CallEnd> {
        let (parts, body) = response.into_parts();
        let mut reply = self.wire.read_reply(&parts);
        let is_other = reply.request.as_ref().is_some_and(|id| *id != spec.head.id);
        let is_unsigned = parts.status.is_success() && reply.signature.is_none();
        if is_other || is_unsigned || reply.is_encoded {
            return Err(CallEnd::Lost(LostCause::Mismatched));
        }
        let time_left = spec.deadline.saturating_duration_since(self.clock.now());
        let body = read_body(body, MAX_ANSWER_BYTES, time_left).await;
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
        CallEnd::Lost(LostCause::CallerDisconnected) | CallEnd::Unsent(_) => {
            ReplicaOutcome::Abandoned
        }
        CallEnd::Lost(_) | CallEnd::NotRun(_) | CallEnd::Answered(_) => ReplicaOutcome::Failed,
    }
}
