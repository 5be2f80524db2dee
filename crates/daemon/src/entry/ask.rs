//! Asks one group's holder for some shards, and its standbys where the holder
//! is not there or does not acknowledge.

use crate::control::view::TierView;
use crate::entry::RequestEntry;
use crate::event;
use crate::peer::link::{PeerError, PeerLinks, PeerStep};
use crate::peer::message::{
    FailCause, GroupRequest, HolderFrame, NotSentReason, PeerRequest, RunMode, ShardReply,
    ShardResult,
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

const LEAST_ACK_TIME: Duration = Duration::from_millis(25);
const ACK_ROUND_TRIPS: u32 = 4;

/// What one group's shards came to; each asked shard is told exactly once.
#[derive(Clone, Debug)]
pub struct AskEvent {
    /// The group.
    pub group: GroupId,
    /// The shard's result.
    pub shard: ShardId,
    /// What became of it.
    pub result: ShardResult,
}

/// One group request on its way.
#[derive(Debug)]
pub struct GroupAsk {
    /// The entry that asks.
    pub entry: Arc<RequestEntry>,
    /// The view of the whole request.
    pub view: Arc<TierView>,
    /// What to ask; the time left is set for each seat.
    pub request: GroupRequest,
    /// When the answer is worthless.
    pub deadline: Instant,
    /// Where results go.
    pub events: Sender<AskEvent>,
    /// Cancelled when nobody waits.
    pub cancel: CancellationToken,
}

/// What one seat's exchange says.
#[derive(Debug)]
enum SeatEvent {
    Acknowledged(SocketAddr, WaitReport),
    Shard(ShardReply),
    Done,
    /// Nothing was sent.
    Unsent,
    /// Something may have been sent, and no more comes.
    Lost,
}

/// The seats asked so far and what they said.
struct SeatRound {
    seats: Vec<SeatHolder>,
    next: usize,
    active: usize,
    acknowledged: bool,
    /// Shards without an answer, with the worst that a seat said of each.
    open: BTreeMap<ShardId, Option<ShardResult>>,
    sender: Sender<SeatEvent>,
    inbox: Receiver<SeatEvent>,
}

impl GroupAsk {
    /// Runs until each shard is told or nobody waits.
    pub async fn run(self) {
        let (sender, inbox) = async_channel::unbounded();
        let mut round = SeatRound {
            seats: self.seats(),
            next: 0,
            active: 0,
            acknowledged: false,
            open: self
                .request
                .shards
                .iter()
                .map(|ask| (ask.shard, None))
                .collect(),
            sender,
            inbox,
        };
        let guard = self.cancel.clone();
        let work = self.drive(&mut round);
        let cancelled = guard.cancelled();
        work.or(cancelled).await;
    }

    /// Seats in random order, so that they share the load, then standbys; those
    /// that were silent lately last.
    fn seats(&self) -> Vec<SeatHolder> {
        let Some(group) = self.view.seats.get(&self.request.group) else {
            return Vec::new();
        };
        let mut seats = group.seats.clone();
        fastrand::shuffle(&mut seats);
        seats.extend(group.standbys.iter().cloned());
        let now = self.entry.parts().clock.now();
        let mut memory = self.entry.memory();
        let is_silent = |seat: &SeatHolder| memory.silent.should_defer(seat.address, now);
        let (silent, mut heard): (Vec<_>, Vec<_>) = seats.into_iter().partition(is_silent);
        heard.extend(silent);
        heard
    }

    async fn drive(&self, round: &mut SeatRound) {
        self.start_next(round);
        while round.active > 0 && !round.open.is_empty() {
            let acknowledged = round.acknowledged;
            let event = async { round.inbox.recv().await.ok() };
            let silent = async {
                if acknowledged {
                    std::future::pending::<()>().await;
                }
                self.entry.parts().clock.sleep(self.ack_time(round)).await;
                None
            };
            match event.or(silent).await {
                Some(event) => self.take(event, round).await,
                None => self.ask_standby(round),
            }
        }
        for (shard, worst) in std::mem::take(&mut round.open) {
            let result = worst.unwrap_or(ShardResult::NotSent(NotSentReason::Unavailable));
            self.tell(shard, result).await;
        }
    }

    async fn take(&self, event: SeatEvent, round: &mut SeatRound) {
        match event {
            SeatEvent::Acknowledged(peer, report) => {
                round.acknowledged = true;
                let now = self.entry.parts().clock.now();
                let mut memory = self.entry.memory();
                memory.silent.mark_responsive(peer);
                memory.admission.report(&self.request.group, report, now);
            }
            SeatEvent::Shard(reply) => self.take_reply(reply, round).await,
            SeatEvent::Done => round.active -= 1,
            SeatEvent::Unsent => {
                round.active -= 1;
                if round.active == 0 {
                    self.start_next(round);
                }
            }
            SeatEvent::Lost => {
                round.active -= 1;
                for worst in round.open.values_mut() {
                    merge_worst(worst, ShardResult::Failed(FailCause::Lost));
                }
                let may = self.request.mode == RunMode::Free && round.next < round.seats.len();
                if may && round.active == 0 && self.entry.memory().budgets.retry.spend(1) {
                    self.start_next(round);
                }
            }
        }
    }

    async fn take_reply(&self, reply: ShardReply, round: &mut SeatRound) {
        let fits = reply.request == self.request.request && reply.snapshot == self.request.snapshot;
        if !fits {
            self.entry.parts().metrics.mismatched_replies.inc();
            return;
        }
        // A second answer for a shard finds it told already.
        let Some(worst) = round.open.get_mut(&reply.shard) else {
            return;
        };
        let is_final = round.active == 1 || matches!(reply.result, ShardResult::Answered(_));
        merge_worst(worst, reply.result.clone());
        if is_final && let Some(worst) = round.open.remove(&reply.shard) {
            let result = match reply.result {
                ShardResult::Answered(body) => ShardResult::Answered(body),
                other => worst.unwrap_or(other),
            };
            self.tell(reply.shard, result).await;
        }
    }

    async fn tell(&self, shard: ShardId, result: ShardResult) {
        let event = AskEvent {
            group: self.request.group.clone(),
            shard,
            result,
        };
        // Nobody waits any longer if this fails.
        let _ = self.events.send(event).await;
    }

    /// The holder is silent: a standby may do the work, if it may run twice.
    fn ask_standby(&self, round: &mut SeatRound) {
        let peer = round.seats[round.next - 1].address;
        let is_gone = self.mark_silent(peer);
        let has_next = round.next < round.seats.len();
        let allowed = self.request.mode == RunMode::Free && has_next;
        if allowed && (is_gone || self.entry.memory().budgets.hedge.spend()) {
            let silent = &round.seats[round.next - 1];
            event!(
                Info,
                "holder-silent",
                request = self.request.request,
                group = self.request.group,
                peer = silent.address
            );
            self.start_next(round);
        } else if !allowed {
            // Nothing else can be done, so the timer is not needed again.
            round.acknowledged = true;
        }
    }

    /// Marks `peer` as silent; whether it has been for so long that it is taken
    /// to be gone.
    fn mark_silent(&self, peer: SocketAddr) -> bool {
        let now = self.entry.parts().clock.now();
        let silent = &mut self.entry.memory().silent;
        silent.mark_silent(peer, now);
        silent.is_gone(peer, now)
    }

    fn ack_time(&self, round: &SeatRound) -> Duration {
        let seat = round
            .next
            .checked_sub(1)
            .and_then(|last| round.seats.get(last));
        let round_trip = seat.and_then(|seat| self.entry.parts().links.round_trip(seat.address));
        let wait = round_trip.unwrap_or_default() * ACK_ROUND_TRIPS;
        wait.max(LEAST_ACK_TIME)
    }

    fn start_next(&self, round: &mut SeatRound) {
        let Some(seat) = round.seats.get(round.next).cloned() else {
            return;
        };
        round.next += 1;
        round.active += 1;
        let mut request = self.request.clone();
        request
            .shards
            .retain(|ask| round.open.contains_key(&ask.shard));
        let now = self.entry.parts().clock.now();
        request.time_left = self.deadline.saturating_duration_since(now);
        let exchange = SeatExchange {
            entry: Arc::clone(&self.entry),
            seat,
            request,
            events: round.sender.clone(),
            cancel: self.cancel.clone(),
        };
        let is_local = exchange.seat.vm == self.view.own;
        self.entry.parts().spawner.spawn(async move {
            let cancel = exchange.cancel.clone();
            let work = async {
                if is_local {
                    exchange.run_here().await;
                } else {
                    exchange.run_there().await;
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
    /// Asks the holder in this process.
    async fn run_here(self) {
        let holder = &self.entry.parts().holder;
        let report = holder.waits(&self.request.group);
        self.tell(SeatEvent::Acknowledged(self.seat.address, report))
            .await;
        let (replies, results) = async_channel::bounded(self.request.shards.len().max(1));
        holder.start(self.request.clone(), &replies, &self.cancel);
        drop(replies);
        while let Ok(reply) = results.recv().await {
            self.tell(SeatEvent::Shard(reply)).await;
        }
        self.tell(SeatEvent::Done).await;
    }

    /// Asks the holder of another daemon.
    async fn run_there(self) {
        let peer = self.seat.address;
        let links = &self.entry.parts().links;
        let request = PeerRequest::Group(self.request.clone());
        let (sender, mut receiver) = match links.request(peer, &request).await {
            Ok(streams) => streams,
            Err(error) => return self.failed(&error).await,
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
                    self.tell(SeatEvent::Acknowledged(peer, report)).await;
                }
                Ok(HolderFrame::Shard(reply)) => self.tell(SeatEvent::Shard(reply)).await,
                Ok(HolderFrame::Done) => {
                    self.tell(SeatEvent::Done).await;
                    // Kept open until here, since dropping it early would tell the holder to stop.
                    drop(sender);
                    return;
                }
                Err(error) => return self.failed(&error).await,
            }
        }
    }

    async fn failed(&self, error: &PeerError) {
        let now = self.entry.parts().clock.now();
        self.entry.memory().silent.mark_silent(error.peer, now);
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
        self.tell(event).await;
    }

    async fn tell(&self, event: SeatEvent) {
        // Nobody waits any longer if this fails.
        let _ = self.events.send(event).await;
    }
}

/// Keeps what says most about whether the shard may have run: a result that
/// proves nothing was sent holds only if every seat says so.
fn merge_worst(worst: &mut Option<ShardResult>, result: ShardResult) {
    let keep = worst
        .as_ref()
        .is_some_and(|worst| !matches!(worst, ShardResult::NotSent(_)));
    if !keep {
        *worst = Some(result);
    }
}
