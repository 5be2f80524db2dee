//! Recent latencies of calls, when a call counts as late, and delays of answers.

use camphorway_daemon::sync::lock;
use camphorway_model::RequestRoute;
use camphorway_policy::{AnswerLead, LatencyWindow, ServerDistance};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// A call is late after this multiple of the median latency. Unlike higher
/// quantiles, the median hardly moves when only some servers are slow.
const LATE_FACTOR: f64 = 2.5;
/// Added to that, for delays in the front itself.
const LATE_SLACK: Duration = Duration::from_millis(3);
/// With fewer than `MIN_SAMPLES` calls, a call is late after this fraction of
/// the objective.
const INITIAL_LATE_FRACTION: f64 = 0.3;
const MIN_SAMPLES: usize = 8;
/// The largest fraction of the objective after which a call is late.
const MAX_LATE_FRACTION: f64 = 0.45;

/// Recent latencies of calls by route and distance, and delays of answers by route.
#[derive(Debug, Default)]
pub struct CallTimes {
    windows: Mutex<HashMap<ServerDistance, HashMap<String, LatencyWindow>>>,
    answer_leads: Mutex<HashMap<String, AnswerLead>>,
}

impl CallTimes {
    /// Records the latency of a call that was answered.
    pub fn record(&self, route: &RequestRoute, distance: ServerDistance, took: Duration) {
        let mut windows = lock(&self.windows);
        let by_route = windows.entry(distance).or_default();
        if !by_route.contains_key(&route.name) {
            by_route.insert(route.name.clone(), LatencyWindow::default());
        }
        if let Some(window) = by_route.get_mut(&route.name) {
            window.record(took);
        }
    }

    /// Records how long after the planned time an answer on `route` was considered.
    pub fn record_answer_delay(&self, route: &RequestRoute, delay: Duration) {
        let mut leads = lock(&self.answer_leads);
        leads.entry(route.name.clone()).or_default().record(delay);
    }

    /// How much earlier a query on `route` is answered while this VM is busy.
    pub fn answer_lead(&self, route: &RequestRoute) -> Duration {
        let leads = lock(&self.answer_leads);
        let lead = leads.get(&route.name).copied().unwrap_or_default();
        lead.lead(route.objective)
    }

    /// The longest recent call on `route`, if there were enough.
    pub fn longest(&self, route: &RequestRoute) -> Option<Duration> {
        let windows = lock(&self.windows);
        let of_route = windows.values().filter_map(|map| map.get(&route.name));
        let measured = of_route.filter(|window| window.len() >= MIN_SAMPLES);
        measured.filter_map(|window| window.quantile(1.0)).max()
    }

    /// The time after which a call on `route` is late.
    pub fn late_after(&self, route: &RequestRoute, distance: ServerDistance) -> Duration {
        let windows = lock(&self.windows);
        let window = windows.get(&distance).and_then(|map| map.get(&route.name));
        let window = window.filter(|window| window.len() >= MIN_SAMPLES);
        let median = window.and_then(|window| window.quantile(0.5));
        match median {
            Some(median) => (median.mul_f64(LATE_FACTOR) + LATE_SLACK)
                .min(route.objective.mul_f64(MAX_LATE_FRACTION).max(LATE_SLACK)),
            None => route.objective.mul_f64(INITIAL_LATE_FRACTION),
        }
    }
}
