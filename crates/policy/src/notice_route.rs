//! The way of short-lived news among the fronts of a region.
//!
//! Each failure domain's first front (see [`crate::feed_order`]) passes notices
//! on: the others have a connection to it already, so none needs connections to
//! all. News may get lost; whoever needs certainty asks the store.

use crate::feed_order::first_in_domain;
use camphorway_model::{FailureDomain, FrontRecord};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// How far a notice has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NoticeReach {
    /// From the front that saw it.
    Origin,
    /// From another failure domain's first front.
    AcrossDomains,
    /// To the fronts of one failure domain.
    WithinDomain,
}

/// Decides to whom this front passes notices on.
#[derive(Clone, Debug)]
pub struct NoticeRoute {
    own: FrontRecord,
    regions: HashMap<FailureDomain, String>,
}

impl NoticeRoute {
    /// Routes of the front `own`; `regions` tells which domains are near.
    pub fn new(own: &FrontRecord, regions: &HashMap<FailureDomain, String>) -> Self {
        Self {
            own: own.clone(),
            regions: regions.clone(),
        }
    }

    /// To whom a notice goes that came with `reach` from `from`, or that this
    /// front saw itself (no `from`).
    pub fn next_hops(
        &self,
        reach: NoticeReach,
        from: Option<SocketAddr>,
        members: &[FrontRecord],
    ) -> Vec<(SocketAddr, NoticeReach)> {
        let Some(first) = first_in_domain(&self.own.domain, members) else {
            return Vec::new();
        };
        if first.vm != self.own.vm {
            let is_own = from.is_none();
            return is_own
                .then_some((first.address, NoticeReach::Origin))
                .into_iter()
                .collect();
        }
        let mut targets = Vec::new();
        if reach != NoticeReach::WithinDomain {
            let near = members
                .iter()
                .filter(|member| member.domain == self.own.domain);
            targets.extend(near.map(|member| (member.address, NoticeReach::WithinDomain)));
        }
        if reach == NoticeReach::Origin {
            let across = self.other_firsts(members).into_iter();
            targets.extend(across.map(|address| (address, NoticeReach::AcrossDomains)));
        }
        targets.retain(|(address, _)| *address != self.own.address && Some(*address) != from);
        targets
    }

    /// The first fronts of the region's other failure domains.
    fn other_firsts(&self, members: &[FrontRecord]) -> Vec<SocketAddr> {
        let own_region = self.regions.get(&self.own.domain);
        let domains: BTreeSet<&FailureDomain> =
            members.iter().map(|member| &member.domain).collect();
        let is_near = |domain: &&FailureDomain| {
            **domain != self.own.domain
                && own_region.is_some()
                && self.regions.get(*domain) == own_region
        };
        let firsts = domains.into_iter().filter(is_near);
        let firsts = firsts.filter_map(|domain| first_in_domain(domain, members));
        firsts.map(|first| first.address).collect()
    }
}
