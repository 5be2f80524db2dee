//! Which failure domains may serve a request.
//!
//! Answers the load of requests that must stay in certain regions, and of failure
//! domains that are emptied: when other servers are busy or gone, a retry, a hedge or a
//! waiting call must not spill into a forbidden place. The choice of each server asks
//! here, so that no call has a way around it.

use camphorway_model::{FailureDomain, HomeRegions, RegionName, RouteTable};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The regions to which a request is bound. Where both sets name regions, both bind.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestHomes<'request> {
    /// Those of its route.
    pub route: Option<&'request HomeRegions>,
    /// Those of its workspace.
    pub workspace: Option<&'request HomeRegions>,
}

/// The failure domains that may serve requests at one time.
#[derive(Clone, Debug, Default)]
pub struct ServingPlaces {
    /// The region of each failure domain.
    regions: Arc<HashMap<FailureDomain, String>>,
    /// Those whose servers get no calls.
    evacuated: BTreeSet<FailureDomain>,
}

/// Why no server of a service may serve a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceGap {
    /// No failure domain lies in all its home regions.
    NoHome,
    /// The service has servers in other regions only.
    NoServerAtHome,
    /// Its servers are in evacuated failure domains.
    Evacuated,
}

impl RequestHomes<'_> {
    /// Whether the request may be served everywhere.
    pub fn is_unbound(&self) -> bool {
        self.sets().next().is_none()
    }

    /// Whether servers of `region` may serve the request.
    pub fn contains(&self, region: &str) -> bool {
        self.sets()
            .all(|homes| homes.0.iter().any(|home| home.as_str() == region))
    }

    /// The sets that name regions.
    fn sets(&self) -> impl Iterator<Item = &HomeRegions> {
        let sets = self.route.into_iter().chain(self.workspace);
        sets.filter(|homes| !homes.0.is_empty())
    }
}

impl ServingPlaces {
    /// All failure domains but those in `evacuated`; `regions` maps each to its region.
    pub fn new(
        regions: &Arc<HashMap<FailureDomain, String>>,
        evacuated: BTreeSet<FailureDomain>,
    ) -> Self {
        Self {
            regions: Arc::clone(regions),
            evacuated,
        }
    }

    /// Whether servers of `domain` may serve a request with `homes`. Where its region is
    /// unknown, they serve only requests that are not bound to regions.
    pub fn allows(&self, homes: RequestHomes<'_>, domain: &FailureDomain) -> bool {
        self.is_home(homes, domain) && !self.is_evacuated(domain)
    }

    /// Whether servers of `domain` get no calls.
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.evacuated.contains(domain)
    }

    /// Why no server may serve a request with `homes`, although the service has some, in
    /// `domains`.
    pub fn gap<'domains, Domains>(&self, homes: RequestHomes<'_>, domains: Domains) -> PlaceGap
    where
        Domains: IntoIterator<Item = &'domains FailureDomain>,
    {
        let is_home = |domain: &FailureDomain| self.is_home(homes, domain);
        if domains.into_iter().any(is_home) {
            PlaceGap::Evacuated
        } else if self.regions.keys().any(is_home) {
            PlaceGap::NoServerAtHome
        } else {
            PlaceGap::NoHome
        }
    }

    fn is_home(&self, homes: RequestHomes<'_>, domain: &FailureDomain) -> bool {
        if homes.is_unbound() {
            return true;
        }
        let region = self.regions.get(domain);
        region.is_some_and(|region| homes.contains(region))
    }

    /// The home regions of `routes` and their workspaces in which no failure domain lies.
    pub fn unknown_homes<'routes>(
        &self,
        routes: &'routes RouteTable,
    ) -> BTreeSet<&'routes RegionName> {
        let of_routes = routes.routes().map(|route| &route.homes);
        let workspaces = routes.workspaces().workspaces().iter();
        let homes = of_routes.chain(workspaces.map(|workspace| &workspace.homes));
        let known: BTreeSet<&str> = self.regions.values().map(String::as_str).collect();
        let regions = homes.flat_map(|homes| &homes.0);
        regions
            .filter(|region| !known.contains(region.as_str()))
            .collect()
    }
}

impl PlaceGap {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoHome => "no-home",
            Self::NoServerAtHome => "no-server-at-home",
            Self::Evacuated => "evacuated",
        }
    }

    /// Whether it lasts until the configuration changes.
    pub fn is_lasting(self) -> bool {
        match self {
            Self::NoHome => true,
            Self::NoServerAtHome | Self::Evacuated => false,
        }
    }
}
