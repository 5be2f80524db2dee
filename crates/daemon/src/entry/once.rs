//! Requests that must run at most once.
//!
//! An attempt first obtains the claim for the request's id in the platform's
//! store, then dispatches the request once. It continues after the caller has
//! disconnected or the deadline has passed, so that the claim's outcome is recorded
//! and a caller that resends the request gets the first answer.

use crate::control::lock_quarantine;
use crate::entry::answer::CallerAnswer;
use crate::entry::group_query::{GroupQuery, ShardOutcome};
use crate::entry::{AdmittedRequest, RequestEntry};
use crate::event;
use crate::peer::message::{GroupRequest, RunMode, ShardQuery, ShardResult, UnsentCause};
use crate::store::claims::ClaimReply;
use crate::sync::lock;
use camphorway_model::{AnswerOutcome, GroupId, RefusalReason, SnapshotLayout};
use camphorway_policy::claim::{ClaimState, MAX_KEPT_ANSWER_BYTES};
use camphorway_policy::{ClaimDecision, ClaimWindow, ContentVerdict, UnsentToken};
use futures_lite::FutureExt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// The time after the deadline within which a late answer is still recorded.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(30);

static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// One attempt at a request that must run at most once.
struct OnceAttempt {
    entry: Arc<RequestEntry>,
    admitted: AdmittedRequest,
    /// Identifies the attempt; unique across processes.
    owner: String,
    /// Taken either to dispatch the request or, at the deadline, to refuse it; the
    /// first to take it decides.
    token: Mutex<Option<UnsentToken>>,
}

/// Runs a request at most once.
pub async fn run(
    entry: &Arc<RequestEntry>,
    admitted: AdmittedRequest,
    token: UnsentToken,
) -> CallerAnswer {
    let clock = &entry.context().clock;
    let retention = admitted.view.config.rules.policy.claim_retention;
    match ClaimWindow::of(&admitted.request.id, clock.unix_ms(), retention) {
        ClaimWindow::Open => {}
        // The claim may have been deleted, so whether the request ran is unknown.
        ClaimWindow::Expired => return CallerAnswer::unknown(RefusalReason::Expired),
        ClaimWindow::Future => {
            return CallerAnswer::not_run(&token.refuse(RefusalReason::IssuedInFuture));
        }
    }
    let deadline = admitted.deadline;
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let owner = format!(
        "{}/{:016x}/{number}",
        admitted.view.own,
        entry.incarnation()
    );
    let attempt = Arc::new(OnceAttempt {
        entry: Arc::clone(entry),
        admitted,
        owner,
        token: Mutex::new(Some(token)),
    });
    let (sender, answer) = async_channel::bounded(1);
    let worker = Arc::clone(&attempt);
    entry.context().spawner.spawn(async move {
        if let Some(answer) = worker.claim_and_dispatch().await {
            // Sending fails if the deadline has already answered the caller.
            let _ = sender.try_send(answer);
        }
    });
    let answered = async { answer.recv().await.ok() };
    let late = async {
        clock.sleep_until(deadline).await;
        None
    };
    if let Some(answer) = answered.or(late).await {
        return answer;
    }
    match attempt.take_token() {
        Some(token) => CallerAnswer::not_run(&token.refuse(RefusalReason::Deadline)),
        None => CallerAnswer::unknown(RefusalReason::Deadline),
    }
}

impl OnceAttempt {
    fn take_token(&self) -> Option<UnsentToken> {
        lock(&self.token).take()
    }

    /// Claims and dispatches the request; returns `None` if it was already refused
    /// at the deadline.
    async fn claim_and_dispatch(&self) -> Option<CallerAnswer> {
        let request = &self.admitted.request;
        let content = self.claimed_content();
        let claims = &self.entry.context().claims;
        let reply = claims
            .claim(request.id, &self.owner, content, self.admitted.deadline)
            .await;
        event!(
            Debug,
            "claim",
            request = request.id,
            owner = self.owner,
            reply = format!("{reply:?}")
        );
        match reply {
            ClaimReply::Unavailable => self.refuse(RefusalReason::StoreUnavailable),
            ClaimReply::Decided(ClaimDecision::Conflict) => self.refuse(RefusalReason::IdConflict),
            ClaimReply::Decided(ClaimDecision::InProgress) => {
                Some(CallerAnswer::unknown(RefusalReason::InProgress))
            }
            ClaimReply::Decided(ClaimDecision::Ended { outcome, answer }) => {
                Some(answer_of_ended_claim(outcome, answer))
            }
            ClaimReply::Decided(ClaimDecision::Own) => {
                let Some(token) = self.take_token() else {
                    claims.void(request.id, &self.owner, content);
                    return None;
                };
                // Whether it ran before is unknown. The claim stays, so that it never runs.
                match claims.may_have_lost(&request.id).await {
                    Ok(false) => Some(self.dispatch(token).await),
                    Ok(true) => Some(CallerAnswer::unknown(RefusalReason::Expired)),
                    Err(error) => {
                        event!(
                            Warn,
                            "history-not-read",
                            request = request.id,
                            error = error
                        );
                        Some(CallerAnswer::unknown(RefusalReason::StoreUnavailable))
                    }
                }
            }
        }
    }

    /// The claim's hash; it covers the key too, because the key determines the shard.
    fn claimed_content(&self) -> u64 {
        let key = self.admitted.request.key.as_deref().unwrap_or_default();
        self.admitted.request.content.0 ^ xxh3_64(key.as_bytes()).rotate_left(1)
    }

