//! How a front that has come to own a quota learns that nobody else grants it.
//!
//! It answers fronts that start: alone, several, or all at once after a loss of power. The
//! new owner asks who may have owned the quota before it, in the order in which they come
//! to own it. One that has known the others for a while knows. One that has just started
//! doesn't, so the next is asked; if all have just started, nobody has granted anything
//! lately. One that is not reached may grant still.

use crate::quota_place::QuotaPlace;
use camphorway_model::FrontRecord;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What a front says of a quota that another one has come to own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnershipReply {
    /// It owns the quota, as far as it knows.
    Owned,
    /// It doesn't, and has known the others for a while.
    NotOwned,
    /// It doesn't, and has just started.
    Unaware,
}

/// Whether another front may own a quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuccessionState {
    /// One may: this one is to be asked next, or again.
    Open(SocketAddr),
    /// None does.
    Settled,
}

/// Those who may own a quota that this front has come to own.
#[derive(Clone, Debug)]
pub struct QuotaSuccession {
    to_ask: VecDeque<SocketAddr>,
}

impl QuotaSuccession {
    /// The succession at a front that starts at `place`: while it was not registered, the
    /// next one in order owned the quota.
    pub fn new(place: &QuotaPlace) -> Self {
        Self {
            to_ask: addresses(&place.others).collect(),
        }
    }

    /// Follows this front from one place to another.
    pub fn follow(&mut self, before: &QuotaPlace, after: &QuotaPlace) {
        if before.role == after.role {
            let known: Vec<SocketAddr> = addresses(&before.others).collect();
            for address in addresses(&after.others).filter(|address| !known.contains(address)) {
                if !self.to_ask.contains(&address) {
                    self.to_ask.push_back(address);
                }
            }
            return;
        }
        let owner = before.owner.as_slice();
        let others = after.others.iter().filter(|front| !owner.contains(front));
        self.to_ask = addresses(owner.iter().chain(others)).collect();
    }

    /// The front to ask next, if any.
    pub fn next_to_ask(&self) -> Option<SocketAddr> {
        self.to_ask.front().copied()
    }

    /// Records the reply of the front that was to be asked.
    pub fn record(&mut self, reply: OwnershipReply) -> SuccessionState {
        match reply {
            OwnershipReply::Owned => {}
            OwnershipReply::NotOwned => self.to_ask.clear(),
            OwnershipReply::Unaware => {
                self.to_ask.pop_front();
            }
        }
        let next = self.next_to_ask();
        next.map_or(SuccessionState::Settled, SuccessionState::Open)
    }
}

fn addresses<'records, Records>(records: Records) -> impl Iterator<Item = SocketAddr>
where
    Records: IntoIterator<Item = &'records FrontRecord>,
{
    records.into_iter().map(|front| front.address)
}
