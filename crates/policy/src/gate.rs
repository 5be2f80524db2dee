//! The gate in front of one backend server: the only place that counts its
//! slots.
//!
//! A call is offered, waits in the queue, is granted a slot, and is finished.
//! The concurrency limit starts at the inventory's slots, is cut by half when
//! the server sheds load, and grows back slowly. A server whose calls fail in a
//! row is closed and reopened by one probe call at a time; its health endpoint
//! can't reopen it, since that lags and misleads.

use crate::invariant;
use crate::latency::LatencyWindow;
use crate::queue::{CallId, RankedQueue, WaitingCall};
use camphorway_model::{PerRank, RequestRank};
use serde::Serialize;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const FAILURES_TO_CLOSE: u32 = 3;
const FIRST_PROBE_AFTER: Duration = Duration::from_millis(200);
const LONGEST_PROBE_GAP: Duration = Duration::from_secs(5);
const LIMIT_STEP: f64 = 0.1;
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Time for a cancelled call to give back its slot.
const CANCEL_TIME: Duration = Duration::from_millis(1);
const LEAST_TIME_LEFT: Duration = Duration::from_micros(500);
const DEFAULT_QUEUE_LIMIT: usize = 512;

/// What the inventory and the rules say about one server.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// Calls at once, from the inventory.
    pub slots: u32,
    /// Most calls that wait.
    pub queue_limit: usize,
    /// Guaranteed share of each rank.
    pub shares: PerRank<f64>,
    /// Queue by rank, or by arrival.
    pub ranked: bool,
    /// Cancel running bulk calls for urgent ones.
    pub preempt: bool,
}

impl GateSettings {
    /// Settings for a server of `slots` slots, with the rules' defaults.
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

/// Whether a server takes new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes calls.
    Open,
    /// Its calls failed; one probe call at a time.
    Closed,
    /// It is going away and gets no new call.
    Leaving,
}

/// How a granted call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The server answered.
    Answered {
        /// From dispatch to the reply.
        took: Duration,
    },
    /// The server refused for load.
    Shed,
    /// The server says it is going away.
    Draining,
    /// The connection or the reply failed.
    Failed,
    /// We cancelled the call; says nothing about the server.
    Cancelled,
    /// The call was granted and never sent.
    NotSent,
}

/// What the gate decided about a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateEvent {
    /// The call has a slot and must be finished later.
    Granted(CallId),
    /// The call was dropped before it took a slot: too little time is left.
    TooLate(CallId),
    /// The call was dropped before it took a slot: the queue is full.
    QueueFull(CallId),
    /// The server takes no new call; the call was dropped before it took a slot.
    ServerUnavailable(CallId),
    /// The running call must be cancelled for a more urgent one.
    Preempt(CallId),
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    rank: RequestRank,
    preemptible: bool,
    exclusive: bool,
    preempted: bool,
    since: Instant,
}

/// Slots, queue and health of one backend server.
#[derive(Debug)]
pub struct ServerGate {
    settings: GateSettings,
    queue: RankedQueue,
    running: HashMap<CallId, RunningCall>,
    /// An exclusive call that waits for the server to become idle.
    next_exclusive: Option<WaitingCall>,
    limit: f64,
    state: ServerState,
    failures: u32,
    probe_at: Option<Instant>,
    probe_gap: Duration,
    latency: LatencyWindow,
}

impl ServerGate {
    /// A gate for a server that is taken to be warm.
    pub fn new(settings: GateSettings) -> Self {
        Self {
            queue: RankedQueue::new(settings.ranked, settings.shares),
            limit: f64::from(settings.slots),
            settings,
            running: HashMap::new(),
            next_exclusive: None,
            state: ServerState::Open,
            failures: 0,
            probe_at: None,
            probe_gap: FIRST_PROBE_AFTER,
            latency: LatencyWindow::default(),
        }
    }

    /// Takes new settings; running calls stay.
    pub fn set_settings(&mut self, settings: GateSettings) {
        self.limit = self.limit.min(f64::from(settings.slots));
        self.queue.set_rules(settings.ranked, settings.shares);
        self.settings = settings;
    }

    /// The server's process is new: it starts cold, so begin with one call.
    pub fn set_cold(&mut self) {
        self.limit = 1.0;
    }

    /// Whether the server takes calls.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Marks the server as going away, or as back.
    pub fn set_leaving(&mut self, leaving: bool) {
        match (leaving, self.state) {
            (true, _) => self.state = ServerState::Leaving,
            (false, ServerState::Leaving) => self.state = ServerState::Open,
            (false, _) => {}
        }
    }

    /// Calls running and calls waiting.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// The running quantile of this server's time to answer.
    pub fn latency(&self, fraction: f64) -> Option<Duration> {
        self.latency.quantile(fraction)
    }

    /// Whether a call offered now would start at once.
    pub fn can_start_now(&self) -> bool {
        self.state == ServerState::Open && self.queue.is_empty() && self.has_slot()
    }

    /// Whether the server may be asked at `now`; a closed one only for a probe.
    pub fn is_usable(&self, now: Instant) -> bool {
        match self.state {
            ServerState::Open => true,
            ServerState::Closed => {
                self.running.is_empty() && self.probe_at.is_none_or(|probe| probe <= now)
            }
            ServerState::Leaving => false,
        }
    }

