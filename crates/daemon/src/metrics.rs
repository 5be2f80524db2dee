//! The metrics that a daemon exposes to Prometheus.

use crate::connection_counts;
use crate::metric_set::MetricSet;
use camphorway_model::{AnswerOutcome, RefusalReason, RequestRank};
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};
use std::time::Duration;

/// The purpose of a call to a backend server.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum CallPurpose {
    /// The first attempt for a shard.
    #[display("first")]
    First,
    /// A second attempt on another replica because the first was slow.
    #[display("hedge")]
    Hedge,
    /// An attempt after a failed one.
    #[display("retry")]
    Retry,
}

/// All metrics of one daemon.
#[derive(Debug)]
pub struct DaemonMetrics {
    set: MetricSet,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    latency: HistogramVec,
    server_calls: IntCounterVec,
    store_calls: IntCounterVec,
    /// Bytes of control messages, by direction.
    pub control_bytes: IntCounterVec,
    /// Control messages, by direction.
    pub control_messages: IntCounterVec,
    /// Callers' requests in progress.
    pub requests_running: IntGauge,
    /// Group requests from other daemons in progress.
    pub groups_running: IntGauge,
    /// The generation of the configuration in force.
    pub generation: IntGauge,
    /// Members of the tier, by state.
    pub members: IntGaugeVec,
    /// Suspected and quarantined contents, by state.
    pub quarantine: IntGaugeVec,
    /// Replies whose identifiers did not match their call.
    pub mismatched_replies: IntCounter,
    /// Clients' connections and requests that ended for want of memory or places.
    pub connection_losses: IntCounterVec,
    /// Peers refused because they have no valid certificate.
    pub refused_peers: IntCounter,
    /// Invariant violations.
    pub invariant_breaches: IntGauge,
}

impl DaemonMetrics {
    /// Registers all metrics.
    ///
    /// # Panics
    /// Panics if two metrics share a name, which would be a bug in this function.
    pub fn new() -> Self {
        let set = MetricSet::default();
        Self {
            requests: set.counters(
                "camphorway_requests_total",
                "Requests answered.",
                &["rank", "outcome"],
            ),
            refusals: set.counters(
                "camphorway_refusals_total",
                "Requests refused or failed.",
                &["rank", "reason"],
            ),
            latency: set.histograms(
                "camphorway_request_seconds",
                "Time to answer a caller.",
                "rank",
                (0.001, 1.5, 24),
            ),
            server_calls: set.counters(
                "camphorway_server_calls_total",
                "Calls to backend servers.",
                &["purpose"],
            ),
            store_calls: set.counters(
                "camphorway_store_calls_total",
                "Calls to the platform's store.",
                &["purpose", "result"],
            ),
            control_bytes: set.counters(
                "camphorway_control_bytes_total",
                "Bytes of control messages.",
                &["direction"],
            ),
            control_messages: set.counters(
                "camphorway_control_messages_total",
                "Control messages.",
                &["direction"],
            ),
            requests_running: set.gauge("camphorway_requests_running", "Requests being answered."),
            groups_running: set.gauge(
                "camphorway_groups_running",
                "Group requests being answered.",
            ),
            generation: set.gauge("camphorway_generation", "Configuration in force."),
            members: set.gauges("camphorway_members", "Members of the tier.", "state"),
            quarantine: set.gauges(
                "camphorway_quarantine",
                "Contents that crashed servers.",
                "state",
            ),
            mismatched_replies: set.counter(
                "camphorway_mismatched_replies_total",
                "Replies that did not fit their call.",
            ),
            connection_losses: set.counters(
                "camphorway_connection_losses_total",
                "Clients' connections and requests ended for want of memory or places.",
                &connection_counts::LABELS,
            ),
            refused_peers: set.counter(
                "camphorway_refused_peers_total",
                "Peers without a valid certificate.",
            ),
            invariant_breaches: set.gauge("camphorway_invariant_breaches", "Broken invariants."),
            set,
        }
    }

    /// Records an answer.
    pub fn record_answer(&self, rank: RequestRank, outcome: AnswerOutcome, took: Duration) {
        let rank = rank.to_string();
        self.requests
            .with_label_values(&[rank.as_str(), &outcome.to_string()])
            .inc();
        self.latency
            .with_label_values(&[rank.as_str()])
            .observe(took.as_secs_f64());
    }

    /// Records a refusal.
    pub fn record_refusal(&self, rank: RequestRank, reason: RefusalReason) {
        self.refusals
            .with_label_values([rank.to_string(), reason.to_string()].as_slice())
            .inc();
    }

    /// Records a call to a backend server.
    pub fn record_server_call(&self, purpose: CallPurpose) {
        self.server_calls
            .with_label_values([purpose.to_string()].as_slice())
            .inc();
    }

    /// Records a call to the platform's store.
    pub fn record_store_call(&self, purpose: &str, result: &str) {
        self.store_calls.with_label_values(&[purpose, result]).inc();
    }

    /// Records a control message.
    pub fn record_control_message(&self, direction: &str, bytes: usize) {
        self.control_bytes
            .with_label_values(&[direction])
            .inc_by(bytes as u64);
        self.control_messages.with_label_values(&[direction]).inc();
    }

    /// Encodes all metrics in Prometheus' text format.
    pub fn render(&self) -> Vec<u8> {
        let violations = camphorway_policy::invariant::violations();
        self.invariant_breaches.set(violations as i64);
        // Encoding into memory can't fail.
        self.set.text().unwrap_or_default()
    }
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}
