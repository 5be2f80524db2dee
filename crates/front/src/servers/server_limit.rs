//! This front's part of the limit that a server names for all fronts together.

use camphorway_daemon::sync::lock;
use camphorway_model::{FailureDomain, FrontRecord, ServerRecord, VmName};
use camphorway_policy::cold_pace::MAX_LIST_AGE;
use camphorway_policy::{
    CallPacer, ColdLimit, ColdPart, ColdServer, LimitedServer, RateShare, ServerDistance,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The part of a limit is worked out again after this time, as fronts come and go.
const SHARE_LIFETIME: Duration = Duration::from_secs(1);

/// The fronts that share servers' limits, as seen by one of them.
#[derive(Clone, Debug)]
pub struct SharingFronts {
    /// This front's VM.
    pub own: VmName,
    /// The registered fronts.
    pub members: Arc<Mutex<Vec<FrontRecord>>>,
    /// The region of each failure domain.
    pub regions: Arc<HashMap<FailureDomain, String>>,
    /// Since when the list of fronts could not be followed.
    pub lost_since: Arc<Mutex<Option<Instant>>>,
}

impl SharingFronts {
    /// The distance between two failure domains.
    pub fn distance(&self, one: &FailureDomain, other: &FailureDomain) -> ServerDistance {
        if one == other {
            return ServerDistance::Near;
        }
        match (self.regions.get(one), self.regions.get(other)) {
            (Some(one), Some(other)) if one == other => ServerDistance::Region,
            _ => ServerDistance::Far,
        }
    }

    /// The number of fronts for which `server` is as near as for the nearest ones:
    /// those of its region, or all if there are none.
    pub fn count_sharing(&self, server: &ServerRecord) -> usize {
        let members = lock(&self.members);
        let is_far = |member: &&FrontRecord| {
            self.distance(&member.domain, &server.domain) == ServerDistance::Far
        };
        let far = members.iter().filter(is_far).count();
        let near = members.len() - far;
        if near == 0 { members.len() } else { near }
    }

    /// Records whether the list of fronts can be followed.
    pub fn set_followed(&self, is_followed: bool, now: Instant) {
        let mut since = lock(&self.lost_since);
        if is_followed {
            *since = None;
        } else {
            since.get_or_insert(now);
        }
    }

    /// This front's part of the `limit` of `server`, which is cold.
    pub(crate) fn cold_part(
        &self,
        limit: ColdLimit,
        server: &ServerRecord,
        now: Instant,
    ) -> ColdPart {
        let lost_since = *lock(&self.lost_since);
        if lost_since.is_some_and(|at| now.saturating_duration_since(at) > MAX_LIST_AGE) {
            return ColdPart::None;
        }
        let cold = ColdServer {
            name: &server.name,
            limit,
        };
        let distance = |member: &FrontRecord| self.distance(&member.domain, &server.domain);
        cold.own_part(&self.own, &lock(&self.members), distance)
    }

    /// This front's part of the `limit` that `server` has named.
    fn share(&self, limit: f64, server: &ServerRecord) -> RateShare {
        let limited = LimitedServer {
            name: &server.name,
            limit,
        };
        let distance = |member: &FrontRecord| self.distance(&member.domain, &server.domain);
        limited.own_share(&self.own, &lock(&self.members), distance)
    }
}

/// A limit in force, and this front's pace.
#[derive(Clone, Debug)]
pub struct ServerLimit {
    limit: f64,
    share: RateShare,
    shared_at: Instant,
    pacer: CallPacer,
}

impl ServerLimit {
    /// The pace at `limit` requests a second of all fronts to `server`.
    pub fn new(limit: f64, server: &ServerRecord, fronts: &SharingFronts, now: Instant) -> Self {
        let share = fronts.share(limit, server);
        Self {
            limit,
            share,
            shared_at: now,
            pacer: CallPacer::new(share, fastrand::f64(), now),
        }
    }

    /// Applies a limit that the server has named again.
    pub fn renew(
        &mut self,
        limit: f64,
        server: &ServerRecord,
        fronts: &SharingFronts,
        now: Instant,
    ) {
        let is_fresh = now.saturating_duration_since(self.shared_at) < SHARE_LIFETIME;
        // Named anew in each answer, so exactly equal while it stays the same.
        if is_fresh && limit.to_bits() == self.limit.to_bits() {
            return;
        }
        self.limit = limit;
        self.shared_at = now;
        self.share = fronts.share(limit, server);
        self.pacer.set_share(self.share, now);
    }

    /// This front's part of the limit.
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// Records a call.
    pub fn record_call(&mut self, now: Instant) {
        self.pacer.record_call(now);
    }

    /// The time until which no call may be sent.
    pub fn wait_until(&self, now: Instant) -> Option<Instant> {
        self.pacer.wait_until(now)
    }
}
