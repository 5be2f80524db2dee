//! The queue in front of one backend server.
//!
//! Between ranks: a rank that has received less than its guaranteed share of
//! recent service goes first, the most urgent such rank before the others; when
//! every waiting rank has received its share, the order is strictly by rank.
//! Within a rank: the kind (service and caller) with the least service so far, so
//! that a kind that floods the queue delays only itself. Within a kind: the
//! earliest deadline.

use camphorway_model::{PerRank, RequestRank};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time constant of the exponential decay of each rank's usage.
const USAGE_DECAY_TIME: Duration = Duration::from_secs(1);

/// Identifies a call within one queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// The hash of a service and a caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KindHash(pub u64);

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCall {
    /// The call.
    pub id: CallId,
    /// Its rank.
    pub rank: RequestRank,
    /// Its kind.
    pub kind: KindHash,
    /// The time after which its answer is useless.
    pub deadline: Instant,
    /// Whether it may be cancelled for a more urgent call while it runs.
    pub preemptible: bool,
    /// Whether it must run alone on the server.
    pub exclusive: bool,
}

#[derive(Debug, Default)]
struct KindQueue {
    service_used: f64,
    calls: BTreeMap<(Instant, CallId), WaitingCall>,
}

#[derive(Debug, Default)]
struct RankQueue {
    /// The service received by the kind that was served last. A kind that becomes
    /// active again starts from here.
    virtual_time: f64,
    kinds: HashMap<KindHash, KindQueue>,
    len: usize,
}

/// Waiting calls in order of service.
#[derive(Debug)]
pub struct RankedQueue {
    ranked: bool,
    shares: PerRank<f64>,
    ranks: PerRank<RankQueue>,
    usage: PerRank<f64>,
    usage_updated_at: Option<Instant>,
    index: HashMap<CallId, (RequestRank, KindHash, Instant)>,
    /// Arrival order, for queues that are not ranked.
    arrivals: BTreeMap<u64, CallId>,
    next_arrival: u64,
    arrival_of: HashMap<CallId, u64>,
}

impl RankedQueue {
    /// An empty queue. If `ranked` is false, it serves calls in order of arrival.
    pub fn new(ranked: bool, shares: PerRank<f64>) -> Self {
        Self {
            ranked,
            shares,
            ranks: PerRank::default(),
            usage: PerRank::default(),
            usage_updated_at: None,
            index: HashMap::new(),
            arrivals: BTreeMap::new(),
            next_arrival: 0,
            arrival_of: HashMap::new(),
        }
    }

    /// Changes the rules for calls popped from now on.
    pub fn set_rules(&mut self, ranked: bool, shares: PerRank<f64>) {
        self.ranked = ranked;
        self.shares = shares;
    }

    /// The number of waiting calls.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// The number of waiting calls of one rank.
    pub fn len_of(&self, rank: RequestRank) -> usize {
        self.ranks[rank].len
    }

    /// Adds a call.
    pub fn push(&mut self, call: WaitingCall) {
        let rank = &mut self.ranks[call.rank];
        let floor = rank.virtual_time;
        let kind = rank.kinds.entry(call.kind).or_default();
        if kind.calls.is_empty() {
            kind.service_used = kind.service_used.max(floor);
        }
        kind.calls.insert((call.deadline, call.id), call);
        rank.len += 1;
        self.index
            .insert(call.id, (call.rank, call.kind, call.deadline));
        self.arrivals.insert(self.next_arrival, call.id);
        self.arrival_of.insert(call.id, self.next_arrival);
        self.next_arrival += 1;
    }

    /// Removes a call out of turn.
    pub fn remove(&mut self, id: CallId) -> Option<WaitingCall> {
        let (rank, kind, deadline) = self.index.remove(&id)?;
        if let Some(arrival) = self.arrival_of.remove(&id) {
            self.arrivals.remove(&arrival);
        }
        let rank = &mut self.ranks[rank];
        let queue = rank.kinds.get_mut(&kind)?;
        let call = queue.calls.remove(&(deadline, id))?;
        rank.len -= 1;
        if queue.calls.is_empty() && queue.service_used <= rank.virtual_time {
            rank.kinds.remove(&kind);
        }
        Some(call)
    }

