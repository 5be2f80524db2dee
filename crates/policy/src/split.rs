//! Deterministic splitting of requests by weight.
//!
//! Smooth weighted round robin: with every request, each target gains its weight
//! as credit; the target with the most credit is chosen and pays the total of the
//! weights. Over any run of requests the shares differ from the weights by less
//! than one request per target.

/// Chooses targets in proportion to their weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplit {
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// The index of the next target; none if no weight is above zero.
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
