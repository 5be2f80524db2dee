//! The servers of a service as traffic sees them: what each has shown, its
//! connections, and who waits for one.

use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::http_client::RequestSender;
use camphorway_daemon::sync::lock;
use camphorway_model::{FailureDomain, ServerName, ServerRecord};
use camphorway_policy::{ReplicaOutcome, ReplicaStats, ServerDistance};
use derive_more::Debug;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A server's connections are shared by all daemons; each takes this part, since
/// most calls come from the few daemons of the server's own failure domain.
const CONNECTION_PART: usize = 9;
const LEAST_CONNECTIONS: usize = 2;
/// Connections to one server that are being made at once: each may hold one of
/// the server's slots for a while.
const MOST_CONNECTING: usize = 1;
/// An idle connection is not used this shortly before the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// Costs that differ by less than this part count as equal, so that load spreads.
const COST_SPREAD: f64 = 0.15;

/// What lines are built from.
#[derive(Clone, Debug)]
pub struct LineSettings {
    /// The daemon's failure domain.
    pub domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: Arc<HashMap<FailureDomain, String>>,
    /// The daemon's clock.
    pub clock: DaemonClock,
}

impl LineSettings {
    fn distance(&self, domain: &FailureDomain) -> ServerDistance {
        if *domain == self.domain {
            return ServerDistance::Near;
        }
        match (self.regions.get(domain), self.regions.get(&self.domain)) {
            (Some(theirs), Some(own)) if theirs == own => ServerDistance::Region,
            _ => ServerDistance::Far,
        }
    }
}

/// One server: its registration, connections and what calls have shown.
#[derive(Debug)]
pub struct ServerLine {
    record: ServerRecord,
    clock: DaemonClock,
    most_connections: AtomicUsize,
    state: Mutex<LineState>,
}

#[derive(Debug)]
struct LineState {
    stats: ReplicaStats,
    #[debug("{}", idle.len())]
    idle: Vec<IdleConnection>,
    /// Connections being made.
    connecting: usize,
    /// Another server answered at the address.
    is_misdirected: bool,
}

struct IdleConnection {
    sender: RequestSender,
    since: Instant,
    /// When the server closes it.
    until: Option<Instant>,
}

impl LineState {
    /// An idle connection that has been idle for `most_idle` at most.
    fn take_idle(&mut self, most_idle: Duration, now: Instant) -> Option<RequestSender> {
        while let Some(connection) = self.idle.pop() {
            let is_ending = connection
                .until
                .is_some_and(|until| now + IDLE_MARGIN >= until);
            let is_old = now.saturating_duration_since(connection.since) > most_idle;
            if !is_ending && !is_old && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }
}

impl ServerLine {
    /// A line without connections.
    pub fn new(record: &ServerRecord, settings: &LineSettings) -> Self {
        let distance = settings.distance(&record.domain);
        let now = settings.clock.now();
        Self {
            record: record.clone(),
            clock: settings.clock.clone(),
            most_connections: AtomicUsize::new(LEAST_CONNECTIONS),
            state: Mutex::new(LineState {
                stats: ReplicaStats::new(distance, record.slots, record.warmup_left, now),
                idle: Vec::new(),
                connecting: 0,
                is_misdirected: false,
            }),
        }
    }

    /// The server's name.
    pub fn name(&self) -> &ServerName {
        &self.record.name
    }

    /// Its registration when the line was made.
    pub fn record(&self) -> &ServerRecord {
        &self.record
    }

    /// How far it is.
    pub fn distance(&self) -> ServerDistance {
        self.lock().stats.distance()
    }

    /// Notes how many connections the server takes from all callers together.
    pub fn set_most_connections(&self, most: usize) {
        let part = (most / CONNECTION_PART).max(LEAST_CONNECTIONS);
        self.most_connections.store(part, Ordering::Relaxed);
    }

    /// Another server answered at the address: no more calls go there.
    pub fn set_misdirected(&self) {
        let mut state = self.lock();
        state.is_misdirected = true;
        state.idle.clear();
    }

    /// A call has taken longer than is usual; whether that is news.
    pub fn note_stalled(&self) -> bool {
        let now = self.clock.now();
        let is_news = self.lock().stats.stalled(now);
        if is_news {
            event!(Info, "server-stalled", server = self.name(), seen = "here");
        }
        is_news
    }

    /// Another front has seen that the server stalls, or that it does no longer.
    pub fn heard_of_stall(&self, is_stalled: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if is_stalled {
            state.stats.stalled(now);
        } else {
            state.stats.recovered();
        }
    }

