//! Splitting by weight.

use camphorway_policy::WeightedSplit;
use proptest::prelude::*;

proptest! {
    #[test]
    fn shares_follow_the_weights(
        weights in proptest::collection::vec(0.0..100.0_f64, 1..6),
        requests in 1_usize..400,
    ) {
        let total: f64 = weights.iter().sum();
        prop_assume!(total > 1.0);
        let mut split = WeightedSplit::default();
        let mut counts = vec![0.0; weights.len()];
        for _ in 0..requests {
            let index = split.next(&weights).expect("some weight is above zero");
            counts[index] += 1.0;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let expected = weight / total * requests as f64;
            prop_assert!((count - expected).abs() <= weights.len() as f64, "{count} {expected}");
        }
    }
}

#[test]
fn nothing_is_chosen_without_weights() {
    assert_eq!(WeightedSplit::default().next(&[0.0, 0.0]), None);
    assert_eq!(WeightedSplit::default().next(&[]), None);
}
