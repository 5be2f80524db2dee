//! The control thread: applies feed updates to the configuration in force and
//! the directory of servers, and publishes both as a view.

use crate::feeds::feed::FeedUpdate;
use crate::feeds::known_fronts::{KnownFronts, ListHistory};
use crate::metrics::FrontMetrics;
use crate::ports::{SourceFeed, SourceItem, SourceItems};
use crate::servers::cold_servers::ColdServers;
use crate::servers::crash_guard::CrashGuard;
use crate::servers::known_places::KnownPlaces;
use crate::servers::server_endpoint::{EndpointSettings, ServerEndpoint};
use crate::servers::service_endpoints::ServiceEndpoints;
use crate::servers::view::{FrontView, SharedView};
use crate::settings::ColdBounds;
use async_channel::{Receiver, Sender};
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::pinned::PinnedKeys;
use camphorway_daemon::sync::lock;
use camphorway_model::{
    FailureDomain, FrontRecord, RouteTable, ServerName, ServerRecord, ServiceName, VmName,
    WarmUpRule,
};
use camphorway_policy::{ColdLimit, ContentHash, DirectoryEntry, ServerDirectory, SharedAllowance};
use futures_lite::FutureExt;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// The fraction of the shared allowance in use, as some fronts may not be
/// registered here yet.
const SHARED_FRACTION: f64 = 0.9;

/// The inputs and outputs of the control thread.
#[derive(Debug)]
pub struct ControlContext {
    /// The view to publish to.
    pub view: Arc<SharedView>,
    /// The settings of server endpoints.
    pub endpoints: EndpointSettings,
    /// The registered fronts, for the followers of feeds.
    pub members: Arc<Mutex<Vec<FrontRecord>>>,
    /// The registered fronts, for quotas.
    pub grantors: Arc<Mutex<Vec<FrontRecord>>>,
    /// The keys of these fronts.
    pub pinned: Arc<PinnedKeys>,
    /// Quarantines content that crashes servers.
    pub guard: Arc<CrashGuard>,
    /// Sends quarantined content to the task that releases it later.
    pub quarantined: Sender<ContentHash>,
    /// Quarantined content that the store has lost, to be written again.
    pub lost_quarantines: Sender<ContentHash>,
    /// The tolerance of cold servers' limits, if they have one.
    pub cold: Option<ColdBounds>,
    /// The time within which a failure domain's servers get no more calls once it is
    /// evacuated; `None` if domains are not evacuated here.
    pub evacuate_bound: Option<Duration>,
    /// This front's name.
    pub vm: VmName,
    /// The time after which the registration of a server that is gone has lapsed.
    pub lapse_time: Duration,
    /// Extra calls in each window beyond the ratio, before other fronts are
    /// registered; the minimum after that.
    pub own_allowance: f64,
    /// Extra calls in each window beyond the ratio that all fronts share.
    pub shared_allowance: f64,
    /// The front's clock.
    pub clock: DaemonClock,
    /// The front's metrics.
    pub metrics: Arc<FrontMetrics>,
    /// Updates of the feeds.
    pub updates: Receiver<FeedUpdate>,
    /// Cancelled to stop the loop.
    pub stop: CancellationToken,
}

/// The control thread's state.
#[derive(Debug)]
pub struct FrontControl {
    context: ControlContext,
    routes: Option<Arc<RouteTable>>,
    directory: ServerDirectory,
    services: HashMap<ServiceName, Arc<ServiceEndpoints>>,
    fronts: KnownFronts,
    cold: ColdServers,
    places: KnownPlaces,
    /// The failure domains that were evacuated when the view was last published.
    evacuated: BTreeSet<FailureDomain>,
    /// The history of the store that each feed was last listed in.
    eras: [Option<u64>; SourceFeed::ALL.len()],
}

impl FrontControl {
    /// Creates a state without routes, servers or fronts.
    pub fn new(context: ControlContext) -> Self {
        let places = KnownPlaces::new(
            &context.endpoints.fronts.regions,
            context.evacuate_bound,
            context.clock.now(),
        );
        Self {
            places,
            directory: ServerDirectory::new(context.lapse_time),
            context,
            routes: None,
            services: HashMap::new(),
            fronts: KnownFronts::default(),
            cold: ColdServers::default(),
            evacuated: BTreeSet::new(),
            eras: Default::default(),
        }
    }

