//! The front's metrics, in Prometheus' text format.

use crate::answer::RoutedAnswer;
use crate::ports::SourceFeed;
use crate::server_call::CallEnd;
use camphorway_daemon::log_sink;
use camphorway_daemon::metrics::CallPurpose;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
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
    store_losses: IntCounterVec,
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
