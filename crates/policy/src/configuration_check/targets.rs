//! The services that answer a route, and whether their servers can.

use super::{ConfigurationCheck, FindingKind, MissingServers, services_of};
use crate::place::RequestHomes;
use camphorway_model::{
    DraftPlace, GatherRule, RequestRoute, RoutePart, RouteTarget, ServerRecord, ServiceName,
    WeightedService,
};
use std::collections::HashSet;

impl ConfigurationCheck<'_> {
    pub(super) fn check_target(&mut self, index: usize, route: &RequestRoute) {
        self.check_names(index, route);
        match &route.target {
            RouteTarget::Service(_) => {}
            RouteTarget::Split(parts) => self.check_split(index, parts),
            RouteTarget::Gather(rule) => self.check_gather(index, rule),
        }
        if self.servers.is_some() && !self.has_no_home(&route.homes) {
            self.check_servers(index, route);
            self.check_attempts(index, route);
        }
    }

    fn check_names(&mut self, index: usize, route: &RequestRoute) {
        let mut seen = HashSet::new();
        for (number, service) in services_of(route).into_iter().enumerate() {
            let place = target_place(index, route, number);
            if !seen.insert(service) {
                self.report(place, FindingKind::TargetRepeated(service.clone()));
            }
            if !self.services.contains_key(service) {
                self.report(place, FindingKind::ServiceUndeclared(service.clone()));
            }
        }
    }

    fn check_split(&mut self, index: usize, parts: &[WeightedService]) {
        if !parts.iter().any(has_weight) {
            let place = DraftPlace::Route(index, RoutePart::Split);
            self.report(place, FindingKind::NoTarget);
            return;
        }
        for (number, part) in parts.iter().enumerate() {
            if !has_weight(part) {
                let place = DraftPlace::Route(index, RoutePart::SplitWeight(number));
                self.report(place, FindingKind::NoWeight(part.service.clone()));
            }
        }
    }

    fn check_gather(&mut self, index: usize, rule: &GatherRule) {
        let place = |part| DraftPlace::Route(index, part);
        if rule.shards.is_empty() {
            self.report(place(RoutePart::Gather), FindingKind::NoTarget);
        }
        if !(0.0..=1.0).contains(&rule.min_share) {
            self.report(place(RoutePart::MinShare), FindingKind::CoverageNoFraction);
        }
        if rule.top_records == 0 {
            self.report(place(RoutePart::TopRecords), FindingKind::NoRecords);
        }
    }

    /// Reports the services without servers, and what that means for answers.
    fn check_servers(&mut self, index: usize, route: &RequestRoute) {
        let services = services_of(route);
        let missing: Vec<(usize, MissingServers)> = services
            .iter()
            .enumerate()
            .filter_map(|(number, service)| Some((number, self.missing(route, service)?)))
            .collect();
        for (number, missing) in &missing {
            let kind = FindingKind::NoServer {
                service: services[*number].clone(),
                missing: *missing,
                is_fatal: is_needed(route, *number),
            };
            self.report(target_place(index, route, *number), kind);
        }
        if let RouteTarget::Gather(rule) = &route.target {
            let (needed, reached) = (rule.min_parts(), rule.shards.len() - missing.len());
            if reached < needed {
                let place = DraftPlace::Route(index, RoutePart::MinShare);
                self.report(place, FindingKind::CoverageUnreached { needed, reached });
            }
        }
    }

    fn check_attempts(&mut self, index: usize, route: &RequestRoute) {
        let counts = services_of(route).into_iter().filter_map(|service| {
            let servers = self.servers_at_home(route, service)?.len();
            (servers > 0).then_some((servers, service))
        });
        let fewest = counts.min_by_key(|(servers, _)| *servers);
        if let Some((servers, service)) = fewest
            && route.attempts > servers
        {
            let kind = FindingKind::AttemptsAboveServers {
                attempts: route.attempts,
                service: service.clone(),
                servers,
            };
            self.report(DraftPlace::Route(index, RoutePart::Attempts), kind);
        }
    }

    /// Why `service` has no server for requests of `route`; `None` if it has one.
    fn missing(&self, route: &RequestRoute, service: &ServiceName) -> Option<MissingServers> {
        let servers = self.servers_of(service)?;
        if servers.is_empty() {
            return Some(MissingServers::None);
        }
        if !self.servers_at_home(route, service)?.is_empty() {
            return None;
        }
        let domains = servers.iter().map(|server| &server.domain);
        let gap = self.places?.gap(homes_of(route), domains);
        Some(MissingServers::AtHome(gap))
    }

    /// The servers of `service` that may serve `route`. Where regions are unknown, all may.
    fn servers_at_home(
        &self,
        route: &RequestRoute,
        service: &ServiceName,
    ) -> Option<Vec<&ServerRecord>> {
        let may_serve = |server: &&&ServerRecord| {
            let places = self.places;
            places.is_none_or(|places| places.allows(homes_of(route), &server.domain))
        };
        let servers = self.servers_of(service)?.iter();
        Some(servers.filter(may_serve).copied().collect())
    }
}

fn homes_of(route: &RequestRoute) -> RequestHomes<'_> {
    RequestHomes {
        route: Some(&route.homes),
        workspace: None,
    }
}

/// Whether requests are refused without the service with this number.
fn is_needed(route: &RequestRoute, number: usize) -> bool {
    match &route.target {
        RouteTarget::Service(_) => true,
        RouteTarget::Split(parts) => has_weight(&parts[number]),
        RouteTarget::Gather(_) => false,
    }
}

fn has_weight(part: &WeightedService) -> bool {
    part.weight > 0.0
}

/// The place of the service with this number.
fn target_place(index: usize, route: &RequestRoute, number: usize) -> DraftPlace {
    let part = match &route.target {
        RouteTarget::Service(_) => RoutePart::Service,
        RouteTarget::Split(_) => RoutePart::SplitService(number),
        RouteTarget::Gather(_) => RoutePart::Shard(number),
    };
    DraftPlace::Route(index, part)
}