    /// Applies updates until stopped.
    pub async fn run(mut self) {
        loop {
            let update = async { self.context.updates.recv().await.ok().map(Some) };
            let expiry = async {
                match self.next_change() {
                    Some(at) => self.context.clock.sleep_until(at).await,
                    None => std::future::pending().await,
                }
                Some(None)
            };
            let stopped = async {
                self.context.stop.cancelled().await;
                None
            };
            match stopped.or(update).or(expiry).await {
                None => return,
                Some(Some(update)) => self.apply(update),
                Some(None) => self.publish_fronts(),
            }
            self.expire();
        }
    }

    /// The time at which the state next changes without an update.
    fn next_change(&self) -> Option<Instant> {
        let next_join = self.fronts.next_join(self.context.clock.now());
        let next_expiry = self.directory.next_expiry();
        let next_place = self.places.next_change();
        let changes = [next_join, next_expiry, next_place];
        changes.into_iter().flatten().min()
    }

    fn apply(&mut self, update: FeedUpdate) {
        let now = self.context.clock.now();
        match update {
            FeedUpdate::Listed(feed, items) => self.apply_list(feed, items),
            FeedUpdate::ListedEarly(records) => {
                event!(Info, "fronts-listed-early", fronts = records.len());
                self.fronts.list_early(records, now);
                self.publish_fronts();
                return;
            }
            FeedUpdate::Changed(items) => {
                for item in items.items {
                    self.apply_item(item);
                }
            }
            FeedUpdate::Lost(feed) => {
                self.context.metrics.count_store_loss(feed);
                self.directory.record_store_loss();
                if feed == SourceFeed::Fronts {
                    self.context.endpoints.fronts.set_followed(false, now);
                }
                return;
            }
            FeedUpdate::Regained(feed) => {
                self.directory.record_store_answer(now);
                if feed == SourceFeed::Fronts {
                    self.context.endpoints.fronts.set_followed(true, now);
                }
            }
        }
        self.publish();
    }

    fn apply_list(&mut self, feed: SourceFeed, items: SourceItems) {
        let history = self.history_of(feed, &items);
        match feed {
            SourceFeed::Servers => self.apply_server_list(items, history),
            SourceFeed::Fronts => self.apply_front_list(items, history),
            SourceFeed::Quarantined => self.apply_quarantine_list(items),
            SourceFeed::Evacuations => self.apply_evacuation_list(items, history),
            SourceFeed::Configuration => {
                for item in items.items {
                    self.apply_item(item);
                }
            }
        }
    }

    /// Which history of the store a list is of, compared with the feed's list before.
    fn history_of(&mut self, feed: SourceFeed, items: &SourceItems) -> ListHistory {
        let era = items.revision.era;
        let newest = &mut self.eras[feed as usize];
        let before = *newest;
        *newest = before.max(Some(era));
        if before.is_none_or(|before| before >= era) {
            return ListHistory::Same;
        }
        event!(
            Warn,
            "store-lost-writes",
            feed = feed,
            era = era,
            before = before.unwrap_or_default()
        );
        ListHistory::New
    }

    fn apply_server_list(&mut self, items: SourceItems, history: ListHistory) {
        let now = self.context.clock.now();
        if history == ListHistory::New {
            self.directory.begin_history(now);
        }
        let mut records = Vec::new();
        for item in items.items {
            match item {
                SourceItem::Server(record) => {
                    self.record_cold(&record, now);
                    records.push(record);
                }
                other => self.apply_item(other),
            }
        }
        event!(
            Info,
            "servers-listed",
            servers = records.len(),
            revision = items.revision
        );
        self.cold.record_list(now);
        self.directory.apply_list(records, now);
    }

    fn apply_front_list(&mut self, items: SourceItems, history: ListHistory) {
        let mut records = Vec::new();
        for item in items.items {
            match item {
                SourceItem::Front(record) => records.push(record),
                other => self.apply_item(other),
            }
        }
        event!(Info, "fronts-listed", fronts = records.len());
        self.fronts
            .replace_all(records, history, self.context.clock.now());
    }

    /// Applies a list of quarantined content; what it lacks is written again.
    fn apply_quarantine_list(&mut self, items: SourceItems) {
        let mut listed = HashMap::new();
        for item in items.items {
            if let SourceItem::QuarantinedUntil(record) = &item {
                listed.insert(record.content, *record);
            }
            self.apply_item(item);
        }
        for record in self.context.guard.records_to_store() {
            let stored = listed.get(&record.content);
            if !stored.is_some_and(|stored| stored.lasts_as_long_as(&record)) {
                // The channel is closed only when the front stops.
                let _ = self.context.lost_quarantines.try_send(record.content);
            }
        }
    }

    fn apply_evacuation_list(&mut self, items: SourceItems, history: ListHistory) {
        if history == ListHistory::New {
            self.places.begin_history(self.context.clock.now());
        }
        let mut listed = BTreeSet::new();
        for item in items.items {
            match item {
                SourceItem::Evacuated(domain) => {
                    listed.insert(domain);
                }
                other => self.apply_item(other),
            }
        }
        self.places.apply_list(listed);
    }

