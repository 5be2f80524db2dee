//! The control thread's state: the configuration in force and the directory of
//! servers, published as a view.

use crate::crash_guard::CrashGuard;
use crate::feed::FeedNews;
use crate::metrics::FrontMetrics;
use crate::ports::{SourceFeed, SourceItem, SourceItems};
use crate::server_line::{LineSettings, ServerLine};
use crate::service_lines::ServiceLines;
use crate::view::{FrontView, SharedFront};
use async_channel::{Receiver, Sender};
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::pinned::PinnedKeys;
use camphorway_daemon::sync::lock;
use camphorway_model::{
    FrontRecord, RegisteredState, RouteTable, ServerName, ServerRecord, ServiceName, VmName,
};
use camphorway_policy::{ContentHash, DirectoryEntry, ServerDirectory, SharedAllowance};
use futures_lite::FutureExt;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use tokio_util::sync::CancellationToken;

/// The part of the shared extra calls that is used, as some fronts may not be
/// known yet.
const SHARED_PART: f64 = 0.9;

/// What the control thread is built from.
#[derive(Debug)]
pub struct ControlParts {
    /// Where the view is published.
    pub view: Arc<SharedFront>,
    /// What servers' lines are built from.
    pub lines: LineSettings,
    /// The fronts known, for the followers of feeds.
    pub members: Arc<Mutex<Vec<FrontRecord>>>,
    /// The keys of these fronts.
    pub pinned: Arc<PinnedKeys>,
    /// Keeps content that crashes servers away from them.
    pub guard: Arc<CrashGuard>,
    /// Takes content that is held, to be released later.
    pub held: Sender<ContentHash>,
    /// This front's name.
    pub vm: VmName,
    /// Extra calls in each window beside the ratio, before others are known.
    pub own_allowance: f64,
    /// Extra calls in each window that all fronts share beside the ratio.
    pub shared_allowance: f64,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// The daemon's metrics.
    pub metrics: Arc<FrontMetrics>,
    /// News of the feeds.
    pub news: Receiver<FeedNews>,
    /// Ends the loop.
    pub stop: CancellationToken,
}

/// What the control thread owns.
#[derive(Debug)]
pub struct FrontControl {
    parts: ControlParts,
    routes: Option<Arc<RouteTable>>,
    directory: ServerDirectory,
    services: HashMap<ServiceName, Arc<ServiceLines>>,
    fronts: BTreeMap<VmName, FrontRecord>,
}

impl FrontControl {
    /// A control state that knows nothing.
    pub fn new(parts: ControlParts) -> Self {
        Self {
            parts,
            routes: None,
            directory: ServerDirectory::default(),
            services: HashMap::new(),
            fronts: BTreeMap::new(),
        }
    }

    /// Takes news until stopped.
    pub async fn run(mut self) {
        loop {
            let news = async { self.parts.news.recv().await.ok().map(Some) };
            let expiry = async {
                match self.directory.next_expiry() {
                    Some(at) => self.parts.clock.sleep_until(at).await,
                    None => std::future::pending().await,
                }
                Some(None)
            };
            let stopped = async {
                self.parts.stop.cancelled().await;
                None
            };
            match stopped.or(news).or(expiry).await {
                None => return,
                Some(Some(news)) => self.take(news),
                Some(None) => {}
            }
            self.expire();
        }
    }

    fn take(&mut self, news: FeedNews) {
        let now = self.parts.clock.now();
        match news {
            FeedNews::Listed(SourceFeed::Servers, items) => self.take_list(items),
            FeedNews::Listed(SourceFeed::Fronts, items) => {
                self.fronts.clear();
                for item in items.items {
                    self.take_item(item);
                }
                event!(Info, "fronts-listed", fronts = self.fronts.len());
            }
            FeedNews::Listed(SourceFeed::Configuration | SourceFeed::Quarantined, items)
            | FeedNews::Changed(items) => {
                for item in items.items {
                    self.take_item(item);
                }
            }
            FeedNews::Lost(feed) => {
                self.parts.metrics.store_lost(feed);
                self.directory.record_store_loss();
                return;
            }
            FeedNews::Regained(_) => {
                self.directory.record_store_answer(now);
            }
        }
        self.publish();
    }

    fn take_list(&mut self, items: SourceItems) {
        let now = self.parts.clock.now();
        let mut records = Vec::new();
        for item in items.items {
            match item {
                SourceItem::Server(record) => records.push(record),
                other => self.take_item(other),
            }
        }
        event!(
            Info,
            "servers-listed",
            servers = records.len(),
            revision = items.revision
        );
        self.directory.apply_list(records, now);
    }

