//! How long calls take, and from when on one is late.

use camphorway_daemon::sync::lock;
use camphorway_model::RequestRoute;
use camphorway_policy::{LatencyWindow, ServerDistance};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// A call is late after this many medians. The median stays put when some
/// servers are slow, unlike the higher quantiles.
const LATE_FACTOR: f64 = 2.5;
/// Added to that, for delays of the daemon itself.
const LATE_SLACK: Duration = Duration::from_millis(3);
/// Before enough calls were seen, a call is late after this part of the objective.
const FIRST_PART: f64 = 0.3;
const LEAST_SAMPLES: usize = 8;
/// A call is late after this part of the objective at the latest.
const LONGEST_PART: f64 = 0.45;

/// Recent times of calls, by route and distance.
#[derive(Debug, Default)]
pub struct CallTimes {
    windows: Mutex<HashMap<ServerDistance, HashMap<String, LatencyWindow>>>,
}

impl CallTimes {
    /// Adds the time of a call that was answered.
    pub fn record(&self, route: &RequestRoute, distance: ServerDistance, took: Duration) {
        let mut windows = lock(&self.windows);
        let of_distance = windows.entry(distance).or_default();
        if !of_distance.contains_key(&route.name) {
            of_distance.insert(route.name.clone(), LatencyWindow::default());
        }
        if let Some(window) = of_distance.get_mut(&route.name) {
            window.record(took);
        }
    }

    /// The time after which a call on `route` is late.
    pub fn late_after(&self, route: &RequestRoute, distance: ServerDistance) -> Duration {
        let windows = lock(&self.windows);
        let window = windows.get(&distance).and_then(|map| map.get(&route.name));
        let window = window.filter(|window| window.len() >= LEAST_SAMPLES);
        let median = window.and_then(|window| window.quantile(0.5));
        match median {
            Some(median) => (median.mul_f64(LATE_FACTOR) + LATE_SLACK)
                .min(route.objective.mul_f64(LONGEST_PART).max(LATE_SLACK)),
            None => route.objective.mul_f64(FIRST_PART),
        }
    }
}
