//! A server as traffic sees it: its connections, and what calls have shown.

use crate::gauges::EndpointCounts;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::http_client::RequestSender;
use camphorway_daemon::sync::lock;
use camphorway_model::{FailureDomain, ServerName, ServerRecord};
use camphorway_policy::{ReplicaOutcome, ReplicaStats, ServerDistance, StallChange};
use derive_more::Debug;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A server's connections are shared by all daemons; each takes this part, since
/// most calls come from the few daemons of the server's own failure domain.
const CONNECTION_DIVISOR: usize = 9;
const MIN_CONNECTIONS: usize = 2;
/// Connections to one server that are being made at once: each may hold one of
/// the server's slots for a while.
const MAX_CONNECTING: usize = 1;
/// An idle connection is not used this shortly before the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// Costs that differ by less than this part count as equal, so that load spreads.
const COST_JITTER: f64 = 0.15;

/// What lines are built from.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// The daemon's failure domain.
    pub domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: Arc<HashMap<FailureDomain, String>>,
    /// The daemon's clock.
    pub clock: DaemonClock,
}

impl EndpointSettings {
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
pub struct ServerEndpoint {
    record: ServerRecord,
    clock: DaemonClock,
    most_connections: AtomicUsize,
    state: Mutex<EndpointState>,
}

#[derive(Debug)]
struct EndpointState {
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

impl EndpointState {
    /// An idle connection that has been idle for `max_idle` at most.
    fn take_idle(&mut self, max_idle: Duration, now: Instant) -> Option<RequestSender> {
        while let Some(connection) = self.idle.pop() {
            let is_ending = connection
                .until
                .is_some_and(|until| now + IDLE_MARGIN >= until);
            let is_old = now.saturating_duration_since(connection.since) > max_idle;
            if !is_ending && !is_old && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }
}

impl ServerEndpoint {
    /// A line without connections.
    pub fn new(record: &ServerRecord, settings: &EndpointSettings) -> Self {
        let distance = settings.distance(&record.domain);
        let now = settings.clock.now();
        Self {
            record: record.clone(),
            clock: settings.clock.clone(),
            most_connections: AtomicUsize::new(MIN_CONNECTIONS),
            state: Mutex::new(EndpointState {
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
    pub fn set_server_max_connections(&self, most: usize) {
        let part = (most / CONNECTION_DIVISOR).max(MIN_CONNECTIONS);
        self.most_connections.store(part, Ordering::Relaxed);
    }

    /// Another server answered at the address: no more calls go there.
    pub fn set_misdirected(&self) {
        let mut state = self.lock();
        state.is_misdirected = true;
        state.idle.clear();
    }

    /// A call has taken longer than is usual; whether that is news.
    pub fn mark_stalled(&self) -> bool {
        let now = self.clock.now();
        let is_new = self.lock().stats.record_stall(now);
        if is_new {
            event!(Info, "server-stalled", server = self.name(), seen = "here");
        }
        is_new
    }

    /// Takes what another front has seen of the server.
    pub fn apply_stall_change(&self, change: StallChange) {
        let now = self.clock.now();
        self.lock().stats.apply_change(change, now);
    }

    /// Adds the calls and connections to `counts`.
    pub(crate) fn add_to(&self, counts: &mut EndpointCounts) {
        let state = self.lock();
        counts.running += state.stats.outstanding() as usize;
        counts.idle_connections += state.idle.len();
        counts.connecting += state.connecting;
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

    /// Counts a call as started; an idle connection for it, if there is one that
    /// has been idle for `max_idle` at most.
    pub(crate) fn begin_call(&self, max_idle: Duration, now: Instant) -> Option<RequestSender> {
        let mut state = self.lock();
        state.stats.record_start(now);
        state.take_idle(max_idle, now)
    }

    /// Counts a connection as being made.
    pub(crate) fn begin_connecting(&self) {
        self.lock().connecting += 1;
    }

    /// Counts a connection as made, or as impossible.
    pub(crate) fn end_connecting(&self) {
        self.lock().connecting -= 1;
    }

    /// Counts a call that began at `started` as ended; what others should hear of
    /// the server's stall.
    pub(crate) fn end_call(
        &self,
        outcome: ReplicaOutcome,
        started: Instant,
    ) -> Option<StallChange> {
        let now = self.clock.now();
        let took = now.saturating_duration_since(started);
        let mut state = self.lock();
        let was_closed = state.stats.is_closed(now);
        let change = state.stats.record_end(outcome, took, now);
        let is_closed = state.stats.is_closed(now);
        drop(state);
        if was_closed != is_closed {
            event!(
                Warn,
                "server-belief",
                server = self.name(),
                service = self.record.service,
                closed = is_closed,
                took_us = took.as_micros()
            );
        }
        change
    }

    fn lock(&self) -> MutexGuard<'_, EndpointState> {
        lock(&self.state)
    }

    /// What the server offers now.
    pub(crate) fn status(&self, now: Instant) -> EndpointStatus {
        let state = self.lock();
        let most = self.most_connections.load(Ordering::Relaxed);
        let has_room = state.stats.has_capacity() && (state.stats.outstanding() as usize) < most;
        let has_connection = !state.idle.is_empty() || state.connecting < MAX_CONNECTING;
        EndpointStatus {
            is_usable: !state.is_misdirected,
            is_free: has_room && has_connection,
            is_healthy: state.stats.is_healthy(now),
            cost: state.stats.cost(now) * (1.0 + COST_JITTER * fastrand::f64()),
        }
    }
}

/// What a line offers at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointStatus {
    /// Whether the server may be asked at all.
    pub(crate) is_usable: bool,
    /// Whether it takes one more call now.
    pub(crate) is_free: bool,
    /// Whether an answer is expected.
    pub(crate) is_healthy: bool,
    /// The cost of one more call, in milliseconds.
    pub(crate) cost: f64,
}
