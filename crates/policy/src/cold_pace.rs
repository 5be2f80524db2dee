//! The limit of a backend server that is cold, and one front's part of it.
//!
//! Answers the load of a server that has just started, or of a failure domain whose
//! servers all return at once: such a server bears few requests a second, and exits well
//! above that, while every front has calls for it.
//!
//! Fronts exchange no messages about it. The nearest ones share the server, each with a
//! whole number of calls a second, evenly spaced and never saved up, so that no second
//! has more than the sum of the parts. Fronts differ in whom they know: the parts of two
//! disjoint sets of sharing fronts together stay within the tolerance of the limit. A
//! front that knows nobody, isn't among those it knows, or whose list of fronts is old
//! sends nothing.

use crate::rendezvous;
use crate::replica::ServerDistance;
use camphorway_model::{FrontRecord, ServerName, VmName};
use std::time::{Duration, Instant};

/// The number of disjoint sets of sharing fronts for which the tolerance has room.
const DISJOINT_VIEWS: f64 = 2.0;
/// Calls are spaced a little wider, since sending one takes a while.
const SPACING_FACTOR: f64 = 1.02;
/// A front that has not heard who the other fronts are for this time sends nothing.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// A cold server's limit on the requests of any second, from all fronts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second.
    pub requests_per_s: f64,
    /// The factor by which the limit may be exceeded.
    pub overage_factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl ColdLimit {
    /// The requests that any second may have.
    pub fn allowed(&self) -> f64 {
        self.requests_per_s * self.overage_factor + self.slack
    }

    /// The calls a second of all fronts that share the server.
    fn calls_per_s(&self) -> usize {
        self.requests_per_s.min(self.allowed() / DISJOINT_VIEWS) as usize
    }
}

/// One front's part of a cold server's limit.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum ColdPart {
    /// Other fronts share the server.
    #[display("none")]
    None,
    /// One call in each such time.
    #[display("every-{}-ms", _0.as_millis())]
    Every(Duration),
}

/// A cold server, as one front sees it.
#[derive(Clone, Copy, Debug)]
pub struct ColdServer<'server> {
    /// The server's name.
    pub name: &'server ServerName,
    /// The limit while it is cold.
    pub limit: ColdLimit,
}

impl ColdServer<'_> {
    /// The part of the front on the VM `own`. `distance` gives each member's distance
    /// from the server.
    pub fn own_part<Distance>(
        &self,
        own: &VmName,
        members: &[FrontRecord],
        distance: Distance,
    ) -> ColdPart
    where
        Distance: Fn(&FrontRecord) -> ServerDistance,
    {
        let key = |member: &FrontRecord| {
            (
                distance(member),
                rendezvous::score(self.name.as_str(), &member.vm),
            )
        };
        let Some(own_record) = members.iter().find(|member| member.vm == *own) else {
            return ColdPart::None;
        };
        let own_key = key(own_record);
        let place = members
            .iter()
            .filter(|member| key(member) < own_key)
            .count();
        let calls = self.limit.calls_per_s();
        if calls == 0 {
            return self.part_of_slow_limit(place);
        }
        let extra = usize::from(place < calls % members.len());
        match calls / members.len() + extra {
            0 => ColdPart::None,
            own_calls => ColdPart::Every(spacing(own_calls as f64)),
        }
    }

    /// The part of a limit below two calls a second: one front sends them all.
    fn part_of_slow_limit(&self, place: usize) -> ColdPart {
        let rate = self.limit.requests_per_s.min(1.0);
        if place > 0 || rate <= 0.0 {
            return ColdPart::None;
        }
        ColdPart::Every(spacing(rate))
    }
}

/// The time between calls of `calls_per_s`.
fn spacing(calls_per_s: f64) -> Duration {
    Duration::try_from_secs_f64(SPACING_FACTOR / calls_per_s).unwrap_or(Duration::MAX)
}

/// Spaces one front's calls to a server, which may be cold at any moment.
#[derive(Clone, Debug, Default)]
pub struct ColdPacer {
    last_call_at: Option<Instant>,
}

impl ColdPacer {
    /// Records that a call was given out, or that it was sent.
    pub fn record_call(&mut self, now: Instant) {
        self.last_call_at = self.last_call_at.max(Some(now));
    }

    /// The time until which no call may be sent to a server that is cold until
    /// `cold_until`; `None` if one may be sent now.
    pub fn wait_until(&self, part: ColdPart, cold_until: Instant, now: Instant) -> Option<Instant> {
        let due = match part {
            ColdPart::None => cold_until,
            ColdPart::Every(spacing) => {
                let next = self.last_call_at?.checked_add(spacing);
                next.map_or(cold_until, |next| next.min(cold_until))
            }
        };
        (now < due).then_some(due)
    }
}
