//! Coverage counts each shard once, by weight, and invalid layouts are rejected.

use camphorway_model::{CoverageCount, ServiceLayout, ShardId};
use proptest::prelude::*;

fn layout(weights: &[f64]) -> ServiceLayout {
    let shards: Vec<String> = weights
        .iter()
        .enumerate()
        .map(|(shard, weight)| {
            format!("{{\"shard\":{shard},\"weight\":{weight},\"instance\":\"0\"}}")
        })
        .collect();
    let text = format!(
        "{{\"snapshots\":[{{\"snapshot\":1,\"shards\":[{}]}}]}}",
        shards.join(",")
    );
    ServiceLayout::parse(&text).expect("a layout")
}

proptest! {
    #[test]
    fn coverage_is_the_weight_fraction_of_answered_shards(
        weights in prop::collection::vec(0.1..9.0_f64, 1..20),
        answers in prop::collection::vec(0..30_u32, 0..60),
    ) {
        let layout = layout(&weights);
        let mut count = CoverageCount::new(&layout.snapshots[0]);
        let mut seen = vec![false; weights.len()];
        for shard in answers {
            let is_new = (shard as usize) < seen.len() && !seen[shard as usize];
            prop_assert_eq!(count.add(ShardId(shard)), is_new);
            if is_new {
                seen[shard as usize] = true;
            }
        }
        let total: f64 = weights.iter().sum();
        let answered: f64 = weights.iter().zip(&seen).filter(|(_, seen)| **seen).map(|(weight, _)| weight).sum();
        let report = count.report();
        prop_assert!((report.fraction - answered / total).abs() < 1e-9);
        prop_assert_eq!(report.missing.len(), seen.iter().filter(|seen| !**seen).count());
        prop_assert_eq!(count.is_complete(), report.missing.is_empty());
    }
}

#[test]
fn invalid_layouts_are_rejected() {
    for (text, part) in [
        ("{}", "not valid JSON"),
        ("{\"snapshots\":[]}", "no snapshot"),
        (
            "{\"snapshots\":[{\"snapshot\":1,\"shards\":[]}]}",
            "no shard",
        ),
        (
            "{\"snapshots\":[{\"snapshot\":1,\"shards\":[{\"shard\":1,\"weight\":0,\"instance\":\"a\"}]}]}",
            "weight must be above 0",
        ),
    ] {
        let error = ServiceLayout::parse(text).expect_err("refused").to_string();
        assert!(error.contains(part), "{error}");
    }
}
