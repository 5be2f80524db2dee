//! One backend server as its holder sees it: the gate that counts its slots,
//! the calls that wait for one, and what its replies have shown.

use crate::clock::DaemonClock;
use crate::control::view::TierView;
use crate::holder::pool::ConnectionPool;
use crate::holder::protocol;
use crate::http_client::{ConnectError, connect};
use crate::peer::message::NotSentReason;
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
const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(5);

/// A backend server's gate, pool and state.
#[derive(Debug)]
pub struct ServerEndpoint {
    server: BackendServer,
    pool: Arc<ConnectionPool>,
    clock: DaemonClock,
    spawner: TaskSpawner,
    state: Mutex<PortState>,
}

#[derive(Debug)]
struct PortState {
    gate: ServerGate,
    generation: u64,
    next_call: u64,
    waiting: HashMap<CallId, Sender<SlotNotice>>,
    running: HashMap<CallId, RunningCall>,
    boot: Option<u64>,
    held: HeldSnapshots,
    listed_leaving: bool,
    /// Contents that ran when the boot was lost, by boot number.
    lost: Option<(u64, usize)>,
}

#[derive(Debug)]
struct RunningCall {
    preempt: CancellationToken,
}

#[derive(Clone, Copy, Debug)]
enum SlotNotice {
    Granted,
    Refused(NotSentReason),
}

/// A granted slot; it is freed by [`SlotPermit::end`], or when dropped unsent.
#[derive(Debug)]
pub struct SlotPermit {
    port: Arc<ServerEndpoint>,
    id: CallId,
    /// Cancelled when a more urgent call needs the slot.
    pub preempt: CancellationToken,
    ended: bool,
}

/// A line of the state dump.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PortReport {
    /// The backend server.
    pub server: String,
    /// Whether it takes calls.
    pub state: ServerState,
    /// Calls running.
    pub running: usize,
    /// Calls waiting.
    pub waiting: usize,
    /// Open connections.
    pub connections: usize,
    /// Median time to answer, in microseconds.
    pub median_us: Option<u64>,
    /// The server's boot number.
    pub boot: Option<u64>,
}

impl ServerEndpoint {
    /// A port with a fresh gate.
    pub fn new(
        server: &BackendServer,
        view: &TierView,
        clock: &DaemonClock,
        spawner: &TaskSpawner,
    ) -> Self {
        let state = PortState {
            gate: ServerGate::new(gate_settings(server, view)),
            generation: view.generation.0,
            // Two holders may call a server at once, and call numbers must not collide there.
            next_call: u64::from(fastrand::u32(..)) << 32,
            waiting: HashMap::new(),
            running: HashMap::new(),
            boot: None,
            held: HeldSnapshots::default(),
            listed_leaving: false,
            lost: None,
        };
        let port = Self {
            pool: ConnectionPool::new(server, view.config.rules.policy.seats, spawner),
            server: server.clone(),
            clock: clock.clone(),
            spawner: spawner.clone(),
            state: Mutex::new(state),
        };
        port.refresh(view);
        port
    }

    /// The backend server.
    pub fn server(&self) -> &BackendServer {
        &self.server
    }

    /// Its connections.
    pub fn pool(&self) -> &Arc<ConnectionPool> {
        &self.pool
    }

    /// Takes over rules and the list of leaving servers.
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

    /// The report for other daemons of a server that is draining, if the number
    /// of its process is known.
    pub fn drain_report(&self) -> Option<DrainReport> {
        Some(DrainReport {
            server: self.server.name.clone(),
            boot: self.lock().boot?,
            age_ms: 0,
        })
    }

