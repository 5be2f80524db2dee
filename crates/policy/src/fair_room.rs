//! Shares the room of services that have too little among the requests for them.
//!
//! The loads: a burst of one rank, a workspace at many times its usual, callers that
//! repeat at once; on a large tier, at fronts that each see few requests. Where nothing
//! shows a shortage every request is admitted. During one, a front admits a fraction of
//! the recent demand, which falls while the shortage lasts and rises afterwards. The
//! fraction goes to the most urgent ranks first, and within a rank to what workspaces
//! usually send; the rest is refused at once, so that it costs servers nothing and the
//! caller has time left to return. No workspace and no rank is refused wholly while
//! others are served.
//!
//! A fraction, and not a limit on requests in flight as at the entry of
//! [`crate::admission`]: with many fronts, even one request in flight at each is more
//! than a small service bears.

use crate::place::RequestHomes;
use crate::room_evidence::{EVIDENCE_LIFETIME, ServiceRoom};
use crate::workspace_demand::{WorkspaceDemand, decayed};
use camphorway_model::{ServiceName, WorkspaceName};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Ranks that are told apart; all less urgent ones count as the last.
const RANKS: usize = 8;
/// Time in which a request loses half of its weight in the mix of ranks.
const MIX_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time in which a lasting shortage halves the admitted fraction.
const CUT_HALF_LIFE: Duration = Duration::from_secs(1);
const MIN_FRACTION: f64 = 0.005;
/// A shortage is over without a sign of it for this time.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Rise of the admitted fraction in each second from then on.
const CALM_RISE_PER_S: f64 = 1.0;
/// Time in which the admitted fraction doubles until then.
const RISE_TIME: Duration = Duration::from_secs(2);
/// Each kind of request is admitted at least this fraction as often as all.
const MIN_RELATIVE_FRACTION: f64 = 0.3;
/// Shorter shortages don't lower the admitted fraction.
const MIN_SHORTAGE: Duration = Duration::from_millis(250);
/// The most of a shortage that is counted: so much time with room ends any.
const MAX_SHORTAGE: Duration = Duration::from_millis(500);
/// Pools with a record; requests for further ones are admitted.
const MAX_POOLS: usize = 1_024;
/// A pool without requests for this time is dropped when there are too many.
const IDLE_POOL_AGE: Duration = Duration::from_secs(60);

const MIN_RETRY_SPAN: Duration = Duration::from_millis(100);
const MAX_RETRY_SPAN: Duration = Duration::from_secs(4);
/// The time over which callers return, at a fraction of one half.
const RETRY_SPAN: Duration = Duration::from_secs(1);
/// The largest fraction of its time left after which a caller returns, if the room
/// expected allows it.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// The properties of a request that decide whether there is room for it.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest<'request> {
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The workspace that sent it, if it has one.
    pub workspace: Option<&'request WorkspaceName>,
    /// The regions that may serve it.
    pub homes: RequestHomes<'request>,
    /// The time until the answer is useless.
    pub time_left: Duration,
    /// The number of its services that must answer.
    pub min_services: usize,
}

/// Two random numbers, each at least 0 and less than 1.
#[derive(Clone, Copy, Debug)]
pub struct RoomDraw {
    /// Decides which requests are admitted.
    pub admission: f64,
    /// Spreads the times at which callers return.
    pub spread: f64,
}

impl RoomDraw {
    /// Draws both numbers.
    pub fn random() -> Self {
        Self {
            admission: fastrand::f64(),
            spread: fastrand::f64(),
        }
    }
}

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum RoomCause {
    /// Its time ends before it could be answered.
    #[display("no-time")]
    NoTime,
    /// Others go before it.
    #[display("no-room")]
    NoRoom,
}

/// The refusal of a request, before anything of it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomRefusal {
    /// The reason.
    pub cause: RoomCause,
    /// A service that is short of room.
    pub service: ServiceName,
    /// The time after which room is expected.
    pub retry_after: Duration,
}

/// A shortage of room for one request.
#[derive(Clone, Copy, Debug)]
struct RoomShortage<'services> {
    service: &'services ServiceName,
    /// The earliest time after which enough services would have answered.
    answer_after: Duration,
}

