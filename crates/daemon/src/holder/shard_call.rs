//! The calls for one shard of one request: replica selection, hedging and retries.

mod attempt;

use crate::holder::endpoint::ServerEndpoint;
use crate::holder::shard_call::attempt::{Attempt, AttemptEnd, CANCEL_GRACE};
use crate::holder::{GroupHolder, ShardTask};
use crate::metrics::CallPurpose;
use crate::peer::message::{FailCause, RunMode, ShardResult, UnsentCause};
use camphorway_model::ShardId;
use camphorway_policy::ServerState;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const MAX_ATTEMPTS: usize = 3;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
const HEDGE_QUANTILE: f64 = 0.95;

/// The calls for one shard.
#[derive(Debug)]
pub struct ShardCall {
    holder: Arc<GroupHolder>,
    task: ShardTask,
    shard: ShardId,
    servers: Vec<Arc<ServerEndpoint>>,
}

/// The attempts of one shard call.
struct CallAttempts {
    ends: async_channel::Receiver<AttemptEnd>,
    sender: async_channel::Sender<AttemptEnd>,
    used: Vec<usize>,
    /// Whether a more urgent call preempted an attempt; it happens once at most.
    preempted: bool,
    outstanding: usize,
    sent: bool,
    last: ShardResult,
    cancel: CancellationToken,
}

impl ShardCall {
    /// Creates a call for `shard` to one of `servers`.
    pub fn new(
        holder: Arc<GroupHolder>,
        task: ShardTask,
        shard: ShardId,
        servers: Vec<Arc<ServerEndpoint>>,
    ) -> Self {
        Self {
            holder,
            task,
            shard,
            servers,
        }
    }

    /// Runs until there is an answer, no attempt is left, or time runs out.
    pub async fn run(self) -> ShardResult {
        let (sender, ends) = async_channel::bounded(MAX_ATTEMPTS + 1);
        let mut attempts = CallAttempts {
            ends,
            sender,
            used: Vec::new(),
            preempted: false,
            outstanding: 0,
            sent: false,
            last: GroupHolder::unavailable(),
            cancel: self.task.cancel.child_token(),
        };
        // Dropping the guard cancels the attempts that still run.
        let guard = attempts.cancel.clone().drop_guard();
        let result = self.drive(&mut attempts).await;
        drop(guard);
        result
    }

    async fn drive(&self, attempts: &mut CallAttempts) -> ShardResult {
        let Some(first) = self.choose_server(attempts) else {
            return GroupHolder::unavailable();
        };
        let hedge_at = self.hedge_time();
        self.start(first, CallPurpose::First, attempts);
        let mut hedged = !self.may_repeat();
        while attempts.outstanding > 0 {
            let hedge_at = if hedged { None } else { hedge_at };
            match self.next_event(attempts, hedge_at).await {
                CallEvent::Ended(AttemptEnd::Answered(body)) => return ShardResult::Answered(body),
                CallEvent::Ended(end) => self.handle_end(end, attempts),
                CallEvent::HedgeDue => {
                    hedged = true;
                    self.hedge(attempts);
                }
                CallEvent::DeadlinePassed => return Self::late_result(attempts),
                CallEvent::Cancelled => return ShardResult::Failed(FailCause::Timeout),
            }
        }
        if attempts.sent && matches!(attempts.last, ShardResult::Unsent(_)) {
            return ShardResult::Failed(FailCause::Lost);
        }
        attempts.last.clone()
    }

    fn late_result(attempts: &CallAttempts) -> ShardResult {
        // An attempt without a slot is withdrawn by its own guard, but it can't be
        // distinguished here from one that was just sent.
        if attempts.outstanding > 0 || attempts.sent {
            return ShardResult::Failed(FailCause::Timeout);
        }
        ShardResult::Unsent(UnsentCause::TooLate)
    }

