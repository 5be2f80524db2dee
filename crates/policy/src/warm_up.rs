//! Which connections a daemon opens before callers need them.
//!
//! A wide query that finds no open connection pays for all of them at once: their
//! handshakes and, on a small VM, their processor time. So each daemon opens one to
//! the nearest server of each service, the one that it will call first. Daemons of a
//! region share that server's limit.

use crate::replica::ServerDistance;
use camphorway_model::{ServerName, VmName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of a server's connections that may be opened in advance; the others are
/// left to calls.
const MAX_LIMIT_FRACTION: f64 = 0.6;

/// A server to which a connection may be opened.
#[derive(Clone, Copy, Debug)]
pub struct WarmCandidate<'name> {
    /// The server.
    pub server: &'name ServerName,
    /// Its distance.
    pub distance: ServerDistance,
}

/// The index of the server that `own` calls first: the nearest one. Among equally
/// near ones each daemon has its own choice, so that they spread.
pub fn first_choice(own: &VmName, candidates: &[WarmCandidate<'_>]) -> Option<usize> {
    let seed = xxh3_64_with_seed(own.as_str().as_bytes(), 0);
    let key = |candidate: &WarmCandidate<'_>| {
        let hash = xxh3_64_with_seed(candidate.server.as_str().as_bytes(), seed);
        (candidate.distance, hash)
    };
    let indexed = candidates.iter().enumerate();
    let nearest = indexed.min_by_key(|(_, candidate)| key(candidate));
    nearest.map(|(index, _)| index)
}

/// Whether a connection may be opened in advance to a server with `limit` connections
/// that is the first choice of up to `daemons` daemons.
pub fn is_within_limit(limit: usize, daemons: usize) -> bool {
    daemons.max(1) as f64 <= limit as f64 * MAX_LIMIT_FRACTION
}
