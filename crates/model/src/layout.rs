//! The layout of a service's snapshots, as published by the indexers.
//!
//! Each repartition creates a new snapshot with its own layout, so coverage is
//! always computed over the layout of the queried snapshot.

use crate::{InstanceName, ShardId, SnapshotId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The snapshots of one service that may be queried, oldest first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceLayout {
    /// The layout of each snapshot, by ascending id.
    pub snapshots: Vec<SnapshotLayout>,
}

/// The shards of one snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SnapshotLayout {
    /// The snapshot's id.
    pub snapshot: SnapshotId,
    /// The snapshot's shards, by ascending id.
    pub shards: Vec<ShardPlacement>,
}

/// The instance that holds a shard, and the shard's weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ShardPlacement {
    /// The shard's id.
    pub shard: ShardId,
    /// The shard's weight in the coverage, relative to others.
    pub weight: f64,
    /// The instance whose backend servers hold the shard.
    pub instance: InstanceName,
}

/// The reason a layout is invalid.
#[derive(Debug, Display)]
pub enum LayoutError {
    /// The text is not valid JSON for a layout.
    #[display("layout is not valid JSON: {_0}")]
    Json(serde_json::Error),
    /// The layout lists no snapshot.
    #[display("layout lists no snapshot")]
    Empty,
    /// The snapshot ids are not ascending.
    #[display("snapshot {_0} is not above the one before it")]
    SnapshotOrder(SnapshotId),
    /// A snapshot has no shards.
    #[display("snapshot {_0} has no shard")]
    NoShard(SnapshotId),
    /// A shard is listed twice.
    #[display("snapshot {_0} lists shard {_1} twice")]
    RepeatedShard(SnapshotId, ShardId),
    /// A weight is not a positive number.
    #[display("snapshot {_0} shard {_1}: weight must be above 0")]
    Weight(SnapshotId, ShardId),
}

impl std::error::Error for LayoutError {}

impl ServiceLayout {
    /// Parses and validates the JSON text of a layout object.
    ///
    /// # Errors
    /// Returns the first fault, with its snapshot and shard.
    pub fn parse(text: &str) -> Result<Self, LayoutError> {
        let mut layout: Self = serde_json::from_str(text).map_err(LayoutError::Json)?;
        let mut last = None;
        for snapshot in &mut layout.snapshots {
            if last.is_some_and(|last| last >= snapshot.snapshot) {
                return Err(LayoutError::SnapshotOrder(snapshot.snapshot));
            }
            last = Some(snapshot.snapshot);
            snapshot.check()?;
        }
        if layout.snapshots.is_empty() {
            return Err(LayoutError::Empty);
        }
        Ok(layout)
    }

    /// The layout of one snapshot.
    pub fn snapshot(&self, snapshot: SnapshotId) -> Option<&SnapshotLayout> {
        self.snapshots
            .iter()
            .find(|layout| layout.snapshot == snapshot)
    }
}

impl SnapshotLayout {
    fn check(&mut self) -> Result<(), LayoutError> {
        if self.shards.is_empty() {
            return Err(LayoutError::NoShard(self.snapshot));
        }
        self.shards.sort_by_key(|placement| placement.shard);
        let mut seen = BTreeSet::new();
        for placement in &self.shards {
            if !seen.insert(placement.shard) {
                return Err(LayoutError::RepeatedShard(self.snapshot, placement.shard));
            }
            if !(placement.weight.is_finite() && placement.weight > 0.0) {
                return Err(LayoutError::Weight(self.snapshot, placement.shard));
            }
        }
        Ok(())
    }

    /// The placement of one shard.
    pub fn shard(&self, shard: ShardId) -> Option<&ShardPlacement> {
        let index = self
            .shards
            .binary_search_by_key(&shard, |placement| placement.shard)
            .ok()?;
        self.shards.get(index)
    }
}
