//! A query's fan-out: one group query for each group, results collected as they
//! arrive, and missing shards queried again in other groups within the budgets.

use crate::control::lock_quarantine;
use crate::entry::answer::CallerAnswer;
use crate::entry::crash_notice::CrashNotice;
use crate::entry::group_query::{GroupQuery, ShardOutcome};
use crate::entry::{AdmittedRequest, RequestEntry};
use crate::event;
use crate::peer::message::{
    FailCause, GroupRequest, RunMode, ShardQuery, ShardResult, UnsentCause,
};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use camphorway_model::{CoverageCount, GroupId, MergeKind, RefusalReason, ShardId, SnapshotLayout};
use camphorway_policy::{ContentVerdict, DispatchLedger, UnsentToken};
use futures_lite::FutureExt;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

/// The time before the deadline at which the answer is built.
const REPLY_MARGIN: Duration = Duration::from_millis(1);
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);
const HEDGE_QUANTILE: f64 = 0.95;
const MAX_CANARIES: usize = 3;

/// Runs a query, and restarts it once if another snapshot has more coverage.
pub async fn run(
    entry: &Arc<RequestEntry>,
    mut admitted: AdmittedRequest,
    token: UnsentToken,
) -> CallerAnswer {
    let mut fan_out = FanOut::new(entry, &admitted, token.dispatch());
    fan_out.drive().await;
    let coverage = fan_out.record_coverage();
    // The caller has received nothing yet, so the query may restart.
    let better = if fan_out.lacks_snapshot() && !fan_out.is_late() {
        entry.better_snapshot(&admitted, coverage)
    } else {
        None
    };
    let Some(better) = better else {
        return fan_out.finish().await;
    };
    let ledger = fan_out.into_ledger();
    admitted.snapshot = better;
    let mut fan_out = FanOut::new(entry, &admitted, ledger);
    fan_out.drive().await;
    fan_out.record_coverage();
    fan_out.finish().await
}

/// The progress of one shard.
#[derive(Clone, Debug, Default)]
struct ShardProgress {
    /// The number of the shard's routes used so far, in their order.
    routes_used: usize,
    outstanding: usize,
    is_answered: bool,
    last: Option<ShardResult>,
}

/// One run of a query on one snapshot.
struct FanOut<'query> {
    entry: &'query Arc<RequestEntry>,
    admitted: &'query AdmittedRequest,
    layout: &'query SnapshotLayout,
    routes: &'query [Vec<GroupId>],
    ledger: DispatchLedger,
    answers: BTreeMap<ShardId, Bytes>,
    progress: Vec<ShardProgress>,
    outcomes: Receiver<ShardOutcome>,
    sender: Sender<ShardOutcome>,
    cancel: CancellationToken,
    /// Cancels unfinished group queries when the query ends.
    guard: DropGuard,
    crashed: bool,
    /// The notice to other daemons of the first crash.
    crash_notice: Option<CrashNotice>,
    started_at: Instant,
}

impl<'query> FanOut<'query> {
    fn new(
        entry: &'query Arc<RequestEntry>,
        admitted: &'query AdmittedRequest,
        ledger: DispatchLedger,
    ) -> Self {
        let service = admitted.service();
        let layout = &service.layout.snapshots[admitted.snapshot];
        let routes = &service.routes[admitted.snapshot];
        let (sender, outcomes) = async_channel::unbounded();
        let cancel = CancellationToken::new();
        Self {
            entry,
            admitted,
            layout,
            routes,
            ledger,
            answers: BTreeMap::new(),
            progress: vec![ShardProgress::default(); layout.shards.len()],
            outcomes,
            sender,
            guard: cancel.clone().drop_guard(),
            cancel,
            crashed: false,
            crash_notice: None,
            started_at: entry.context().clock.now(),
        }
    }

    async fn drive(&mut self) {
        self.earn_budgets();
        let may_proceed = match self.admitted.verdict {
            ContentVerdict::Unrestricted => true,
            ContentVerdict::CanaryFirst => self.run_canary(RunMode::Once).await,
            ContentVerdict::SuspectAlone | ContentVerdict::Quarantined(_) => {
                self.run_canary(RunMode::Alone).await
            }
        };
        if !may_proceed {
            return;
        }
        let all: Vec<usize> = (0..self.layout.shards.len()).collect();
        self.query(&all, RunMode::Free);
        let mut hedge_at = self.hedge_time();
        while self.is_waiting() {
            match self.next_event(hedge_at).await {
                FanOutEvent::Outcome(outcome) => self.apply_ready(outcome),
                FanOutEvent::HedgeDue => {
                    hedge_at = None;
                    self.hedge();
                }
                FanOutEvent::ReplyDue => return,
            }
        }
    }