    /// Removes the next call. It must be charged once it runs.
    pub fn pop(&mut self, now: Instant) -> Option<WaitingCall> {
        let id = if self.ranked {
            self.next_ranked(now)?
        } else {
            *self.arrivals.values().next()?
        };
        self.remove(id)
    }

    /// Whether `rank` has received more than its guaranteed share of recent
    /// service.
    pub fn is_above_share(&self, rank: RequestRank) -> bool {
        let total: f64 = self.usage.0.iter().sum();
        self.usage[rank] > self.shares[rank] * total
    }

    /// Refunds the unused portion of the cost charged for a call.
    pub fn refund(&mut self, rank: RequestRank, unused: Duration) {
        let usage = &mut self.usage[rank];
        *usage = (*usage - unused.as_secs_f64()).max(0.0);
    }

    /// Removes a call of the lowest waiting rank, if that rank is lower than
    /// `rank`.
    pub fn evict_below(&mut self, rank: RequestRank) -> Option<WaitingCall> {
        let victim = RequestRank::ALL
            .into_iter()
            .rev()
            .take_while(|other| *other > rank)
            .find(|other| self.ranks[*other].len > 0)?;
        self.evict_from(victim)
    }

    /// Removes the call with the latest deadline from the kind with the most
    /// calls in `rank`.
    pub fn evict_from(&mut self, rank: RequestRank) -> Option<WaitingCall> {
        let kinds = &self.ranks[rank].kinds;
        let longest = kinds.values().max_by_key(|kind| kind.calls.len())?;
        let (&(_, id), _) = longest.calls.last_key_value()?;
        self.remove(id)
    }

    /// Removes all calls whose deadline is not after `until`.
    pub fn expire(&mut self, until: Instant) -> Vec<WaitingCall> {
        let expired: Vec<CallId> = self
            .index
            .iter()
            .filter(|(_, (_, _, deadline))| *deadline <= until)
            .map(|(id, _)| *id)
            .collect();
        expired
            .into_iter()
            .filter_map(|id| self.remove(id))
            .collect()
    }

    fn next_ranked(&mut self, now: Instant) -> Option<CallId> {
        self.decay(now);
        let total: f64 = self.usage.0.iter().sum();
        let waiting = || {
            RequestRank::ALL
                .into_iter()
                .filter(|rank| self.ranks[*rank].len > 0)
        };
        let below_share = waiting().find(|rank| self.usage[*rank] < self.shares[*rank] * total);
        let rank = below_share.or_else(|| waiting().next())?;
        let kinds = &self.ranks[rank].kinds;
        let next = kinds
            .iter()
            .filter(|(_, kind)| !kind.calls.is_empty())
            .min_by(|(left_hash, left), (right_hash, right)| {
                left.service_used
                    .total_cmp(&right.service_used)
                    .then(left_hash.cmp(right_hash))
            })?;
        next.1.calls.first_key_value().map(|(&(_, id), _)| id)
    }

    /// Charges `cost` of server time to a call's rank and kind.
    pub fn charge(&mut self, call: &WaitingCall, now: Instant, cost: Duration) {
        self.decay(now);
        self.usage[call.rank] += cost.as_secs_f64();
        let rank = &mut self.ranks[call.rank];
        let floor = rank.virtual_time;
        let kind = rank.kinds.entry(call.kind).or_default();
        let start = kind.service_used.max(floor);
        kind.service_used = start + cost.as_secs_f64();
        rank.virtual_time = start;
        // A kind without waiting calls is kept only while its service is ahead of
        // the virtual time.
        rank.kinds
            .retain(|_, kind| !kind.calls.is_empty() || kind.service_used > start);
    }

    fn decay(&mut self, now: Instant) {
        let Some(before) = self.usage_updated_at.replace(now) else {
            return;
        };
        let elapsed = now.saturating_duration_since(before).as_secs_f64();
        let factor = (-elapsed / USAGE_DECAY_TIME.as_secs_f64()).exp();
        for usage in &mut self.usage.0 {
            *usage *= factor;
        }
    }
}
