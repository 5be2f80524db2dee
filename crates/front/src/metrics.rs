//! The front's metrics, in Prometheus' text format.

pub mod workspace_series;

use crate::answer::RoutedAnswer;
use crate::ports::SourceFeed;
use crate::servers::call_end::CallEnd;
use crate::servers::endpoint_counts::EndpointCounts;
use crate::store_revision::StoreRevision;
use camphorway_daemon::connection_counts;
use camphorway_daemon::log_sink;
use camphorway_daemon::metric_set::MetricSet;
use camphorway_daemon::metrics::CallPurpose;
use camphorway_model::{ServiceName, WorkspaceName, WorkspaceTable};
use camphorway_policy::RoomCause;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};
use std::time::Duration;
use workspace_series::{MAX_WORKSPACE_SERIES, WorkspaceSeries};

/// The least urgent rank that has a series of its own; all others share it.
const MAX_RANK_SERIES: u8 = 7;

/// A quota that this front owns.
#[derive(Clone, Debug)]
pub struct OwnedQuota {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Requests that this front could grant when it last decided.
    pub credit: f64,
    /// The time for which it has owned the quota.
    pub owned_for: Duration,
}

/// All metrics of one front.
#[derive(Debug)]
pub struct FrontMetrics {
    set: MetricSet,
    requests: IntCounterVec,
    rejections: IntCounterVec,
    workspace_requests: WorkspaceSeries,
    key_refusals: IntCounterVec,
    room_refusals: IntCounterVec,
    quotas: QuotaSeries,
    latency: HistogramVec,
    server_calls: IntCounterVec,
    call_ends: IntCounterVec,
    store_calls: IntCounterVec,
    store_losses: IntCounterVec,
    feed_age: IntGaugeVec,
    feed_revision: IntGaugeVec,
    feed_era: IntGaugeVec,
    servers: IntGaugeVec,
    connections: IntGaugeVec,
    /// Clients' connections and requests that ended for want of memory or places.
    pub connection_losses: IntCounterVec,
    calls: IntGaugeVec,
    signals: IntGaugeVec,
    contents: IntGaugeVec,
    budget_left: IntGauge,
    /// Extra calls that a budget refused.
    pub budget_refusals: IntCounter,
    /// The version of the configuration in force.
    pub version: IntGauge,
    log_lines_dropped: IntGauge,
    /// Requests being answered now.
    pub running: IntGauge,
}

/// What fronts grant of workspaces' quotas.
#[derive(Debug)]
struct QuotaSeries {
    asks: IntCounterVec,
    credit: IntGaugeVec,
    owned: IntGaugeVec,
}

impl QuotaSeries {
    /// Registers the series in `set`.
    fn new(set: &MetricSet) -> Self {
        Self {
            asks: set.counters(
                "front_credit_asks_total",
                "Requests for credit to other fronts",
                &["end"],
            ),
            credit: set.gauges(
                "front_quota_credit",
                "Requests that this front could grant, where it owns the quota",
                "workspace",
            ),
            owned: set.gauges(
                "front_quota_owned_milliseconds",
                "Time for which this front has owned the quota",
                "workspace",
            ),
        }
    }
}

