//! What the control thread knows of places: the failure domains whose servers may serve
//! requests.

use camphorway_daemon::event;
use camphorway_model::{FailureDomain, RegionName, RouteTable};
use camphorway_policy::{EvacuationTable, ServingPlaces};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The number of unknown home regions that are remembered, so as to log each once.
const MAX_LOGGED: usize = 1_024;

/// Places, as the settings, the configuration and the store's evacuations name them.
#[derive(Debug)]
pub struct KnownPlaces {
    regions: Arc<HashMap<FailureDomain, String>>,
    evacuations: EvacuationTable,
    serving: Arc<ServingPlaces>,
    /// Until when requests wait for the first list of evacuations; `None` once it has
    /// come, or if there are none here.
    list_due: Option<Instant>,
    /// The unknown home regions that were logged.
    logged_homes: BTreeSet<RegionName>,
}

impl KnownPlaces {
    /// The places of `regions`, which maps each failure domain to its region. No request
    /// is served before the evacuations are listed, or that has taken longer than
    /// `evacuate_bound`; `None` if domains are not evacuated here.
    pub fn new(
        regions: &Arc<HashMap<FailureDomain, String>>,
        evacuate_bound: Option<Duration>,
        now: Instant,
    ) -> Self {
        Self {
            regions: Arc::clone(regions),
            evacuations: EvacuationTable::new(evacuate_bound.unwrap_or_default()),
            serving: Arc::new(ServingPlaces::new(regions, BTreeSet::new())),
            list_due: evacuate_bound.map(|bound| now + bound),
            logged_homes: BTreeSet::new(),
        }
    }

    /// Where servers may serve requests.
    pub fn serving(&self) -> &Arc<ServingPlaces> {
        &self.serving
    }

    /// The failure domains that are evacuated.
    pub(crate) fn evacuated(&self) -> BTreeSet<FailureDomain> {
        self.evacuations.domains()
    }

    /// Whether requests need not wait for the first list of evacuations.
    pub fn is_known(&self) -> bool {
        self.list_due.is_none()
    }

    /// Logs each home region of a new configuration in which no failure domain lies.
    pub fn check_homes(&mut self, routes: &RouteTable) {
        for region in self.serving.unknown_homes(routes) {
            let is_new =
                self.logged_homes.len() < MAX_LOGGED && self.logged_homes.insert(region.clone());
            if is_new {
                event!(
                    Warn,
                    "home-region-unknown",
                    region = region,
                    version = routes.version()
                );
            }
        }
    }

    /// Records that a failure domain is evacuated.
    pub fn begin_evacuation(&mut self, domain: FailureDomain) {
        self.change(|evacuations| evacuations.insert(domain));
    }

    /// Records that an evacuation was taken back.
    pub fn end_evacuation(&mut self, domain: &FailureDomain) {
        self.change(|evacuations| evacuations.remove(domain));
    }

    /// Records that the store came back from an older copy, before its first list.
    pub fn begin_history(&mut self, now: Instant) {
        self.evacuations.begin_history(now);
    }

    /// Applies a list of all evacuated failure domains.
    pub fn apply_list(&mut self, listed: BTreeSet<FailureDomain>) {
        self.list_due = None;
        self.change(|evacuations| evacuations.apply_list(listed));
    }

    /// The time at which the places next change by themselves.
    pub fn next_change(&self) -> Option<Instant> {
        self.evacuations
            .next_expiry()
            .into_iter()
            .chain(self.list_due)
            .min()
    }

    /// Applies what changes by itself at `now`. Returns whether anything did.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_overdue = self.list_due.take_if(|due| now >= *due).is_some();
        if is_overdue {
            event!(Warn, "evacuations-unknown");
        }
        self.change(|evacuations| evacuations.expire(now)) || is_overdue
    }

    /// Changes the evacuations, and logs those that begin or end. Returns whether any did.
    fn change<Change>(&mut self, change: Change) -> bool
    where
        Change: FnOnce(&mut EvacuationTable),
    {
        let before = self.evacuations.domains();
        change(&mut self.evacuations);
        let after = self.evacuations.domains();
        for domain in after.difference(&before) {
            let is_known = self.regions.contains_key(domain);
            event!(Warn, "domain-evacuated", domain = domain, known = is_known);
        }
        for domain in before.difference(&after) {
            event!(Warn, "domain-evacuation-ended", domain = domain);
        }
        if before == after {
            return false;
        }
        self.serving = Arc::new(ServingPlaces::new(&self.regions, after));
        true
    }
}
