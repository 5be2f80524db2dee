//! The servers of a service: the choice among them, a place among a server's
//! calls, and who waits for one.

use crate::gauges::EndpointCounts;
use crate::server_endpoint::ServerEndpoint;
use camphorway_daemon::http_client::RequestSender;
use camphorway_daemon::sync::lock;
use camphorway_model::ServerName;
use camphorway_policy::{ReplicaOutcome, StallChange};
use derive_more::Debug;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// All servers of a service.
#[derive(Debug)]
pub struct ServiceEndpoints {
    ready: Vec<Arc<ServerEndpoint>>,
    /// Servers whose registration is missing: used where no other is left.
    missing: Vec<Arc<ServerEndpoint>>,
    shared: Arc<SharedWaiters>,
}

/// What outlives a change of the servers.
#[derive(Debug, Default)]
struct SharedWaiters {
    waiting: Mutex<WaitQueue>,
}

#[derive(Debug, Default)]
struct WaitQueue {
    next: u64,
    by_priority: BTreeMap<(u8, u64), async_channel::Sender<()>>,
}

/// A place among a server's calls; given back when dropped.
#[derive(Debug)]
pub struct CallPermit {
    endpoint: Arc<ServerEndpoint>,
    shared: Arc<SharedWaiters>,
    started: Instant,
    /// An answer after this time is late.
    late_at: Option<Instant>,
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
    NoServer,
    /// All known servers were tried, or can't be used.
    AllTried,
    /// All have as many calls as they take.
    Busy,
}

impl ServiceEndpoints {
    /// The lines after a change; the waiting list goes on.
    pub fn rebuilt(
        before: Option<&Self>,
        ready: Vec<Arc<ServerEndpoint>>,
        missing: Vec<Arc<ServerEndpoint>>,
    ) -> Self {
        let shared = before.map(|before| Arc::clone(&before.shared));
        let endpoints = Self {
            ready,
            missing,
            shared: shared.unwrap_or_default(),
        };
        // Whoever waits may find a new server.
        endpoints.shared.wake_all();
        endpoints
    }

    /// All servers.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<ServerEndpoint>> {
        self.ready.iter().chain(&self.missing)
    }

    /// Adds these servers and their calls to `counts`.
    pub fn add_to(&self, counts: &mut EndpointCounts, now: Instant) {
        counts.missing += self.missing.len();
        for endpoint in &self.ready {
            if endpoint.status(now).is_healthy {
                counts.healthy += 1;
            } else {
                counts.unhealthy += 1;
            }
        }
        for endpoint in self.endpoints() {
            endpoint.add_to(counts);
        }
        counts.waiting += lock(&self.shared.waiting).by_priority.len();
    }

    /// Takes a place at the best server that is not in `tried`, with a connection
    /// if one has been idle for `max_idle` at most.
    ///
    /// # Errors
    /// Returns whether a server may become free later.
    pub fn acquire(
        &self,
        tried: &[ServerName],
        max_idle: Duration,
        now: Instant,
    ) -> Result<CallPermit, AcquireError> {
        let chosen = match best_endpoint(&self.ready, tried, now) {
            Err(AcquireError::NoServer) => best_endpoint(&self.missing, tried, now),
            Err(AcquireError::AllTried) => match best_endpoint(&self.missing, tried, now) {
                Err(AcquireError::NoServer) => Err(AcquireError::AllTried),
                other => other,
            },
            other => other,
        };
        let endpoint = Arc::clone(chosen?);
        let connection = endpoint.begin_call(max_idle, now);
        let mut permit = CallPermit {
            endpoint,
            shared: Arc::clone(&self.shared),
            started: now,
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

    /// Waits until some server may have become free; the most urgent first.
    pub async fn wait_for_capacity(&self, priority: u8) {
        let (notify, notice) = async_channel::bounded(1);
        let key = {
            let mut waiting = lock(&self.shared.waiting);
            waiting.next += 1;
            let key = (priority, waiting.next);
            waiting.by_priority.insert(key, notify);
            key
        };
        let place = QueuedWaiter {
            shared: &self.shared,
            key,
        };
        // The sender lives in the list until it has sent.
        let _ = notice.recv().await;
        drop(place);
    }
}

fn best_endpoint<'endpoints>(
    endpoints: &'endpoints [Arc<ServerEndpoint>],
    tried: &[ServerName],
    now: Instant,
) -> Result<&'endpoints Arc<ServerEndpoint>, AcquireError> {
    let fresh = endpoints
        .iter()
        .filter(|endpoint| !tried.contains(endpoint.name()));
    let offers = fresh.map(|endpoint| (endpoint, endpoint.status(now)));
    let offers: Vec<_> = offers.filter(|(_, status)| status.is_usable).collect();
    if endpoints.is_empty() {
        return Err(AcquireError::NoServer);
    }
    if offers.is_empty() {
        return Err(AcquireError::AllTried);
    }
    // Waiting for a sound server is better than asking one that stalls.
    let has_sound = offers.iter().any(|(_, status)| status.is_healthy);
    let free = offers
        .into_iter()
        .filter(|(_, status)| status.is_free && (status.is_healthy || !has_sound));
    let best = free.min_by(|(_, one), (_, other)| one.cost.total_cmp(&other.cost));
    best.map(|(endpoint, _)| endpoint).ok_or(AcquireError::Busy)
}