impl FrontMetrics {
    /// Registers all metrics.
    ///
    /// # Panics
    /// Panics if two metrics share a name, which is a bug in this function.
    pub fn new() -> Self {
        let set = MetricSet::default();
        Self {
            requests: set.counters(
                "front_requests_total",
                "Requests by outcome",
                &["priority", "outcome"],
            ),
            rejections: set.counters(
                "front_rejections_total",
                "Requests that did not pass a check before servers were called",
                &["reason"],
            ),
            workspace_requests: WorkspaceSeries::new(&set),
            key_refusals: set.counters(
                "front_key_refusals_total",
                "Requests refused for their key",
                &["cause"],
            ),
            room_refusals: set.counters(
                "front_room_refusals_total",
                "Requests refused because their services are short of room",
                &["priority", "cause"],
            ),
            quotas: QuotaSeries::new(&set),
            latency: set.histograms(
                "front_request_seconds",
                "Time to answer",
                "priority",
                (0.002, 2.0, 12),
            ),
            server_calls: set.counters(
                "front_server_calls_total",
                "Calls of servers",
                &["purpose"],
            ),
            call_ends: set.counters("front_server_call_ends_total", "Ends of calls", &["end"]),
            store_calls: set.counters(
                "front_store_calls_total",
                "Calls of the store",
                &["step", "end"],
            ),
            feed_age: set.gauges(
                "front_feed_age_milliseconds",
                "Time since the store confirmed what is known",
                "feed",
            ),
            feed_revision: set.gauges(
                "front_feed_revision",
                "The store's revision of what is known",
                "feed",
            ),
            feed_era: set.gauges(
                "front_feed_era",
                "The store's history of what is known",
                "feed",
            ),
            servers: set.gauges("front_servers", "Servers by state", "state"),
            connections: set.gauges("front_connections", "Connections to servers", "state"),
            connection_losses: set.counters(
                "front_connection_losses_total",
                "Clients' connections and requests ended for want of memory or places",
                &connection_counts::LABELS,
            ),
            calls: set.gauges("front_calls", "Calls of servers by state", "state"),
            signals: set.gauges_by(
                "front_server_signals",
                "Servers that say something of themselves in their answers",
                &["service", "signal"],
            ),
            contents: set.gauges(
                "front_contents",
                "Contents that crashed servers, by state",
                "state",
            ),
            budget_left: set.gauge(
                "front_budget_left",
                "Extra calls left where there are fewest",
            ),
            store_losses: set.counters(
                "front_store_losses_total",
                "Failed calls of the store",
                &["feed"],
            ),
            budget_refusals: set.counter("front_budget_refusals_total", "Extra calls not allowed"),
            version: set.gauge("front_configuration_version", "Version in force"),
            log_lines_dropped: set.gauge("front_log_lines_dropped", "Log lines dropped"),
            running: set.gauge("front_requests_running", "Requests being answered"),
            set,
        }
    }

    /// Counts an answer and its latency.
    pub fn observe_answer(&self, priority: &str, answer: &RoutedAnswer, took: Duration) {
        let labels = [priority, answer.outcome()];
        self.requests.with_label_values(&labels).inc();
        let histogram = self.latency.with_label_values(&[priority]);
        histogram.observe(took.as_secs_f64());
    }

    /// Counts the end of a workspace's request: the outcome, or why it was refused.
    pub fn count_workspace_request(&self, workspace: &WorkspaceName, answer: &RoutedAnswer) {
        let end = match answer {
            RoutedAnswer::Refused(_) => answer.reason(),
            _ => answer.outcome().to_owned(),
        };
        self.workspace_requests.count(workspace, &end);
    }

    /// Removes the series of workspaces that the configuration in force lacks.
    pub fn retain_workspaces(&self, table: &WorkspaceTable) {
        self.workspace_requests.retain(table);
    }

