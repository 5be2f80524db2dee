//! Queries one group's holder for some shards, and its standbys when the holder is
//! unreachable or does not acknowledge.

use crate::control::view::TierView;
use crate::entry::RequestEntry;
use crate::event;
use crate::peer::link::{PeerError, PeerLinks, PeerStep};
use crate::peer::message::{
    FailCause, GroupRequest, HolderFrame, PeerRequest, RunMode, ShardReply, ShardResult,
    UnsentCause,
};
use async_channel::{Receiver, Sender};
use camphorway_gossip::holders::SeatHolder;
use camphorway_model::{GroupId, PerRank, ShardId};
use camphorway_policy::WaitReport;
use futures_lite::FutureExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const MIN_ACK_TIMEOUT: Duration = Duration::from_millis(25);
const ACK_ROUND_TRIPS: u32 = 4;

/// The outcome of one shard of a group query; each queried shard has exactly one.
#[derive(Clone, Debug)]
pub struct ShardOutcome {
    /// The group.
    pub group: GroupId,
    /// The shard.
    pub shard: ShardId,
    /// The shard's result.
    pub result: ShardResult,
}

/// A query of one group for some shards of a request.
#[derive(Debug)]
pub struct GroupQuery {
    /// The entry that sends the request.
    pub entry: Arc<RequestEntry>,
    /// The view used for the whole request.
    pub view: Arc<TierView>,
    /// The message; its time left is set for each seat.
    pub request: GroupRequest,
    /// The deadline; a later answer is useless.
    pub deadline: Instant,
    /// Receives the shards' outcomes.
    pub outcomes: Sender<ShardOutcome>,
    /// Cancelled when no one waits.
    pub cancel: CancellationToken,
}

/// An event in the exchange with one seat.
#[derive(Debug)]
enum SeatEvent {
    Acknowledged(SocketAddr, WaitReport),
    Shard(ShardReply),
    Done,
    /// The exchange failed before anything was sent.
    Unsent,
    /// The exchange failed after something may have been sent.
    Lost,
}

/// The progress of a group query over the group's seats.
struct SeatProgress {
    seats: Vec<SeatHolder>,
    next: usize,
    active: usize,
    acknowledged: bool,
    /// Shards without an outcome, with the worst result that a seat reported.
    pending: BTreeMap<ShardId, Option<ShardResult>>,
    sender: Sender<SeatEvent>,
    inbox: Receiver<SeatEvent>,
}

impl GroupQuery {
    /// Runs until each shard has an outcome or the query is cancelled.
    pub async fn run(self) {
        let (sender, inbox) = async_channel::unbounded();
        let mut progress = SeatProgress {
            seats: self.seats(),
            next: 0,
            active: 0,
            acknowledged: false,
            pending: self
                .request
                .shards
                .iter()
                .map(|query| (query.shard, None))
                .collect(),
            sender,
            inbox,
        };
        let cancel = self.cancel.clone();
        let work = self.drive(&mut progress);
        let cancelled = cancel.cancelled();
        work.or(cancelled).await;
    }

    /// The seats in random order, to spread the load, then the standbys; those that
    /// recently failed to acknowledge come last.
    fn seats(&self) -> Vec<SeatHolder> {
        let Some(group) = self.view.seats.get(&self.request.group) else {
            return Vec::new();
        };
        let mut seats = group.seats.clone();
        fastrand::shuffle(&mut seats);
        seats.extend(group.standbys.iter().cloned());
        let now = self.entry.context().clock.now();
        let mut state = self.entry.state();
        let is_silent = |seat: &SeatHolder| state.silent.should_defer(seat.address, now);
        let (silent, mut responsive): (Vec<_>, Vec<_>) = seats.into_iter().partition(is_silent);
        responsive.extend(silent);
        responsive
    }

