//! From whom a front learns what changes in the store.
//!
//! One front of each region asks the store itself. In each other failure domain
//! of the region one asks that one, and the rest of a domain ask their own first,
//! then the next, then the store. Who is first follows from rendezvous
//! hashing (Thaler and Ravishankar, 1998) over the members that are known, so
//! nobody is elected. Fronts that disagree cost a few calls and nothing else.

use camphorway_model::{FailureDomain, FrontRecord, VmName};
use std::collections::{BTreeSet, HashMap};
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
    own: FrontRecord,
    regions: HashMap<FailureDomain, String>,
    failed: HashMap<VmName, Instant>,
}

impl FeedOrder {
    /// An order for the front `own`; `regions` tells which domains are near.
    pub fn new(own: &FrontRecord, regions: &HashMap<FailureDomain, String>) -> Self {
        Self {
            own: own.clone(),
            regions: regions.clone(),
            failed: HashMap::new(),
        }
    }

    /// A peer did not answer, or knew only old things.
    pub fn record_failure(&mut self, peer: &VmName, now: Instant) {
        self.failed.insert(peer.clone(), now);
    }

    /// Whether this front is the first of its failure domain.
    pub fn is_first(&self, members: &[FrontRecord]) -> bool {
        first_in_domain(&self.own.domain, members).is_none_or(|first| first.vm == self.own.vm)
    }

    /// The origins to try, in order. The last is in another failure domain: it
    /// may reach the store where this front doesn't.
    pub fn origins(&mut self, members: &[FrontRecord], now: Instant) -> Vec<FeedOrigin> {
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < PASS_OVER);
        let origin = |member: &&FrontRecord| FeedOrigin::Peer(member.vm.clone(), member.address);
        let is_usable = |member: &&FrontRecord| !self.failed.contains_key(&member.vm);
        let near = self.ranked(members, true);
        let before_own = near.iter().take_while(|member| member.vm != self.own.vm);
        let peers = before_own.take(NEAR_PEERS).copied();
        let peers = peers.chain(self.region_first(members));
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

    /// The front of the own region that asks the store, for the firsts of the
    /// region's other failure domains.
    fn region_first<'members>(
        &self,
        members: &'members [FrontRecord],
    ) -> Option<&'members FrontRecord> {
        let region = self.regions.get(&self.own.domain)?;
        let is_near = |member: &&FrontRecord| self.regions.get(&member.domain) == Some(region);
        let domains: BTreeSet<_> = members.iter().filter(is_near).map(|m| &m.domain).collect();
        let domain = domains.first()?;
        let first = first_in_domain(domain, members)?;
        let asks_it = self.is_first(members) && first.vm != self.own.vm;
        asks_it.then_some(first)
    }

    /// Members of the own failure domain, or of the others, the first one first.
    fn ranked<'members>(
        &self,
        members: &'members [FrontRecord],
        is_near: bool,
    ) -> Vec<&'members FrontRecord> {
        let wanted = |member: &&FrontRecord| (member.domain == self.own.domain) == is_near;
        let mut ranked: Vec<&FrontRecord> = members.iter().filter(wanted).collect();
        ranked.sort_by_key(|member| std::cmp::Reverse(score(&self.own.domain, &member.vm)));
        ranked
    }
}

/// The front of a failure domain that asks the store before the others.
pub fn first_in_domain<'members>(
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