    /// How long a call of `rank` would wait and run.
    pub fn expected_time(&self, rank: RequestRank) -> Duration {
        let service = self.service_time();
        self.expected_wait(rank) + service
    }

    /// How long a call of `rank` would wait for a slot.
    pub fn expected_wait(&self, rank: RequestRank) -> Duration {
        if self.can_start_now() {
            return Duration::ZERO;
        }
        if rank == RequestRank::Urgent && self.can_preempt() {
            return CANCEL_TIME;
        }
        let limit = self.limit.max(1.0);
        let busy = (self.running.len() as f64 / limit).min(1.0) * 0.5;
        let waits_for = |other: &RequestRank| *other <= rank || !self.settings.ranked;
        let ahead: usize = RequestRank::ALL
            .into_iter()
            .filter(waits_for)
            .map(|other| self.queue.len_of(other))
            .sum();
        let mut turns = ahead as f64 / limit;
        let share = self.settings.shares[rank];
        if self.settings.ranked && share > 0.0 {
            // Whatever is ahead, the rank gets its guaranteed share of the slots.
            let own = self.queue.len_of(rank) as f64;
            turns = turns.min(own / (limit * share));
        }
        self.service_time().mul_f64(turns + busy)
    }

    /// How long a call takes once it has a slot.
    pub fn service_time(&self) -> Duration {
        self.latency.quantile(0.5).unwrap_or(ASSUMED_SERVICE_TIME)
    }

    /// Offers a call; the events say what became of it and of others.
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

    /// Takes back a call that is still waiting; false if it isn't.
    pub fn withdraw(&mut self, id: CallId) -> bool {
        if self.next_exclusive.is_some_and(|call| call.id == id) {
            self.next_exclusive = None;
            return true;
        }
        self.queue.remove(id).is_some()
    }

    /// Frees the slot of a granted call.
    pub fn finish(&mut self, id: CallId, end: CallEnd, now: Instant) -> Vec<GateEvent> {
        let run = self.running.remove(&id);
        invariant::check(run.is_some(), "slot-freed-once", || {
            format!("call {}", id.0)
        });
        if let Some(run) = run
            && matches!(end, CallEnd::Cancelled | CallEnd::NotSent)
        {
            let used = now.saturating_duration_since(run.since);
            let unused = self.service_time().saturating_sub(used);
            self.queue.refund(run.rank, unused);
        }
        self.learn(end, now);
        let mut events = Vec::new();
        if self.state != ServerState::Open {
            self.turn_all(&mut events);
        }
        self.grant(now, &mut events);
        events
    }

    fn learn(&mut self, end: CallEnd, now: Instant) {
        match end {
            CallEnd::Answered { took } => {
                self.latency.record(took);
                self.failures = 0;
                self.probe_gap = FIRST_PROBE_AFTER;
                if self.state == ServerState::Closed {
                    self.state = ServerState::Open;
                    self.limit = 1.0;
                }
                let most = f64::from(self.settings.slots);
                self.limit = (self.limit + LIMIT_STEP).min(most);
            }
            CallEnd::Shed => self.limit = (self.limit / 2.0).max(1.0),
            CallEnd::Draining => self.state = ServerState::Leaving,
            CallEnd::Failed => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_CLOSE && self.state != ServerState::Leaving {
                    self.state = ServerState::Closed;
                    self.probe_at = Some(now + self.probe_gap);
                    self.probe_gap = (self.probe_gap * 2).min(LONGEST_PROBE_GAP);
                }
            }
            CallEnd::Cancelled | CallEnd::NotSent => {}
        }
    }

    fn turn_all(&mut self, events: &mut Vec<GateEvent>) {
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
            let least = self.latency.quantile(0.1).unwrap_or(LEAST_TIME_LEFT);
            if call.deadline.saturating_duration_since(now) < least.max(LEAST_TIME_LEFT) {
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
            since: now,
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

    /// Whether a running bulk call may be cancelled: not while bulk work has had
    /// no more than its guaranteed share.
    fn can_preempt(&self) -> bool {
        let is_victim =
            |run: &RunningCall| run.rank == RequestRank::Bulk && run.preemptible && !run.preempted;
        self.settings.preempt
            && self.queue.is_above_share(RequestRank::Bulk)
            && self.running.values().any(is_victim)
    }

    /// Cancels the youngest bulk call if an urgent call had to wait.
    fn preempt_for(&mut self, call: &WaitingCall, events: &mut Vec<GateEvent>) {
        let waits = !events.contains(&GateEvent::Granted(call.id));
        if !self.settings.preempt || !waits || call.rank != RequestRank::Urgent {
            return;
        }
        // One cancellation frees one slot, so urgent calls beyond those cancel no more.
        let cancelling = self.running.values().filter(|run| run.preempted).count();
        if cancelling >= self.queue.len_of(RequestRank::Urgent) || !self.can_preempt() {
            return;
        }
        let victim = self
            .running
            .iter_mut()
            .filter(|(_, run)| run.rank == RequestRank::Bulk && run.preemptible && !run.preempted)
            .max_by_key(|(id, run)| (run.since, **id));
        if let Some((id, run)) = victim {
            run.preempted = true;
            events.push(GateEvent::Preempt(*id));
        }
    }
}
