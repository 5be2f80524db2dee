//! Budgets that grow with useful work, so that extra calls stay a fixed part of
//! all calls, however many of them fail at once.

const BURST: f64 = 10.0;

/// Allows `ratio` extra calls for each first call.
#[derive(Clone, Debug)]
pub struct RatioBudget {
    ratio: f64,
    tokens: f64,
}

impl RatioBudget {
    /// A budget of `ratio` extra calls for each first call, with half its credit.
    pub fn new(ratio: f64) -> Self {
        // A daemon that has just started may meet a loss before it has earned anything.
        Self {
            ratio,
            tokens: BURST / 2.0,
        }
    }

    /// Changes the ratio; tokens saved stay.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        self.tokens = (self.tokens + self.ratio * calls as f64).min(BURST);
    }

    /// Whether at least half of the largest credit is there.
    pub fn is_half_full(&self) -> bool {
        self.tokens >= BURST / 2.0
    }

    /// Takes tokens for `calls` extra calls, all or none.
    pub fn spend(&mut self, calls: usize) -> bool {
        let cost = calls as f64;
        if self.ratio <= 0.0 || self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
