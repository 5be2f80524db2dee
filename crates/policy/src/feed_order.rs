//! The order in which a front queries other fronts and the store for changes.
//!
//! One front of each region queries the store itself. In each other failure
//! domain of the region, the first front queries that one; all other fronts of a
//! domain query its first front, then the next, then the store. The first front is
//! determined by rendezvous hashing (Thaler and Ravishankar, 1998) over the
//! registered members, so no election is needed. Fronts with different member
//! lists cost a few calls and have no other effect.

use camphorway_model::{FailureDomain, FrontRecord, VmName};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// The maximum number of fronts of the own failure domain that are queried before
/// the store.
const MAX_DOMAIN_PEERS: usize = 2;
/// How long an origin is avoided after it did not answer, or had only old state.
const FAILED_ORIGIN_BACKOFF: Duration = Duration::from_secs(3);

/// An origin of changes of the store.
#[derive(Clone, Debug, derive_more::Display, Eq, Hash, PartialEq)]
pub enum FeedOrigin {
    /// The store itself.
    #[display("store")]
    Store,
    /// Another front.
    #[display("{_0}")]
    Peer(VmName, SocketAddr),
}

/// Orders the origins of one feed.
#[derive(Clone, Debug)]
pub struct FeedOrder {
    own: FrontRecord,
    regions: HashMap<FailureDomain, String>,
    failed_at: HashMap<FeedOrigin, Instant>,
}

impl FeedOrder {
    /// An order for the front `own`; `regions` maps each failure domain to its
    /// region.
    pub fn new(own: &FrontRecord, regions: &HashMap<FailureDomain, String>) -> Self {
        Self {
            own: own.clone(),
            regions: regions.clone(),
            failed_at: HashMap::new(),
        }
    }

    /// Records that an origin did not answer, or had only old state.
    pub fn record_failure(&mut self, origin: &FeedOrigin, now: Instant) {
        self.failed_at.insert(origin.clone(), now);
    }

    /// Whether this front is the first of its failure domain.
    pub fn is_first(&self, members: &[FrontRecord]) -> bool {
        first_in_domain(&self.own.domain, members).is_none_or(|first| first.vm == self.own.vm)
    }

    /// The number of fronts of this failure domain that come before this one.
    pub fn place(&self, members: &[FrontRecord]) -> usize {
        let ranked = ranked_in_domain(&self.own.domain, members);
        let before = ranked.iter().take_while(|member| member.vm != self.own.vm);
        before.count()
    }

    /// The addresses of the other fronts, those of the own failure domain first.
    pub fn other_fronts(&self, members: &[FrontRecord]) -> Vec<SocketAddr> {
        let ranked = [true, false].map(|in_own_domain| self.ranked(members, in_own_domain));
        let others = ranked
            .into_iter()
            .flatten()
            .filter(|member| member.vm != self.own.vm);
        others.map(|member| member.address).collect()
    }

    /// The origins to try, in order. One of them is a front of another failure
    /// domain, which may reach the store when this one doesn't. The store is always
    /// among them, at the end if it has failed.
    pub fn origins(&mut self, members: &[FrontRecord], now: Instant) -> Vec<FeedOrigin> {
        self.failed_at
            .retain(|_, at| now.saturating_duration_since(*at) < FAILED_ORIGIN_BACKOFF);
        let origin = |member: &FrontRecord| FeedOrigin::Peer(member.vm.clone(), member.address);
        let is_usable = |origin: &FeedOrigin| !self.failed_at.contains_key(origin);
        let own_domain = self.ranked(members, true);
        let before_own = own_domain
            .iter()
            .take_while(|member| member.vm != self.own.vm);
        let peers = before_own.take(MAX_DOMAIN_PEERS).copied();
        let peers = peers.chain(self.region_first(members)).map(origin);
        let other_domains = self.ranked(members, false);
        let other_domain = other_domains.into_iter().map(origin).find(is_usable);
        let mut origins: Vec<FeedOrigin> = peers.filter(is_usable).collect();
        origins.push(FeedOrigin::Store);
        origins.extend(other_domain);
        // Stable, so that only a store that has failed moves.
        origins.sort_by_key(|origin| !is_usable(origin));
        origins
    }

    /// The front that queries the store for the region; none unless this front is
    /// the first of another failure domain of the region.
    fn region_first<'members>(
        &self,
        members: &'members [FrontRecord],
    ) -> Option<&'members FrontRecord> {
        let region = self.regions.get(&self.own.domain)?;
        let is_in_region = |member: &&FrontRecord| self.regions.get(&member.domain) == Some(region);
        let domains: BTreeSet<_> = members
            .iter()
            .filter(is_in_region)
            .map(|m| &m.domain)
            .collect();
        let domain = domains.first()?;
        let first = first_in_domain(domain, members)?;
        let queries_it = self.is_first(members) && first.vm != self.own.vm;
        queries_it.then_some(first)
    }

    /// The members of the own failure domain, or of all others, from the highest
    /// score to the lowest.
    fn ranked<'members>(
        &self,
        members: &'members [FrontRecord],
        in_own_domain: bool,
    ) -> Vec<&'members FrontRecord> {
        let wanted = |member: &&FrontRecord| (member.domain == self.own.domain) == in_own_domain;
        ranked_for(&self.own.domain, members.iter().filter(wanted))
    }
}

/// The first front of a failure domain, which has the highest score.
pub fn first_in_domain<'members>(
    domain: &FailureDomain,
    members: &'members [FrontRecord],
) -> Option<&'members FrontRecord> {
    let in_domain = members.iter().filter(|member| member.domain == *domain);
    in_domain.max_by_key(|member| score(domain, &member.vm))
}

/// The fronts of a failure domain, from the highest score to the lowest.
pub fn ranked_in_domain<'members>(
    domain: &FailureDomain,
    members: &'members [FrontRecord],
) -> Vec<&'members FrontRecord> {
    let in_domain = members.iter().filter(|member| member.domain == *domain);
    ranked_for(domain, in_domain)
}

/// Sorts fronts by their scores for a failure domain, the highest first.
fn ranked_for<'members, Members>(
    domain: &FailureDomain,
    members: Members,
) -> Vec<&'members FrontRecord>
where
    Members: Iterator<Item = &'members FrontRecord>,
{
    let mut ranked: Vec<&FrontRecord> = members.collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(score(domain, &member.vm)));
    ranked
}

/// A hash of a failure domain and a front, by which the domain orders fronts. All
/// fronts of the domain compute the same scores; for another domain they differ, so
/// that not all domains query the same front.
fn score(domain: &FailureDomain, vm: &VmName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(domain.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    hasher.digest()
}
