//! Coverage: the weighted fraction of a snapshot's shards that an answer includes.

use crate::{ShardId, SnapshotLayout};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Counts the shards of one snapshot that answered, each at most once.
#[derive(Clone, Debug)]
pub struct CoverageCount<'layout> {
    layout: &'layout SnapshotLayout,
    answered: BTreeSet<ShardId>,
}

/// The coverage that an answer reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CoverageReport {
    /// Weight of the shards that answered divided by the weight of all shards, 0 to 1.
    pub fraction: f64,
    /// Number of shards in the snapshot.
    pub shards: usize,
    /// The shards without an answer, ascending.
    pub missing: Vec<ShardId>,
}

impl<'layout> CoverageCount<'layout> {
    /// Creates an empty count over the shards of `layout`.
    pub fn new(layout: &'layout SnapshotLayout) -> Self {
        Self {
            layout,
            answered: BTreeSet::new(),
        }
    }

    /// Counts `shard`. Returns false if it isn't in the layout or has already been counted.
    pub fn add(&mut self, shard: ShardId) -> bool {
        self.layout.shard(shard).is_some() && self.answered.insert(shard)
    }

    /// Whether every shard has answered.
    pub fn is_complete(&self) -> bool {
        self.answered.len() == self.layout.shards.len()
    }

    /// The coverage so far.
    pub fn report(&self) -> CoverageReport {
        let mut total = 0.0;
        let mut answered = 0.0;
        let mut missing = Vec::new();
        for placement in &self.layout.shards {
            total += placement.weight;
            if self.answered.contains(&placement.shard) {
                answered += placement.weight;
            } else {
                missing.push(placement.shard);
            }
        }
        let fraction = if missing.is_empty() {
            1.0
        } else {
            answered / total
        };
        CoverageReport {
            fraction,
            shards: self.layout.shards.len(),
            missing,
        }
    }
}
