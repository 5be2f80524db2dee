//! One call to a backend server: connecting, the exchange, and classifying the
//! result for the request and the server.

use crate::answer::ServerAnswer;
use crate::peers::stall_notices::StallNotices;
use crate::ports::{ReplyHead, RequestHead, RunStatus, ServerRequest, WireDialect};
use crate::servers::call_end::{CallEnd, LostCause, NotRunCause, UnsentCause};
use crate::servers::service_endpoints::CallPermit;
use bytes::Bytes;
use camphorway_daemon::body_memory::BodyMemory;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::http_client::{
    ConnectError, RequestSender, SendError, connect, is_connection_lost, is_final_status,
};
use camphorway_daemon::http_port::BodyError;
use camphorway_daemon::task::TaskSpawner;
use camphorway_policy::ReplicaOutcome;
use futures_lite::FutureExt;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 8 * 1_048_576;
/// After the caller disconnects, a call may still complete within this time,
/// since aborting it costs a connection.
const DISCONNECT_GRACE: Duration = Duration::from_millis(200);
/// A connection that was idle for longer is not used for non-idempotent
/// requests: if the server is just closing it, it is unknown whether the
/// request ran.
pub const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(500);
/// A connection that was idle for longer is not used.
pub const MAX_IDLE: Duration = Duration::from_secs(60);

/// The request that a call sends, and its limits.
#[derive(Debug)]
pub struct CallSpec {
    /// The request's head.
    pub head: RequestHead,
    /// The request's body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time at which the call times out.
    pub deadline: Instant,
}

/// Sends calls to backend servers.
#[derive(Clone, Debug)]
pub struct ServerClient<Wire> {
    /// Reads and writes HTTP messages.
    pub wire: Arc<Wire>,
    /// The front's clock.
    pub clock: DaemonClock,
    /// Runs connections.
    pub spawner: TaskSpawner,
    /// Notifies other fronts of stalled servers.
    pub stall_notices: Arc<StallNotices>,
    /// Limits the memory of answers.
    pub answer_memory: BodyMemory,
}

impl<Wire> ServerClient<Wire>
where
    Wire: WireDialect,
{
    /// Calls the server of `permit`; `disconnected` is cancelled when the caller
    /// disconnects.
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
        // A pooled connection may have been closed while idle.
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
        permit.endpoint().record_sent();
        let replied = async {
            match sender.send(request, MAX_ANSWER_BYTES).await {
                Ok(response) => self.read_reply(spec, permit, response).await,
                Err(SendError::Unsent(_)) => Err(CallEnd::Unsent(UnsentCause::Closed)),
                Err(SendError::Lost(cause)) => Err(CallEnd::Lost(if is_connection_lost(&cause) {
                    LostCause::ConnectionLost
                } else {
                    LostCause::Malformed
                })),
            }
        };
        let timed_out = async {
            self.clock.sleep_until(spec.deadline).await;
            Err(CallEnd::Lost(LostCause::Timeout))
        };
        let caller_disconnected = async {
            if !spec.idempotent {
                // The request can't be repeated, so its result is awaited.
                return std::future::pending().await;
            }
            disconnected.cancelled().await;
            self.clock.sleep(DISCONNECT_GRACE).await;
            Err(CallEnd::Lost(LostCause::CallerDisconnected))
        };
        match replied.or(timed_out).or(caller_disconnected).await {
            Ok((reply, answer)) => {
                permit.endpoint().put_idle(sender, reply.idle_timeout);
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
        permit: &CallPermit,
        response: Response<Incoming>,
    ) -> Result<(ReplyHead, ServerAnswer), CallEnd> {
        let (parts, body) = response.into_parts();
        if !is_final_status(parts.status) {
            return Err(CallEnd::Lost(LostCause::Malformed));
        }
        let mut reply = self.wire.read_reply(&parts);
        if !reply.is_answer_to(&spec.head.id) {
            return Err(CallEnd::Lost(LostCause::Mismatched));
        }
        permit
            .endpoint()
            .apply_signals(&reply.signals, &spec.head.id);
        if !reply.is_usable(parts.status) {
            return Err(CallEnd::Lost(LostCause::Mismatched));
        }
        let is_delimited =
            body.size_hint().exact().is_some() || parts.headers.contains_key(TRANSFER_ENCODING);
        // A body that lasts too long ends with the call.
        let body = self.answer_memory.receive(body, MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| {
            CallEnd::Lost(match error {
                BodyError::Incomplete => LostCause::AnswerCut,
                BodyError::Malformed
                | BodyError::NoMemory
                | BodyError::TooLarge
                | BodyError::TooSlow => LostCause::Malformed,
            })
        })?;
        let answer = ServerAnswer {
            status: parts.status,
            headers: std::mem::take(&mut reply.headers),
            signature: reply.signature.take(),
            body,
            is_delimited,
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
        // A server that has too many connections resets new ones.
        CallEnd::Lost(LostCause::ConnectionLost) => ReplicaOutcome::Reset,
        CallEnd::Lost(LostCause::CallerDisconnected) | CallEnd::Unsent(_) => {
            ReplicaOutcome::Abandoned
        }
        CallEnd::Lost(_) | CallEnd::NotRun(_) | CallEnd::Answered(_) => ReplicaOutcome::Failed,
    }
}
