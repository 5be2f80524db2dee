//! Peers that did not acknowledge a request lately.
//!
//! They are asked last until they answer again. Asking another daemon first
//! costs nothing, whereas asking both spends the budget for repeated work,
//! which would run dry long before the membership notices a death.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// After this time one request tries a silent peer again.
const TRY_AGAIN: Duration = Duration::from_millis(500);
/// A peer that acknowledged nothing for this time is taken to be gone: to ask
/// another is then no repeated work.
const GONE_AFTER: Duration = Duration::from_millis(150);
const MOST_PEERS: usize = 4_096;

/// The silent peers of one entry.
#[derive(Clone, Debug, Default)]
pub struct SilentPeers {
    peers: HashMap<SocketAddr, Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Instant,
    try_at: Instant,
}

impl SilentPeers {
    /// `peer` did not acknowledge in time, or could not be reached.
    pub fn mark_silent(&mut self, peer: SocketAddr, now: Instant) {
        let try_at = now + TRY_AGAIN;
        if let Some(silence) = self.peers.get_mut(&peer) {
            silence.try_at = try_at;
        } else if self.peers.len() < MOST_PEERS {
            self.peers.insert(peer, Silence { since: now, try_at });
        }
    }

    /// `peer` acknowledged.
    pub fn mark_responsive(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Whether `peer` has been silent for so long that it is taken to be gone.
    pub fn is_gone(&self, peer: SocketAddr, now: Instant) -> bool {
        let silence = self.peers.get(&peer);
        silence.is_some_and(|silence| now.saturating_duration_since(silence.since) >= GONE_AFTER)
    }

    /// Whether `peer` is to be asked last. False for one request each time that
    /// it is due to be tried again.
    pub fn should_defer(&mut self, peer: SocketAddr, now: Instant) -> bool {
        let Some(silence) = self.peers.get_mut(&peer) else {
            return false;
        };
        if now < silence.try_at {
            return true;
        }
        silence.try_at = now + TRY_AGAIN;
        false
    }
}
