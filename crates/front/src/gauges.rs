//! Gauges that are read from the front's state when its metrics are scraped.

use crate::calls::fan_out::CallBudgets;
use crate::feeds::feed_cache::FeedCache;
use crate::metrics::FrontMetrics;
use crate::ports::SourceFeed;
use crate::servers::crash_guard::CrashGuard;
use crate::servers::endpoint_counts::EndpointCounts;
use crate::servers::view::SharedView;
use crate::workspaces::quota_desk::QuotaDesk;
use camphorway_daemon::clock::DaemonClock;
use std::sync::Arc;

/// The state from which the gauges are read.
#[derive(Debug)]
pub struct FrontGauges {
    /// The current routes and servers.
    pub view: Arc<SharedView>,
    /// The age of each feed's items.
    pub feed_cache: Arc<FeedCache>,
    /// The budgets of extra calls.
    pub budgets: Arc<CallBudgets>,
    /// The contents that crashed servers.
    pub guard: Arc<CrashGuard>,
    /// The workspaces' quotas, where there are quotas.
    pub quotas: Option<Arc<QuotaDesk>>,
    /// The front's clock.
    pub clock: DaemonClock,
}

impl FrontGauges {
    /// Sets the gauges of `metrics` from the current state.
    pub fn update(&self, metrics: &FrontMetrics) {
        let now = self.clock.now();
        for feed in SourceFeed::ALL {
            if let Some(age) = self.feed_cache.age(feed, now) {
                metrics.set_feed_age(feed, age);
            }
            if let Some(revision) = self.feed_cache.revision(feed) {
                metrics.set_feed_revision(feed, &revision);
            }
        }
        let mut counts = EndpointCounts::default();
        metrics.clear_signal_counts();
        for (service, endpoints) in self.view.load().services.iter() {
            let before = counts;
            endpoints.add_to(&mut counts, now);
            let signals = [
                ("limit", counts.limited - before.limited),
                ("leaving", counts.leaving - before.leaving),
                ("closed", counts.closed - before.closed),
                ("cold", counts.cold - before.cold),
            ];
            for (signal, count) in signals {
                metrics.set_signal_count(service, signal, count);
            }
        }
        metrics.set_endpoint_counts(&counts);
        let (suspects, quarantined) = self.guard.counts();
        metrics.set_content_counts(suspects, quarantined);
        metrics.set_budget_left(self.budgets.min_left(now));
        if let Some(quotas) = &self.quotas {
            metrics.set_owned_quotas(&quotas.owned_quotas());
        }
    }
}
