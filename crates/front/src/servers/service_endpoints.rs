//! The servers of a service: choosing one, permits for calls, and the queue of
//! calls that wait for a free server.

use crate::servers::endpoint_counts::EndpointCounts;
use crate::servers::endpoint_status::{EndpointStatus, EndpointSuitability};
use crate::servers::idle_connection::IdleConnection;
use crate::servers::server_endpoint::ServerEndpoint;
use async_channel::Receiver;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::http_client::RequestSender;
use camphorway_daemon::sync::lock;
use camphorway_model::ServerName;
use camphorway_policy::{
    PlaceGap, ReplicaOutcome, RequestHomes, ServiceRoom, ServiceTimes, ServingPlaces, StallChange,
};
use derive_more::Debug;
use futures_lite::FutureExt;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// All servers of one service.
#[derive(Debug)]
pub struct ServiceEndpoints {
    ready: Vec<Arc<ServerEndpoint>>,
    /// Servers whose registration is missing; used only if no other is left.
    missing: Vec<Arc<ServerEndpoint>>,
    /// Where servers may serve requests.
    places: Arc<ServingPlaces>,
    shared: Arc<SharedState>,
}

/// What is kept when the servers change: the queue of waiting calls, and the times of
/// calls.
#[derive(Debug, Default)]
struct SharedState {
    queue: Mutex<WaitQueue>,
    times: Mutex<ServiceTimes>,
}

#[derive(Debug, Default)]
struct WaitQueue {
    next: u64,
    by_priority: BTreeMap<(u8, u64), WaitingCall>,
}

#[derive(Debug)]
struct WaitingCall {
    notify: async_channel::Sender<()>,
    since: Instant,
}

impl WaitQueue {
    /// How long the first call has waited that is as urgent as `priority` or more.
    fn longest_wait(&self, priority: u8, now: Instant) -> Duration {
        let of_rank = |rank| self.by_priority.range((rank, 0)..=(rank, u64::MAX));
        let oldest = (0..=priority).filter_map(|rank| of_rank(rank).next());
        let first = oldest.map(|(_, call)| call.since).min();
        first.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// A permit for one call to a server; its slot is freed when dropped.
#[derive(Debug)]
pub struct CallPermit {
    endpoint: Arc<ServerEndpoint>,
    shared: Arc<SharedState>,
    started_at: Instant,
    /// The time from which an answer is late.
    late_at: Option<Instant>,
    outcome: ReplicaOutcome,
    #[debug(skip)]
    connection: Option<IdleConnection>,
    /// Whether this call counts as opening a connection.
    is_connecting: bool,
    is_released: bool,
}

/// What a call needs of its server.
#[derive(Clone, Copy, Debug)]
pub struct WantedServer<'call> {
    /// The servers that were tried already.
    pub tried: &'call [ServerName],
    /// The longest time that its connection may have been idle.
    pub max_idle: Duration,
    /// The regions in which it must be.
    pub homes: RequestHomes<'call>,
}

impl WantedServer<'_> {
    /// Any server anywhere, with a connection that has been idle for at most `max_idle`.
    pub fn untried(max_idle: Duration) -> Self {
        Self {
            tried: &[],
            max_idle,
            homes: RequestHomes::default(),
        }
    }
}

/// A call for which room is wanted.
#[derive(Clone, Copy, Debug)]
pub struct WantedRoom<'call> {
    /// The rank of the request.
    pub priority: u8,
    /// The time within which the request should be answered.
    pub objective: Duration,
    /// The regions in which the server must be.
    pub homes: RequestHomes<'call>,
}

/// Why no server can be called now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquireError {
    /// The service has no servers.
    NoServer,
    /// It has servers, but none that may serve the request.
    NoPlace(PlaceGap),
    /// All servers were tried or are unusable.
    AllTried,
    /// All servers are at their limit of calls. One that wants no call until a time
    /// may be called then.
    Busy(Option<Instant>),
    /// No server wants a call before this time.
    ClosedUntil(Instant),
}

impl ServiceEndpoints {
    /// Builds the endpoints after a change; keeps the queue of waiting calls. Call
    /// [`Self::wake_all`] once the endpoints are in the view.
    pub fn rebuild(
        before: Option<&Self>,
        ready: Vec<Arc<ServerEndpoint>>,
        missing: Vec<Arc<ServerEndpoint>>,
    ) -> Self {
        let shared = before.map(|before| Arc::clone(&before.shared));
        Self {
            ready,
            missing,
            places: Arc::default(),
            shared: shared.unwrap_or_default(),
        }
    }

    /// The endpoints, of which those in `places` may serve requests.
    pub fn within(mut self, places: &Arc<ServingPlaces>) -> Self {
        self.places = Arc::clone(places);
        self
    }

    /// Wakes all waiting calls, as there may be a new server for them.
    pub fn wake_all(&self) {
        self.shared.wake_all();
    }