    /// Calls running now.
    pub fn outstanding(&self) -> u32 {
        self.lock().stats.outstanding()
    }

    /// Whether an idle connection is still open.
    pub fn has_open_connection(&self) -> bool {
        let state = self.lock();
        state.idle.iter().any(|idle| !idle.sender.is_closed())
    }

    /// Keeps a connection for the next call.
    pub fn put_idle(&self, sender: RequestSender, idle_limit: Option<Duration>) {
        if sender.is_closed() {
            return;
        }
        let since = self.clock.now();
        let until = idle_limit.map(|limit| since + limit);
        let mut state = self.lock();
        if !state.is_misdirected {
            state.idle.push(IdleConnection {
                sender,
                since,
                until,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, LineState> {
        lock(&self.state)
    }

    fn offer(&self, now: Instant) -> LineOffer {
        let state = self.lock();
        let most = self.most_connections.load(Ordering::Relaxed);
        let has_room = state.stats.has_room() && (state.stats.outstanding() as usize) < most;
        let has_connection = !state.idle.is_empty() || state.connecting < MOST_CONNECTING;
        LineOffer {
            is_usable: !state.is_misdirected,
            is_free: has_room && has_connection,
            is_sound: state.stats.is_sound(now),
            cost: state.stats.cost(now) * (1.0 + COST_SPREAD * fastrand::f64()),
        }
    }
}

/// What a line offers at a moment.
#[derive(Clone, Copy, Debug)]
struct LineOffer {
    is_usable: bool,
    is_free: bool,
    is_sound: bool,
    cost: f64,
}

/// All servers of a service.
#[derive(Debug)]
pub struct ServiceLines {
    ready: Vec<Arc<ServerLine>>,
    /// Servers whose registration is missing: used where no other is left.
    missing: Vec<Arc<ServerLine>>,
    shared: Arc<ServiceShared>,
}

/// What outlives a change of the servers.
#[derive(Debug, Default)]
struct ServiceShared {
    waiting: Mutex<WaitingList>,
}

#[derive(Debug, Default)]
struct WaitingList {
    next: u64,
    by_urgency: BTreeMap<(u8, u64), async_channel::Sender<()>>,
}

/// A place among a server's calls; given back when dropped.
#[derive(Debug)]
pub struct LinePermit {
    line: Arc<ServerLine>,
    shared: Arc<ServiceShared>,
    started: Instant,
    outcome: ReplicaOutcome,
    #[debug(skip)]
    connection: Option<RequestSender>,
    /// Whether this call counts as making a connection.
    is_connecting: bool,
    is_released: bool,
}

/// Why no server can be asked now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquireError {
    /// No server is known.
    NoneKnown,
    /// All known servers were tried, or can't be used.
    AllTried,
    /// All have as many calls as they take.
    Busy,
}

impl ServiceLines {
    /// The lines after a change; the waiting list goes on.
    pub fn rebuilt(
        before: Option<&Self>,
        ready: Vec<Arc<ServerLine>>,
        missing: Vec<Arc<ServerLine>>,
    ) -> Self {
        let shared = before.map(|before| Arc::clone(&before.shared));
        let lines = Self {
            ready,
            missing,
            shared: shared.unwrap_or_default(),
        };
        // Whoever waits may find a new server.
        lines.shared.wake_all();
        lines
    }

    /// All servers.
    pub fn lines(&self) -> impl Iterator<Item = &Arc<ServerLine>> {
        self.ready.iter().chain(&self.missing)
    }

    /// Takes a place at the best server that is not in `tried`, with a connection
    /// if one has been idle for `most_idle` at most.
    ///
    /// # Errors
    /// Returns whether a server may become free later.
    pub fn acquire(
        &self,
        tried: &[ServerName],
        most_idle: Duration,
        now: Instant,
    ) -> Result<LinePermit, AcquireError> {
        let chosen = match best_line(&self.ready, tried, now) {
            Err(AcquireError::NoneKnown) => best_line(&self.missing, tried, now),
            Err(AcquireError::AllTried) => match best_line(&self.missing, tried, now) {
                Err(AcquireError::NoneKnown) => Err(AcquireError::AllTried),
                other => other,
            },
            other => other,
        };
        let line = Arc::clone(chosen?);
        let mut permit = LinePermit {
            line,
            shared: Arc::clone(&self.shared),
            started: now,
            outcome: ReplicaOutcome::Abandoned,
            connection: None,
            is_connecting: false,
            is_released: false,
        };
        let mut state = permit.line.lock();
        state.stats.started(now);
        let connection = state.take_idle(most_idle, now);
        drop(state);
        permit.connection = connection;
        if permit.connection.is_none() {
            permit.begin_connecting();
        }
        Ok(permit)
    }

    /// Waits until some server may have become free; the most urgent first.
    pub async fn wait_for_room(&self, priority: u8) {
        let (notify, notice) = async_channel::bounded(1);
        let key = {
            let mut waiting = lock(&self.shared.waiting);
            waiting.next += 1;
            let key = (priority, waiting.next);
            waiting.by_urgency.insert(key, notify);
            key
        };
        let place = WaitingPlace {
            shared: &self.shared,
            key,
        };
        // The sender lives in the list until it has sent.
        let _ = notice.recv().await;
        drop(place);
    }
}

fn best_line<'lines>(
    lines: &'lines [Arc<ServerLine>],
    tried: &[ServerName],
    now: Instant,
) -> Result<&'lines Arc<ServerLine>, AcquireError> {
    let fresh = lines.iter().filter(|line| !tried.contains(line.name()));
    let offers = fresh.map(|line| (line, line.offer(now)));
    let offers: Vec<_> = offers.filter(|(_, offer)| offer.is_usable).collect();
    if lines.is_empty() {
        return Err(AcquireError::NoneKnown);
    }
    if offers.is_empty() {
        return Err(AcquireError::AllTried);
    }
    // Waiting for a sound server is better than asking one that stalls.
    let has_sound = offers.iter().any(|(_, offer)| offer.is_sound);
    let free = offers
        .into_iter()
        .filter(|(_, offer)| offer.is_free && (offer.is_sound || !has_sound));
    let best = free.min_by(|(_, one), (_, other)| one.cost.total_cmp(&other.cost));
    best.map(|(line, _)| line).ok_or(AcquireError::Busy)
}

/// Leaves the waiting list when dropped.
struct WaitingPlace<'shared> {
    shared: &'shared ServiceShared,
    key: (u8, u64),
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        let mut waiting = lock(&self.shared.waiting);
        if waiting.by_urgency.remove(&self.key).is_none() {
            drop(waiting);
            // The notice may have come to one that no longer waits.
            self.shared.wake_one();
        }
    }
}

