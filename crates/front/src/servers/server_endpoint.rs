//! A backend server as a call target: its connections and call statistics.

mod room;
mod signals;

use crate::servers::cold_calls::ColdCalls;
use crate::servers::endpoint_counts::EndpointCounts;
use crate::servers::endpoint_status::{EndpointStatus, EndpointSuitability};
use crate::servers::idle_connection::IdleConnection;
use crate::servers::leaving_servers::LeavingServers;
use crate::servers::server_limit::{ServerLimit, SharingFronts};
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::http_client::RequestSender;
use camphorway_daemon::sync::lock;
use camphorway_model::{FailureDomain, ServerName, ServerRecord};
use camphorway_policy::{
    CallExpectation, ColdLimit, LoadReport, ReplicaOutcome, ReplicaStats, RoomEvidence,
    ServerDistance, ServiceTimes, StallChange, StartPace, UsualService,
};
use derive_more::Debug;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// All fronts share a server's connection limit; each uses one ninth of it,
/// since most calls come from the few fronts of the server's own failure
/// domain.
const CONNECTION_DIVISOR: usize = 9;
const MIN_CONNECTIONS: usize = 2;
/// Connections to one server that may be opened at once: each may occupy one of
/// the server's slots for a while.
const MAX_CONNECTING: usize = 1;
/// Connections opened in advance to a server that is not called: it closes them after
/// its idle timeout.
const MAX_WARM_UPS: u32 = 3;
/// The usual time of a call until one was measured.
const UNKNOWN_TIME: Duration = Duration::from_millis(50);
/// Costs are raised by a random fraction up to this, so that load spreads over
/// servers of similar cost.
const COST_JITTER: f64 = 0.15;

/// Settings of all endpoints.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// The front's failure domain.
    pub domain: FailureDomain,
    /// The fronts that share the servers' limits.
    pub fronts: SharingFronts,
    /// The servers that have said that they leave.
    pub leaving: LeavingServers,
    /// A server that leaves gets no new calls after this time.
    pub leave_bound: Duration,
    /// The front's clock.
    pub clock: DaemonClock,
}

/// One backend server: its registration, connections and call statistics.
#[derive(Debug)]
pub struct ServerEndpoint {
    record: ServerRecord,
    fronts: SharingFronts,
    leaving: LeavingServers,
    leave_bound: Duration,
    clock: DaemonClock,
    max_connections: AtomicUsize,
    /// The server's limit for all callers together; 0 if unknown.
    server_max_connections: AtomicUsize,
    state: Mutex<EndpointState>,
}

#[derive(Debug)]
struct EndpointState {
    stats: ReplicaStats,
    #[debug("{}", idle.len())]
    idle: Vec<IdleConnection>,
    /// Connections being opened.
    connecting: usize,
    /// Connections opened in advance.
    warm_ups: u32,
    /// Whether the server has been called.
    is_called: bool,
    /// Whether another server answered at the address.
    is_misdirected: bool,
    /// The limit that the server names, if any.
    limit: Option<ServerLimit>,
    /// The load that the server has stated.
    load: LoadReport,
    /// What shows that the server has no room.
    room: RoomEvidence,
    /// The pace of a server that has just started or recovered.
    pace: Option<StartPace>,
    /// Whether the server is cold, and the pace meanwhile.
    cold: ColdCalls,
    /// The time at which the server said that it leaves.
    leaving_since: Option<Instant>,
    /// The time until which the server wants no call of this front.
    closed_until: Option<Instant>,
}

impl EndpointState {
    /// The time until which the server wants no call of this front: it said so, or is
    /// cold.
    fn wait_until(
        &mut self,
        server: &ServerRecord,
        fronts: &SharingFronts,
        now: Instant,
    ) -> Option<Instant> {
        let limited = self.limit.as_ref().and_then(|limit| limit.wait_until(now));
        let closed = self.closed_until.filter(|until| now < *until);
        let full = self.load.full_until(now);
        let cold = self.cold.wait_until(server, fronts, now);
        limited.max(closed).max(full).max(cold)
    }

    /// The cost of one more call, in milliseconds.
    fn cost(&self, times: &ServiceTimes, now: Instant) -> f64 {
        let expectation = CallExpectation {
            time_factor: self.load.time_factor(self.stats.outstanding(), now),
            peers_ms: times.usual_ms(self.stats.distance()),
        };
        let pace_cost = self.pace.as_ref().map_or(0.0, |pace| pace.cost(now));
        self.stats.expected_cost(&expectation, now) + pace_cost
    }

    /// Takes a connection that has been idle for at most `max_idle`.
    fn take_idle(&mut self, max_idle: Duration, now: Instant) -> Option<IdleConnection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable(max_idle, now) {
                return Some(connection);
            }
        }
        None
    }
}

