//! What an extra call of a query is worth, and so how much of the budget it
//! leaves to others.
//!
//! An answer that lacks a shard or two may still be a success; one that lacks
//! more is late or none. So calls that decide between these go before calls
//! that only add a shard.

/// The part of a budget that is left by calls that only add a shard to a success.
const COVERAGE_RESERVE: f64 = 0.5;
/// The part that is left by hedges that can still be made later.
const EARLY_RESERVE: f64 = 0.6;

/// How a query's parts stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueryForecast {
    /// All parts.
    pub parts: usize,
    /// Parts that a success needs.
    pub min_parts: usize,
    /// Parts that have no answer and no call that is still on time.
    pub doubtful: usize,
}

impl QueryForecast {
    /// Whether the answer is a success without the doubtful parts.
    pub fn is_success_expected(&self) -> bool {
        self.parts - self.doubtful >= self.min_parts
    }

    /// The part of the budget, 0 to 1, that an extra call for a doubtful part
    /// leaves; `can_wait` says that it may be made later as well.
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
