//! The state that a holder keeps of one backend server: the gate that counts its
//! slots, the calls that wait for one, and what its replies reported.

use crate::clock::DaemonClock;
use crate::control::view::TierView;
use crate::holder::pool::ConnectionPool;
use crate::holder::protocol::{self, MAX_STATUS_BYTES};
use crate::http_client::{ConnectError, connect};
use crate::peer::message::UnsentCause;
use crate::sync::lock;
use crate::task::TaskSpawner;
use async_channel::{Receiver, Sender};
use camphorway_model::{BackendServer, PerRank, RequestRank, SnapshotId};
use camphorway_policy::snapshot_choice::HeldSnapshots;
use camphorway_policy::{
    CallEnd, CallId, ContentHash, CrashReport, DrainReport, GateEvent, GateSettings, ServerGate,
    ServerState, WaitingCall,
};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A backend server's gate, connection pool and state.
#[derive(Debug)]
pub struct ServerEndpoint {
    server: BackendServer,
    pool: Arc<ConnectionPool>,
    clock: DaemonClock,
    spawner: TaskSpawner,
    state: Mutex<EndpointState>,
}

#[derive(Debug)]
struct EndpointState {
    gate: ServerGate,
    generation: u64,
    next_call: u64,
    waiting: HashMap<CallId, Sender<SlotNotice>>,
    running: HashMap<CallId, RunningCall>,
    boot: Option<u64>,
    held: HeldSnapshots,
    listed_leaving: bool,
    /// The boot number of the last lost process, and how many calls ran on it.
    lost: Option<(u64, usize)>,
}

#[derive(Debug)]
struct RunningCall {
    preempt: CancellationToken,
}

#[derive(Clone, Copy, Debug)]
enum SlotNotice {
    Granted,
    Refused(UnsentCause),
}

/// A granted slot; [`SlotPermit::end`] frees it, and so does dropping it unsent.
#[derive(Debug)]
pub struct SlotPermit {
    endpoint: Arc<ServerEndpoint>,
    id: CallId,
    /// Cancelled when a more urgent call needs the slot.
    pub preempt: CancellationToken,
    ended: bool,
}

/// An endpoint's entry in the state dump.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndpointReport {
    /// The backend server.
    pub server: String,
    /// Whether the server takes calls.
    pub state: ServerState,
    /// Running calls.
    pub running: usize,
    /// Waiting calls.
    pub waiting: usize,
    /// Open connections.
    pub connections: usize,
    /// The median answer time in microseconds.
    pub median_us: Option<u64>,
    /// The server's boot number.
    pub boot: Option<u64>,
}

impl ServerEndpoint {
    /// Creates an endpoint with a new gate.
    pub fn new(
        server: &BackendServer,
        view: &TierView,
        clock: &DaemonClock,
        spawner: &TaskSpawner,
    ) -> Self {
        let state = EndpointState {
            gate: ServerGate::new(gate_settings(server, view)),
            generation: view.generation.0,
            // Two holders may call a server at once; random bits keep call numbers unique.
            next_call: u64::from(fastrand::u32(..)) << 32,
            waiting: HashMap::new(),
            running: HashMap::new(),
            boot: None,
            held: HeldSnapshots::default(),
            listed_leaving: false,
            lost: None,
        };
        let endpoint = Self {
            pool: ConnectionPool::new(server, view.config.rules.policy.seats, spawner),
            server: server.clone(),
            clock: clock.clone(),
            spawner: spawner.clone(),
            state: Mutex::new(state),
        };
        endpoint.refresh(view);
        endpoint
    }

    /// The backend server.
    pub fn server(&self) -> &BackendServer {
        &self.server
    }

    /// The pool of connections to the server.
    pub fn pool(&self) -> &Arc<ConnectionPool> {
        &self.pool
    }

    /// Applies the view's rules and its lists of leaving and draining servers.
    pub fn refresh(&self, view: &TierView) {
        let mut state = self.lock();
        if state.generation != view.generation.0 {
            state.generation = view.generation.0;
            state.gate.set_settings(gate_settings(&self.server, view));
        }
        let leaving = view.leaving.contains(&self.server.name);
        if leaving != state.listed_leaving {
            state.listed_leaving = leaving;
            state.gate.set_leaving(leaving);
        }
        if let Some(boot) = view.draining.get(&self.server.name)
            && state.boot.is_none_or(|own| own == *boot)
        {
            state.boot = Some(*boot);
            state.gate.set_leaving(true);
        }
    }

    /// The report to other daemons that the server is draining, if its boot number
    /// is known.
    pub fn drain_report(&self) -> Option<DrainReport> {
        Some(DrainReport {
            server: self.server.name.clone(),
            boot: self.lock().boot?,
            age_ms: 0,
        })
    }