impl ServerEndpoint {
    /// Creates an endpoint without connections.
    pub fn new(record: &ServerRecord, settings: &EndpointSettings) -> Self {
        let fronts = settings.fronts.clone();
        let distance = fronts.distance(&settings.domain, &record.domain);
        let now = settings.clock.now();
        Self {
            record: record.clone(),
            fronts,
            leaving: settings.leaving.clone(),
            leave_bound: settings.leave_bound,
            clock: settings.clock.clone(),
            max_connections: AtomicUsize::new(MIN_CONNECTIONS),
            server_max_connections: AtomicUsize::new(0),
            state: Mutex::new(EndpointState {
                stats: ReplicaStats::new(distance, record.slots, now),
                idle: Vec::new(),
                connecting: 0,
                warm_ups: 0,
                is_called: false,
                is_misdirected: false,
                limit: None,
                load: LoadReport::default(),
                room: RoomEvidence::default(),
                pace: None,
                cold: ColdCalls::default(),
                leaving_since: settings.leaving.leaving_since(record),
                closed_until: None,
            }),
        }
    }

    /// The server's name.
    pub fn name(&self) -> &ServerName {
        &self.record.name
    }

    /// The registration from which the endpoint was created.
    pub fn record(&self) -> &ServerRecord {
        &self.record
    }

    /// The distance to the server.
    pub fn distance(&self) -> ServerDistance {
        self.lock().stats.distance()
    }

    /// Sets the server's connection limit for all callers together.
    pub fn set_server_max_connections(&self, limit: usize) {
        let part = (limit / CONNECTION_DIVISOR).max(MIN_CONNECTIONS);
        self.max_connections.store(part, Ordering::Relaxed);
        self.server_max_connections.store(limit, Ordering::Relaxed);
    }

    /// The server's connection limit for all callers together, if known.
    pub fn server_max_connections(&self) -> Option<usize> {
        let limit = self.server_max_connections.load(Ordering::Relaxed);
        (limit > 0).then_some(limit)
    }

    /// Sets the limit while the server is cold, and until when it is.
    pub(crate) fn set_cold(&self, limit: Option<ColdLimit>, cold_until: Option<Instant>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let was_limited = state.cold.is_limited(now);
        state.cold.set_limit(limit);
        if let Some(until) = cold_until {
            state.cold.extend(until);
        }
        let is_limited = state.cold.is_limited(now);
        drop(state);
        if is_limited && !was_limited {
            let left = cold_until.map(|until| until.saturating_duration_since(now));
            event!(
                Info,
                "server-cold",
                server = self.name(),
                service = self.record.service,
                left_ms = left.unwrap_or_default().as_millis()
            );
        }
    }

    /// Records that a call is being sent.
    pub fn record_sent(&self) {
        let now = self.clock.now();
        self.lock().cold.record_call(now);
    }

    /// Whether a connection should be opened in advance: the server is healthy, was
    /// never called, and has closed the last such connection, if any. Counts as an
    /// attempt.
    pub(crate) fn begin_warm_up(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_due = !state.is_called
            && state.leaving_since.is_none()
            && state.wait_until(&self.record, &self.fronts, now).is_none()
            && state.warm_ups < MAX_WARM_UPS
            && state.stats.is_healthy(now)
            && state.idle.iter().all(IdleConnection::is_closed);
        if is_due {
            state.idle.clear();
            state.warm_ups += 1;
        }
        is_due
    }

    /// Records that another server answered at the address; no more calls go
    /// there.
    pub fn set_misdirected(&self) {
        let mut state = self.lock();
        state.is_misdirected = true;
        state.idle.clear();
    }

    /// Marks the server as stalled. Returns whether it was not stalled before.
    pub fn mark_stalled(&self) -> bool {
        let now = self.clock.now();
        let is_new = self.lock().stats.record_stall(now);
        if is_new {
            event!(Info, "server-stalled", server = self.name(), seen = "here");
        }
        is_new
    }

