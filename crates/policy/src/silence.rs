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
const MOST_PEERS: usize = 4_096;

/// The silent peers of one entry.
#[derive(Clone, Debug, Default)]
pub struct SilentPeers {
    try_at: HashMap<SocketAddr, Instant>,
}

impl SilentPeers {
    /// `peer` did not acknowledge in time, or could not be reached.
    pub fn mark(&mut self, peer: SocketAddr, now: Instant) {
        if self.try_at.len() < MOST_PEERS {
            self.try_at.insert(peer, now + TRY_AGAIN);
        }
    }

    /// `peer` acknowledged.
    pub fn heard(&mut self, peer: SocketAddr) {
        self.try_at.remove(&peer);
    }

    /// Whether `peer` is to be asked last. False for one request each time that
    /// it is due to be tried again.
    pub fn is_passed_over(&mut self, peer: SocketAddr, now: Instant) -> bool {
        let Some(try_at) = self.try_at.get_mut(&peer) else {
            return false;
        };
        if now < *try_at {
            return true;
        }
        *try_at = now + TRY_AGAIN;
        false
    }
}