    /// Whether the gate accepts a call now.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.lock().gate.is_usable(now)
    }

    /// Whether the server takes calls.
    pub fn state(&self) -> ServerState {
        self.lock().gate.state()
    }

    /// Whether a call would start at once.
    pub fn can_start_now(&self) -> bool {
        self.lock().gate.can_start_now()
    }

    /// The expected time for a call to wait and run.
    pub fn expected_time(&self, rank: RequestRank) -> Duration {
        self.lock().gate.expected_time(rank)
    }

    /// The expected time for a call to wait for a slot.
    pub fn expected_wait(&self, rank: RequestRank) -> Duration {
        self.lock().gate.expected_wait(rank)
    }

    /// The time that a call takes once it has a slot.
    pub fn service_time(&self) -> Duration {
        self.lock().gate.service_time()
    }

    /// A quantile of the server's answer time.
    pub fn latency(&self, fraction: f64) -> Option<Duration> {
        self.lock().gate.latency(fraction)
    }

    /// Whether the server may hold `snapshot`.
    pub fn may_hold(&self, snapshot: SnapshotId) -> bool {
        self.lock().held.may_hold(snapshot)
    }

    /// Records which snapshots the server holds.
    pub fn set_held(&self, held: HeldSnapshots) {
        self.lock().held = held;
    }

    /// Records the server's boot number; a new one means a restarted, cold process.
    pub fn set_boot(&self, boot: u64) {
        let mut state = self.lock();
        let before = state.boot.replace(boot);
        if before.is_some_and(|before| before != boot) {
            state.gate.set_cold();
            state.held = HeldSnapshots::default();
        }
    }

    /// Applies the server's status, which can only take the server out of use, or
    /// bring it back if its process is new.
    pub fn set_draining(&self, draining: bool, boot: Option<u64>) {
        let mut state = self.lock();
        let is_new = boot.is_some() && boot != state.boot;
        if draining {
            state.gate.set_leaving(true);
        } else if is_new && !state.listed_leaving {
            state.gate.set_leaving(false);
        }
        drop(state);
        if let Some(boot) = boot {
            self.set_boot(boot);
        }
    }

    /// The endpoint's entry in the state dump.
    pub fn report(&self) -> EndpointReport {
        let state = self.lock();
        let (running, waiting) = state.gate.load();
        EndpointReport {
            server: self.server.name.to_string(),
            state: state.gate.state(),
            running,
            waiting,
            connections: self.pool.counts().0,
            median_us: state.gate.latency(0.5).map(|time| time.as_micros() as u64),
            boot: state.boot,
        }
    }

    /// Waits for a slot for `call`; its id is assigned here.
    ///
    /// # Errors
    /// Returns the reason if no slot is granted; nothing was sent.
    pub async fn acquire(self: &Arc<Self>, call: &WaitingCall) -> Result<SlotPermit, UnsentCause> {
        let (notify, notice) = async_channel::bounded(1);
        let now = self.clock.now();
        let id = {
            let mut state = self.lock();
            let id = CallId(state.next_call);
            state.next_call += 1;
            state.waiting.insert(id, notify);
            let call = WaitingCall { id, ..*call };
            let events = state.gate.offer(call, now);
            state.apply(events);
            id
        };
        let mut waiter = SlotWaiter {
            endpoint: self,
            id,
            notice,
            resolved: false,
        };
        waiter.wait().await
    }

    /// Whether the process that ran a call has ended: its TCP port is closed, or
    /// another process answers on it. An unreachable network is no crash.
    pub async fn has_crashed(&self) -> bool {
        let before = self.lock().boot;
        let check = async {
            loop {
                if let Some(crashed) = self.check_process(before).await {
                    return crashed;
                }
                // The system may still be closing the old process's port.
                self.clock.sleep(CRASH_CHECK_INTERVAL).await;
            }
        };
        let checked = self.clock.timeout(CRASH_CHECK_TIMEOUT, check).await;
        checked.unwrap_or(false)
    }

    /// Probes the server's TCP port once; returns `None` if inconclusive.
    async fn check_process(&self, before: Option<u64>) -> Option<bool> {
        let mut sender = match connect(self.server.address, &self.spawner).await {
            Ok(sender) => sender,
            Err(ConnectError::Refused(_)) => return Some(true),
            Err(ConnectError::Other(..)) => return None,
        };
        let request = protocol::status_request();
        let reply = sender.send(request, MAX_STATUS_BYTES).await.ok()?;
        let boot = protocol::boot_number(reply.headers())?;
        Some(before.is_some_and(|before| before != boot))
    }

    /// The report of a crash while `content` ran. Calls lost with the same process
    /// get the same crash number.
    pub fn crash_report(&self, content: ContentHash, alone: bool) -> CrashReport {
        let boot = self.lock().boot.unwrap_or_default();
        CrashReport {
            content,
            server: self.server.name.clone(),
            crash: xxh3_64_with_seed(self.server.name.as_str().as_bytes(), boot),
            alone,
            age_ms: 0,
        }
    }

    /// The number of calls on the server's process when its first call was lost.
    pub fn running_at_loss(&self) -> usize {
        let mut state = self.lock();
        let boot = state.boot.unwrap_or_default();
        if let Some((lost, running)) = state.lost
            && lost == boot
        {
            return running;
        }
        let running = state.running.len();
        state.lost = Some((boot, running));
        running
    }

    fn finish(&self, id: CallId, end: CallEnd) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.running.remove(&id);
        let events = state.gate.finish(id, end, now);
        state.apply(events);
    }

    fn lock(&self) -> MutexGuard<'_, EndpointState> {
        lock(&self.state)
    }
}

