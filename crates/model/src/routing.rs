//! The routes by which requests reach services, as one version of a
//! configuration names them.
//!
//! A table is immutable: a request looks its route up once and keeps the table
//! until it is answered, so that all parts of an answer come from one version.

use crate::id::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// All routes of one version.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, Vec<Arc<RequestRoute>>>,
    services: HashMap<ServiceName, RoutedService>,
    limits: CallerLimits,
}

/// Where requests of one host and path prefix go, and how.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestRoute {
    /// The route's name, for logs and metrics.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// Requests whose path begins with this take the route.
    pub path_prefix: String,
    /// Which services answer.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a request may stay unanswered.
    pub time_limit: Duration,
    /// An answer within this time has its full worth.
    pub objective: Duration,
    /// The most backend servers that may run one request, for each service.
    pub attempts: usize,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
}

/// The services of a route.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RouteTarget {
    /// One service.
    Service(ServiceName),
    /// One of several services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// All services together; each holds one shard.
    Gather(GatherRule),
}

/// A part of a split.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight; the parts' shares are in proportion.
    pub weight: f64,
}

/// How the shards' parts make up one answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GatherRule {
    /// One service a shard.
    pub shards: Vec<ServiceName>,
    /// How many of the greatest records the answer holds.
    pub top_records: usize,
    /// The least share of the shards, 0 to 1, that an answer must cover.
    pub min_share: f64,
}

/// What the configuration says of a service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct RoutedService {
    /// Connections that one backend server takes from all callers together.
    pub max_connections: usize,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

impl GatherRule {
    /// The fewest shards that an answer must cover.
    pub fn min_parts(&self) -> usize {
        // A share such as 0.9 of 10 must not become 10 by rounding.
        const ROUNDING: f64 = 1e-9;
        let least = (self.min_share * self.shards.len() as f64 - ROUNDING).ceil();
        (least.max(1.0) as usize).min(self.shards.len())
    }
}

impl RouteTable {
    /// A table of `routes`.
    pub fn new(
        version: u64,
        routes: Vec<RequestRoute>,
        services: HashMap<ServiceName, RoutedService>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RequestRoute>>> = HashMap::new();
        for route in routes {
            let of_host = hosts.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in hosts.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            hosts,
            services,
            limits,
        }
    }

    /// The version; it grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits towards callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// What is said of `service`.
    pub fn service(&self, service: &ServiceName) -> Option<&RoutedService> {
        self.services.get(service)
    }

    /// All services that the configuration names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The route of a request: of its host's routes, the one with the longest
    /// prefix that begins `path`. `host` may have a port and any case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RequestRoute>> {
        let name = host.split(':').next().unwrap_or_default();
        let of_host = match self.hosts.get(name) {
            Some(of_host) => of_host,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        of_host
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