    async fn drive(&self, progress: &mut SeatProgress) {
        self.start_next(progress);
        while progress.active > 0 && !progress.pending.is_empty() {
            let acknowledged = progress.acknowledged;
            let event = async { progress.inbox.recv().await.ok() };
            let silent = async {
                if acknowledged {
                    std::future::pending::<()>().await;
                }
                self.entry
                    .context()
                    .clock
                    .sleep(self.ack_timeout(progress))
                    .await;
                None
            };
            match event.or(silent).await {
                Some(event) => self.handle(event, progress).await,
                None => self.try_standby(progress),
            }
        }
        for (shard, worst) in std::mem::take(&mut progress.pending) {
            let result = worst.unwrap_or(ShardResult::Unsent(UnsentCause::Unavailable));
            self.report(shard, result).await;
        }
    }

    async fn handle(&self, event: SeatEvent, progress: &mut SeatProgress) {
        match event {
            SeatEvent::Acknowledged(peer, report) => {
                progress.acknowledged = true;
                let now = self.entry.context().clock.now();
                let mut state = self.entry.state();
                state.silent.mark_responsive(peer);
                state.admission.report(&self.request.group, report, now);
            }
            SeatEvent::Shard(reply) => self.handle_reply(reply, progress).await,
            SeatEvent::Done => progress.active -= 1,
            SeatEvent::Unsent => {
                progress.active -= 1;
                if progress.active == 0 {
                    self.start_next(progress);
                }
            }
            SeatEvent::Lost => {
                progress.active -= 1;
                for worst in progress.pending.values_mut() {
                    merge_worst(worst, ShardResult::Failed(FailCause::Lost));
                }
                let may_retry =
                    self.request.mode == RunMode::Free && progress.next < progress.seats.len();
                if may_retry && progress.active == 0 && self.entry.state().budgets.retry.spend(1) {
                    self.start_next(progress);
                }
            }
        }
    }

    async fn handle_reply(&self, reply: ShardReply, progress: &mut SeatProgress) {
        let matches =
            reply.request == self.request.request && reply.snapshot == self.request.snapshot;
        if !matches {
            self.entry.context().metrics.mismatched_replies.inc();
            return;
        }
        // A second answer for a shard is ignored.
        let Some(worst) = progress.pending.get_mut(&reply.shard) else {
            return;
        };
        let is_final = progress.active == 1 || matches!(reply.result, ShardResult::Answered(_));
        merge_worst(worst, reply.result.clone());
        if is_final && let Some(worst) = progress.pending.remove(&reply.shard) {
            let result = match reply.result {
                ShardResult::Answered(body) => ShardResult::Answered(body),
                other => worst.unwrap_or(other),
            };
            self.report(reply.shard, result).await;
        }
    }

    async fn report(&self, shard: ShardId, result: ShardResult) {
        let outcome = ShardOutcome {
            group: self.request.group.clone(),
            shard,
            result,
        };
        // Fails only if no one waits any more.
        let _ = self.outcomes.send(outcome).await;
    }

    /// Queries the next seat because the current one is silent, if the request may
    /// run twice.
    fn try_standby(&self, progress: &mut SeatProgress) {
        let peer = progress.seats[progress.next - 1].address;
        let is_gone = self.mark_silent(peer);
        let has_next = progress.next < progress.seats.len();
        let allowed = self.request.mode == RunMode::Free && has_next;
        if allowed && (is_gone || self.entry.state().budgets.hedge.spend()) {
            let silent = &progress.seats[progress.next - 1];
            event!(
                Info,
                "holder-silent",
                request = self.request.request,
                group = self.request.group,
                peer = silent.address
            );
            self.start_next(progress);
        } else if !allowed {
            // No other seat can be queried, so the timer isn't needed.
            progress.acknowledged = true;
        }
    }

    /// Marks `peer` as silent; returns whether it has been for so long that it counts
    /// as gone.
    fn mark_silent(&self, peer: SocketAddr) -> bool {
        let now = self.entry.context().clock.now();
        let silent = &mut self.entry.state().silent;
        silent.mark_silent(peer, now);
        silent.is_gone(peer, now)
    }

    fn ack_timeout(&self, progress: &SeatProgress) -> Duration {
        let seat = progress
            .next
            .checked_sub(1)
            .and_then(|last| progress.seats.get(last));
        let round_trip = seat.and_then(|seat| self.entry.context().links.round_trip(seat.address));
        let wait = round_trip.unwrap_or_default() * ACK_ROUND_TRIPS;
        wait.max(MIN_ACK_TIMEOUT)
    }