impl ServiceShared {
    fn wake_one(&self) {
        let first = lock(&self.waiting).by_urgency.pop_first();
        if let Some((_, notify)) = first {
            // The waiter may have gone.
            let _ = notify.try_send(());
        }
    }

    fn wake_all(&self) {
        let all = std::mem::take(&mut lock(&self.waiting).by_urgency);
        for notify in all.into_values() {
            let _ = notify.try_send(());
        }
    }
}

impl LinePermit {
    /// The server's line.
    pub fn line(&self) -> &Arc<ServerLine> {
        &self.line
    }

    /// When the place was taken.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The idle connection that came with the place.
    pub fn take_connection(&mut self) -> Option<RequestSender> {
        self.connection.take()
    }

    /// A connection is being made for this call.
    pub fn begin_connecting(&mut self) {
        if !std::mem::replace(&mut self.is_connecting, true) {
            self.line.lock().connecting += 1;
        }
    }

    /// The connection is made, or can't be.
    pub fn end_connecting(&mut self) {
        if std::mem::take(&mut self.is_connecting) {
            self.line.lock().connecting -= 1;
            self.shared.wake_one();
        }
    }

    /// Notes how the call ended; whether that shows that a stall is over.
    pub fn end(mut self, outcome: ReplicaOutcome) -> bool {
        self.outcome = outcome;
        self.release()
    }

    fn release(&mut self) -> bool {
        if std::mem::replace(&mut self.is_released, true) {
            return false;
        }
        self.end_connecting();
        if let Some(unused) = self.connection.take() {
            self.line.put_idle(unused, None);
        }
        let now = self.line.clock.now();
        let took = now.saturating_duration_since(self.started);
        let mut state = self.line.lock();
        let was_closed = state.stats.is_closed(now);
        let is_over = state.stats.ended(self.outcome, took, now);
        let is_closed = state.stats.is_closed(now);
        drop(state);
        if was_closed != is_closed {
            event!(
                Warn,
                "server-belief",
                server = self.line.name(),
                service = self.line.record.service,
                closed = is_closed,
                took_us = took.as_micros()
            );
        }
        self.shared.wake_one();
        is_over
    }
}

impl Drop for LinePermit {
    fn drop(&mut self) {
        self.release();
    }
}