/// Leaves the waiting list when dropped.
struct QueuedWaiter<'shared> {
    shared: &'shared SharedWaiters,
    key: (u8, u64),
}

impl Drop for QueuedWaiter<'_> {
    fn drop(&mut self) {
        let mut waiting = lock(&self.shared.waiting);
        if waiting.by_priority.remove(&self.key).is_none() {
            drop(waiting);
            // The notice may have come to one that no longer waits.
            self.shared.wake_one();
        }
    }
}

impl SharedWaiters {
    fn wake_one(&self) {
        let first = lock(&self.waiting).by_priority.pop_first();
        if let Some((_, notify)) = first {
            // The waiter may have gone.
            let _ = notify.try_send(());
        }
    }

    fn wake_all(&self) {
        let all = std::mem::take(&mut lock(&self.waiting).by_priority);
        for notify in all.into_values() {
            let _ = notify.try_send(());
        }
    }
}

impl CallPermit {
    /// The server's line.
    pub fn endpoint(&self) -> &Arc<ServerEndpoint> {
        &self.endpoint
    }

    /// When the place was taken.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Notes from when on an answer is late.
    pub fn set_late_at(&mut self, late_at: Instant) {
        self.late_at = Some(late_at);
    }

    /// The idle connection that came with the place.
    pub fn take_connection(&mut self) -> Option<RequestSender> {
        self.connection.take()
    }

    /// A connection is being made for this call.
    pub fn begin_connecting(&mut self) {
        if !std::mem::replace(&mut self.is_connecting, true) {
            self.endpoint.begin_connecting();
        }
    }

    /// The connection is made, or can't be.
    pub fn end_connecting(&mut self) {
        if std::mem::take(&mut self.is_connecting) {
            self.endpoint.end_connecting();
            self.shared.wake_one();
        }
    }

    /// Notes how the call ended at `now`; what others should hear of the server's
    /// stall.
    pub fn end(mut self, outcome: ReplicaOutcome, now: Instant) -> Option<StallChange> {
        let is_late = self.late_at.is_some_and(|at| now >= at);
        self.outcome = match outcome {
            ReplicaOutcome::Answered if is_late => ReplicaOutcome::AnsweredLate,
            other => other,
        };
        self.release()
    }

    fn release(&mut self) -> Option<StallChange> {
        if std::mem::replace(&mut self.is_released, true) {
            return None;
        }
        self.end_connecting();
        if let Some(unused) = self.connection.take() {
            self.endpoint.put_idle(unused, None);
        }
        let change = self.endpoint.end_call(self.outcome, self.started);
        self.shared.wake_one();
        change
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.release();
    }
}