/// The room of all services, as seen by one front.
#[derive(Debug, Default)]
pub struct FairRoom {
    demand: WorkspaceDemand,
    /// By the services of their requests and the regions that may serve them: queries over
    /// the same shards compete.
    pools: HashMap<PoolKey, RoomPool>,
}

impl FairRoom {
    /// Decides on a request for `services`, at least one.
    ///
    /// # Errors
    /// Returns why it is refused.
    pub fn admit<'services, Services>(
        &mut self,
        request: &RoomRequest<'_>,
        services: Services,
        draw: RoomDraw,
        now: Instant,
    ) -> Result<(), RoomRefusal>
    where
        Services: IntoIterator<Item = (&'services ServiceName, ServiceRoom)>,
    {
        let services: Vec<(&ServiceName, ServiceRoom)> = services.into_iter().collect();
        let Some((first, _)) = services.first().copied() else {
            return Ok(());
        };
        let is_usual = self.demand.record(request.workspace, now);
        let names = services.iter().map(|(service, _)| *service);
        let Some(pool) = self.pool(pool_key(names, request.homes), now) else {
            return Ok(());
        };
        pool.record(request.rank, is_usual, now);
        let shortage = find_shortage(services.into_iter(), request.min_services);
        match &shortage {
            Some(_) => pool.record_shortage(now),
            None => pool.record_room(now),
        }
        let answer_after = shortage.map_or(Duration::ZERO, |shortage| shortage.answer_after);
        let refuse = |cause, retry_after| {
            Err(RoomRefusal {
                cause,
                service: shortage.map_or(first, |shortage| shortage.service).clone(),
                retry_after,
            })
        };
        if answer_after > request.time_left {
            let retry_after = answer_after.mul_f64(1.0 + draw.spread);
            return refuse(RoomCause::NoTime, retry_after);
        }
        if draw.admission < pool.admitted(request.rank, is_usual) {
            return Ok(());
        }
        let span = pool.retry_span(request.time_left.saturating_sub(answer_after));
        let retry_after = answer_after + MIN_RETRY_SPAN + span.mul_f64(draw.spread);
        refuse(RoomCause::NoRoom, retry_after)
    }

    /// The pool with this key, if there is a place for it.
    fn pool(&mut self, key: PoolKey, now: Instant) -> Option<&mut RoomPool> {
        if !self.pools.contains_key(&key) {
            if self.pools.len() >= MAX_POOLS {
                self.pools.retain(|_, pool| pool.age(now) < IDLE_POOL_AGE);
            }
            if self.pools.len() >= MAX_POOLS {
                return None;
            }
            self.pools.insert(key, RoomPool::new(now));
        }
        self.pools.get_mut(&key)
    }

    /// The number of workspaces whose demand is known.
    pub fn workspaces(&self) -> usize {
        self.demand.workspaces()
    }
}

/// A hash of the services of a request and of the regions that may serve it.
type PoolKey = u64;

fn pool_key<'services, Services>(services: Services, homes: RequestHomes<'_>) -> PoolKey
where
    Services: Iterator<Item = &'services ServiceName>,
{
    let mut hasher = DefaultHasher::new();
    services.for_each(|service| service.hash(&mut hasher));
    for homes in [homes.route, homes.workspace] {
        let regions = homes.map_or(&[][..], |homes| &homes.0);
        regions.hash(&mut hasher);
    }
    hasher.finish()
}

/// The shortage if fewer than `min_services` have room.
fn find_shortage<'services, Services>(
    services: Services,
    min_services: usize,
) -> Option<RoomShortage<'services>>
where
    Services: Iterator<Item = (&'services ServiceName, ServiceRoom)>,
{
    let mut open = 0;
    let mut short = Vec::new();
    for (service, room) in services {
        match room.shortage() {
            None => open += 1,
            Some(answer_after) => short.push(RoomShortage {
                service,
                answer_after,
            }),
        }
    }
    let lacking = min_services.min(open + short.len()).checked_sub(open + 1)?;
    short.sort_unstable_by_key(|shortage| shortage.answer_after);
    short.get(lacking).copied()
}

/// The recent requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankDemand {
    /// What workspaces usually send.
    usual: f64,
    /// What they send beyond it.
    beyond: f64,
}

