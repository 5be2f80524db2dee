//! Routing of notices among fronts.
//!
//! The first front of each failure domain (see [`crate::feed_order`]) forwards
//! short-lived notices in its region: the domain's other fronts are already
//! connected to it, so no front needs connections to all others. Delivery is best
//! effort.
//!
//! Rare notices for all fronts are flooded: each front sends a notice that is new to
//! it to its neighbours. The first two fronts of each domain are neighbours of one
//! another and of all fronts of their domain, so a notice still reaches all others
//! when a front of each domain is silent.

use crate::feed_order::{first_in_domain, ranked_in_domain};
use camphorway_model::{FailureDomain, FrontRecord};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// How far a notice has been forwarded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NoticeReach {
    /// Sent by the front that observed the event.
    Origin,
    /// Sent by the first front of another failure domain.
    AcrossDomains,
    /// Sent within one failure domain by its first front.
    WithinDomain,
}

/// The number of fronts of a failure domain that flood notices to all others.
const FLOODING_FRONTS: usize = 2;

/// Decides to which fronts this front forwards notices.
#[derive(Clone, Debug)]
pub struct NoticeRoute {
    own: FrontRecord,
    regions: HashMap<FailureDomain, String>,
}

impl NoticeRoute {
    /// The routes of the front `own`; `regions` maps each failure domain to its
    /// region.
    pub fn new(own: &FrontRecord, regions: &HashMap<FailureDomain, String>) -> Self {
        Self {
            own: own.clone(),
            regions: regions.clone(),
        }
    }

    /// The next recipients of a notice that arrived with `reach` from `from`, or
    /// that this front observed itself (no `from`).
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
            let is_observer = from.is_none();
            return is_observer
                .then_some((first.address, NoticeReach::Origin))
                .into_iter()
                .collect();
        }
        let mut targets = Vec::new();
        if reach != NoticeReach::WithinDomain {
            let own_domain = members
                .iter()
                .filter(|member| member.domain == self.own.domain);
            targets.extend(own_domain.map(|member| (member.address, NoticeReach::WithinDomain)));
        }
        if reach == NoticeReach::Origin {
            let across = self.firsts_of_other_domains(members).into_iter();
            targets.extend(across.map(|address| (address, NoticeReach::AcrossDomains)));
        }
        targets.retain(|(address, _)| *address != self.own.address && Some(*address) != from);
        targets
    }

    /// The neighbours of this front, to which it sends each flooded notice that is
    /// new to it.
    pub fn neighbours(&self, members: &[FrontRecord]) -> Vec<SocketAddr> {
        let domains: BTreeSet<&FailureDomain> =
            members.iter().map(|member| &member.domain).collect();
        let flooding = |domain: &FailureDomain| {
            let ranked = ranked_in_domain(domain, members).into_iter();
            ranked.take(FLOODING_FRONTS)
        };
        let is_own = |member: &&FrontRecord| member.vm == self.own.vm;
        let own_domain = &self.own.domain;
        if !flooding(own_domain).any(|member| is_own(&member)) {
            return flooding(own_domain).map(|member| member.address).collect();
        }
        let domain_members = members
            .iter()
            .filter(|member| member.domain == *own_domain && !is_own(member));
        let others = domains.into_iter().filter(|domain| *domain != own_domain);
        domain_members
            .chain(others.flat_map(flooding))
            .map(|member| member.address)
            .collect()
    }

    /// The first fronts of the region's other failure domains.
    fn firsts_of_other_domains(&self, members: &[FrontRecord]) -> Vec<SocketAddr> {
        let own_region = self.regions.get(&self.own.domain);
        let domains: BTreeSet<&FailureDomain> =
            members.iter().map(|member| &member.domain).collect();
        let is_in_region = |domain: &&FailureDomain| {
            **domain != self.own.domain
                && own_region.is_some()
                && self.regions.get(*domain) == own_region
        };
        let firsts = domains.into_iter().filter(is_in_region);
        let firsts = firsts.filter_map(|domain| first_in_domain(domain, members));
        firsts.map(|first| first.address).collect()
    }
}