    /// Applies a change that another front reported.
    pub fn apply_stall_change(&self, change: StallChange) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.stats.apply_change(change, now);
        state.room.record_change(change, now);
        self.begin_recovery(&mut state, now);
        drop(state);
        if change == StallChange::AnswerLost {
            event!(Debug, "server-loss-heard", server = self.name());
        }
    }

    /// Paces the calls of a server that has just started, in a service with these times.
    pub(crate) fn begin_start(&self, times: &ServiceTimes) {
        let now = self.clock.now();
        let usual = times.usual_time(self.distance());
        self.begin_pace(&mut self.lock(), usual, now);
    }

    /// Paces the calls of a server that has recovered.
    fn begin_recovery(&self, state: &mut EndpointState, now: Instant) {
        if state.stats.take_recovery() && state.pace.is_none() {
            let usual = state.stats.usual_time();
            self.begin_pace(state, usual, now);
        }
    }

    fn begin_pace(&self, state: &mut EndpointState, usual: Option<Duration>, now: Instant) {
        let usual = UsualService {
            slots: self.record.slots,
            time: usual.unwrap_or(UNKNOWN_TIME),
            callers: self.fronts.count_sharing(&self.record),
        };
        state.pace = Some(StartPace::new(&usual, fastrand::f64(), now));
        event!(
            Info,
            "server-paced",
            server = self.name(),
            service = self.record.service,
            usual_us = usual.time.as_micros(),
            callers = usual.callers
        );
    }

    /// Adds this server's calls and connections to `counts`.
    pub(crate) fn add_to(&self, counts: &mut EndpointCounts, now: Instant) {
        let state = self.lock();
        counts.running += state.stats.outstanding() as usize;
        counts.idle_connections += state.idle.len();
        counts.connecting += state.connecting;
        counts.limited += usize::from(state.limit.is_some());
        counts.leaving += usize::from(state.leaving_since.is_some());
        counts.cold += usize::from(state.cold.is_limited(now));
        counts.closed += usize::from(state.closed_until.is_some_and(|until| now < until));
    }

    /// The number of running calls.
    pub fn outstanding(&self) -> u32 {
        self.lock().stats.outstanding()
    }

    /// Whether any idle connection is still open.
    pub fn has_open_connection(&self) -> bool {
        let state = self.lock();
        !state.idle.iter().all(IdleConnection::is_closed)
    }

    /// Keeps a connection for later calls; the server closes it after
    /// `idle_timeout`.
    pub fn put_idle(&self, sender: RequestSender, idle_timeout: Option<Duration>) {
        if sender.is_closed() {
            return;
        }
        sender.end_answer();
        let since = self.clock.now();
        self.put_back(IdleConnection::new(sender, since, idle_timeout));
    }

    /// Puts back a connection that the call did not use; it stays as old as it was.
    pub(crate) fn put_back(&self, connection: IdleConnection) {
        let mut state = self.lock();
        if !state.is_misdirected && state.leaving_since.is_none() {
            state.idle.push(connection);
        }
    }

    /// Counts a call as started, and takes a connection idle for at most
    /// `max_idle`.
    pub(crate) fn begin_call(&self, max_idle: Duration, now: Instant) -> Option<IdleConnection> {
        let mut state = self.lock();
        state.stats.record_start(now);
        state.cold.record_call(now);
        if let Some(pace) = &mut state.pace {
            pace.record_call(now);
        }
        state.is_called = true;
        if let Some(limit) = &mut state.limit {
            limit.record_call(now);
        }
        state.take_idle(max_idle, now)
    }

    /// Counts a connection as being opened.
    pub(crate) fn begin_connecting(&self) {
        self.lock().connecting += 1;
    }

    /// Counts a connection as opened or failed.
    pub(crate) fn end_connecting(&self) {
        self.lock().connecting -= 1;
    }

    /// Counts a call that began at `started_at` as ended. Returns the change of
    /// the server's stall to report to other fronts.
    pub(crate) fn end_call(
        &self,
        outcome: ReplicaOutcome,
        started_at: Instant,
    ) -> Option<StallChange> {
        let now = self.clock.now();
        let took = now.saturating_duration_since(started_at);
        let mut state = self.lock();
        let was_closed = state.stats.is_closed(now);
        let change = state.stats.record_end(outcome, took, now);
        state.room.record_end(outcome, took, now);
        if let Some(pace) = &mut state.pace {
            pace.record_end(outcome, now);
        }
        self.begin_recovery(&mut state, now);
        state.pace.take_if(|pace| pace.is_over(now));
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

    /// Whether the server is neither stalled nor closed.
    pub(crate) fn is_healthy(&self, now: Instant) -> bool {
        self.lock().stats.is_healthy(now)
    }

    /// Records that another server got a call, as it costs less.
    pub(crate) fn record_passed_over(&self) {
        self.lock().stats.record_passed_over();
    }

    /// Whether and at what cost the server can be called now; its service has `times`.
    pub(crate) fn status(&self, times: &ServiceTimes, now: Instant) -> EndpointStatus {
        let mut state = self.lock();
        let limit = self.max_connections.load(Ordering::Relaxed);
        let has_slot = state.stats.has_capacity() && (state.stats.outstanding() as usize) < limit;
        let has_connection = !state.idle.is_empty() || state.connecting < MAX_CONNECTING;
        // It answers for the bound at least after it has begun to leave.
        let is_ending = |since| now >= since + self.leave_bound / 2;
        let suitability = match state.leaving_since {
            _ if state.is_misdirected => EndpointSuitability::Unusable,
            Some(since) if is_ending(since) => EndpointSuitability::Unusable,
            Some(_) => EndpointSuitability::LastResort,
            None => EndpointSuitability::Usual,
        };
        EndpointStatus {
            suitability,
            is_free: has_slot && has_connection,
            is_healthy: state.stats.is_healthy(now),
            cost: state.cost(times, now) * (1.0 + COST_JITTER * fastrand::f64()),
            closed_until: state.wait_until(&self.record, &self.fronts, now),
        }
    }
}
