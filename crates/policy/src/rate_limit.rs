//! A backend server's limit on the requests of all daemons together, and one
//! daemon's part of it.
//!
//! Each daemon learns the limit from the server's answers and paces its own calls;
//! no messages are needed. The daemons that share a server are the nearest ones, and
//! so few that the calls which each may have saved up stay within the tolerance that
//! such a limit has. A limit ends with an answer that does not name it.

use crate::rendezvous;
use crate::replica::ServerDistance;
use camphorway_model::{FrontRecord, ServerName, VmName};
use std::time::{Duration, Instant};

/// The largest part of an interval between calls that may be saved up.
const MAX_CREDIT: f64 = 0.5;
/// The number of sharing daemons for each request a second of the limit.
const SHARERS_PER_RATE: f64 = 1.2;
const MIN_SHARERS: usize = 2;
/// The part of a limit that is left to daemons beyond the sharing ones, which only
/// find out whether the limit has ended.
const PROBING_FRACTION: f64 = 0.1;
/// The time within which a probing call must be sent, if at all.
const PROBING_SLOT: Duration = Duration::from_millis(200);
/// As long as no other daemon is known, there may be this many.
const ASSUMED_DAEMONS: f64 = 10.0;
/// The longest time between calls of a sharing daemon.
const MAX_SHARING_INTERVAL: Duration = Duration::from_secs(30);
/// The longest time between probing calls of one daemon.
const MAX_PROBING_INTERVAL: Duration = Duration::from_secs(600);
/// A limit above this is none.
pub const MAX_RATE_LIMIT: f64 = 1_000_000.0;

/// One daemon's part of a server's limit, in calls a second.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq)]
pub enum RateShare {
    /// The daemon shares the server.
    #[display("sharing-{_0:.2}")]
    Sharing(f64),
    /// Others share the server; this daemon finds out now and then whether the limit
    /// has ended.
    #[display("probing-{_0:.4}")]
    Probing(f64),
}

/// The server that named a limit, as one daemon sees it.
#[derive(Clone, Copy, Debug)]
pub struct LimitedServer<'server> {
    /// The server's name.
    pub name: &'server ServerName,
    /// Requests a second that it takes from all daemons.
    pub limit: f64,
}

impl LimitedServer<'_> {
    /// The part of the daemon on the VM `own`. `distance` gives each member's
    /// distance from the server.
    pub fn own_share<Distance>(
        &self,
        own: &VmName,
        members: &[FrontRecord],
        distance: Distance,
    ) -> RateShare
    where
        Distance: Fn(&FrontRecord) -> ServerDistance,
    {
        if members.is_empty() {
            return RateShare::Sharing(self.limit / ASSUMED_DAEMONS);
        }
        let mut sharing: Vec<(ServerDistance, u64, &VmName)> = members
            .iter()
            .map(|member| {
                (
                    distance(member),
                    rendezvous::score(self.name.as_str(), &member.vm),
                    &member.vm,
                )
            })
            .collect();
        sharing.sort_unstable();
        sharing.truncate(self.max_sharers());
        let probing = members.len() - sharing.len();
        let Some((own_distance, ..)) = sharing.iter().find(|(_, _, vm)| *vm == own) else {
            return RateShare::Probing(PROBING_FRACTION * self.limit / probing.max(1) as f64);
        };
        let fraction = if probing == 0 {
            1.0
        } else {
            1.0 - PROBING_FRACTION
        };
        let total: f64 = sharing.iter().map(|(distance, ..)| weight(*distance)).sum();
        RateShare::Sharing(self.limit * fraction * weight(*own_distance) / total)
    }

    fn max_sharers(&self) -> usize {
        (self.limit * SHARERS_PER_RATE) as usize + MIN_SHARERS
    }
}

/// How large a part of a limit a daemon gets, relative to others.
fn weight(distance: ServerDistance) -> f64 {
    match distance {
        ServerDistance::Near => 3.0,
        ServerDistance::Region => 2.0,
        ServerDistance::Far => 1.0,
    }
}

/// Spaces one daemon's calls to a server that has named a limit.
#[derive(Clone, Debug)]
pub struct CallPacer {
    share: RateShare,
    next_at: Instant,
}

impl CallPacer {
    /// A pacer of `share`. The first call is due after `phase`, 0 to 1, of the first
    /// interval, since all daemons may start at once.
    pub fn new(share: RateShare, phase: f64, now: Instant) -> Self {
        Self {
            share,
            next_at: now + share.interval().mul_f64(phase),
        }
    }

    /// Changes the share; calls are not due later than with the one before.
    pub fn set_share(&mut self, share: RateShare, now: Instant) {
        if share.interval() < self.share.interval() {
            self.next_at = self.next_at.min(now + share.interval());
        }
        self.share = share;
    }

    /// Records a call.
    pub fn record_call(&mut self, now: Instant) {
        let interval = self.share.interval();
        let credit = match self.share {
            RateShare::Sharing(_) => interval.mul_f64(MAX_CREDIT),
            RateShare::Probing(_) => Duration::ZERO,
        };
        let earliest = now.checked_sub(credit).unwrap_or(now);
        self.next_at = self.next_at.max(earliest) + interval;
    }

    /// The time until which no call may be sent; `None` if one may be sent now.
    pub fn wait_until(&self, now: Instant) -> Option<Instant> {
        if now < self.next_at {
            return Some(self.next_at);
        }
        let RateShare::Probing(_) = self.share else {
            return None;
        };
        // A slot that was not used is lost, so that not all daemons save one up.
        let interval = self.share.interval();
        let late = now - self.next_at;
        // In whole nanoseconds: rounding would name a time that is not in the future.
        let missed = (late.as_nanos() / interval.as_nanos()) as u32;
        let slot = self.next_at + interval * missed;
        (now >= slot + PROBING_SLOT).then(|| slot + interval)
    }
}

impl RateShare {
    /// The time between calls.
    fn interval(self) -> Duration {
        let (rate, max) = match self {
            Self::Sharing(rate) => (rate, MAX_SHARING_INTERVAL),
            Self::Probing(rate) => (rate, MAX_PROBING_INTERVAL),
        };
        if rate * max.as_secs_f64() <= 1.0 {
            return max;
        }
        Duration::from_secs_f64(1.0 / rate)
    }
}
