//! The gate in front of one backend server: the only place that counts its slots.
//!
//! A call is offered, waits in the queue, is granted a slot, and is finished. The
//! concurrency limit starts at the inventory's slots, is halved when the server
//! sheds load, and grows back slowly. After several failed calls in a row a server
//! is closed: it gets one probe call at a time until one is answered. A good
//! result of its health endpoint doesn't reopen it, since that lags and misleads.

use crate::invariant;
use crate::latency::LatencyWindow;
use crate::queue::{CallId, RankedQueue, WaitingCall};
use camphorway_model::{PerRank, RequestRank};
use serde::Serialize;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const FAILURES_TO_CLOSE: u32 = 3;
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(200);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(5);
const LIMIT_STEP: f64 = 0.1;
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Time for a cancelled call to release its slot.
const CANCEL_TIME: Duration = Duration::from_millis(1);
const MIN_TIME_LEFT: Duration = Duration::from_micros(500);
const DEFAULT_QUEUE_LIMIT: usize = 512;

/// The settings of one server from the inventory and the rules.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// The maximum number of concurrent calls, from the inventory.
    pub slots: u32,
    /// The maximum number of waiting calls.
    pub queue_limit: usize,
    /// The guaranteed share of each rank.
    pub shares: PerRank<f64>,
    /// Whether the queue is ordered by rank, not by arrival.
    pub ranked: bool,
    /// Whether running bulk calls are cancelled for urgent ones.
    pub preempt: bool,
}

impl GateSettings {
    /// Settings for a server with `slots` slots and the rules' defaults.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            shares: PerRank([0.5, 0.3, 0.1]),
            ranked: true,
            preempt: false,
        }
    }
}

/// Whether a server accepts new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It accepts calls.
    Open,
    /// Its calls failed; it gets one probe call at a time.
    Closed,
    /// It is shutting down and gets no new call.
    Leaving,
}

/// The outcome of a granted call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The server answered.
    Answered {
        /// The time from dispatch to the reply.
        took: Duration,
    },
    /// The server rejected the call because of load.
    Shed,
    /// The server reported that it is draining.
    Draining,
    /// The connection or the reply failed.
    Failed,
    /// The daemon cancelled the call, which says nothing about the server.
    Cancelled,
    /// The call was granted a slot and never sent.
    Unsent,
}

/// A decision of the gate about a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateEvent {
    /// The call has a slot and must be finished later.
    Granted(CallId),
    /// The call was dropped before it got a slot: too little time is left.
    TooLate(CallId),
    /// The call was dropped before it got a slot: the queue is full.
    QueueFull(CallId),
    /// The call was dropped before it got a slot: the server accepts no new call.
    ServerUnavailable(CallId),
    /// The running call must be cancelled in favour of a more urgent one.
    Preempt(CallId),
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    rank: RequestRank,
    preemptible: bool,
    exclusive: bool,
    preempted: bool,
    started_at: Instant,
}

/// The slots, queue and health of one backend server.
#[derive(Debug)]
pub struct ServerGate {
    settings: GateSettings,
    queue: RankedQueue,
    running: HashMap<CallId, RunningCall>,
    /// An exclusive call that waits for the server to become idle.
    next_exclusive: Option<WaitingCall>,
    limit: f64,
    state: ServerState,
    consecutive_failures: u32,
    probe_at: Option<Instant>,
    probe_interval: Duration,
    latency: LatencyWindow,
}

impl ServerGate {
    /// A gate for a server that is assumed to be warm.
    pub fn new(settings: GateSettings) -> Self {
        Self {
            queue: RankedQueue::new(settings.ranked, settings.shares),
            limit: f64::from(settings.slots),
            settings,
            running: HashMap::new(),
            next_exclusive: None,
            state: ServerState::Open,
            consecutive_failures: 0,
            probe_at: None,
            probe_interval: MIN_PROBE_INTERVAL,
            latency: LatencyWindow::default(),
        }
    }

    /// Applies new settings; running calls continue.
    pub fn set_settings(&mut self, settings: GateSettings) {
        self.limit = self.limit.min(f64::from(settings.slots));
        self.queue.set_rules(settings.ranked, settings.shares);
        self.settings = settings;
    }

    /// Lowers the limit to one call for a new server process, which starts cold.
    pub fn set_cold(&mut self) {
        self.limit = 1.0;
    }