    /// Iterates over all servers.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<ServerEndpoint>> {
        self.ready.iter().chain(&self.missing)
    }

    /// The servers whose registration is in force and that are in no evacuated failure
    /// domain.
    pub fn callable(&self) -> impl Iterator<Item = &Arc<ServerEndpoint>> {
        let ready = self.ready.iter();
        ready.filter(|endpoint| !self.is_evacuated(endpoint))
    }

    fn is_evacuated(&self, endpoint: &ServerEndpoint) -> bool {
        self.places.is_evacuated(&endpoint.record().domain)
    }

    /// The usual times of calls.
    pub(crate) fn times(&self) -> ServiceTimes {
        *lock(&self.shared.times)
    }

    /// The room for a call, at the servers that may serve it.
    pub(crate) fn room(&self, wanted: &WantedRoom<'_>, now: Instant) -> ServiceRoom {
        let wait = lock(&self.shared.queue).longest_wait(wanted.priority, now);
        let mut room = ServiceRoom::new(wanted.objective);
        for endpoint in &self.ready {
            if self.places.allows(wanted.homes, &endpoint.record().domain) {
                room.add(endpoint.room(wait, now));
            }
        }
        room
    }

    /// Adds these servers and their calls to `counts`.
    pub fn add_to(&self, counts: &mut EndpointCounts, now: Instant) {
        counts.missing += self.missing.len();
        for endpoint in &self.ready {
            if endpoint.is_healthy(now) {
                counts.healthy += 1;
            } else {
                counts.unhealthy += 1;
            }
        }
        for endpoint in self.endpoints() {
            endpoint.add_to(counts, now);
            if self.is_evacuated(endpoint) {
                counts.evacuated += 1;
                counts.running_evacuated += endpoint.outstanding() as usize;
            }
        }
        counts.waiting += lock(&self.shared.queue).by_priority.len();
    }

    /// Acquires a permit at the cheapest free server of those wanted, with a connection
    /// if there is an idle one.
    ///
    /// # Errors
    /// Returns why there is none; `Busy` servers may become free later, and closed
    /// ones at the time named.
    pub fn acquire(
        &self,
        wanted: &WantedServer<'_>,
        now: Instant,
    ) -> Result<CallPermit, AcquireError> {
        let chosen = match self.best_endpoint(&self.ready, wanted, now) {
            Err(AcquireError::NoServer) => self.best_endpoint(&self.missing, wanted, now),
            Err(AcquireError::AllTried) => match self.best_endpoint(&self.missing, wanted, now) {
                Err(AcquireError::NoServer) => Err(AcquireError::AllTried),
                other => other,
            },
            other => other,
        };
        let chosen = chosen.map_err(|error| self.explain(error, wanted));
        let endpoint = Arc::clone(chosen?);
        let connection = endpoint.begin_call(wanted.max_idle, now);
        let mut permit = CallPermit {
            endpoint,
            shared: Arc::clone(&self.shared),
            started_at: now,
            late_at: None,
            outcome: ReplicaOutcome::Abandoned,
            connection,
            is_connecting: false,
            is_released: false,
        };
        if permit.connection.is_none() {
            permit.begin_connecting();
        }
        Ok(permit)
    }

    /// The error, with the reason if there are servers that may not serve the request.
    fn explain(&self, error: AcquireError, wanted: &WantedServer<'_>) -> AcquireError {
        let has_servers = self.endpoints().next().is_some();
        match error {
            AcquireError::NoServer if has_servers => {
                let domains = self.endpoints().map(|endpoint| &endpoint.record().domain);
                AcquireError::NoPlace(self.places.gap(wanted.homes, domains))
            }
            other => other,
        }
    }

    /// The cheapest free server of those wanted that may serve the request.
    fn best_endpoint<'endpoints>(
        &self,
        endpoints: &'endpoints [Arc<ServerEndpoint>],
        wanted: &WantedServer<'_>,
        now: Instant,
    ) -> Result<&'endpoints Arc<ServerEndpoint>, AcquireError> {
        let is_allowed = |endpoint: &&Arc<ServerEndpoint>| {
            let domain = &endpoint.record().domain;
            self.places.allows(wanted.homes, domain)
        };
        let mut allowed = endpoints.iter().filter(is_allowed).peekable();
        if allowed.peek().is_none() {
            return Err(AcquireError::NoServer);
        }
        let untried = allowed.filter(|endpoint| !wanted.tried.contains(endpoint.name()));
        let times = self.times();
        let candidates = untried.map(|endpoint| (endpoint, endpoint.status(&times, now)));
        let may_be_called =
            |(_, status): &(_, EndpointStatus)| status.suitability != EndpointSuitability::Unusable;
        let mut candidates: Vec<_> = candidates.filter(may_be_called).collect();
        // A server that leaves still answers for a while, and is better than none.
        let is_usual =
            |(_, status): &(_, EndpointStatus)| status.suitability == EndpointSuitability::Usual;
        if candidates.iter().any(is_usual) {
            candidates.retain(is_usual);
        }
        if candidates.is_empty() {
            return Err(AcquireError::AllTried);
        }
        let opens_at = candidates
            .iter()
            .filter_map(|(_, status)| status.closed_until)
            .min();
        let is_open = |status: &EndpointStatus| status.closed_until.is_none();
        if let Some(at) = opens_at
            && !candidates.iter().any(|(_, status)| is_open(status))
        {
            return Err(AcquireError::ClosedUntil(at));
        }
        let open: Vec<_> = candidates
            .into_iter()
            .filter(|(_, status)| is_open(status))
            .collect();
        // Waiting for a healthy server is better than calling a stalled one.
        let has_healthy = open.iter().any(|(_, status)| status.is_healthy);
        let is_free =
            |status: &EndpointStatus| status.is_free && (status.is_healthy || !has_healthy);
        let free = open.iter().filter(|(_, status)| is_free(status));
        let best = free.min_by(|(_, one), (_, other)| one.cost.total_cmp(&other.cost));
        let (best, _) = best.ok_or(AcquireError::Busy(opens_at))?;
        for (endpoint, status) in &open {
            if is_free(status) && !Arc::ptr_eq(endpoint, best) {
                endpoint.record_passed_over();
            }
        }
        Ok(best)
    }

    /// Enters the queue of waiting calls.
    pub fn enqueue(&self, priority: u8, now: Instant) -> QueuedWaiter {
        let (notify, notice) = async_channel::bounded(1);
        let mut queue = lock(&self.shared.queue);
        queue.next += 1;
        let key = (priority, queue.next);
        let call = WaitingCall { notify, since: now };
        queue.by_priority.insert(key, call);
        QueuedWaiter {
            shared: Arc::clone(&self.shared),
            key,
            notice,
        }
    }
}

