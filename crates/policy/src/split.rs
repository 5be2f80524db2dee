//! Shares of a split by weight, without chance.
//!
//! Smooth weighted round robin: each part gains its weight with every request,
//! and the part with most credit is chosen and pays for it. Any run of requests
//! has shares that differ from the weights by less than one request a part.

/// Chooses parts in proportion to their weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// The index of the next part; none if no weight is above zero.
    pub fn next(&mut self, weights: &[f64]) -> Option<usize> {
        if self.credits.len() != weights.len() {
            self.credits = vec![0.0; weights.len()];
        }
        let total: f64 = weights.iter().filter(|weight| **weight > 0.0).sum();
        let mut best: Option<usize> = None;
        for (index, weight) in weights.iter().enumerate() {
            if *weight <= 0.0 {
                continue;
            }
            self.credits[index] += weight;
            if best.is_none_or(|best| self.credits[index] > self.credits[best]) {
                best = Some(index);
            }
        }
        let best = best?;
        self.credits[best] -= total;
        Some(best)
    }
}
