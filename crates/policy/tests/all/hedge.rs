//! Hedges stay within their budget.

use camphorway_policy::HedgePacer;
use proptest::prelude::*;

proptest! {
    #[test]
    fn hedges_stay_within_the_budget(slow in 0.0..1.0_f64, ratio in 0.0..0.3_f64, seed in any::<u64>()) {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut pacer = HedgePacer::new(ratio);
        let mut hedges = 0_u32;
        for _ in 0..5_000 {
            pacer.earn(1);
            if random.f64() < slow && pacer.spend() {
                hedges += 1;
            }
        }
        let max_hedges = ratio * 5_000.0 + 10.0;
        prop_assert!(f64::from(hedges) <= max_hedges, "{hedges} of {max_hedges}");
    }
}