    /// Counts a request that did not pass a check.
    pub fn count_rejection(&self, answer: &RoutedAnswer) {
        let reason = answer.reason();
        self.rejections.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a request that was refused for its key.
    pub fn count_key_refusal(&self, cause: &str) {
        self.key_refusals.with_label_values(&[cause]).inc();
    }

    /// Counts a request that was refused because its services are short of room.
    pub fn count_room_refusal(&self, priority: u8, cause: RoomCause) {
        let rank = priority.min(MAX_RANK_SERIES).to_string();
        let labels = [rank.as_str(), &cause.to_string()];
        self.room_refusals.with_label_values(&labels).inc();
    }

    /// Counts a request for credit to another front.
    pub fn count_credit_ask(&self, end: &str) {
        self.quotas.asks.with_label_values(&[end]).inc();
    }

    /// Replaces the figures of the quotas that this front owns.
    pub fn set_owned_quotas(&self, quotas: &[OwnedQuota]) {
        self.quotas.credit.reset();
        self.quotas.owned.reset();
        for quota in quotas.iter().take(MAX_WORKSPACE_SERIES) {
            let labels = [quota.workspace.as_str()];
            let credit = self.quotas.credit.with_label_values(&labels);
            credit.set(quota.credit as i64);
            let owned = self.quotas.owned.with_label_values(&labels);
            owned.set(quota.owned_for.as_millis() as i64);
        }
    }

    /// Counts a call to a server.
    pub fn count_server_call(&self, purpose: CallPurpose) {
        let label = purpose.to_string();
        self.server_calls.with_label_values(&[label.as_str()]).inc();
    }

    /// Counts the end of a call.
    pub fn count_call_end(&self, end: &CallEnd) {
        self.call_ends.with_label_values(&[end.name()]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, step: &str, end: &str) {
        self.store_calls.with_label_values(&[step, end]).inc();
    }

    /// Sets the age of a feed's cached items.
    pub fn set_feed_age(&self, feed: SourceFeed, age: Duration) {
        let label = feed.to_string();
        let gauge = self.feed_age.with_label_values(&[label.as_str()]);
        gauge.set(age.as_millis() as i64);
    }

    /// Sets the store's revision of a feed's cached items.
    pub fn set_feed_revision(&self, feed: SourceFeed, revision: &StoreRevision) {
        let label = feed.to_string();
        let labels = [label.as_str()];
        let number = self.feed_revision.with_label_values(&labels);
        number.set(revision.number as i64);
        let era = self.feed_era.with_label_values(&labels);
        era.set(revision.era as i64);
    }

    /// Sets the numbers of servers, their connections and calls.
    pub fn set_endpoint_counts(&self, counts: &EndpointCounts) {
        let set = |gauges: &IntGaugeVec, state: &str, count: usize| {
            gauges.with_label_values(&[state]).set(count as i64);
        };
        set(&self.servers, "sound", counts.healthy);
        set(&self.servers, "unsound", counts.unhealthy);
        set(&self.servers, "missing", counts.missing);
        set(&self.servers, "evacuated", counts.evacuated);
        set(&self.connections, "idle", counts.idle_connections);
        set(&self.connections, "connecting", counts.connecting);
        set(&self.calls, "running", counts.running);
        set(&self.calls, "running-evacuated", counts.running_evacuated);
        set(&self.calls, "waiting", counts.waiting);
    }

    /// Removes the numbers of servers by signal.
    pub fn clear_signal_counts(&self) {
        self.signals.reset();
    }

    /// Sets the number of servers of a service that send a signal.
    pub fn set_signal_count(&self, service: &ServiceName, signal: &str, count: usize) {
        if count > 0 {
            let labels = [service.as_str(), signal];
            self.signals.with_label_values(&labels).set(count as i64);
        }
    }

    /// Sets the numbers of suspect and of quarantined contents.
    pub fn set_content_counts(&self, suspects: usize, quarantined: usize) {
        let set = |state: &str, count: usize| {
            self.contents.with_label_values(&[state]).set(count as i64);
        };
        set("suspect", suspects - quarantined);
        set("held", quarantined);
    }

    /// Sets the fewest extra calls left in any budget, if there is one yet.
    pub fn set_budget_left(&self, left: Option<f64>) {
        if let Some(left) = left {
            self.budget_left.set(left as i64);
        }
    }

    /// Counts an attempt to read a feed that failed at every origin.
    pub fn count_store_loss(&self, feed: SourceFeed) {
        let label = feed.to_string();
        self.store_losses.with_label_values(&[label.as_str()]).inc();
    }

    /// All metrics in the text format.
    pub fn text(&self) -> String {
        self.log_lines_dropped.set(log_sink::dropped() as i64);
        match self.set.text() {
            Ok(text) => String::from_utf8_lossy(&text).into_owned(),
            Err(cause) => format!("# not encoded: {cause}\n"),
        }
    }
}

impl Default for FrontMetrics {
    fn default() -> Self {
        Self::new()
    }
}
