//! Decides which front tries content again first whose quarantine has ended.
//!
//! All fronts see the quarantine end at about the same time. If each tried the content
//! then, it would crash a server for each of them. So they take turns, in an order that
//! follows from the content; what the first one finds reaches the others before theirs.
//! Another turn follows, since the content may not come to that front.

use crate::ContentHash;
use camphorway_model::VmName;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time between two turns: a crash is known at all fronts within it.
const TURN_TIME: Duration = Duration::from_secs(3);
/// Fronts after these have the last turn together.
const MAX_TURNS: usize = 8;
/// A front that has started does not know all others before this time.
const DISCOVERY_TIME: Duration = Duration::from_secs(10);

/// One front's turns.
#[derive(Clone, Debug)]
pub struct RetryTurn {
    own: VmName,
    started_at: Instant,
}

impl RetryTurn {
    /// The turns of the front `own`, which started at `started_at`.
    pub fn new(own: &VmName, started_at: Instant) -> Self {
        Self {
            own: own.clone(),
            started_at,
        }
    }

    /// How long after its quarantine has ended this front tries `content`, if the other
    /// fronts are `others`.
    pub fn delay<'front, Others>(
        &self,
        content: ContentHash,
        others: Others,
        now: Instant,
    ) -> Duration
    where
        Others: Iterator<Item = &'front VmName>,
    {
        if now.saturating_duration_since(self.started_at) < DISCOVERY_TIME {
            return TURN_TIME * MAX_TURNS as u32;
        }
        let place = |vm: &VmName| {
            (
                xxh3_64_with_seed(vm.as_str().as_bytes(), content.0),
                vm.clone(),
            )
        };
        let own = place(&self.own);
        let before = others.filter(|vm| place(vm) < own).count();
        TURN_TIME * before.min(MAX_TURNS) as u32
    }
}