impl QueuedWaiter {
    /// Waits until a server may be free or new, or `opens_at` has come; the most
    /// urgent call is woken first.
    pub async fn wait(self, opens_at: Option<Instant>, clock: &DaemonClock) {
        let opened = async {
            if let Some(at) = opens_at {
                clock.sleep_until(at).await;
                self.shared.wake_one();
            }
            std::future::pending::<()>().await;
        };
        // The queue keeps the sender until it has sent.
        let woken = async {
            let _ = self.notice.recv().await;
        };
        woken.or(opened).await;
    }
}

/// A call in the queue, which leaves it when dropped.
#[derive(Debug)]
pub struct QueuedWaiter {
    shared: Arc<SharedState>,
    key: (u8, u64),
    notice: Receiver<()>,
}

impl Drop for QueuedWaiter {
    fn drop(&mut self) {
        let mut queue = lock(&self.shared.queue);
        if queue.by_priority.remove(&self.key).is_none() {
            drop(queue);
            // This waiter was woken, but may no longer use the free slot.
            self.shared.wake_one();
        }
    }
}

impl SharedState {
    fn wake_one(&self) {
        let first = lock(&self.queue).by_priority.pop_first();
        if let Some((_, call)) = first {
            // Fails only if the waiter was dropped meanwhile.
            let _ = call.notify.try_send(());
        }
    }

    fn wake_all(&self) {
        let all = std::mem::take(&mut lock(&self.queue).by_priority);
        for call in all.into_values() {
            let _ = call.notify.try_send(());
        }
    }
}

impl CallPermit {
    /// The server's endpoint.
    pub fn endpoint(&self) -> &Arc<ServerEndpoint> {
        &self.endpoint
    }

    /// The time at which the permit was acquired.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Sets the time from which an answer is late.
    pub fn set_late_at(&mut self, late_at: Instant) {
        self.late_at = Some(late_at);
    }

    /// Takes the idle connection that came with the permit.
    pub fn take_connection(&mut self) -> Option<RequestSender> {
        self.connection.take().map(IdleConnection::into_sender)
    }

    /// Counts a connection as being opened for this call.
    pub fn begin_connecting(&mut self) {
        if !std::mem::replace(&mut self.is_connecting, true) {
            self.endpoint.begin_connecting();
        }
    }

    /// Counts that connection as opened or failed.
    pub fn end_connecting(&mut self) {
        if std::mem::take(&mut self.is_connecting) {
            self.endpoint.end_connecting();
            self.shared.wake_one();
        }
    }

    /// Records the call's end at `now`. Returns the change of the server's
    /// stall to report to other fronts.
    pub fn end(mut self, outcome: ReplicaOutcome, now: Instant) -> Option<StallChange> {
        let is_late = self.late_at.is_some_and(|at| now >= at);
        self.outcome = match outcome {
            ReplicaOutcome::Answered if is_late => ReplicaOutcome::AnsweredLate,
            other => other,
        };
        if self.outcome == ReplicaOutcome::Answered {
            let took = now.saturating_duration_since(self.started_at);
            let mut times = lock(&self.shared.times);
            times.record(self.endpoint.distance(), took);
        }
        self.release()
    }

    fn release(&mut self) -> Option<StallChange> {
        if std::mem::replace(&mut self.is_released, true) {
            return None;
        }
        self.end_connecting();
        if let Some(unused) = self.connection.take() {
            self.endpoint.put_back(unused);
        }
        let change = self.endpoint.end_call(self.outcome, self.started_at);
        self.shared.wake_one();
        change
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.release();
    }
}