    fn apply_item(&mut self, item: SourceItem) {
        match item {
            SourceItem::EarlierConfiguration(earlier) => match earlier {},
            SourceItem::Configuration(table) => self.apply_routes(*table),
            SourceItem::Server(record) => {
                event!(
                    Info,
                    "server-registered",
                    server = record.name,
                    service = record.service,
                    address = record.address,
                    state = record.state,
                    incarnation = record.incarnation
                );
                let now = self.context.clock.now();
                self.record_cold(&record, now);
                self.directory.insert(record, now);
            }
            SourceItem::ServerGone(name) => {
                event!(Info, "server-registration-gone", server = name);
                self.directory.remove(&name, self.context.clock.now());
            }
            SourceItem::Front(record) => {
                self.fronts.insert(record, self.context.clock.now());
            }
            SourceItem::FrontGone(vm) => {
                event!(Info, "front-gone", vm = vm);
                self.fronts.remove(&vm, self.context.clock.now());
            }
            SourceItem::Quarantined(content) => {
                event!(Warn, "content-held", content = content.0);
                self.context.guard.record_remote_quarantine(content);
                // The channel is closed only when the front stops.
                let _ = self.context.quarantined.try_send(content);
            }
            SourceItem::QuarantinedUntil(record) => {
                event!(
                    Warn,
                    "content-held",
                    content = record.content.0,
                    lasts_ms = record.lasts.as_millis()
                );
                self.context.guard.record_stored(&record);
                // The channel is closed only when the front stops.
                let _ = self.context.quarantined.try_send(record.content);
            }
            SourceItem::Released(content) => {
                event!(Info, "content-released", content = content.0);
            }
            SourceItem::Evacuated(domain) => self.places.begin_evacuation(domain),
            SourceItem::EvacuationEnded(domain) => self.places.end_evacuation(&domain),
            SourceItem::Unreadable { feed, name, cause } => {
                event!(
                    Warn,
                    "object-unreadable",
                    feed = feed,
                    name = name,
                    cause = cause
                );
                if feed == SourceFeed::Servers {
                    // The registration that it replaced is no longer valid.
                    let name = ServerName::new(&name);
                    self.directory.remove(&name, self.context.clock.now());
                }
            }
        }
    }

    fn record_cold(&mut self, record: &ServerRecord, now: Instant) {
        let routes = self.routes.as_ref();
        let service = routes.and_then(|routes| routes.service(&record.service));
        let rule = service.and_then(|service| service.warm_up.as_ref());
        self.cold.record(record, rule, now);
    }

    /// Takes the servers of domains that are no longer evacuated as cold.
    fn record_returns(&mut self) {
        let evacuated = self.places.evacuated();
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let now = self.context.clock.now();
        for domain in before.difference(&self.evacuated) {
            let entries = self.directory.entries();
            for entry in entries.filter(|entry| entry.record.domain == *domain) {
                let routes = self.routes.as_ref();
                let service = routes.and_then(|routes| routes.service(&entry.record.service));
                if let Some(rule) = service.and_then(|service| service.warm_up.as_ref()) {
                    self.cold.record_return(&entry.record, rule, now);
                }
            }
        }
    }

    /// The limit of cold servers with `rule`.
    fn cold_limit(&self, rule: &WarmUpRule) -> ColdLimit {
        let bounds = self.context.cold.unwrap_or(ColdBounds::STRICT);
        ColdLimit {
            requests_per_s: rule.requests_per_s,
            overage_factor: bounds.overage_factor,
            slack: bounds.slack,
        }
    }

    /// Puts a configuration in force unless the current one is as new or newer.
    fn apply_routes(&mut self, table: RouteTable) {
        let before = self.routes.as_ref().map(|routes| routes.version());
        if before.is_some_and(|before| before >= table.version()) {
            event!(Info, "configuration-old", version = table.version());
            return;
        }
        event!(
            Info,
            "configuration-in-force",
            version = table.version(),
            before = before.unwrap_or_default(),
            routes = table.route_count()
        );
        self.context.metrics.version.set(table.version() as i64);
        self.context.metrics.retain_workspaces(table.workspaces());
        self.places.check_homes(&table);
        self.routes = Some(Arc::new(table));
    }

    fn expire(&mut self) {
        let now = self.context.clock.now();
        let expired = self.directory.expire(now);
        for name in &expired {
            event!(Info, "server-forgotten", server = name);
        }
        let released = self.directory.release(now);
        for name in &released {
            event!(Info, "server-released", server = name);
        }
        let has_new_places = self.places.expire(now);
        if !expired.is_empty() || !released.is_empty() || has_new_places {
            self.publish();
        }
    }

