//! What is wrong with a configuration of fronts before it is in force.
//!
//! Answers changes that look valid and take service away: a route that no request can
//! take, a key that another workspace holds, figures that contradict each other. What
//! fronts drop or refuse is asked of the types that they use themselves: the table finds
//! routes and keys, a merged answer's rule its minimum, and [`ServingPlaces`] the servers
//! at home.

mod finding;
mod routes;
mod services;
mod targets;
mod workspaces;

pub use finding::{CheckFinding, FindingKind, FindingSeverity, MissingServers};
pub use routes::is_path_prefix;

use crate::place::ServingPlaces;
use camphorway_model::{
    ConfigurationDraft, DraftPlace, LimitPart, RegisteredState, RequestRoute, RouteTable,
    RouteTarget, RoutedService, ServerRecord, ServiceName,
};
use std::collections::HashMap;

/// What is known of the deployment in which a configuration is to be in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownDeployment<'known> {
    /// The registered servers; `None` if unknown.
    pub servers: Option<&'known [ServerRecord]>,
    /// The region of each failure domain; `None` if unknown.
    pub places: Option<&'known ServingPlaces>,
}

/// Returns what is wrong with `draft`, in the order of its entries.
pub fn check_configuration(
    draft: &ConfigurationDraft,
    known: &KnownDeployment<'_>,
) -> Vec<CheckFinding> {
    let mut check = ConfigurationCheck::new(draft, known);
    let table = numbered_table(draft);
    check.check_ignored();
    check.check_limits();
    check.check_services();
    check.check_routes(&table);
    check.check_workspaces(&table);
    check.findings.sort_by_key(|finding| finding.place);
    check.findings
}

/// A check in progress.
struct ConfigurationCheck<'check> {
    draft: &'check ConfigurationDraft,
    places: Option<&'check ServingPlaces>,
    /// The services, as fronts know them: the last one of a name is in force.
    services: HashMap<&'check ServiceName, &'check RoutedService>,
    /// The servers that take new requests, by service; `None` if unknown.
    servers: Option<HashMap<&'check ServiceName, Vec<&'check ServerRecord>>>,
    findings: Vec<CheckFinding>,
}

impl<'check> ConfigurationCheck<'check> {
    fn new(draft: &'check ConfigurationDraft, known: &KnownDeployment<'check>) -> Self {
        Self {
            draft,
            places: known.places,
            services: by_name(&draft.services).collect(),
            servers: known.servers.map(servers_by_service),
            findings: Vec::new(),
        }
    }

    fn report(&mut self, place: DraftPlace, kind: FindingKind) {
        self.findings.push(CheckFinding { place, kind });
    }

    fn check_ignored(&mut self) {
        for (place, figure) in &self.draft.ignored {
            self.report(*place, FindingKind::Ignored(*figure));
        }
    }

    fn check_limits(&mut self) {
        let limits = &self.draft.limits;
        let is_zero = [
            (LimitPart::HeaderBytes, limits.max_header_bytes == 0),
            (LimitPart::BodyBytes, limits.max_body_bytes == 0),
            (LimitPart::HeaderTimeout, limits.header_timeout.is_zero()),
            (LimitPart::IdleTimeout, limits.idle_timeout.is_zero()),
        ];
        for (part, _) in is_zero.into_iter().filter(|(_, is_zero)| *is_zero) {
            self.report(DraftPlace::Limit(part), FindingKind::LimitOfNothing(part));
        }
    }

    /// The servers of `service`; `None` if servers are unknown.
    fn servers_of(&self, service: &ServiceName) -> Option<&[&'check ServerRecord]> {
        let servers = self.servers.as_ref()?;
        Some(servers.get(service).map_or(&[], Vec::as_slice))
    }
}

fn by_name(
    services: &[(ServiceName, RoutedService)],
) -> impl Iterator<Item = (&ServiceName, &RoutedService)> {
    services.iter().map(|(name, service)| (name, service))
}

fn servers_by_service(servers: &[ServerRecord]) -> HashMap<&ServiceName, Vec<&ServerRecord>> {
    let mut by_service: HashMap<&ServiceName, Vec<&ServerRecord>> = HashMap::new();
    for server in servers {
        match server.state {
            RegisteredState::Ready => by_service.entry(&server.service).or_default().push(server),
            RegisteredState::Draining => {}
        }
    }
    by_service
}

/// The configuration as fronts use it, but with the index of each route as its name.
fn numbered_table(draft: &ConfigurationDraft) -> RouteTable {
    let mut draft = draft.clone();
    for (index, route) in draft.routes.iter_mut().enumerate() {
        route.name = index.to_string();
    }
    draft.into_table()
}

/// The services that may answer requests of `route`, each once for each time it is named.
fn services_of(route: &RequestRoute) -> Vec<&ServiceName> {
    match &route.target {
        RouteTarget::Service(service) => vec![service],
        RouteTarget::Split(parts) => parts.iter().map(|part| &part.service).collect(),
        RouteTarget::Gather(rule) => rule.shards.iter().collect(),
    }
}
