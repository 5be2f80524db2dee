//! Peers that recently failed to acknowledge a request.
//!
//! They are queried last until they answer again. Querying another daemon first
//! costs nothing, whereas querying both spends the hedge budget, which would be
//! exhausted long before the membership detects a failed daemon.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The interval at which one request tries a silent peer again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that acknowledged nothing for this time is considered gone: querying
/// another one then doesn't count as a hedge.
const GONE_AFTER: Duration = Duration::from_millis(150);
const MAX_PEERS: usize = 4_096;

/// The silent peers that one entry has observed.
#[derive(Clone, Debug, Default)]
pub struct SilentPeers {
    peers: HashMap<SocketAddr, Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Instant,
    retry_at: Instant,
}

impl SilentPeers {
    /// Records that `peer` did not acknowledge in time, or could not be reached.
    pub fn mark_silent(&mut self, peer: SocketAddr, now: Instant) {
        let retry_at = now + RETRY_INTERVAL;
        if let Some(silence) = self.peers.get_mut(&peer) {
            silence.retry_at = retry_at;
        } else if self.peers.len() < MAX_PEERS {
            self.peers.insert(
                peer,
                Silence {
                    since: now,
                    retry_at,
                },
            );
        }
    }

    /// Records that `peer` acknowledged a request.
    pub fn mark_responsive(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Whether `peer` has been silent for so long that it is considered gone.
    pub fn is_gone(&self, peer: SocketAddr, now: Instant) -> bool {
        let silence = self.peers.get(&peer);
        silence.is_some_and(|silence| now.saturating_duration_since(silence.since) >= GONE_AFTER)
    }

    /// Whether `peer` is to be queried last. Returns false to one request whenever
    /// a retry is due.
    pub fn should_defer(&mut self, peer: SocketAddr, now: Instant) -> bool {
        let Some(silence) = self.peers.get_mut(&peer) else {
            return false;
        };
        if now < silence.retry_at {
            return true;
        }
        silence.retry_at = now + RETRY_INTERVAL;
        false
    }
}
