//! Limits the handshakes of peers that are not known yet.
//!
//! The load: first datagrams from very many addresses, false ones among them, each of
//! which would be answered and kept until a timeout. While few handshakes are open, all
//! are accepted. Beyond that, a peer first proves that it receives at its address, for
//! which nothing is kept. When all places are taken, the oldest handshake makes room if it
//! has lasted for long: a known peer needs a few round trips only. Otherwise the new peer
//! is not answered; its transport sends the first datagram again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Identifies a handshake in a [`HandshakeLedger`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HandshakeId(u64);

/// The numbers of open handshakes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandshakeLimits {
    /// With so many, further peers prove their address first.
    pub max_unproven: usize,
    /// With so many, the oldest one has to end for each further one.
    pub max_open: usize,
    /// A handshake has at least this time.
    pub min_time: Duration,
}

/// The answer to a peer that begins a handshake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandshakeVerdict {
    /// It may begin.
    Begin(HandshakeId),
    /// It may begin in place of an older one, which ends now.
    Replace {
        /// The new handshake.
        id: HandshakeId,
        /// The one that ends.
        ending: HandshakeId,
    },
    /// The peer has to prove its address first; nothing is kept for it.
    ProveAddress,
    /// There is no place; nothing is kept, and the peer gets no answer.
    Ignore,
}

/// The open handshakes.
#[derive(Debug)]
pub struct HandshakeLedger {
    limits: HandshakeLimits,
    next: u64,
    /// When each began. Rising numbers: the first one is the oldest.
    open: BTreeMap<HandshakeId, Instant>,
}

impl HandshakeLedger {
    /// A ledger within `limits`.
    pub fn new(limits: HandshakeLimits) -> Self {
        Self {
            limits,
            next: 0,
            open: BTreeMap::new(),
        }
    }

    /// The number of open handshakes.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Decides about a peer that begins a handshake. `is_proven` tells whether it has
    /// proved its address.
    pub fn begin(&mut self, is_proven: bool, now: Instant) -> HandshakeVerdict {
        if !is_proven && self.open.len() >= self.limits.max_unproven {
            return HandshakeVerdict::ProveAddress;
        }
        if self.open.len() < self.limits.max_open {
            return HandshakeVerdict::Begin(self.insert(now));
        }
        let min_time = self.limits.min_time;
        let is_long = |began: Instant| now.saturating_duration_since(began) >= min_time;
        let oldest = self.open.first_key_value();
        let Some((&ending, _)) = oldest.filter(|(_, began)| is_long(**began)) else {
            return HandshakeVerdict::Ignore;
        };
        self.end(ending);
        let id = self.insert(now);
        HandshakeVerdict::Replace { id, ending }
    }

    fn insert(&mut self, now: Instant) -> HandshakeId {
        let id = HandshakeId(self.next);
        self.next += 1;
        self.open.insert(id, now);
        id
    }

    /// Records that a handshake has ended.
    pub fn end(&mut self, id: HandshakeId) {
        self.open.remove(&id);
    }
}