    fn refuse(&self, reason: RefusalReason) -> Option<CallerAnswer> {
        let token = self.take_token()?;
        Some(CallerAnswer::not_run(&token.refuse(reason)))
    }

    async fn dispatch(&self, mut token: UnsentToken) -> CallerAnswer {
        let service = self.admitted.service();
        let layout = &service.layout.snapshots[self.admitted.snapshot];
        let shard = self.shard_index(layout);
        let mut reason = RefusalReason::Unavailable;
        for group in &service.routes[self.admitted.snapshot][shard] {
            let mut ledger = token.dispatch();
            ledger.record_sent(1);
            let result = self.query(group, layout, shard).await;
            if let Some(ShardResult::Unsent(cause)) = result {
                ledger.record_unsent();
                match ledger.close() {
                    Ok(unsent) => token = unsent,
                    Err(_) => return CallerAnswer::unknown(RefusalReason::LostReply),
                }
                if cause == UnsentCause::TooLate {
                    reason = RefusalReason::Deadline;
                    break;
                }
                if cause == UnsentCause::QueueFull {
                    reason = RefusalReason::Overloaded;
                }
                continue;
            }
            return self.finish(result).await;
        }
        let proof = token.refuse(reason);
        // Only now may another attempt claim the id: this one can no longer run.
        let content = self.claimed_content();
        let claims = &self.entry.context().claims;
        claims.void(self.admitted.request.id, &self.owner, content);
        CallerAnswer::not_run(&proof)
    }

    fn shard_index(&self, layout: &SnapshotLayout) -> usize {
        let request = &self.admitted.request;
        let hash = match &request.key {
            Some(key) => xxh3_64(key.as_bytes()),
            None => xxh3_64(request.id.as_bytes()),
        };
        (hash % layout.shards.len() as u64) as usize
    }

    /// Queries one group; returns `None` if the result stays unknown.
    async fn query(
        &self,
        group: &GroupId,
        layout: &SnapshotLayout,
        shard: usize,
    ) -> Option<ShardResult> {
        let request = &self.admitted.request;
        let placement = &layout.shards[shard];
        let mode = match self.admitted.verdict {
            ContentVerdict::Unrestricted | ContentVerdict::CanaryFirst => RunMode::Once,
            ContentVerdict::SuspectAlone | ContentVerdict::Quarantined(_) => RunMode::Alone,
        };
        let message = GroupRequest {
            request: request.id,
            service: request.service.clone(),
            group: group.clone(),
            snapshot: layout.snapshot,
            shards: vec![ShardQuery {
                shard: placement.shard,
                instance: placement.instance.clone(),
            }],
            rank: request.rank,
            kind: request.kind,
            content: request.content,
            time_left: Duration::ZERO,
            mode,
            idempotent: false,
            body: request.body.clone(),
        };
        let (outcomes, received) = async_channel::bounded::<ShardOutcome>(1);
        let query = GroupQuery {
            entry: Arc::clone(&self.entry),
            view: Arc::clone(&self.admitted.view),
            request: message,
            deadline: self.admitted.deadline,
            outcomes,
            cancel: CancellationToken::new(),
        };
        self.entry.context().spawner.spawn(query.run());
        let clock = &self.entry.context().clock;
        let result = async { received.recv().await.ok().map(|outcome| outcome.result) };
        let late = async {
            clock
                .sleep_until(self.admitted.deadline + LATE_ANSWER_WINDOW)
                .await;
            None
        };
        result.or(late).await
    }

    /// Answers a dispatched request: records a server's answer in the claim, or
    /// reports a crash.
    async fn finish(&self, result: Option<ShardResult>) -> CallerAnswer {
        let context = self.entry.context();
        let request = &self.admitted.request;
        match result {
            Some(ShardResult::Answered(body)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let merged = match serde_json::from_str::<&serde_json::value::RawValue>(&text) {
                    Ok(_) => text,
                    Err(_) => serde_json::Value::from(text).to_string(),
                };
                let answer = (merged.len() <= MAX_KEPT_ANSWER_BYTES).then(|| merged.clone());
                let state = ClaimState::Done {
                    outcome: AnswerOutcome::Complete,
                    answer,
                };
                context.claims.end(request.id, &self.owner, state);
                let now = context.clock.now();
                lock_quarantine(&context.quarantine).record_success(request.content, now);
                CallerAnswer::confirmed(Some(merged))
            }
            Some(ShardResult::Crashed(report)) => {
                let notice = self.entry.notify_crash(report);
                notice.wait(self.admitted.deadline).await;
                CallerAnswer::unknown(RefusalReason::Quarantined)
            }
            Some(ShardResult::NoSnapshot | ShardResult::Failed(_) | ShardResult::Unsent(_))
            | None => CallerAnswer::unknown(RefusalReason::LostReply),
        }
    }
}

fn answer_of_ended_claim(outcome: AnswerOutcome, answer: Option<String>) -> CallerAnswer {
    match outcome {
        AnswerOutcome::Complete | AnswerOutcome::Partial => CallerAnswer::confirmed(answer),
        AnswerOutcome::NotRun | AnswerOutcome::Unknown => {
            CallerAnswer::unknown(RefusalReason::LostReply)
        }
    }
}
