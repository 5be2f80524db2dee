//! The usual time of calls to a service, by the distance of its servers.
//!
//! Answers the load of a front that calls each server rarely: what one server took a
//! while ago says less about it than what its peers usually take. A call moves the
//! time by a tenth at most, so that servers that are slow for a while don't raise it much.

use crate::replica::ServerDistance;
use std::time::Duration;

/// The factor by which one call can raise or lower the usual time.
const STEP_FACTOR: f64 = 1.1;
const DISTANCES: usize = 3;
/// No call takes less, in milliseconds.
const MIN_MS: f64 = 0.001;

/// The usual times of calls to one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimes {
    usual_ms: [Option<f64>; DISTANCES],
}

impl ServiceTimes {
    /// Records an answer on time of a server at `distance`.
    pub fn record(&mut self, distance: ServerDistance, took: Duration) {
        let sample = (took.as_secs_f64() * 1_000.0).max(MIN_MS);
        let usual = self.usual_ms[distance as usize].get_or_insert(sample);
        *usual = sample.clamp(*usual / STEP_FACTOR, *usual * STEP_FACTOR);
    }

    /// The usual time of a server at `distance`, in milliseconds, if any is known. It is
    /// no longer than that of servers farther away.
    pub fn usual_ms(&self, distance: ServerDistance) -> Option<f64> {
        let known = self.usual_ms[distance as usize..].iter().flatten();
        known.copied().min_by(f64::total_cmp)
    }

    /// The usual time of a server at `distance`, if any is known.
    pub fn usual_time(&self, distance: ServerDistance) -> Option<Duration> {
        let usual = self.usual_ms(distance)?;
        Some(Duration::from_secs_f64(usual / 1_000.0))
    }
}