impl EndpointState {
    fn apply(&mut self, events: Vec<GateEvent>) {
        for event in events {
            let (id, notice) = match event {
                GateEvent::Granted(id) => {
                    let preempt = CancellationToken::new();
                    self.running.insert(id, RunningCall { preempt });
                    (id, SlotNotice::Granted)
                }
                GateEvent::TooLate(id) => (id, SlotNotice::Refused(UnsentCause::TooLate)),
                GateEvent::QueueFull(id) => (id, SlotNotice::Refused(UnsentCause::QueueFull)),
                GateEvent::ServerUnavailable(id) => {
                    (id, SlotNotice::Refused(UnsentCause::Unavailable))
                }
                GateEvent::Preempt(id) => {
                    if let Some(call) = self.running.get(&id) {
                        call.preempt.cancel();
                    }
                    continue;
                }
            };
            if let Some(waiter) = self.waiting.remove(&id) {
                // The channel has capacity for its only notice.
                let _ = waiter.try_send(notice);
            }
        }
    }
}

/// Leaves the queue, or frees an unused slot, if the wait is dropped.
struct SlotWaiter<'endpoint> {
    endpoint: &'endpoint Arc<ServerEndpoint>,
    id: CallId,
    notice: Receiver<SlotNotice>,
    resolved: bool,
}

impl SlotWaiter<'_> {
    async fn wait(&mut self) -> Result<SlotPermit, UnsentCause> {
        let notice = self.notice.recv().await;
        self.resolved = true;
        match notice {
            Ok(SlotNotice::Granted) => {
                let state = self.endpoint.lock();
                let preempt = state.running.get(&self.id).map(|call| call.preempt.clone());
                Ok(SlotPermit {
                    endpoint: Arc::clone(self.endpoint),
                    id: self.id,
                    preempt: preempt.unwrap_or_default(),
                    ended: false,
                })
            }
            Ok(SlotNotice::Refused(reason)) => Err(reason),
            Err(_) => Err(UnsentCause::Unavailable),
        }
    }
}

impl Drop for SlotWaiter<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut state = self.endpoint.lock();
        let was_waiting = state.waiting.remove(&self.id).is_some();
        if was_waiting {
            state.gate.withdraw(self.id);
            return;
        }
        let was_granted = state.running.contains_key(&self.id);
        drop(state);
        if was_granted {
            self.endpoint.finish(self.id, CallEnd::Unsent);
        }
    }
}

impl SlotPermit {
    /// The server's endpoint.
    pub fn endpoint(&self) -> &Arc<ServerEndpoint> {
        &self.endpoint
    }

    /// The call's number at this endpoint.
    pub fn call(&self) -> u64 {
        self.id.0
    }

    /// Frees the slot.
    pub fn end(mut self, end: CallEnd) {
        self.ended = true;
        self.endpoint.finish(self.id, end);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.ended {
            self.endpoint.finish(self.id, CallEnd::Unsent);
        }
    }
}

fn gate_settings(server: &BackendServer, view: &TierView) -> GateSettings {
    let rules = &view.config.rules;
    let share = |rank: RequestRank| rules.ranks[rank].share;
    // Daemons that hold a group together divide its slots; validation of the
    // configuration ensures that there are no more seats than slots.
    let own_slots = (server.slots / rules.policy.seats.max(1)).max(1);
    let mut settings = GateSettings::new(own_slots);
    settings.shares = PerRank([
        share(RequestRank::Urgent),
        share(RequestRank::Normal),
        share(RequestRank::Bulk),
    ]);
    settings.ranked = rules.policy.ranked_queues;
    settings.preempt = rules.policy.preempt;
    settings
}
