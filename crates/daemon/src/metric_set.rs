//! Makes metrics and registers them, for daemons of each kind.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// The registered metrics of a process.
///
/// Names and labels are written in the program, so a bad or repeated one is a
/// fault of the program: each method that makes a metric panics then.
#[derive(Debug, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// A counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.registered(IntCounter::new(name, help))
    }

    /// Counters by labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.registered(IntCounterVec::new(Opts::new(name, help), labels))
    }

    /// A gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.registered(IntGauge::new(name, help))
    }

    /// Gauges by a label.
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> IntGaugeVec {
        self.registered(IntGaugeVec::new(Opts::new(name, help), &[label]))
    }

    /// Histograms of seconds by a label; `buckets` are the least upper bound, the
    /// factor to the next, and their number.
    ///
    /// # Panics
    /// Panics if the buckets don't grow, or as all methods here do.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        label: &str,
        (least, factor, count): (f64, f64, usize),
    ) -> HistogramVec {
        let buckets = prometheus::exponential_buckets(least, factor, count);
        let options = HistogramOpts::new(name, help).buckets(buckets.expect("valid buckets"));
        self.registered(HistogramVec::new(options, &[label]))
    }

    /// All metrics in Prometheus' text format.
    ///
    /// # Errors
    /// Returns why they can't be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(buffer)
    }

    fn registered<Metric>(&self, made: prometheus::Result<Metric>) -> Metric
    where
        Metric: Clone + prometheus::core::Collector + 'static,
    {
        let metric = made.expect("valid metric");
        let registered = self.registry.register(Box::new(metric.clone()));
        registered.expect("unique name");
        metric
    }
}
