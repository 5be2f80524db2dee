//! The routes by which requests reach services, for one version of the
//! configuration.
//!
//! A table is immutable. A request looks up its route once and keeps the table
//! until it is answered, so that all parts of an answer use the same version.

use crate::id::ServiceName;
use crate::workspace::{HomeRegions, WorkspaceTable};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, Vec<Arc<RequestRoute>>>,
    services: HashMap<ServiceName, RoutedService>,
    limits: CallerLimits,
    workspaces: WorkspaceTable,
}

/// The target and limits of requests with one host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestRoute {
    /// The route's name, for logs and metrics.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The prefix of the paths that take the route.
    pub path_prefix: String,
    /// The services that answer.
    pub target: RouteTarget,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Maximum time until a request is answered.
    pub time_limit: Duration,
    /// The response time up to which an answer has its full value.
    pub objective: Duration,
    /// Maximum number of backend servers that may run one request, per service.
    pub attempts: usize,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether a request needs no key.
    pub allows_anonymous: bool,
    /// The regions whose servers may answer.
    pub homes: HomeRegions,
}

/// The services of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteTarget {
    /// One service.
    Service(ServiceName),
    /// One of several services, chosen in proportion to their weights.
    Split(Vec<WeightedService>),
    /// All of these services; each holds one shard.
    Gather(GatherRule),
}

/// One service of a split, with its weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service's name.
    pub service: ServiceName,
    /// The service's weight, relative to the other services of the split.
    pub weight: f64,
}

/// The way in which the shards' parts are merged into one answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GatherRule {
    /// The services, one per shard.
    pub shards: Vec<ServiceName>,
    /// Number of greatest records in the answer.
    pub top_records: usize,
    /// Minimum fraction of the shards, 0 to 1, that an answer must cover.
    pub min_share: f64,
}

/// The configuration of a service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutedService {
    /// Maximum number of connections that one backend server accepts in total.
    pub max_connections: usize,
    /// The limit of a backend server that has just started, if it has one.
    pub warm_up: Option<WarmUpRule>,
}

/// The limit of each backend server of a service while it is cold.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WarmUpRule {
    /// The time for which a server is cold after its start.
    pub time: Duration,
    /// Requests a second that it bears meanwhile, from all fronts together.
    pub requests_per_s: f64,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
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
    /// Minimum number of shards that an answer must cover.
    pub fn min_parts(&self) -> usize {
        // Without this tolerance, a share such as 0.9 of 10 could round up to 10.
        const ROUNDING: f64 = 1e-9;
        let min_parts = (self.min_share * self.shards.len() as f64 - ROUNDING).ceil();
        (min_parts.max(1.0) as usize).min(self.shards.len())
    }
}

impl RouteTable {
    /// Creates a table of `routes`, with the longest path prefix of each host first.
    pub fn new(
        version: u64,
        routes: Vec<RequestRoute>,
        services: HashMap<ServiceName, RoutedService>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RequestRoute>>> = HashMap::new();
        for route in routes {
            let host_routes = hosts.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            hosts,
            services,
            limits,
            workspaces: WorkspaceTable::default(),
        }
    }

    /// The table with these workspaces.
    pub fn with_workspaces(mut self, workspaces: WorkspaceTable) -> Self {
        self.workspaces = workspaces;
        self
    }

    /// The workspaces; none if requests need no key.
    pub fn workspaces(&self) -> &WorkspaceTable {
        &self.workspaces
    }

    /// The version of the configuration; each change increases it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The limits on callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The configuration of `service`.
    pub fn service(&self, service: &ServiceName) -> Option<&RoutedService> {
        self.services.get(service)
    }

    /// All services that the configuration names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RequestRoute>> {
        self.hosts.values().flatten()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The route of a request: of its host's routes, the one with the longest
    /// prefix of `path`. `host` may include a port and is case-insensitive.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RequestRoute>> {
        let name = host.split(':').next().unwrap_or_default();
        let host_routes = match self.hosts.get(name) {
            Some(host_routes) => host_routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