    /// Whether the server accepts calls.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Marks the server as shutting down, or as accepting calls again.
    pub fn set_leaving(&mut self, leaving: bool) {
        match (leaving, self.state) {
            (true, _) => self.state = ServerState::Leaving,
            (false, ServerState::Leaving) => self.state = ServerState::Open,
            (false, _) => {}
        }
    }

    /// The number of running and of waiting calls.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// The quantile `fraction` of this server's recent response times.
    pub fn latency(&self, fraction: f64) -> Option<Duration> {
        self.latency.quantile(fraction)
    }

    /// Whether a call offered now would start at once.
    pub fn can_start_now(&self) -> bool {
        self.state == ServerState::Open && self.queue.is_empty() && self.has_slot()
    }

    /// Whether the server may be called at `now`; a closed one only for a probe.
    pub fn is_usable(&self, now: Instant) -> bool {
        match self.state {
            ServerState::Open => true,
            ServerState::Closed => {
                self.running.is_empty() && self.probe_at.is_none_or(|probe| probe <= now)
            }
            ServerState::Leaving => false,
        }
    }

    /// The expected time for a call of `rank` to wait and run.
    pub fn expected_time(&self, rank: RequestRank) -> Duration {
        let service = self.service_time();
        self.expected_wait(rank) + service
    }

    /// The expected time that a call of `rank` waits for a slot.
    pub fn expected_wait(&self, rank: RequestRank) -> Duration {
        if self.can_start_now() {
            return Duration::ZERO;
        }
        if rank == RequestRank::Urgent && self.can_preempt() {
            return CANCEL_TIME;
        }
        let limit = self.limit.max(1.0);
        let busy = (self.running.len() as f64 / limit).min(1.0) * 0.5;
        let goes_ahead = |other: &RequestRank| *other <= rank || !self.settings.ranked;
        let ahead: usize = RequestRank::ALL
            .into_iter()
            .filter(goes_ahead)
            .map(|other| self.queue.len_of(other))
            .sum();
        let mut rounds = ahead as f64 / limit;
        let share = self.settings.shares[rank];
        if self.settings.ranked && share > 0.0 {
            // Regardless of the calls ahead, the rank gets its guaranteed share
            // of the slots.
            let own = self.queue.len_of(rank) as f64;
            rounds = rounds.min(own / (limit * share));
        }
        self.service_time().mul_f64(rounds + busy)
    }

    /// The expected time of a call once it has a slot.
    pub fn service_time(&self) -> Duration {
        self.latency.quantile(0.5).unwrap_or(ASSUMED_SERVICE_TIME)
    }

    /// Offers a call. The events report the decisions about it and about other
    /// calls.
    pub fn offer(&mut self, call: WaitingCall, now: Instant) -> Vec<GateEvent> {
        let mut events = Vec::new();
        if !self.is_usable(now) {
            events.push(GateEvent::ServerUnavailable(call.id));
            return events;
        }
        if self.queue.len() >= self.settings.queue_limit {
            let evicted = if self.settings.ranked {
                self.queue.evict_below(call.rank)
            } else {
                None
            };
            let Some(evicted) = evicted else {
                events.push(GateEvent::QueueFull(call.id));
                return events;
            };
            events.push(GateEvent::QueueFull(evicted.id));
        }
        self.queue.push(call);
        self.grant(now, &mut events);
        self.preempt_for(&call, &mut events);
        events
    }

    /// Removes a waiting call; false if it isn't waiting.
    pub fn withdraw(&mut self, id: CallId) -> bool {
        if self.next_exclusive.is_some_and(|call| call.id == id) {
            self.next_exclusive = None;
            return true;
        }
        self.queue.remove(id).is_some()
    }

    /// Releases the slot of a granted call.
    pub fn finish(&mut self, id: CallId, end: CallEnd, now: Instant) -> Vec<GateEvent> {
        let run = self.running.remove(&id);
        invariant::check(run.is_some(), "slot-freed-once", || {
            format!("call {}", id.0)
        });
        if let Some(run) = run
            && matches!(end, CallEnd::Cancelled | CallEnd::Unsent)
        {
            let used = now.saturating_duration_since(run.started_at);
            let unused = self.service_time().saturating_sub(used);
            self.queue.refund(run.rank, unused);
        }
        self.apply_end(end, now);
        let mut events = Vec::new();
        if self.state != ServerState::Open {
            self.reject_waiting(&mut events);
        }
        self.grant(now, &mut events);
        events
    }