    /// Whether a call may be offered now.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.lock().gate.is_usable(now)
    }

    /// Whether the server takes calls.
    pub fn state(&self) -> ServerState {
        self.lock().gate.state()
    }

    /// Whether a call would start at once.
    pub fn is_idle(&self) -> bool {
        self.lock().gate.can_start_now()
    }

    /// Time for a call to wait and run.
    pub fn expected_time(&self, rank: RequestRank) -> Duration {
        self.lock().gate.expected_time(rank)
    }

    /// Time for a call to wait for a slot.
    pub fn expected_wait(&self, rank: RequestRank) -> Duration {
        self.lock().gate.expected_wait(rank)
    }

    /// How long a call takes once it has a slot.
    pub fn service_time(&self) -> Duration {
        self.lock().gate.service_time()
    }

    /// A quantile of the server's time to answer.
    pub fn latency(&self, fraction: f64) -> Option<Duration> {
        self.lock().gate.latency(fraction)
    }

    /// Whether the server may hold `snapshot`.
    pub fn may_hold(&self, snapshot: SnapshotId) -> bool {
        self.lock().held.may_hold(snapshot)
    }

    /// Notes which snapshots the server holds.
    pub fn set_held(&self, held: HeldSnapshots) {
        self.lock().held = held;
    }

    /// Notes the server's boot number; a new one means a cold process.
    pub fn set_boot(&self, boot: u64) {
        let mut state = self.lock();
        let before = state.boot.replace(boot);
        if before.is_some_and(|before| before != boot) {
            state.gate.set_cold();
            state.held = HeldSnapshots::default();
        }
    }

    /// Notes what the server's status says: it can only take the server out,
    /// or bring back one whose process is new.
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

    /// A line of the state dump.
    pub fn report(&self) -> PortReport {
        let state = self.lock();
        let (running, waiting) = state.gate.load();
        PortReport {
            server: self.server.name.to_string(),
            state: state.gate.state(),
            running,
            waiting,
            connections: self.pool.counts().0,
            median_us: state.gate.latency(0.5).map(|time| time.as_micros() as u64),
            boot: state.boot,
        }
    }

    /// Waits for a slot for `call`, whose id is set here.
    ///
    /// # Errors
    /// Returns why there is none; nothing was sent.
    pub async fn acquire(
        self: &Arc<Self>,
        call: &WaitingCall,
    ) -> Result<SlotPermit, NotSentReason> {
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
            port: self,
            id,
            notice,
            settled: false,
        };
        waiter.wait().await
    }

    /// Whether the process that ran a call is gone: its port is closed, or
    /// another process answers there. A cut network is no crash.
    pub async fn has_crashed(&self) -> bool {
        let before = self.lock().boot;
        let check = async {
            loop {
                if let Some(crashed) = self.check_process(before).await {
                    return crashed;
                }
                // The system may still be closing the old process's port.
                self.clock.sleep(CRASH_CHECK_PAUSE).await;
            }
        };
        let checked = self.clock.timeout(CRASH_CHECK_TIMEOUT, check).await;
        checked.unwrap_or(false)
    }

    /// One look at the server's port; none if it shows nothing.
    async fn check_process(&self, before: Option<u64>) -> Option<bool> {
        let mut sender = match connect(self.server.address, &self.spawner).await {
            Ok(sender) => sender,
            Err(ConnectError::Refused(_)) => return Some(true),
            Err(ConnectError::Other(..)) => return None,
        };
        let reply = sender.send_request(protocol::status_request()).await.ok()?;
        let boot = protocol::boot_number(reply.headers())?;
        Some(before.is_some_and(|before| before != boot))
    }

    /// The report of a crash that `content` was in. Calls that were lost with
    /// the same process get the same crash number.
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

    /// How many calls ran on the server's process when its first call was lost.
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

    fn lock(&self) -> MutexGuard<'_, PortState> {
        lock(&self.state)
    }
}

impl PortState {
    fn apply(&mut self, events: Vec<GateEvent>) {
        for event in events {
            let (id, notice) = match event {
                GateEvent::Granted(id) => {
                    let preempt = CancellationToken::new();
                    self.running.insert(id, RunningCall { preempt });
                    (id, SlotNotice::Granted)
                }
                GateEvent::TooLate(id) => (id, SlotNotice::Refused(NotSentReason::Late)),
                GateEvent::QueueFull(id) => (id, SlotNotice::Refused(NotSentReason::Crowded)),
                GateEvent::ServerUnavailable(id) => {
                    (id, SlotNotice::Refused(NotSentReason::Unavailable))
                }
                GateEvent::Preempt(id) => {
                    if let Some(call) = self.running.get(&id) {
                        call.preempt.cancel();
                    }
                    continue;
                }
            };
            if let Some(waiter) = self.waiting.remove(&id) {
                // The channel holds one notice and gets only one.
                let _ = waiter.try_send(notice);
            }
        }
    }
}

/// Gives up the place in the queue, or an unused slot, if the wait is dropped.
struct SlotWaiter<'port> {
    port: &'port Arc<ServerEndpoint>,
    id: CallId,
    notice: Receiver<SlotNotice>,
    settled: bool,
}

impl SlotWaiter<'_> {
    async fn wait(&mut self) -> Result<SlotPermit, NotSentReason> {
        let notice = self.notice.recv().await;
        self.settled = true;
        match notice {
            Ok(SlotNotice::Granted) => {
                let state = self.port.lock();
                let preempt = state.running.get(&self.id).map(|call| call.preempt.clone());
                Ok(SlotPermit {
                    port: Arc::clone(self.port),
                    id: self.id,
                    preempt: preempt.unwrap_or_default(),
                    ended: false,
                })
            }
            Ok(SlotNotice::Refused(reason)) => Err(reason),
            Err(_) => Err(NotSentReason::Unavailable),
        }
    }
}

impl Drop for SlotWaiter<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.port.lock();
        let was_waiting = state.waiting.remove(&self.id).is_some();
        if was_waiting {
            state.gate.withdraw(self.id);
            return;
        }
        let was_granted = state.running.contains_key(&self.id);
        drop(state);
        if was_granted {
            self.port.finish(self.id, CallEnd::NotSent);
        }
    }
}

impl SlotPermit {
    /// The port of the server.
    pub fn port(&self) -> &Arc<ServerEndpoint> {
        &self.port
    }

    /// The call's number at this port.
    pub fn call(&self) -> u64 {
        self.id.0
    }

    /// Frees the slot.
    pub fn end(mut self, end: CallEnd) {
        self.ended = true;
        self.port.finish(self.id, end);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.ended {
            self.port.finish(self.id, CallEnd::NotSent);
        }
    }
}

fn gate_settings(server: &BackendServer, view: &TierView) -> GateSettings {
    let rules = &view.config.rules;
    let share = |rank: RequestRank| rules.ranks[rank].share;
    // Daemons that hold a group together divide its slots; the configuration's
    // check keeps seats from outnumbering them.
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
