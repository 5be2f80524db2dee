//! Shares a port's memory and descriptors among the connections of its clients.
//!
//! Clients may open many connections and send bodies or heads that never end, or not
//! read their answers. When the memory is full, the connections that hold most are
//! closed, among equals the one that has completed nothing for longest. When all
//! connections are taken, the slowest one makes room for a new one. Those whose requests
//! run are not closed.

use derive_more::{Display, Error};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

/// Identifies a connection in a [`ConnectionLedger`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

/// The connections to close.
pub type ClosingConnections = Vec<ConnectionId>;

/// The answer to a connection that asks for more memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemoryGrant {
    /// It is granted.
    Granted,
    /// It may be granted once connections that are closing have ended; these are to be
    /// closed now.
    AfterClosing(ClosingConnections),
}

/// Nothing was granted: no other connection may be closed for it.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("no memory for the connection")]
pub struct ConnectionRefused;

/// What the connections of a port may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Memory of all connections, in bytes.
    pub max_bytes: usize,
    /// Number of connections.
    pub max_connections: usize,
    /// Memory of a connection that has received nothing, in bytes.
    pub idle_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct HeldConnection {
    bytes: usize,
    /// When it was opened, or its last request began or was answered.
    progress_at: Instant,
    /// Number of requests that run.
    running: usize,
    /// Whether it was told to close; its memory is about to be released.
    is_closing: bool,
}

/// The memory that the connections of a port hold.
#[derive(Debug)]
pub struct ConnectionLedger {
    limits: ConnectionLimits,
    /// The bytes of all connections.
    used: usize,
    /// The bytes of those that are closing.
    closing_bytes: usize,
    /// The number of those that are closing.
    closing_count: usize,
    next: u64,
    connections: BTreeMap<ConnectionId, HeldConnection>,
}

impl ConnectionLedger {
    /// A ledger within `limits`.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            used: 0,
            closing_bytes: 0,
            closing_count: 0,
            next: 0,
            connections: BTreeMap::new(),
        }
    }

    /// The bytes that connections hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Whether all places are taken: one makes room for the next connection.
    pub fn is_full(&self) -> bool {
        self.connections.len() - self.closing_count >= self.limits.max_connections
    }

    /// Adds a connection, and returns those to close for it.
    ///
    /// # Errors
    /// Returns an error if requests run on all others; nothing has changed then.
    pub fn open(
        &mut self,
        now: Instant,
    ) -> Result<(ConnectionId, ClosingConnections), ConnectionRefused> {
        let closing = if self.is_full() {
            vec![self.slowest().ok_or(ConnectionRefused)?]
        } else {
            self.largest(None, self.limits.idle_bytes, self.limits.idle_bytes)?
        };
        self.begin_closing(&closing);
        let id = ConnectionId(self.next);
        self.next += 1;
        let held = HeldConnection {
            bytes: self.limits.idle_bytes,
            progress_at: now,
            running: 0,
            is_closing: false,
        };
        self.connections.insert(id, held);
        self.used += held.bytes;
        Ok((id, closing))
    }

    /// Grants `bytes` more to a connection, if need be after others have closed.
    ///
    /// # Errors
    /// Returns an error if the memory is full and all others that may be closed hold less,
    /// or if this connection is closing; nothing has changed then.
    pub fn grow(
        &mut self,
        id: ConnectionId,
        bytes: usize,
    ) -> Result<MemoryGrant, ConnectionRefused> {
        let held = self.connections.get(&id).filter(|held| !held.is_closing);
        let size = held.ok_or(ConnectionRefused)?.bytes + bytes;
        if self.used + bytes <= self.limits.max_bytes {
            self.add(id, bytes);
            return Ok(MemoryGrant::Granted);
        }
        let closing = self.largest(Some(id), size, bytes)?;
        self.begin_closing(&closing);
        Ok(MemoryGrant::AfterClosing(closing))
    }

    /// Adds `bytes` of an answer, which are already held and limited elsewhere, and
    /// returns the connections to close for it.
    pub fn hold_answer(&mut self, id: ConnectionId, bytes: usize) -> ClosingConnections {
        let size = self.connections.get(&id).map_or(0, |held| held.bytes);
        let closing = self.largest(Some(id), size + bytes, bytes);
        let closing = closing.unwrap_or_default();
        self.begin_closing(&closing);
        self.add(id, bytes);
        closing
    }

    /// Takes `bytes` off what a connection holds.
    pub fn shrink(&mut self, id: ConnectionId, bytes: usize) {
        let Some(held) = self.connections.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(held.bytes);
        held.bytes -= bytes;
        self.used -= bytes;
        if held.is_closing {
            self.closing_bytes -= bytes;
        }
    }

    /// Records that a request begins to run.
    pub fn begin_request(&mut self, id: ConnectionId, now: Instant) {
        if let Some(held) = self.connections.get_mut(&id) {
            held.running += 1;
            held.progress_at = now;
        }
    }

    /// Records that a request has its answer.
    pub fn end_request(&mut self, id: ConnectionId, now: Instant) {
        if let Some(held) = self.connections.get_mut(&id) {
            held.running = held.running.saturating_sub(1);
            held.progress_at = now;
        }
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(held) = self.connections.remove(&id) else {
            return;
        };
        self.used -= held.bytes;
        if held.is_closing {
            self.closing_bytes -= held.bytes;
            self.closing_count -= 1;
        }
    }

    fn add(&mut self, id: ConnectionId, bytes: usize) {
        let Some(held) = self.connections.get_mut(&id) else {
            return;
        };
        held.bytes += bytes;
        self.used += bytes;
        if held.is_closing {
            self.closing_bytes += bytes;
        }
    }

    fn begin_closing(&mut self, closing: &[ConnectionId]) {
        for id in closing {
            if let Some(held) = self.connections.get_mut(id) {
                held.is_closing = true;
                self.closing_bytes += held.bytes;
                self.closing_count += 1;
            }
        }
    }

    /// The connection that has completed nothing for longest.
    fn slowest(&self) -> Option<ConnectionId> {
        let idle = self.connections.iter();
        let idle = idle.filter(|(_, held)| held.running == 0 && !held.is_closing);
        let slowest = idle.min_by_key(|(_, held)| held.progress_at);
        slowest.map(|(id, _)| *id)
    }

    /// The largest other connections, none smaller than `size`, without which `more` bytes
    /// are within the limit.
    fn largest(
        &self,
        own: Option<ConnectionId>,
        size: usize,
        more: usize,
    ) -> Result<ClosingConnections, ConnectionRefused> {
        let mut closing = Vec::new();
        let mut needed = self.used - self.closing_bytes + more;
        if needed <= self.limits.max_bytes {
            return Ok(closing);
        }
        let may_close = |(id, held): &(&ConnectionId, &HeldConnection)| {
            let is_idle = held.running == 0 && !held.is_closing;
            Some(**id) != own && is_idle && held.bytes >= size
        };
        let mut larger: Vec<_> = self.connections.iter().filter(may_close).collect();
        larger.sort_by_key(|(_, held)| (Reverse(held.bytes), held.progress_at));
        for (id, held) in larger {
            closing.push(*id);
            needed -= held.bytes;
            if needed <= self.limits.max_bytes {
                return Ok(closing);
            }
        }
        Err(ConnectionRefused)
    }
}
