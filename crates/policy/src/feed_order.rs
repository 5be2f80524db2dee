//! From whom a front learns what changes in the store.
//!
//! One front of each failure domain asks the store itself; the others ask that
//! one, then the next, then the store. Who is first follows from rendezvous
//! hashing (Thaler and Ravishankar, 1998) over the members that are known, so
//! nobody is elected. Fronts that disagree cost a few calls and nothing else.

use camphorway_model::{FailureDomain, FrontRecord, VmName};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// Fronts of the own failure domain that are asked before the store.
const NEAR_PEERS: usize = 2;
/// A peer that did not answer, or knew only old things, is passed over for this time.
const PASS_OVER: Duration = Duration::from_secs(3);

/// Where news may come from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedOrigin {
    /// The store itself.
    Store,
    /// Another front.
    Peer(VmName, SocketAddr),
}

/// Orders the origins of one feed.
#[derive(Clone, Debug)]
pub struct FeedOrder {
    own: VmName,
    domain: FailureDomain,
    failed: HashMap<VmName, Instant>,
}

impl FeedOrder {
    /// An order for this front.
    pub fn new(own: &VmName, domain: &FailureDomain) -> Self {
        Self {
            own: own.clone(),
            domain: domain.clone(),
            failed: HashMap::new(),
        }
    }

    /// A peer did not answer, or knew only old things.
    pub fn note_failed(&mut self, peer: &VmName, now: Instant) {
        self.failed.insert(peer.clone(), now);
    }

    /// Whether this front asks the store before any peer.
    pub fn is_first(&self, members: &[FrontRecord]) -> bool {
        first_of(&self.domain, members).is_none_or(|first| first.vm == self.own)
    }

    /// The origins to try, in order. The last is in another failure domain: it
    /// may reach the store where this front doesn't.
    pub fn origins(&mut self, members: &[FrontRecord], now: Instant) -> Vec<FeedOrigin> {
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < PASS_OVER);
        let origin = |member: &&FrontRecord| FeedOrigin::Peer(member.vm.clone(), member.address);
        let is_usable = |member: &&FrontRecord| !self.failed.contains_key(&member.vm);
        let near = self.ranked(members, true);
        let before_own = near.iter().take_while(|member| member.vm != self.own);
        let peers = before_own.take(NEAR_PEERS).copied();
        let mut origins: Vec<FeedOrigin> = peers
            .filter(is_usable)
            .map(|member| origin(&member))
            .collect();
        origins.push(FeedOrigin::Store);
        let far = self.ranked(members, false);
        origins.extend(
            far.iter()
                .copied()
                .find(is_usable)
                .map(|member| origin(&member)),
        );
        origins
    }

    /// Members of the own failure domain, or of the others, the first one first.
    fn ranked<'members>(
        &self,
        members: &'members [FrontRecord],
        is_near: bool,
    ) -> Vec<&'members FrontRecord> {
        let wanted = |member: &&FrontRecord| (member.domain == self.domain) == is_near;
        let mut ranked: Vec<&FrontRecord> = members.iter().filter(wanted).collect();
        ranked.sort_by_key(|member| std::cmp::Reverse(score(&self.domain, &member.vm)));
        ranked
    }
}

/// The front of a failure domain that asks the store before the others.
pub fn first_of<'members>(
    domain: &FailureDomain,
    members: &'members [FrontRecord],
) -> Option<&'members FrontRecord> {
    let near = members.iter().filter(|member| member.domain == *domain);
    near.max_by_key(|member| score(domain, &member.vm))
}

/// All fronts of a failure domain compute the same scores; those of another
/// prefer others, so that they don't all ask one.
fn score(domain: &FailureDomain, vm: &VmName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(domain.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    hasher.digest()
}
