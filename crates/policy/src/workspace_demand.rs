//! Which requests are within what their workspace usually sends.
//!
//! The load: one workspace sends at many times its usual while others send as ever.
//! Shares by number of workspaces would cut the large ones in calm times, and shares by
//! what is sent now would give way to who floods. So each is compared with itself, by a
//! token bucket that fills a little faster than the workspace usually sends. Only what is
//! within the usual is learned, so that a flood becomes usual slowly.

use camphorway_model::WorkspaceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time in which a request loses half of its weight in the usual demand.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(120);
/// All requests are usual for this time after the first one.
const LEARNING_TIME: Duration = Duration::from_secs(4);
/// Demand up to this multiple of the usual is within it.
const USUAL_FACTOR: f64 = 1.5;
/// Requests a second, and at once, that are within the usual in any case: on a large tier
/// a front sees most workspaces once in some seconds.
const MIN_USUAL_PER_S: f64 = 0.1;
const MIN_TOKENS: f64 = 2.0;
/// The time for which unused demand is kept.
const BUCKET_TIME: Duration = Duration::from_secs(3);
/// Workspaces whose demand is known; all others share one record.
const MAX_WORKSPACES: usize = 4_096;
/// A record with less weight is dropped when there are too many.
const MIN_KEPT_WEIGHT: f64 = 0.5;

/// What is left of a weight after a time.
pub(crate) fn decayed(weight: f64, age: Duration, half_life: Duration) -> f64 {
    weight * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

#[derive(Clone, Copy, Debug)]
struct DemandRecord {
    tokens: f64,
    /// The decaying number of requests within the usual.
    usual: f64,
    at: Instant,
}

/// The demand of all workspaces at one front.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceDemand {
    since: Option<Instant>,
    /// Requests without a workspace, and those of workspaces that don't fit.
    others: Option<DemandRecord>,
    workspaces: HashMap<WorkspaceName, DemandRecord>,
}

impl WorkspaceDemand {
    /// Records a request. Returns whether it is within its workspace's usual.
    pub fn record(&mut self, workspace: Option<&WorkspaceName>, now: Instant) -> bool {
        let since = *self.since.get_or_insert(now);
        let age = now.saturating_duration_since(since);
        let new = DemandRecord {
            tokens: MIN_TOKENS,
            usual: 0.0,
            at: now,
        };
        let record = match self.place(workspace, now) {
            Some(name) => self.workspaces.entry(name.clone()).or_insert(new),
            None => self.others.get_or_insert(new),
        };
        record.refill(learned_span_s(age), now);
        record.take(age < LEARNING_TIME)
    }

    /// The number of workspaces with a record of their own.
    pub fn workspaces(&self) -> usize {
        self.workspaces.len()
    }

    /// The workspace, if it has a record or there is a place for one.
    fn place<'name>(
        &mut self,
        workspace: Option<&'name WorkspaceName>,
        now: Instant,
    ) -> Option<&'name WorkspaceName> {
        let name = workspace?;
        if !self.workspaces.contains_key(name) && self.workspaces.len() >= MAX_WORKSPACES {
            self.workspaces
                .retain(|_, record| record.usual_at(now) >= MIN_KEPT_WEIGHT);
            if self.workspaces.len() >= MAX_WORKSPACES {
                return None;
            }
        }
        Some(name)
    }
}

impl DemandRecord {
    fn usual_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        decayed(self.usual, age, USUAL_HALF_LIFE)
    }

    /// Adds the tokens since the last request, where the usual was learned over
    /// `span_s` seconds.
    fn refill(&mut self, span_s: f64, now: Instant) {
        let age = now.saturating_duration_since(self.at);
        self.usual = self.usual_at(now);
        self.at = now;
        let per_s = USUAL_FACTOR * self.usual / span_s + MIN_USUAL_PER_S;
        let most = per_s * BUCKET_TIME.as_secs_f64() + MIN_TOKENS;
        self.tokens = (self.tokens + per_s * age.as_secs_f64()).min(most);
    }

    /// Takes a token. Returns whether there was one; while the usual is being learned,
    /// there always is.
    fn take(&mut self, is_learning: bool) -> bool {
        let is_usual = is_learning || self.tokens >= 1.0;
        if is_usual {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.usual += 1.0;
        }
        is_usual
    }
}

/// The time over which the usual has been learned, in seconds.
fn learned_span_s(age: Duration) -> f64 {
    let full = USUAL_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
    let learned = full * (1.0 - decayed(1.0, age, USUAL_HALF_LIFE));
    learned.max(LEARNING_TIME.as_secs_f64())
}
