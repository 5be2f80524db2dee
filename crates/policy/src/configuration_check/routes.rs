//! The routes of a configuration: which requests reach them, and in what time.

use super::{ConfigurationCheck, FindingKind};
use crate::place::{PlaceGap, RequestHomes};
use camphorway_model::{DraftPlace, HomeRegions, RequestRoute, RoutePart, RouteTable, Workspace};
use std::collections::HashSet;

/// Characters besides letters and digits that a path holds.
const PATH_MARKS: &str = "!\"$%&'()*+,-./:;=@[\\]^_{|}~";

impl ConfigurationCheck<'_> {
    pub(super) fn check_routes(&mut self, table: &RouteTable) {
        let draft = self.draft;
        let mut names = HashSet::new();
        for (index, route) in draft.routes.iter().enumerate() {
            self.check_reach(index, route, table);
            if !names.insert(&route.name) {
                let kind = FindingKind::RouteNameRepeated(route.name.clone());
                self.report(DraftPlace::Route(index, RoutePart::Name), kind);
            }
            self.check_times(index, route);
            self.check_homes(index, route);
            self.check_target(index, route);
        }
    }

    /// Whether requests can take the route. The longest prefix of a path counts, so that they
    /// can if a path that is the prefix itself takes it.
    fn check_reach(&mut self, index: usize, route: &RequestRoute, table: &RouteTable) {
        let place = |part| DraftPlace::Route(index, part);
        if !is_path_prefix(&route.path_prefix) {
            self.report(place(RoutePart::Prefix), FindingKind::PrefixUnreachable);
        } else if !route.path_prefix.ends_with('/') {
            self.report(place(RoutePart::Prefix), FindingKind::PrefixWithinSegment);
        }
        let found = table.find(&route.host, &route.path_prefix);
        // The host of a request is looked up without its port.
        let found = found.filter(|found| found.host == route.host && is_header_text(&route.host));
        match found.and_then(|found| found.name.parse::<usize>().ok()) {
            None => self.report(place(RoutePart::Host), FindingKind::HostUnreachable),
            Some(found) if found == index => {}
            Some(found) => {
                let name = self.draft.routes[found].name.clone();
                self.report(place(RoutePart::Prefix), FindingKind::Hidden(name));
            }
        }
    }

    fn check_times(&mut self, index: usize, route: &RequestRoute) {
        let place = |part| DraftPlace::Route(index, part);
        if route.time_limit.is_zero() {
            self.report(place(RoutePart::TimeLimit), FindingKind::NoTime);
        } else if route.time_limit < route.objective {
            let kind = FindingKind::TimeLimitBelowObjective;
            self.report(place(RoutePart::TimeLimit), kind);
        }
        if route.objective.is_zero() {
            self.report(place(RoutePart::Objective), FindingKind::NoObjective);
        }
    }

    /// Whether any region is home of the route, and of the workspaces as well.
    fn check_homes(&mut self, index: usize, route: &RequestRoute) {
        let place = DraftPlace::Route(index, RoutePart::Homes);
        if self.has_no_home(&route.homes) {
            self.report(place, FindingKind::HomesUnknown);
        }
        let workspaces = self.draft.workspaces.iter();
        let workspaces = workspaces.map(|entry| &entry.workspace);
        let apart: Vec<&Workspace> = workspaces
            .filter(|workspace| are_apart(&route.homes, &workspace.homes))
            .collect();
        if let Some(first) = apart.first() {
            let kind = FindingKind::HomesApart {
                first: first.name.clone(),
                count: apart.len(),
            };
            self.report(place, kind);
        }
    }

    /// Whether it is known that no failure domain lies in `homes`.
    pub(super) fn has_no_home(&self, homes: &HomeRegions) -> bool {
        let request = RequestHomes {
            route: Some(homes),
            workspace: None,
        };
        let is_gap = |gap: PlaceGap| gap == PlaceGap::NoHome;
        !request.is_unbound()
            && self
                .places
                .is_some_and(|places| is_gap(places.gap(request, [])))
    }
}

/// Whether no region is in both sets, though both name some.
fn are_apart(route: &HomeRegions, workspace: &HomeRegions) -> bool {
    let request = RequestHomes {
        route: Some(route),
        workspace: Some(workspace),
    };
    let mut regions = route.0.iter().chain(&workspace.0);
    !request.is_unbound() && !regions.any(|region| request.contains(region.as_str()))
}

/// Whether the path of a request can begin with `prefix`. An empty one begins all.
pub fn is_path_prefix(prefix: &str) -> bool {
    let is_path_character = |character: char| {
        character.is_ascii_alphanumeric() || PATH_MARKS.contains(character) || !character.is_ascii()
    };
    prefix.is_empty() || prefix.starts_with('/') && prefix.chars().all(is_path_character)
}

/// Whether a header can hold `text`, which is not empty, as text.
fn is_header_text(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