    fn take_item(&mut self, item: SourceItem) {
        match item {
            SourceItem::Configuration(table) => self.take_routes(*table),
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
                self.directory.insert(record);
            }
            SourceItem::ServerGone(name) => {
                event!(Info, "server-registration-gone", server = name);
                self.directory.remove(&name, self.parts.clock.now());
            }
            SourceItem::Front(record) => {
                self.fronts.insert(record.vm.clone(), record);
            }
            SourceItem::FrontGone(vm) => {
                event!(Info, "front-gone", vm = vm);
                self.fronts.remove(&vm);
            }
            SourceItem::Quarantined(content) => {
                event!(Warn, "content-held", content = content.0);
                self.parts.guard.heard_held(content);
                // The channel closes only when the daemon ends.
                let _ = self.parts.held.try_send(content);
            }
            SourceItem::Released(content) => {
                event!(Info, "content-released", content = content.0);
            }
            SourceItem::Unreadable { feed, name, cause } => {
                event!(
                    Warn,
                    "object-unreadable",
                    feed = feed,
                    name = name,
                    cause = cause
                );
                if feed == SourceFeed::Servers {
                    // It names no server to use; one that it replaced is gone.
                    let name = ServerName::new(&name);
                    self.directory.remove(&name, self.parts.clock.now());
                }
            }
        }
    }

    /// Takes a configuration unless a newer one is in force.
    fn take_routes(&mut self, table: RouteTable) {
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
        self.parts.metrics.version.set(table.version() as i64);
        self.routes = Some(Arc::new(table));
    }

    fn expire(&mut self) {
        let gone = self.directory.expire(self.parts.clock.now());
        if gone.is_empty() {
            return;
        }
        for name in &gone {
            event!(Info, "server-forgotten", server = name);
        }
        self.publish();
    }

    /// Lets followers and the peers' port know the fronts.
    fn publish_fronts(&self) {
        let keys = self.fronts.values().map(|front| front.key.clone());
        self.parts.pinned.replace(keys.collect());
        *lock(&self.parts.members) = self.fronts.values().cloned().collect();
    }

    /// This front's part of the extra calls that all share; before the others
    /// are known, the one of the settings.
    fn allowance(&self) -> f64 {
        let own = self.parts.own_allowance;
        if self.fronts.is_empty() {
            return own;
        }
        let before = |front: &&FrontRecord| front.vm < self.parts.vm;
        let shared = SharedAllowance {
            total: self.parts.shared_allowance * SHARED_PART,
            daemons: self.fronts.len(),
            index: self.fronts.values().filter(before).count(),
        };
        shared.own_share().max(own)
    }

    fn publish(&mut self) {
        self.publish_fronts();
        let mut by_service: HashMap<ServiceName, Vec<DirectoryEntry>> = HashMap::new();
        for entry in self.directory.entries() {
            let service = entry.record.service.clone();
            by_service.entry(service).or_default().push(entry.clone());
        }
        // Requests may wait at a service that has no servers.
        let routed = self.routes.iter().flat_map(|routes| routes.services());
        for service in self.services.keys().chain(routed) {
            by_service.entry(service.clone()).or_default();
        }
        let mut services = HashMap::new();
        for (service, entries) in by_service {
            let lines = self.build_service(&service, &entries);
            services.insert(service, lines);
        }
        self.services = services;
        self.parts.view.store(FrontView {
            routes: self.routes.clone(),
            services: Arc::new(self.services.clone()),
            knows_servers: self.directory.is_listed(),
            settles_at: self.directory.settles_at(),
            allowance: self.allowance(),
        });
    }

    /// The lines of a service; those of servers that are the same are kept, with
    /// their connections and what they have shown.
    fn build_service(
        &self,
        service: &ServiceName,
        entries: &[DirectoryEntry],
    ) -> Arc<ServiceLines> {
        let before = self.services.get(service);
        let known: HashMap<&ServerName, &Arc<ServerLine>> = before
            .into_iter()
            .flat_map(|before| before.lines())
            .map(|line| (line.name(), line))
            .collect();
        let max_connections = self
            .routes
            .as_ref()
            .and_then(|routes| routes.service(service))
            .map(|service| service.max_connections);
        let mut ready = Vec::new();
        let mut missing = Vec::new();
        for entry in entries {
            if entry.record.state == RegisteredState::Draining {
                continue;
            }
            let line = match known.get(&entry.record.name) {
                Some(line) if is_same_process(line.record(), &entry.record) => Arc::clone(line),
                _ => Arc::new(ServerLine::new(&entry.record, &self.parts.lines)),
            };
            if let Some(most) = max_connections {
                line.set_most_connections(most);
            }
            if entry.expires_at.is_some() {
                missing.push(line);
            } else {
                ready.push(line);
            }
        }
        let lines = ServiceLines::rebuilt(before.map(AsRef::as_ref), ready, missing);
        Arc::new(lines)
    }
}

/// Whether two registrations are of one process at one address.
fn is_same_process(before: &ServerRecord, after: &ServerRecord) -> bool {
    before.address == after.address
        && before.incarnation == after.incarnation
        && before.service == after.service
}
