//! Budgets that grow with first calls, so that extra calls stay a fixed fraction
//! of all calls, however many of them fail at once.

const MAX_TOKENS: f64 = 10.0;

/// Allows `ratio` extra calls for each first call.
#[derive(Clone, Debug)]
pub struct RatioBudget {
    ratio: f64,
    tokens: f64,
}

impl RatioBudget {
    /// A budget of `ratio` extra calls for each first call, initially half full.
    pub fn new(ratio: f64) -> Self {
        // A daemon that has just started may need extra calls before it has
        // earned tokens.
        Self {
            ratio,
            tokens: MAX_TOKENS / 2.0,
        }
    }

    /// Changes the ratio; saved tokens are kept.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Adds the tokens that `calls` first calls earn.
    pub fn earn(&mut self, calls: usize) {
        self.tokens = (self.tokens + self.ratio * calls as f64).min(MAX_TOKENS);
    }

    /// Whether at least half of the maximum tokens are available.
    pub fn is_half_full(&self) -> bool {
        self.tokens >= MAX_TOKENS / 2.0
    }

    /// Takes the tokens for `calls` extra calls, all or none. Returns whether
    /// there were enough.
    pub fn spend(&mut self, calls: usize) -> bool {
        let cost = calls as f64;
        if self.ratio <= 0.0 || self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
