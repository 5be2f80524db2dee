//! The fraction of the budget that an extra call leaves to others, according to
//! its value for the query.
//!
//! An answer that lacks a shard or two may still be a success; if it lacks more,
//! the query fails or its answer is late. So calls that decide between these have
//! priority over calls that only add a shard.

/// The fraction of a budget left to others by calls that only add a shard to a
/// success.
const COVERAGE_RESERVE: f64 = 0.5;
/// The fraction left to others by hedges that can still be sent later.
const EARLY_RESERVE: f64 = 0.6;

/// The expected result of a query, by the state of its parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueryForecast {
    /// The number of parts.
    pub parts: usize,
    /// The number of parts that a success needs.
    pub min_parts: usize,
    /// The number of parts without an answer and without a call that is still on
    /// time.
    pub doubtful: usize,
}

impl QueryForecast {
    /// Whether the answer is a success without the doubtful parts.
    pub fn is_success_expected(&self) -> bool {
        self.parts - self.doubtful >= self.min_parts
    }

    /// The fraction of the budget, 0 to 1, that an extra call for a doubtful part
    /// leaves to others; `can_wait` means that the call can also be sent later.
    pub fn reserve(&self, can_wait: bool) -> f64 {
        if can_wait {
            EARLY_RESERVE
        } else if self.is_success_expected() {
            COVERAGE_RESERVE
        } else {
            0.0
        }
    }
}
