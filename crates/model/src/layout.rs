//! The layout of a service's snapshots, as the indexers publish it.
//!
//! A repartition is a new snapshot with a layout of its own, so coverage is
//! always counted over the layout of the snapshot that was queried.

use crate::{InstanceName, ShardId, SnapshotId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The snapshots of one service that may be queried, oldest first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceLayout {
    /// Each snapshot's layout, by ascending id.
    pub snapshots: Vec<SnapshotLayout>,
}

/// The shards of one snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SnapshotLayout {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Its shards, by ascending id.
    pub shards: Vec<ShardPlacement>,
}

/// Where a shard is kept and how much it counts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ShardPlacement {
    /// The shard.
    pub shard: ShardId,
    /// Its share in the coverage, relative to the other shards.
    pub weight: f64,
    /// The instance whose backend servers hold it.
    pub instance: InstanceName,
}

/// Why a layout is not usable.
#[derive(Debug, Display)]
pub enum LayoutError {
    /// The text is not the JSON of a layout.
    #[display("layout is not valid JSON: {_0}")]
    Json(serde_json::Error),
    /// No snapshot is listed.
    #[display("layout lists no snapshot")]
    Empty,
    /// Snapshot ids don't ascend.
    #[display("snapshot {_0} is not above the one before it")]
    SnapshotOrder(SnapshotId),
    /// A snapshot has no shard.
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
    /// Parses and checks the JSON text of a layout object.
    ///
    /// # Errors
    /// Returns the first fault, with the snapshot and shard it is in.
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
        self.shards.sort_by_key(|place| place.shard);
        let mut seen = BTreeSet::new();
        for place in &self.shards {
            if !seen.insert(place.shard) {
                return Err(LayoutError::RepeatedShard(self.snapshot, place.shard));
            }
            if !(place.weight.is_finite() && place.weight > 0.0) {
                return Err(LayoutError::Weight(self.snapshot, place.shard));
            }
        }
        Ok(())
    }

    /// The place of one shard.
    pub fn shard(&self, shard: ShardId) -> Option<&ShardPlacement> {
        let index = self
            .shards
            .binary_search_by_key(&shard, |place| place.shard)
            .ok()?;
        self.shards.get(index)
    }
}
