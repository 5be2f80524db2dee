//! The front's metrics, in Prometheus' text format.

use crate::answer::RoutedAnswer;
use crate::gauges::LineCounts;
use crate::ports::SourceFeed;
use crate::server_call::CallEnd;
use camphorway_daemon::log_sink;
use camphorway_daemon::metrics::CallPurpose;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::time::Duration;

/// All metrics of one front.
#[derive(Debug)]
pub struct FrontMetrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    server_calls: IntCounterVec,
    call_ends: IntCounterVec,
    store_calls: IntCounterVec,
    store_losses: IntCounterVec,
    feed_age: IntGaugeVec,
    servers: IntGaugeVec,
    connections: IntGaugeVec,
    calls: IntGaugeVec,
    budget_left: IntGauge,
    /// Extra calls that a budget did not allow.
    pub budget_refusals: IntCounter,
    /// The version of the configuration in force.
    pub version: IntGauge,
    log_lines_dropped: IntGauge,
    /// Requests being answered now.
    pub running: IntGauge,
}

impl FrontMetrics {
    /// Registers all metrics.
    ///
    /// # Panics
    /// Panics if two metrics share a name, which is a fault of this function.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
            let boxed = Box::new(counters.clone());
            registry.register(boxed).expect("unique name");
            counters
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid metric");
            registry
                .register(Box::new(gauge.clone()))
                .expect("unique name");
            gauge
        };
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]).expect("valid metric");
            let boxed = Box::new(gauges.clone());
            registry.register(boxed).expect("unique name");
            gauges
        };
        let refusals = IntCounter::new("front_budget_refusals_total", "Extra calls not allowed")
            .expect("valid metric");
        registry
            .register(Box::new(refusals.clone()))
            .expect("unique name");
        let options = HistogramOpts::new("front_request_seconds", "Time to answer");
        let buckets = prometheus::exponential_buckets(0.002, 2.0, 12).expect("valid buckets");
        let latency =
            HistogramVec::new(options.buckets(buckets), &["priority"]).expect("valid metric");
        registry
            .register(Box::new(latency.clone()))
            .expect("unique name");
        Self {
            requests: counters(
                "front_requests_total",
                "Requests by outcome",
                &["priority", "outcome"],
            ),
            latency,
            server_calls: counters("front_server_calls_total", "Calls of servers", &["purpose"]),
            call_ends: counters("front_server_call_ends_total", "Ends of calls", &["end"]),
            store_calls: counters(
                "front_store_calls_total",
                "Calls of the store",
                &["step", "end"],
            ),
            feed_age: gauges(
                "front_feed_age_milliseconds",
                "Time since the store confirmed what is known",
                "feed",
            ),
            servers: gauges("front_servers", "Servers by state", "state"),
            connections: gauges("front_connections", "Connections to servers", "state"),
            calls: gauges("front_calls", "Calls of servers by state", "state"),
            budget_left: gauge(
                "front_budget_left",
                "Extra calls left where there are fewest",
            ),
            store_losses: counters(
                "front_store_losses_total",
                "Failed calls of the store",
                &["feed"],
            ),
            budget_refusals: refusals,
            version: gauge("front_configuration_version", "Version in force"),
            log_lines_dropped: gauge("front_log_lines_dropped", "Log lines dropped"),
            running: gauge("front_requests_running", "Requests being answered"),
            registry,
        }
    }

    /// Counts an answer.
    pub fn answered(&self, priority: &str, answer: &RoutedAnswer, took: Duration) {
        let labels = [priority, answer.outcome()];
        self.requests.with_label_values(&labels).inc();
        let histogram = self.latency.with_label_values(&[priority]);
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a call of a server.
    pub fn called_server(&self, purpose: CallPurpose) {
        let label = purpose.to_string();
        self.server_calls.with_label_values(&[label.as_str()]).inc();
    }

    /// Counts the end of a call.
    pub fn call_ended(&self, end: &CallEnd) {
        self.call_ends.with_label_values(&[end.name()]).inc();
    }

    /// Counts a call of the store.
    pub fn called_store(&self, step: &str, end: &str) {
        self.store_calls.with_label_values(&[step, end]).inc();
    }

    /// Sets the age of what is known of a feed.
    pub fn set_feed_age(&self, feed: SourceFeed, age: Duration) {
        let label = feed.to_string();
        let gauge = self.feed_age.with_label_values(&[label.as_str()]);
        gauge.set(age.as_millis() as i64);
    }

    /// Sets the numbers of servers, their connections and calls.
    pub fn set_lines(&self, counts: &LineCounts) {
        let set = |gauges: &IntGaugeVec, state: &str, count: usize| {
            gauges.with_label_values(&[state]).set(count as i64);
        };
        set(&self.servers, "sound", counts.sound);
        set(&self.servers, "unsound", counts.unsound);
        set(&self.servers, "missing", counts.missing);
        set(&self.connections, "idle", counts.idle_connections);
        set(&self.connections, "connecting", counts.connecting);
        set(&self.calls, "running", counts.running);
        set(&self.calls, "waiting", counts.waiting);
    }

    /// Sets how many extra calls are left where there are fewest, if any set of
    /// services was asked yet.
    pub fn set_budget_left(&self, left: Option<f64>) {
        if let Some(left) = left {
            self.budget_left.set(left as i64);
        }
    }

    /// Counts a failed call of the store.
    pub fn store_lost(&self, feed: SourceFeed) {
        let label = feed.to_string();
        self.store_losses.with_label_values(&[label.as_str()]).inc();
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        self.log_lines_dropped.set(log_sink::dropped() as i64);
        let mut buffer = Vec::new();
        if let Err(cause) = TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            return format!("# not encoded: {cause}\n");
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

impl Default for FrontMetrics {
    fn default() -> Self {
        Self::new()
    }
}
