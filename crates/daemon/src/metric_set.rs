//! Registration of Prometheus metrics, for all kinds of daemons.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// The registered metrics of a process.
///
/// Names and labels are constants of the program, so an invalid or duplicate one
/// is a bug: the methods that create metrics panic on it.
#[derive(Debug, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Creates a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(name, help))
    }

    /// Creates a family of counters with `labels`.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(Opts::new(name, help), labels))
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(name, help))
    }

    /// Creates a family of gauges with one label.
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> IntGaugeVec {
        self.gauges_by(name, help, &[label])
    }

    /// Creates a family of gauges with `labels`.
    pub fn gauges_by(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels))
    }

    /// Creates a family of histograms of seconds with one label. The last argument
    /// is the first bucket's upper bound, the factor between bounds, and the number
    /// of buckets.
    ///
    /// # Panics
    /// Panics if the bounds don't increase, and as the other methods do.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        label: &str,
        (first, factor, count): (f64, f64, usize),
    ) -> HistogramVec {
        let buckets = prometheus::exponential_buckets(first, factor, count);
        let options = HistogramOpts::new(name, help).buckets(buckets.expect("valid buckets"));
        self.register(HistogramVec::new(options, &[label]))
    }

    /// Encodes all metrics in Prometheus' text format.
    ///
    /// # Errors
    /// Returns the encoder's error.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(buffer)
    }

    fn register<Metric>(&self, created: prometheus::Result<Metric>) -> Metric
    where
        Metric: Clone + prometheus::core::Collector + 'static,
    {
        let metric = created.expect("valid metric");
        let registered = self.registry.register(Box::new(metric.clone()));
        registered.expect("unique name");
        metric
    }
}
