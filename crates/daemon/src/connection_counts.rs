//! Counts the connections and requests that a port ends for want of memory or places.

use derive_more::{Debug, Display};
use prometheus::IntCounterVec;

/// The labels of the counters.
pub const LABELS: [&str; 2] = ["port", "cause"];

/// Why a port ended a connection, or did not take one or a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ConnectionLoss {
    /// Closed: others needed its memory.
    #[display("closed-for-memory")]
    Memory,
    /// Closed: a new connection needed its place.
    #[display("closed-for-place")]
    Place,
    /// A new connection was not taken: requests run on all others.
    #[display("refused")]
    Refused,
    /// There was no memory for what arrived.
    #[display("no-memory")]
    NoMemory,
}

/// The counters of one port.
#[derive(Clone, Debug)]
pub struct ConnectionCounts {
    #[debug(skip)]
    counters: IntCounterVec,
    port: &'static str,
}

impl ConnectionCounts {
    /// Counts for `port` in counters with [`LABELS`].
    pub fn new(counters: &IntCounterVec, port: &'static str) -> Self {
        Self {
            counters: counters.clone(),
            port,
        }
    }

    /// Adds `count` losses.
    pub(crate) fn add(&self, cause: ConnectionLoss, count: usize) {
        if count > 0 {
            let cause = cause.to_string();
            let counter = self
                .counters
                .with_label_values(&[self.port, cause.as_str()]);
            counter.inc_by(count as u64);
        }
    }
}
