//! The servers of a service: the choice among them, a place among a server's
//! calls, and who waits for one.

use crate::gauges::LineCounts;
use crate::server_line::ServerLine;
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

    /// Adds these servers and their calls to `counts`.
    pub fn count(&self, counts: &mut LineCounts, now: Instant) {
        counts.missing += self.missing.len();
        for line in &self.ready {
            if line.offer(now).is_sound {
                counts.sound += 1;
            } else {
                counts.unsound += 1;
            }
        }
        for line in self.lines() {
            line.count(counts);
        }
        counts.waiting += lock(&self.shared.waiting).by_urgency.len();
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
        let connection = line.begin_call(most_idle, now);
        let mut permit = LinePermit {
            line,
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
            self.line.begin_connecting();
        }
    }

    /// The connection is made, or can't be.
    pub fn end_connecting(&mut self) {
        if std::mem::take(&mut self.is_connecting) {
            self.line.end_connecting();
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
            self.line.put_idle(unused, None);
        }
        let change = self.line.end_call(self.outcome, self.started);
        self.shared.wake_one();
        change
    }
}

impl Drop for LinePermit {
    fn drop(&mut self) {
        self.release();
    }
}
