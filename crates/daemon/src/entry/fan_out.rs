//! A query's fan-out: one ask for each group, results merged as they come, and
//! missing shards asked again elsewhere within the budgets.

use crate::control::lock_quarantine;
use crate::entry::answer::CallerAnswer;
use crate::entry::ask::{AskEvent, GroupAsk};
use crate::entry::crash_news::CrashTold;
use crate::entry::{AdmittedRequest, RequestEntry};
use crate::event;
use crate::peer::message::{
    FailCause, GroupRequest, NotSentReason, RunMode, ShardQuery, ShardResult,
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

/// The answer is built this long before the deadline.
const REPLY_MARGIN: Duration = Duration::from_millis(1);
const LEAST_HEDGE_DELAY: Duration = Duration::from_millis(5);
const HEDGE_QUANTILE: f64 = 0.95;
const MOST_CANARIES: usize = 3;

/// Runs a query.
pub async fn run(
    entry: &Arc<RequestEntry>,
    mut admitted: AdmittedRequest,
    token: UnsentToken,
) -> CallerAnswer {
    let mut fan = FanOut::new(entry, &admitted, token.dispatch());
    fan.drive().await;
    let held = fan.observe();
    // Nothing was sent to the caller yet, so the query may start again, once.
    let better = if fan.lacks_snapshot() && !fan.is_late() {
        entry.better_snapshot(&admitted, held)
    } else {
        None
    };
    let Some(better) = better else {
        return fan.finish().await;
    };
    let ledger = fan.into_ledger();
    admitted.snapshot = better;
    let mut fan = FanOut::new(entry, &admitted, ledger);
    fan.drive().await;
    fan.observe();
    fan.finish().await
}

/// What became of one shard so far.
#[derive(Clone, Debug, Default)]
struct ShardProgress {
    /// Routes tried, in the order of the shard's routes.
    routes_used: usize,
    outstanding: usize,
    is_answered: bool,
    last: Option<ShardResult>,
}

/// One try of a query on one snapshot.
struct FanOut<'query> {
    entry: &'query Arc<RequestEntry>,
    admitted: &'query AdmittedRequest,
    layout: &'query SnapshotLayout,
    routes: &'query [Vec<GroupId>],
    ledger: DispatchLedger,
    answers: BTreeMap<ShardId, Bytes>,
    progress: Vec<ShardProgress>,
    events: Receiver<AskEvent>,
    sender: Sender<AskEvent>,
    cancel: CancellationToken,
    /// Cancels what still runs when the query ends.
    guard: DropGuard,
    crashed: bool,
    /// Ends when other daemons have heard of the first crash.
    crash_told: Option<CrashTold>,
    began: Instant,
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
        let (sender, events) = async_channel::unbounded();
        let cancel = CancellationToken::new();
        Self {
            entry,
            admitted,
            layout,
            routes,
            ledger,
            answers: BTreeMap::new(),
            progress: vec![ShardProgress::default(); layout.shards.len()],
            events,
            sender,
            guard: cancel.clone().drop_guard(),
            cancel,
            crashed: false,
            crash_told: None,
            began: entry.parts().clock.now(),
        }
    }

    async fn drive(&mut self) {
        self.earn_budgets();
        let may_go_on = match self.admitted.verdict {
            ContentVerdict::Unrestricted => true,
            ContentVerdict::CanaryFirst => self.run_canary(RunMode::Once).await,
            ContentVerdict::SuspectAlone | ContentVerdict::Quarantined(_) => {
                self.run_canary(RunMode::Alone).await
            }
        };
        if !may_go_on {
            return;
        }
        let all: Vec<usize> = (0..self.layout.shards.len()).collect();
        self.ask(&all, RunMode::Free);
        let mut hedge_at = self.hedge_time();
        while self.is_waiting() {
            match self.next_event(hedge_at).await {
                FanEvent::Told(event) => self.take_all(event),
                FanEvent::HedgeDue => {
                    hedge_at = None;
                    self.hedge();
                }
                FanEvent::Late => return,
            }
        }
    }

    fn earn_budgets(&self) {
        let policy = &self.admitted.view.config.rules.policy;
        let shards = self.layout.shards.len();
        self.entry.memory().budgets.earn(policy, shards);
    }

    /// Whether some shard that has no answer may still get one.
    fn is_waiting(&self) -> bool {
        let may_come = |progress: &ShardProgress| progress.outstanding > 0 && !progress.is_answered;
        self.answers.len() < self.progress.len() && self.progress.iter().any(may_come)
    }

    async fn next_event(&self, hedge_at: Option<Instant>) -> FanEvent {
        let clock = &self.entry.parts().clock;
        let told = async {
            match self.events.recv().await {
                Ok(event) => FanEvent::Told(event),
                Err(_) => FanEvent::Late,
            }
        };
        let hedge = async {
            match hedge_at {
                Some(at) => clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
            FanEvent::HedgeDue
        };
        let late = async {
            clock.sleep_until(self.reply_time()).await;
            FanEvent::Late
        };
        told.or(hedge).or(late).await
    }

    /// Takes an event and all others that are ready, so that shards to be asked
    /// again go out together.
    fn take_all(&mut self, first: AskEvent) {
        let mut again = Vec::new();
        let mut event = Some(first);
        while let Some(told) = event {
            again.extend(self.take(told));
            event = self.events.try_recv().ok();
        }
        if !again.is_empty() {
            self.retry(&again);
        }
    }

    /// Takes one result; the shard's index if it should be asked again.
    fn take(&mut self, event: AskEvent) -> Option<usize> {
        let index = self.index_of(event.shard)?;
        let progress = &mut self.progress[index];
        progress.outstanding = progress.outstanding.saturating_sub(1);
        let result = self.checked(event.result);
        match &result {
            ShardResult::Answered(body) => {
                self.answers
                    .entry(event.shard)
                    .or_insert_with(|| body.clone());
                self.progress[index].is_answered = true;
                self.record_latency(&event.group);
                return None;
            }
            ShardResult::NotSent(_) => self.ledger.record_unsent(),
            ShardResult::Crashed(report) => {
                self.crashed = true;
                let told = self.entry.tell_crash(report.clone());
                self.crash_told.get_or_insert(told);
            }
            ShardResult::NoSnapshot | ShardResult::Failed(_) => {}
        }
        let progress = &mut self.progress[index];
        progress.last = Some(result);
        let open = progress.outstanding == 0 && !self.answers.contains_key(&event.shard);
        (open && !self.crashed).then_some(index)
    }

    /// An answer that the service's merge can't take counts as none.
    fn checked(&self, result: ShardResult) -> ShardResult {
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
            .parts()
            .clock
            .now()
            .saturating_duration_since(self.began);
        let mut memory = self.entry.memory();
        memory
            .latency
            .entry(group.domain.clone())
            .or_default()
            .record(took);
    }

    fn index_of(&self, shard: ShardId) -> Option<usize> {
        self.layout
            .shards
            .binary_search_by_key(&shard, |place| place.shard)
            .ok()
    }

    /// Asks the shards' next routes, one ask for each group.
    fn ask(&mut self, shards: &[usize], mode: RunMode) {
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
            self.ask_group(group, &shards, mode);
        }
    }

    fn ask_group(&mut self, group: GroupId, shards: &[usize], mode: RunMode) {
        for index in shards {
            self.progress[*index].outstanding += 1;
        }
        self.ledger.record_sent(shards.len());
        let places = shards.iter().map(|index| &self.layout.shards[*index]);
        let asks = places.map(|place| ShardQuery {
            shard: place.shard,
            instance: place.instance.clone(),
        });
        let request = &self.admitted.request;
        let message = GroupRequest {
            request: request.id,
            service: request.service.clone(),
            group,
            snapshot: self.layout.snapshot,
            shards: asks.collect(),
            rank: request.rank,
            kind: request.kind,
            content: request.content,
            time_left: Duration::ZERO,
            mode,
            idempotent: true,
            body: request.body.clone(),
        };
        let ask = GroupAsk {
            entry: Arc::clone(self.entry),
            view: Arc::clone(&self.admitted.view),
            request: message,
            deadline: self.admitted.deadline,
            events: self.sender.clone(),
            cancel: self.cancel.clone(),
        };
        self.entry.parts().spawner.spawn(ask.run());
    }

    /// Asks failed shards again in other groups, as far as the budget goes.
    fn retry(&mut self, shards: &[usize]) {
        let mut allowed = Vec::new();
        for index in shards {
            let progress = &self.progress[*index];
            if progress.routes_used >= self.routes[*index].len() {
                continue;
            }
            // What met no server at all costs no server anything.
            let free = matches!(
                progress.last,
                Some(ShardResult::NotSent(NotSentReason::Unavailable))
            );
            if free || self.entry.memory().budgets.retry.spend(1) {
                allowed.push(*index);
            }
        }
        self.ask(&allowed, RunMode::Free);
    }

    /// When shards that only another group could answer sooner are asked there.
    fn hedge_time(&self) -> Option<Instant> {
        let memory = self.entry.memory();
        let mut delay = LEAST_HEDGE_DELAY;
        for route in self.routes {
            let window = memory.latency.get(&route.first()?.domain)?;
            delay = delay.max(window.quantile(HEDGE_QUANTILE)?);
        }
        Some(self.began + memory.budgets.hedge.delay(delay))
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
            // The group's own holder hedges where it has a second replica.
            if has_route
                && is_slow
                && !self.has_local_replica(index)
                && self.entry.memory().budgets.hedge.spend()
            {
                allowed.push(index);
            }
        }
        self.ask(&allowed, RunMode::Free);
    }

    fn has_local_replica(&self, index: usize) -> bool {
        let instance = &self.layout.shards[index].instance;
        let group = self.routes[index]
            .first()
            .and_then(|id| self.admitted.view.groups.groups.get(id));
        let replicas = group.and_then(|group| group.servers.get(instance));
        replicas.is_some_and(|replicas| replicas.len() > 1)
    }

    /// Tries the content on one backend server; true if the rest may follow.
    ///
    /// The shard and its group follow from the content, so that all daemons try
    /// the same content in the same place.
    async fn run_canary(&mut self, mode: RunMode) -> bool {
        let content = self.admitted.request.content;
        let count = self.layout.shards.len();
        for attempt in 0..MOST_CANARIES {
            let index = ((content.0 as usize) % count + attempt) % count;
            let routes = &self.routes[index];
            let Some(group) = routes.get((content.0 >> 32) as usize % routes.len().max(1)) else {
                continue;
            };
            self.ask_group(group.clone(), &[index], mode);
            while self.progress[index].outstanding > 0 {
                match self.next_event(None).await {
                    FanEvent::Told(event) => {
                        self.take(event);
                    }
                    FanEvent::HedgeDue | FanEvent::Late => return false,
                }
            }
            if self.crashed {
                return false;
            }
            if self.answers.contains_key(&self.layout.shards[index].shard) {
                let now = self.entry.parts().clock.now();
                lock_quarantine(&self.entry.parts().quarantine).record_success(content, now);
                return true;
            }
        }
        false
    }

    /// Remembers how much of the snapshot was held, 0 to 1.
    fn observe(&self) -> f64 {
        let mut held = 0.0;
        let mut total = 0.0;
        for (place, progress) in self.layout.shards.iter().zip(&self.progress) {
            total += place.weight;
            if !matches!(progress.last, Some(ShardResult::NoSnapshot)) {
                held += place.weight;
            }
        }
        let now = self.entry.parts().clock.now();
        let service = &self.admitted.request.service;
        let mut memory = self.entry.memory();
        memory
            .coverage
            .observe(service, self.layout.snapshot, held / total, now);
        held / total
    }

    /// Whether shards are missing since their servers gave up the snapshot.
    fn lacks_snapshot(&self) -> bool {
        let missing = |(place, progress): (&camphorway_model::ShardPlacement, &ShardProgress)| {
            !self.answers.contains_key(&place.shard)
                && matches!(progress.last, Some(ShardResult::NoSnapshot))
        };
        self.layout.shards.iter().zip(&self.progress).any(missing)
    }

    /// When the answer is built with whatever is there.
    fn reply_time(&self) -> Instant {
        let deadline = self.admitted.deadline;
        deadline.checked_sub(REPLY_MARGIN).unwrap_or(deadline)
    }

    fn is_late(&self) -> bool {
        self.entry.parts().clock.now() + REPLY_MARGIN >= self.admitted.deadline
    }

    fn into_ledger(self) -> DispatchLedger {
        drop(self.guard);
        self.ledger
    }

    async fn finish(mut self) -> CallerAnswer {
        if let Some(told) = self.crash_told.take() {
            told.wait(self.reply_time()).await;
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

    /// One line on the shards without an answer, by cause.
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
        let now = self.entry.parts().clock.now();
        event!(
            Info,
            "shards-missing",
            request = self.admitted.request.id,
            snapshot = self.layout.snapshot,
            generation = self.admitted.view.generation,
            shards = self.progress.len(),
            causes = counts.join(","),
            took_us = now.saturating_duration_since(self.began).as_micros()
        );
    }

    fn reason(&self) -> RefusalReason {
        let last = self
            .progress
            .iter()
            .find_map(|progress| progress.last.as_ref());
        match last {
            Some(ShardResult::NotSent(NotSentReason::Crowded)) => RefusalReason::Overloaded,
            Some(ShardResult::NotSent(NotSentReason::Unavailable) | ShardResult::NoSnapshot) => {
                RefusalReason::Unavailable
            }
            Some(ShardResult::Failed(FailCause::Lost)) => RefusalReason::LostReply,
            Some(_) | None => RefusalReason::Deadline,
        }
    }
}

enum FanEvent {
    Told(AskEvent),
    HedgeDue,
    Late,
}