    fn earn_budgets(&self) {
        let policy = &self.admitted.view.config.rules.policy;
        let shards = self.layout.shards.len();
        self.entry.state().budgets.earn(policy, shards);
    }

    /// Whether any shard without an answer may still get one.
    fn is_waiting(&self) -> bool {
        let may_arrive =
            |progress: &ShardProgress| progress.outstanding > 0 && !progress.is_answered;
        self.answers.len() < self.progress.len() && self.progress.iter().any(may_arrive)
    }

    async fn next_event(&self, hedge_at: Option<Instant>) -> FanOutEvent {
        let clock = &self.entry.context().clock;
        let outcome = async {
            match self.outcomes.recv().await {
                Ok(outcome) => FanOutEvent::Outcome(outcome),
                Err(_) => FanOutEvent::ReplyDue,
            }
        };
        let hedge = async {
            match hedge_at {
                Some(at) => clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
            FanOutEvent::HedgeDue
        };
        let late = async {
            clock.sleep_until(self.reply_time()).await;
            FanOutEvent::ReplyDue
        };
        outcome.or(hedge).or(late).await
    }

    /// Applies an outcome and all others that are ready, so that the shards to retry
    /// are sent together.
    fn apply_ready(&mut self, first: ShardOutcome) {
        let mut failed = Vec::new();
        let mut next = Some(first);
        while let Some(outcome) = next {
            failed.extend(self.apply(outcome));
            next = self.outcomes.try_recv().ok();
        }
        if !failed.is_empty() {
            self.retry(&failed);
        }
    }

    /// Applies one outcome; returns the shard's index if it should be retried.
    fn apply(&mut self, outcome: ShardOutcome) -> Option<usize> {
        let index = self.index_of(outcome.shard)?;
        let progress = &mut self.progress[index];
        progress.outstanding = progress.outstanding.saturating_sub(1);
        let result = self.validate(outcome.result);
        match &result {
            ShardResult::Answered(body) => {
                self.answers
                    .entry(outcome.shard)
                    .or_insert_with(|| body.clone());
                self.progress[index].is_answered = true;
                self.record_latency(&outcome.group);
                return None;
            }
            ShardResult::Unsent(_) => self.ledger.record_unsent(),
            ShardResult::Crashed(report) => {
                self.crashed = true;
                let notice = self.entry.notify_crash(report.clone());
                self.crash_notice.get_or_insert(notice);
            }
            ShardResult::NoSnapshot | ShardResult::Failed(_) => {}
        }
        let progress = &mut self.progress[index];
        progress.last = Some(result);
        let is_failed = progress.outstanding == 0 && !self.answers.contains_key(&outcome.shard);
        (is_failed && !self.crashed).then_some(index)
    }

    /// Turns an answer that the service's merge can't process into a failure.
    fn validate(&self, result: ShardResult) -> ShardResult {
        let ShardResult::Answered(body) = &result else {
            return result;
        };
        let is_number =
            || std::str::from_utf8(body).is_ok_and(|text| text.trim().parse::<i64>().is_ok());
        match self.admitted.service().entry.merge {
            MergeKind::Sum if !is_number() => ShardResult::Failed(FailCause::Mismatch),
            MergeKind::Sum | MergeKind::Concat => result,
        }
    }

    fn record_latency(&self, group: &GroupId) {
        let took = self
            .entry
            .context()
            .clock
            .now()
            .saturating_duration_since(self.started_at);
        let mut state = self.entry.state();
        state
            .latency
            .entry(group.domain.clone())
            .or_default()
            .record(took);
    }

    fn index_of(&self, shard: ShardId) -> Option<usize> {
        self.layout
            .shards
            .binary_search_by_key(&shard, |placement| placement.shard)
            .ok()
    }

    /// Queries the shards' next routes, with one group query for each group.
    fn query(&mut self, shards: &[usize], mode: RunMode) {
        let mut by_group: BTreeMap<GroupId, Vec<usize>> = BTreeMap::new();
        for index in shards {
            if self.answers.contains_key(&self.layout.shards[*index].shard) {
                continue;
            }
            let progress = &mut self.progress[*index];
            if let Some(group) = self.routes[*index].get(progress.routes_used) {
                progress.routes_used += 1;
                by_group.entry(group.clone()).or_default().push(*index);
            }
        }
        for (group, shards) in by_group {
            self.query_group(group, &shards, mode);
        }
    }

    fn query_group(&mut self, group: GroupId, shards: &[usize], mode: RunMode) {
        for index in shards {
            self.progress[*index].outstanding += 1;
        }
        self.ledger.record_sent(shards.len());
        let placements = shards.iter().map(|index| &self.layout.shards[*index]);
        let queries = placements.map(|placement| ShardQuery {
            shard: placement.shard,
            instance: placement.instance.clone(),
        });
        let request = &self.admitted.request;
        let message = GroupRequest {
            request: request.id,
            service: request.service.clone(),
            group,
            snapshot: self.layout.snapshot,
            shards: queries.collect(),
            rank: request.rank,
            kind: request.kind,
            content: request.content,
            time_left: Duration::ZERO,
            mode,
            idempotent: true,
            body: request.body.clone(),
        };
        let query = GroupQuery {
            entry: Arc::clone(self.entry),
            view: Arc::clone(&self.admitted.view),
            request: message,
            deadline: self.admitted.deadline,
            outcomes: self.sender.clone(),
            cancel: self.cancel.clone(),
        };
        self.entry.context().spawner.spawn(query.run());
    }

    /// Queries failed shards in other groups, as far as the retry budget allows.
    fn retry(&mut self, shards: &[usize]) {
        let mut allowed = Vec::new();
        for index in shards {
            let progress = &self.progress[*index];
            if progress.routes_used >= self.routes[*index].len() {
                continue;
            }
            // Costs no budget if no replica accepted calls: no server did any work for it.
            let free = matches!(
                progress.last,
                Some(ShardResult::Unsent(UnsentCause::Unavailable))
            );
            if free || self.entry.state().budgets.retry.spend(1) {
                allowed.push(*index);
            }
        }
        self.query(&allowed, RunMode::Free);
    }

    /// The time at which slow shards are hedged in another group.
    fn hedge_time(&self) -> Option<Instant> {
        let state = self.entry.state();
        let mut delay = MIN_HEDGE_DELAY;
        for route in self.routes {
            let window = state.latency.get(&route.first()?.domain)?;
            delay = delay.max(window.quantile(HEDGE_QUANTILE)?);
        }
        Some(self.started_at + state.budgets.hedge.delay(delay))
    }

    fn hedge(&mut self) {
        if self.crashed {
            return;
        }
        let mut allowed = Vec::new();
        for index in 0..self.progress.len() {
            let progress = &self.progress[index];
            let has_route = progress.routes_used < self.routes[index].len();
            let is_slow = progress.outstanding > 0
                && !self.answers.contains_key(&self.layout.shards[index].shard);
            // If the group has a second replica, its holder does the hedging.
            if has_route
                && is_slow
                && !self.has_second_replica(index)
                && self.entry.state().budgets.hedge.spend()
            {
                allowed.push(index);
            }
        }
        self.query(&allowed, RunMode::Free);
    }

    fn has_second_replica(&self, index: usize) -> bool {
        let instance = &self.layout.shards[index].instance;
        let group = self.routes[index]
            .first()
            .and_then(|id| self.admitted.view.groups.groups.get(id));
        let replicas = group.and_then(|group| group.servers.get(instance));
        replicas.is_some_and(|replicas| replicas.len() > 1)
    }

    /// Runs the content on one backend server first; returns true if the query may
    /// proceed.
    ///
    /// The shard and group are derived from the content, so that all daemons run a
    /// content's canary in the same place.
    async fn run_canary(&mut self, mode: RunMode) -> bool {
        let content = self.admitted.request.content;
        let count = self.layout.shards.len();
        for attempt in 0..MAX_CANARIES {
            let index = ((content.0 as usize) % count + attempt) % count;
            let routes = &self.routes[index];
            let Some(group) = routes.get((content.0 >> 32) as usize % routes.len().max(1)) else {
                continue;
            };
            self.query_group(group.clone(), &[index], mode);
            while self.progress[index].outstanding > 0 {
                match self.next_event(None).await {
                    FanOutEvent::Outcome(outcome) => {
                        self.apply(outcome);
                    }
                    FanOutEvent::HedgeDue | FanOutEvent::ReplyDue => return false,
                }
            }
            if self.crashed {
                return false;
            }
            if self.answers.contains_key(&self.layout.shards[index].shard) {
                let now = self.entry.context().clock.now();
                lock_quarantine(&self.entry.context().quarantine).record_success(content, now);
                return true;
            }
        }
        false
    }

    /// Records and returns the snapshot's coverage by weight, from 0 to 1.
    fn record_coverage(&self) -> f64 {
        let mut available = 0.0;
        let mut total = 0.0;
        for (placement, progress) in self.layout.shards.iter().zip(&self.progress) {
            total += placement.weight;
            if !matches!(progress.last, Some(ShardResult::NoSnapshot)) {
                available += placement.weight;
            }
        }
        let now = self.entry.context().clock.now();
        let service = &self.admitted.request.service;
        let mut state = self.entry.state();
        state
            .coverage
            .observe(service, self.layout.snapshot, available / total, now);
        available / total
    }

    /// Whether any shard is missing because its servers don't hold the snapshot.
    fn lacks_snapshot(&self) -> bool {
        let missing =
            |(placement, progress): (&camphorway_model::ShardPlacement, &ShardProgress)| {
                !self.answers.contains_key(&placement.shard)
                    && matches!(progress.last, Some(ShardResult::NoSnapshot))
            };
        self.layout.shards.iter().zip(&self.progress).any(missing)
    }

    /// The time at which the answer is built from the shards answered so far.
    fn reply_time(&self) -> Instant {
        let deadline = self.admitted.deadline;
        deadline.checked_sub(REPLY_MARGIN).unwrap_or(deadline)
    }

    fn is_late(&self) -> bool {
        self.entry.context().clock.now() + REPLY_MARGIN >= self.admitted.deadline
    }

    fn into_ledger(self) -> DispatchLedger {
        drop(self.guard);
        self.ledger
    }

    async fn finish(mut self) -> CallerAnswer {
        if let Some(notice) = self.crash_notice.take() {
            notice.wait(self.reply_time()).await;
        }
        let mut count = CoverageCount::new(self.layout);
        for shard in self.answers.keys() {
            let is_new = count.add(*shard);
            camphorway_policy::invariant::check(is_new, "shard-counted-once", || shard.to_string());
        }
        if !self.answers.is_empty() {
            self.log_missing();
            let merge = self.admitted.service().entry.merge;
            return CallerAnswer::merged(
                merge,
                self.layout.snapshot,
                count.report(),
                &self.answers,
            );
        }
        if self.crashed {
            return CallerAnswer::unknown(RefusalReason::Quarantined);
        }
        let reason = self.reason();
        match self.into_ledger().close() {
            Ok(token) => CallerAnswer::not_run(&token.refuse(reason)),
            Err(_) => CallerAnswer::unknown(reason),
        }
    }

    /// Logs the number of shards without an answer, by cause.
    fn log_missing(&self) {
        let mut causes: BTreeMap<String, usize> = BTreeMap::new();
        for progress in self.progress.iter().filter(|shard| !shard.is_answered) {
            let cause = progress.last.as_ref().map(ToString::to_string);
            let cause = cause.unwrap_or_else(|| "no-reply".to_owned());
            *causes.entry(cause).or_default() += 1;
        }
        if causes.is_empty() {
            return;
        }
        let counts: Vec<String> = causes
            .iter()
            .map(|(cause, count)| format!("{cause}:{count}"))
            .collect();
        let now = self.entry.context().clock.now();
        event!(
            Info,
            "shards-missing",
            request = self.admitted.request.id,
            snapshot = self.layout.snapshot,
            generation = self.admitted.view.generation,
            shards = self.progress.len(),
            causes = counts.join(","),
            took_us = now.saturating_duration_since(self.started_at).as_micros()
        );
    }

    fn reason(&self) -> RefusalReason {
        let last = self
            .progress
            .iter()
            .find_map(|progress| progress.last.as_ref());
        match last {
            Some(ShardResult::Unsent(UnsentCause::QueueFull)) => RefusalReason::Overloaded,
            Some(ShardResult::Unsent(UnsentCause::Unavailable) | ShardResult::NoSnapshot) => {
                RefusalReason::Unavailable
            }
            Some(ShardResult::Failed(FailCause::Lost)) => RefusalReason::LostReply,
            Some(_) | None => RefusalReason::Deadline,
        }
    }
}

enum FanOutEvent {
    Outcome(ShardOutcome),
    HedgeDue,
    ReplyDue,
}
