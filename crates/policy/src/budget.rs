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
    /// A budget of `ratio` extra calls for each first call.
    pub fn new(ratio: f64) -> Self {
        // A start in debt-free credit lets a daemon that has just started cover one loss.
        Self { ratio, tokens: 1.0 }
    }

    /// Changes the ratio; tokens saved stay.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        self.tokens = (self.tokens + self.ratio * calls as f64).min(BURST);
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
