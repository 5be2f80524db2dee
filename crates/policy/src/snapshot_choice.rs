//! The choice of a query's snapshot.

use camphorway_model::{ServiceName, SnapshotId, SnapshotLayout};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Chooses the newest snapshot whose reachable coverage meets `target`, else the
/// one with the highest reachable coverage, the newer of equals.
///
/// `reachable` gives the weight of a snapshot's shards, 0 to 1, that some usable
/// server is expected to hold.
pub fn choose_snapshot<Reachable>(
    snapshots: &[SnapshotLayout],
    target: f64,
    newest_only: bool,
    reachable: Reachable,
) -> Option<&SnapshotLayout>
where
    Reachable: Fn(&SnapshotLayout) -> f64,
{
    if newest_only {
        return snapshots.last();
    }
    let mut best: Option<(f64, &SnapshotLayout)> = None;
    for layout in snapshots.iter().rev() {
        let coverage = reachable(layout);
        if coverage >= target {
            return Some(layout);
        }
        if best.is_none_or(|(highest, _)| coverage > highest) {
            best = Some((coverage, layout));
        }
    }
    best.map(|(_, layout)| layout)
}

/// The snapshots that an instance's servers hold, according to their replies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeldSnapshots {
    /// The oldest snapshot still held, if known.
    pub oldest: Option<SnapshotId>,
    /// The newest snapshot held, if known.
    pub newest: Option<SnapshotId>,
}

impl HeldSnapshots {
    /// Whether `snapshot` may be held; an unknown bound excludes nothing.
    pub fn may_hold(&self, snapshot: SnapshotId) -> bool {
        self.oldest.is_none_or(|oldest| oldest <= snapshot)
            && self.newest.is_none_or(|newest| snapshot <= newest)
    }
}

/// How long an observed coverage is used. After that the next query observes it
/// again, so that a snapshot that was loaded late comes into use.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(1);

/// The coverage that recent queries found for each snapshot.
#[derive(Clone, Debug, Default)]
pub struct CoverageCache {
    observed: HashMap<(ServiceName, SnapshotId), (f64, Instant)>,
}

impl CoverageCache {
    /// Records that a query found `coverage` of a snapshot to be held, 0 to 1.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        snapshot: SnapshotId,
        coverage: f64,
        now: Instant,
    ) {
        let key = (service.clone(), snapshot);
        if coverage >= 1.0 {
            self.observed.remove(&key);
        } else {
            self.observed.insert(key, (coverage, now));
        }
        self.observed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < OBSERVATION_LIFETIME);
    }

    /// The expected coverage of a query of the snapshot.
    pub fn expected(&self, service: &ServiceName, snapshot: SnapshotId, now: Instant) -> f64 {
        let observed = self.observed.get(&(service.clone(), snapshot));
        match observed {
            Some((coverage, at)) if now.saturating_duration_since(*at) < OBSERVATION_LIFETIME => {
                *coverage
            }
            Some(_) | None => 1.0,
        }
    }
}