    async fn next_event(&self, attempts: &CallAttempts, hedge_at: Option<Instant>) -> CallEvent {
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
        // Each attempt ends itself at the deadline; the grace period lets it report how.
        let late = async {
            clock.sleep_until(self.task.deadline + CANCEL_GRACE).await;
            CallEvent::DeadlinePassed
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

    fn handle_end(&self, end: AttemptEnd, attempts: &mut CallAttempts) {
        attempts.outstanding -= 1;
        if matches!(end, AttemptEnd::Preempted) && attempts.outstanding == 0 {
            self.restart(attempts);
            return;
        }
        let (result, retriable) = match end {
            AttemptEnd::Answered(body) => (ShardResult::Answered(body), false),
            AttemptEnd::Unsent(UnsentCause::TooLate) => {
                (ShardResult::Unsent(UnsentCause::TooLate), false)
            }
            AttemptEnd::Unsent(cause) => (ShardResult::Unsent(cause), true),
            AttemptEnd::NoSnapshot => (ShardResult::NoSnapshot, true),
            AttemptEnd::Crashed(report) => (ShardResult::Crashed(report), false),
            AttemptEnd::Failed(cause) => (ShardResult::Failed(cause), true),
            AttemptEnd::Preempted => (ShardResult::Failed(FailCause::Refused), true),
            AttemptEnd::Cancelled => (ShardResult::Failed(FailCause::Timeout), false),
        };
        let unsent = matches!(result, ShardResult::Unsent(_));
        attempts.sent |= !unsent;
        attempts.last = result;
        // An unsent call may go to another server even if it may run only once.
        let may_retry = retriable && (unsent || self.may_repeat());
        if may_retry && attempts.outstanding == 0 && attempts.used.len() < MAX_ATTEMPTS {
            self.retry(attempts);
        }
    }

    /// Runs a preempted call again. The holder itself stopped it, so this costs no
    /// budget and may use any server, also one already tried.
    fn restart(&self, attempts: &mut CallAttempts) {
        attempts.sent = true;
        attempts.preempted = true;
        attempts.used.clear();
        attempts.last = ShardResult::Failed(FailCause::Refused);
        if let Some(server) = self.choose_server(attempts) {
            self.start(server, CallPurpose::Retry, attempts);
        }
    }

    fn retry(&self, attempts: &mut CallAttempts) {
        let Some(server) = self.choose_server(attempts) else {
            return;
        };
        if self.holder.budgets().retry.spend(1) {
            self.start(server, CallPurpose::Retry, attempts);
        }
    }

    fn hedge(&self, attempts: &mut CallAttempts) {
        let Some(server) = self.choose_server(attempts) else {
            return;
        };
        // A hedge that has to queue would take a slot from a first attempt.
        if self.servers[server].can_start_now() && self.holder.budgets().hedge.spend() {
            self.start(server, CallPurpose::Hedge, attempts);
        }
    }

    /// Whether the request may run on a second server.
    fn may_repeat(&self) -> bool {
        self.task.request.idempotent && self.task.request.mode == RunMode::Free
    }

    /// The time at which the first attempt counts as slow: after the fastest
    /// replica's latency quantile.
    fn hedge_time(&self) -> Option<Instant> {
        let quantiles = self
            .servers
            .iter()
            .filter_map(|endpoint| endpoint.latency(HEDGE_QUANTILE));
        let delay = quantiles.min()?.max(MIN_HEDGE_DELAY);
        let delay = self.holder.budgets().hedge.delay(delay);
        Some(self.holder.clock().now() + delay)
    }

    /// The untried replica that is expected to answer first.
    fn choose_server(&self, attempts: &CallAttempts) -> Option<usize> {
        let now = self.holder.clock().now();
        let snapshot = self.task.request.snapshot;
        let rank = self.task.request.rank;
        let candidates = || {
            let untried = (0..self.servers.len()).filter(|index| !attempts.used.contains(index));
            untried.filter(|index| self.servers[*index].state() != ServerState::Leaving)
        };
        let cost = |index: &usize| self.servers[*index].expected_time(rank);
        let is_suitable = |index: &usize| {
            let endpoint = &self.servers[*index];
            endpoint.is_usable(now) && endpoint.may_hold(snapshot)
        };
        // A closed server whose probe is due gets this call, or it would never reopen.
        let probe = candidates().find(|index| {
            is_suitable(index) && self.servers[*index].state() == ServerState::Closed
        });
        if self.may_repeat()
            && self.servers.len() > 1
            && attempts.used.is_empty()
            && probe.is_some()
        {
            return probe;
        }
        let best = candidates().filter(is_suitable).min_by_key(cost);
        best.or_else(|| {
            candidates()
                .filter(|index| self.servers[*index].is_usable(now))
                .min_by_key(cost)
        })
    }

    fn start(&self, server: usize, purpose: CallPurpose, attempts: &mut CallAttempts) {
        attempts.used.push(server);
        attempts.outstanding += 1;
        let attempt = Attempt {
            holder: Arc::clone(&self.holder),
            task: self.task.clone(),
            shard: self.shard,
            endpoint: Arc::clone(&self.servers[server]),
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
    DeadlinePassed,
    Cancelled,
}
