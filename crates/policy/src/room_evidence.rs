//! What shows that servers have no room for further calls.
//!
//! A server shows it when it states a long queue, rejects a call or answers late, to this
//! front or to another one that told of it. Evidence is used for a short time only, so
//! that some calls always get through and renew it. One server that is slow or paused
//! says nothing about its service: a service is short of room when nearly all of its
//! servers are. A wait is no shortage for a request that can bear it.

use crate::replica::ReplicaOutcome;
use crate::stall::StallChange;
use crate::stated_load::StatedLoad;
use std::time::{Duration, Instant};

/// Evidence that is older counts for nothing.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_millis(500);
/// A server that rejects some calls has no room, though it answers others: an answer
/// outweighs a rejection only after this time.
const REJECTION_HOLD: Duration = Duration::from_millis(250);
/// A service is short of room when at most one of this many of its servers has room.
const SERVERS_PER_OPEN_ONE: u32 = 4;

/// A wait of at most this fraction of a request's objective is no shortage.
const GOOD_WAIT_FRACTION: f64 = 0.5;
/// Weights of the newest sample in the time of a call without waiting: what is shorter
/// counts more, since what is longer may have waited.
const SHORTER_SMOOTHING: f64 = 0.3;
const LONGER_SMOOTHING: f64 = 0.01;

/// Whether a server has room for a further call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerRoom {
    /// It has, or nothing is known.
    Open,
    /// It takes the call, which waits.
    Busy {
        /// The time for which it waits.
        wait: Duration,
        /// The time that it takes then.
        service_time: Duration,
    },
    /// It doesn't take the call.
    Full {
        /// The earliest time after which a later one would be answered.
        answer_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct RoomSign {
    room: ServerRoom,
    at: Instant,
}

impl RoomSign {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) <= EVIDENCE_LIFETIME
    }
}

/// The newest signs of one server's room.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomEvidence {
    /// The latest rejection.
    rejected: Option<RoomSign>,
    /// What the server states, which goes before what calls show.
    stated: Option<RoomSign>,
    shown: Option<RoomSign>,
    /// The time of a call without waiting.
    service_time: Option<Duration>,
}

impl RoomEvidence {
    /// Records the load that the server has stated.
    pub fn record_load(&mut self, load: &StatedLoad, now: Instant) {
        let service_time = self.service_time();
        let room = if load.is_full() {
            let wait = load.queue_wait(service_time);
            ServerRoom::Busy { wait, service_time }
        } else {
            ServerRoom::Open
        };
        self.end_rejection(room, now);
        self.stated = Some(RoomSign { room, at: now });
    }

    /// Records the end of a call after `took`.
    pub fn record_end(&mut self, outcome: ReplicaOutcome, took: Duration, now: Instant) {
        match outcome {
            ReplicaOutcome::Answered => {
                self.record_time(took);
                self.show(ServerRoom::Open, now);
            }
            ReplicaOutcome::AnsweredLate => {
                self.record_time(took);
                let service_time = self.service_time();
                let wait = took.saturating_sub(service_time);
                self.show(ServerRoom::Busy { wait, service_time }, now);
            }
            ReplicaOutcome::Rejected => {
                let answer_after = self.service_time();
                let room = ServerRoom::Full { answer_after };
                self.rejected = Some(RoomSign { room, at: now });
            }
            // These say nothing about room: the server is broken or gone, or wasn't asked.
            ReplicaOutcome::Abandoned
            | ReplicaOutcome::Failed
            | ReplicaOutcome::Reset
            | ReplicaOutcome::TimedOut
            | ReplicaOutcome::Unreachable => {}
        }
    }

    /// The time of a call without waiting; zero until one was answered.
    pub fn service_time(&self) -> Duration {
        self.service_time.unwrap_or_default()
    }

    fn record_time(&mut self, took: Duration) {
        let time = self.service_time.unwrap_or(took);
        let weight = if took < time {
            SHORTER_SMOOTHING
        } else {
            LONGER_SMOOTHING
        };
        let kept = time.mul_f64(1.0 - weight);
        self.service_time = Some(kept + took.mul_f64(weight));
    }

    /// Records a change of the server's stall that another front has seen. A stall that
    /// does not end with an answer was a rejection or lasts.
    pub fn record_change(&mut self, change: StallChange, now: Instant) {
        let room = match change {
            StallChange::Began => ServerRoom::Full {
                answer_after: Duration::ZERO,
            },
            StallChange::Ended | StallChange::OnTime => ServerRoom::Open,
            StallChange::AnswerLost => return,
        };
        self.show(room, now);
    }

    fn show(&mut self, room: ServerRoom, now: Instant) {
        self.end_rejection(room, now);
        self.shown = Some(RoomSign { room, at: now });
    }

    fn end_rejection(&mut self, room: ServerRoom, now: Instant) {
        let is_old = |sign: &RoomSign| now.saturating_duration_since(sign.at) >= REJECTION_HOLD;
        if room == ServerRoom::Open && self.rejected.as_ref().is_some_and(is_old) {
            self.rejected = None;
        }
    }

    /// Whether the server has room, by fresh evidence.
    pub fn room(&self, now: Instant) -> ServerRoom {
        let mut signs = [self.rejected, self.stated, self.shown]
            .into_iter()
            .flatten();
        let sign = signs.find(|sign| sign.is_fresh(now));
        sign.map_or(ServerRoom::Open, |sign| sign.room)
    }
}

/// The room that one service's servers together have for a request.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRoom {
    good_wait: Duration,
    open: u32,
    full: u32,
    answer_after: Option<Duration>,
}

impl ServiceRoom {
    /// The room for a request that should be answered within `objective`; no server yet.
    pub fn new(objective: Duration) -> Self {
        Self {
            good_wait: objective.mul_f64(GOOD_WAIT_FRACTION),
            open: 0,
            full: 0,
            answer_after: None,
        }
    }

    /// Adds a server.
    pub fn add(&mut self, room: ServerRoom) {
        let answer_after = match room {
            ServerRoom::Busy { wait, service_time } if wait > self.good_wait => wait + service_time,
            ServerRoom::Full { answer_after } => answer_after,
            ServerRoom::Open | ServerRoom::Busy { .. } => {
                self.open += 1;
                return;
            }
        };
        self.full += 1;
        let earliest = self.answer_after.unwrap_or(answer_after);
        self.answer_after = Some(earliest.min(answer_after));
    }

    /// The earliest time after which the request would be answered, if the service is
    /// short of room.
    pub fn shortage(&self) -> Option<Duration> {
        let servers = self.open + self.full;
        let is_short = self.open * SERVERS_PER_OPEN_ONE <= servers;
        self.answer_after.filter(|_| is_short)
    }
}