    /// Publishes the registered fronts to the followers and the peer port.
    fn publish_fronts(&self) {
        let now = self.context.clock.now();
        self.context.pinned.replace(self.fronts.keys(now));
        *lock(&self.context.members) = self.fronts.joined(&self.context.vm, now);
        *lock(&self.context.grantors) = self.fronts.grantors(&self.context.vm, now);
    }

    /// This front's share of the shared allowance, but at least `own_allowance`.
    fn allowance(&self) -> f64 {
        let own = self.context.own_allowance;
        let daemons = self.fronts.registered().count();
        if daemons == 0 {
            return own;
        }
        let before = |front: &&FrontRecord| front.vm < self.context.vm;
        let shared = SharedAllowance {
            total: self.context.shared_allowance * SHARED_FRACTION,
            daemons,
            index: self.fronts.registered().filter(before).count(),
        };
        shared.own_share().max(own)
    }

    fn publish(&mut self) {
        self.publish_fronts();
        self.record_returns();
        let mut by_service: HashMap<ServiceName, Vec<DirectoryEntry>> = HashMap::new();
        for entry in self.directory.entries() {
            let service = entry.record.service.clone();
            by_service.entry(service).or_default().push(entry.clone());
        }
        // Also services without servers, since requests may wait for one.
        let routed = self.routes.iter().flat_map(|routes| routes.services());
        for service in self.services.keys().chain(routed) {
            by_service.entry(service.clone()).or_default();
        }
        let mut services = HashMap::new();
        for (service, entries) in by_service {
            let endpoints = self.build_service(&service, &entries);
            services.insert(service, endpoints);
        }
        self.services = services;
        self.context.view.store(FrontView {
            routes: self.routes.clone(),
            services: Arc::new(self.services.clone()),
            has_server_list: self.directory.is_listed(),
            knows_evacuations: self.places.is_known(),
            settles_at: self.directory.settles_at(),
            allowance: self.allowance(),
        });
        for endpoints in self.services.values() {
            endpoints.wake_all();
        }
    }

    /// Builds the endpoints of a service; those of unchanged servers are kept,
    /// with their connections and statistics.
    fn build_service(
        &self,
        service: &ServiceName,
        entries: &[DirectoryEntry],
    ) -> Arc<ServiceEndpoints> {
        let before = self.services.get(service);
        let existing: HashMap<&ServerName, &Arc<ServerEndpoint>> = before
            .into_iter()
            .flat_map(|before| before.endpoints())
            .map(|endpoint| (endpoint.name(), endpoint))
            .collect();
        let routes = self.routes.as_ref();
        let settings = routes.and_then(|routes| routes.service(service));
        let max_connections = settings.map(|service| service.max_connections);
        let rule = settings.and_then(|service| service.warm_up.as_ref());
        let cold_limit = rule.map(|rule| self.cold_limit(rule));
        let mut ready = Vec::new();
        let mut missing = Vec::new();
        for entry in entries {
            if !entry.takes_calls() {
                continue;
            }
            let endpoint = match existing.get(&entry.record.name) {
                Some(endpoint) if is_same_process(endpoint.record(), &entry.record) => {
                    Arc::clone(endpoint)
                }
                _ => self.new_endpoint(&entry.record, before),
            };
            if let Some(limit) = max_connections {
                endpoint.set_server_max_connections(limit);
            }
            endpoint.set_cold(cold_limit, self.cold.cold_until(&entry.record));
            if entry.expires_at.is_some() {
                missing.push(endpoint);
            } else {
                ready.push(endpoint);
            }
        }
        let endpoints = ServiceEndpoints::rebuild(before.map(AsRef::as_ref), ready, missing);
        Arc::new(endpoints.within(self.places.serving()))
    }
}

impl FrontControl {
    fn new_endpoint(
        &self,
        record: &ServerRecord,
        others: Option<&Arc<ServiceEndpoints>>,
    ) -> Arc<ServerEndpoint> {
        let endpoint = ServerEndpoint::new(record, &self.context.endpoints);
        if self.cold.has_started(record, self.context.clock.now()) {
            let times = others.map(|others| others.times());
            endpoint.begin_start(&times.unwrap_or_default());
        }
        Arc::new(endpoint)
    }
}

/// Whether two registrations are of the same process at the same address.
fn is_same_process(before: &ServerRecord, after: &ServerRecord) -> bool {
    before.address == after.address
        && before.incarnation == after.incarnation
        && before.service == after.service
}