/// Services whose requests compete.
#[derive(Debug)]
struct RoomPool {
    demand: [RankDemand; RANKS],
    /// The admitted fraction of the demand during a shortage.
    fraction: f64,
    /// When a request last found too little room.
    short_at: Option<Instant>,
    /// How long there was too little room, less the time for which there was enough.
    short_for: Duration,
    decided_at: Instant,
}

impl RoomPool {
    fn new(now: Instant) -> Self {
        Self {
            demand: [RankDemand::default(); RANKS],
            fraction: 1.0,
            short_at: None,
            short_for: Duration::ZERO,
            decided_at: now,
        }
    }

    /// The time since the latest request.
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.decided_at)
    }

    /// Records a request, which is within its workspace's usual or not.
    fn record(&mut self, rank: u8, is_usual: bool, now: Instant) {
        let age = self.age(now);
        for demand in &mut self.demand {
            demand.usual = decayed(demand.usual, age, MIX_HALF_LIFE);
            demand.beyond = decayed(demand.beyond, age, MIX_HALF_LIFE);
        }
        let demand = &mut self.demand[rank_index(rank)];
        if is_usual {
            demand.usual += 1.0;
        } else {
            demand.beyond += 1.0;
        }
    }

    /// Raises the admitted fraction: slowly just after a sign of a shortage, as this room
    /// may be what the cut has made.
    fn record_room(&mut self, now: Instant) {
        let age = self.age(now);
        let is_recent = |at| now.saturating_duration_since(at) < CALM_TIME;
        self.fraction = if self.short_at.is_some_and(is_recent) {
            let doublings = age.as_secs_f64() / RISE_TIME.as_secs_f64();
            self.fraction * 2.0_f64.powf(doublings)
        } else {
            self.fraction + CALM_RISE_PER_S * age.as_secs_f64()
        };
        self.fraction = self.fraction.min(1.0);
        self.short_for = self.short_for.saturating_sub(age);
        self.decided_at = now;
    }

    fn record_shortage(&mut self, now: Instant) {
        let was_short = self.short_at == Some(self.decided_at);
        let lasted = if was_short {
            self.age(now).min(EVIDENCE_LIFETIME)
        } else {
            Duration::ZERO
        };
        self.short_for = (self.short_for + lasted).min(MAX_SHORTAGE);
        if self.short_for >= MIN_SHORTAGE {
            self.fraction = decayed(self.fraction, lasted, CUT_HALF_LIFE).max(MIN_FRACTION);
        }
        self.short_at = Some(now);
        self.decided_at = now;
    }

    /// The fraction that is admitted of requests of `rank`, within their workspace's usual
    /// or beyond.
    fn admitted(&self, rank: u8, is_usual: bool) -> f64 {
        let total = self.demand.iter().map(|rank| rank.usual + rank.beyond);
        let mut room = total.sum::<f64>() * self.fraction;
        let more_urgent = &self.demand[..rank_index(rank)];
        for demand in more_urgent {
            room -= demand.usual + demand.beyond;
        }
        let own = &self.demand[rank_index(rank)];
        let admitted = if is_usual {
            part_of(room, own.usual)
        } else {
            part_of(room - own.usual, own.beyond)
        };
        admitted.max(self.fraction * MIN_RELATIVE_FRACTION)
    }

    /// The time over which those who are refused now should return.
    fn retry_span(&self, time_left: Duration) -> Duration {
        let span = RETRY_SPAN.mul_f64(1.0 / self.fraction - 1.0);
        let longest = time_left.mul_f64(MAX_RETRY_FRACTION).min(MAX_RETRY_SPAN);
        span.min(longest).max(MIN_RETRY_SPAN)
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// The fraction of `demand` for which there is room.
fn part_of(room: f64, demand: f64) -> f64 {
    if room >= demand {
        return 1.0;
    }
    (room / demand).max(0.0)
}
