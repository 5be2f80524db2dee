//! Coverage: the weighted part of a snapshot's shards that an answer holds.

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
    /// Weight of the answered shards over the weight of all, 0 to 1.
    pub fraction: f64,
    /// Number of shards of the snapshot.
    pub shards: usize,
    /// The shards without an answer, ascending.
    pub missing: Vec<ShardId>,
}

impl<'layout> CoverageCount<'layout> {
    /// Starts a count over the shards of `layout`.
    pub fn new(layout: &'layout SnapshotLayout) -> Self {
        Self {
            layout,
            answered: BTreeSet::new(),
        }
    }

    /// Counts `shard`; false if it isn't in the layout or is counted already.
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
        for place in &self.layout.shards {
            total += place.weight;
            if self.answered.contains(&place.shard) {
                answered += place.weight;
            } else {
                missing.push(place.shard);
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
