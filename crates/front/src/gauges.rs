//! Gauges that are read off the front's state when its metrics are asked for.

use crate::fan_out::CallBudgets;
use crate::knowledge::FeedKnowledge;
use crate::metrics::FrontMetrics;
use crate::ports::SourceFeed;
use crate::view::SharedFront;
use camphorway_daemon::clock::DaemonClock;
use std::sync::Arc;

/// Where the gauges are read.
#[derive(Debug)]
pub struct FrontGauges {
    /// What the front believes.
    pub view: Arc<SharedFront>,
    /// How old its knowledge is.
    pub knowledge: Arc<FeedKnowledge>,
    /// What is left for extra calls.
    pub budgets: Arc<CallBudgets>,
    /// The daemon's clock.
    pub clock: DaemonClock,
}

/// The servers and their calls at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineCounts {
    /// Servers that take calls.
    pub sound: usize,
    /// Servers that stall, or are left alone since their calls failed.
    pub unsound: usize,
    /// Servers whose registration is missing.
    pub missing: usize,
    /// Calls running.
    pub running: usize,
    /// Connections kept for later calls.
    pub idle_connections: usize,
    /// Connections being made.
    pub connecting: usize,
    /// Calls that wait until a server takes them.
    pub waiting: usize,
}

impl FrontGauges {
    /// Sets the gauges of `metrics`.
    pub fn read(&self, metrics: &FrontMetrics) {
        let now = self.clock.now();
        for feed in SourceFeed::ALL {
            if let Some(age) = self.knowledge.age(feed, now) {
                metrics.set_feed_age(feed, age);
            }
        }
        let mut counts = LineCounts::default();
        for lines in self.view.load().services.values() {
            lines.count(&mut counts, now);
        }
        metrics.set_lines(&counts);
        metrics.set_budget_left(self.budgets.least_left(now));
    }
}
