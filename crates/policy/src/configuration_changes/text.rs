//! Values of a configuration, as a change shows them.

use camphorway_model::{
    HomeRegions, RegionName, RouteTarget, RoutedService, WeightedService, WorkspaceQuota,
};
use std::time::Duration;

pub(super) fn target_text(target: &RouteTarget) -> String {
    let part_text = |part: &WeightedService| format!("{} x {}", part.service, part.weight);
    match target {
        RouteTarget::Service(service) => service.to_string(),
        RouteTarget::Split(parts) => {
            let parts: Vec<String> = parts.iter().map(part_text).collect();
            parts.join(" + ")
        }
        RouteTarget::Gather(rule) => format!("{} shards", rule.shards.len()),
    }
}

const NANOS_PER_MS: f64 = 1e6;

pub(super) fn milliseconds(time: Duration) -> String {
    format!("{} ms", time.as_nanos() as f64 / NANOS_PER_MS)
}

pub(super) fn warm_up_text(service: &RoutedService) -> String {
    service.warm_up.map_or_else(
        || "no limit".to_owned(),
        |rule| {
            format!(
                "{} a second for {}",
                rule.requests_per_s,
                milliseconds(rule.time)
            )
        },
    )
}

pub(super) fn quota_text(quota: Option<WorkspaceQuota>) -> String {
    quota.map_or_else(
        || "none".to_owned(),
        |quota| format!("{} a second, burst {}", quota.requests_per_s, quota.burst),
    )
}

pub(super) fn priority_text(priority: Option<u8>) -> String {
    priority.map_or_else(|| "its route's".to_owned(), |priority| priority.to_string())
}

pub(super) fn homes_text(homes: &HomeRegions) -> String {
    if homes.0.is_empty() {
        return "all regions".to_owned();
    }
    let names: Vec<&str> = homes.0.iter().map(RegionName::as_str).collect();
    names.join(", ")
}