    fn apply_end(&mut self, end: CallEnd, now: Instant) {
        match end {
            CallEnd::Answered { took } => {
                self.latency.record(took);
                self.consecutive_failures = 0;
                self.probe_interval = MIN_PROBE_INTERVAL;
                if self.state == ServerState::Closed {
                    self.state = ServerState::Open;
                    self.limit = 1.0;
                }
                let max_limit = f64::from(self.settings.slots);
                self.limit = (self.limit + LIMIT_STEP).min(max_limit);
            }
            CallEnd::Shed => self.limit = (self.limit / 2.0).max(1.0),
            CallEnd::Draining => self.state = ServerState::Leaving,
            CallEnd::Failed => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_TO_CLOSE
                    && self.state != ServerState::Leaving
                {
                    self.state = ServerState::Closed;
                    self.probe_at = Some(now + self.probe_interval);
                    self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
                }
            }
            CallEnd::Cancelled | CallEnd::Unsent => {}
        }
    }

    fn reject_waiting(&mut self, events: &mut Vec<GateEvent>) {
        if let Some(call) = self.next_exclusive.take() {
            events.push(GateEvent::ServerUnavailable(call.id));
        }
        while let Some(call) = self.queue.evict_from(RequestRank::Bulk).or_else(|| {
            let normal = self.queue.evict_from(RequestRank::Normal);
            normal.or_else(|| self.queue.evict_from(RequestRank::Urgent))
        }) {
            events.push(GateEvent::ServerUnavailable(call.id));
        }
    }

    fn has_slot(&self) -> bool {
        if self.next_exclusive.is_some() || self.running.values().any(|call| call.exclusive) {
            return false;
        }
        let limit = match self.state {
            ServerState::Open => self.limit.floor() as usize,
            ServerState::Closed => 1,
            ServerState::Leaving => 0,
        };
        self.running.len() < limit.min(self.settings.slots as usize)
    }

    fn grant(&mut self, now: Instant, events: &mut Vec<GateEvent>) {
        if let Some(call) = self.next_exclusive
            && self.running.is_empty()
        {
            self.next_exclusive = None;
            self.start(&call, now, events);
        }
        while self.has_slot() {
            let Some(call) = self.queue.pop(now) else {
                return;
            };
            let min_time_left = self.latency.quantile(0.1).unwrap_or(MIN_TIME_LEFT);
            if call.deadline.saturating_duration_since(now) < min_time_left.max(MIN_TIME_LEFT) {
                events.push(GateEvent::TooLate(call.id));
                continue;
            }
            if call.exclusive && !self.running.is_empty() {
                self.next_exclusive = Some(call);
                return;
            }
            self.start(&call, now, events);
        }
    }

    fn start(&mut self, call: &WaitingCall, now: Instant, events: &mut Vec<GateEvent>) {
        let running = RunningCall {
            rank: call.rank,
            preemptible: call.preemptible,
            exclusive: call.exclusive,
            preempted: false,
            started_at: now,
        };
        self.queue.charge(call, now, self.service_time());
        self.running.insert(call.id, running);
        events.push(GateEvent::Granted(call.id));
        let slots = self.settings.slots as usize;
        invariant::check(
            self.running.len() <= slots,
            "slots-within-inventory",
            || format!("{} running of {slots}", self.running.len()),
        );
    }

    /// Whether a running bulk call may be cancelled: only while bulk work has had
    /// more than its guaranteed share.
    fn can_preempt(&self) -> bool {
        let is_victim =
            |run: &RunningCall| run.rank == RequestRank::Bulk && run.preemptible && !run.preempted;
        self.settings.preempt
            && self.queue.is_above_share(RequestRank::Bulk)
            && self.running.values().any(is_victim)
    }

    /// Cancels the most recently started bulk call if an urgent call has to wait.
    fn preempt_for(&mut self, call: &WaitingCall, events: &mut Vec<GateEvent>) {
        let waits = !events.contains(&GateEvent::Granted(call.id));
        if !self.settings.preempt || !waits || call.rank != RequestRank::Urgent {
            return;
        }
        // One cancellation frees one slot, so there are no more cancellations
        // than waiting urgent calls.
        let cancelling = self.running.values().filter(|run| run.preempted).count();
        if cancelling >= self.queue.len_of(RequestRank::Urgent) || !self.can_preempt() {
            return;
        }
        let victim = self
            .running
            .iter_mut()
            .filter(|(_, run)| run.rank == RequestRank::Bulk && run.preemptible && !run.preempted)
            .max_by_key(|(id, run)| (run.started_at, **id));
        if let Some((id, run)) = victim {
            run.preempted = true;
            events.push(GateEvent::Preempt(*id));
        }
    }
}