    fn start_next(&self, progress: &mut SeatProgress) {
        let Some(seat) = progress.seats.get(progress.next).cloned() else {
            return;
        };
        progress.next += 1;
        progress.active += 1;
        let mut request = self.request.clone();
        request
            .shards
            .retain(|query| progress.pending.contains_key(&query.shard));
        let now = self.entry.context().clock.now();
        request.time_left = self.deadline.saturating_duration_since(now);
        let exchange = SeatExchange {
            entry: Arc::clone(&self.entry),
            seat,
            request,
            events: progress.sender.clone(),
            cancel: self.cancel.clone(),
        };
        let is_local = exchange.seat.vm == self.view.own;
        self.entry.context().spawner.spawn(async move {
            let cancel = exchange.cancel.clone();
            let work = async {
                if is_local {
                    exchange.run_local().await;
                } else {
                    exchange.run_remote().await;
                }
            };
            work.or(cancel.cancelled()).await;
        });
    }
}

/// The exchange with one seat.
struct SeatExchange {
    entry: Arc<RequestEntry>,
    seat: SeatHolder,
    request: GroupRequest,
    events: Sender<SeatEvent>,
    cancel: CancellationToken,
}

impl SeatExchange {
    /// Queries the holder in this process.
    async fn run_local(self) {
        let holder = &self.entry.context().holder;
        let report = holder.waits(&self.request.group);
        self.send(SeatEvent::Acknowledged(self.seat.address, report))
            .await;
        let (replies, results) = async_channel::bounded(self.request.shards.len().max(1));
        holder.start(self.request.clone(), &replies, &self.cancel);
        drop(replies);
        while let Ok(reply) = results.recv().await {
            self.send(SeatEvent::Shard(reply)).await;
        }
        self.send(SeatEvent::Done).await;
    }

    /// Queries the holder of another daemon.
    async fn run_remote(self) {
        let peer = self.seat.address;
        let links = &self.entry.context().links;
        let request = PeerRequest::Group(self.request.clone());
        let (sender, mut receiver) = match links.request(peer, &request).await {
            Ok(streams) => streams,
            Err(error) => return self.report_failure(&error).await,
        };
        loop {
            match PeerLinks::next_frame(peer, &mut receiver).await {
                Ok(HolderFrame::Ack {
                    waits,
                    service_time,
                }) => {
                    let report = WaitReport {
                        waits: PerRank(waits),
                        service_time,
                    };
                    self.send(SeatEvent::Acknowledged(peer, report)).await;
                }
                Ok(HolderFrame::Shard(reply)) => self.send(SeatEvent::Shard(reply)).await,
                Ok(HolderFrame::Done) => {
                    self.send(SeatEvent::Done).await;
                    // Dropping the sender earlier would make the holder stop.
                    drop(sender);
                    return;
                }
                Err(error) => return self.report_failure(&error).await,
            }
        }
    }

    async fn report_failure(&self, error: &PeerError) {
        let now = self.entry.context().clock.now();
        self.entry.state().silent.mark_silent(error.peer, now);
        event!(
            Info,
            "holder-failed",
            request = self.request.request,
            group = self.request.group,
            error = error
        );
        let event = match error.step {
            PeerStep::Connect => SeatEvent::Unsent,
            PeerStep::Send | PeerStep::Receive => SeatEvent::Lost,
        };
        self.send(event).await;
    }

    async fn send(&self, event: SeatEvent) {
        // Fails only if no one waits any more.
        let _ = self.events.send(event).await;
    }
}

/// Keeps the worst result: `Unsent` remains only if every seat reports it, since
/// any other result means that the shard may have run.
fn merge_worst(worst: &mut Option<ShardResult>, result: ShardResult) {
    let keep = worst
        .as_ref()
        .is_some_and(|worst| !matches!(worst, ShardResult::Unsent(_)));
    if !keep {
        *worst = Some(result);
    }
}
