//! The traffic threads' view of the tier: an immutable value that the control
//! thread replaces as a whole when its state changes.

use crate::control::{LAYOUT_PREFIX, LEAVING_KEY};
use crate::event;
use arc_swap::ArcSwap;
use camphorway_gossip::holders::GroupSeats;
use camphorway_gossip::{
    ConfigTracker, HolderTable, MemberRecord, MemberTable, SharedItems, watchers,
};
use camphorway_model::{
    CheckedConfiguration, FailureDomain, Generation, GroupId, GroupTable, PartReference,
    ServerGroup, ServerName, ServiceEntry, ServiceLayout, ServiceName, SnapshotLayout, VmName,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Holds the current view.
#[derive(Debug)]
pub struct SharedView {
    current: ArcSwap<TierView>,
}

/// A daemon's view of the tier.
#[derive(Clone, Debug)]
pub struct TierView {
    /// This daemon.
    pub own: VmName,
    /// This daemon's failure domain.
    pub domain: FailureDomain,
    /// Generation of the configuration in force.
    pub generation: Generation,
    /// Inventory and rules.
    pub config: Arc<CheckedConfiguration>,
    /// Object keys of the parts that make up the configuration.
    pub part_keys: Arc<BTreeSet<String>>,
    /// Groups of backend servers.
    pub groups: Arc<GroupTable>,
    /// Services with a layout.
    pub services: Arc<BTreeMap<ServiceName, ServiceView>>,
    /// The holders of each group, in all failure domains.
    pub seats: Arc<HashMap<GroupId, GroupSeats>>,
    /// Backend servers that the VM list shows as leaving.
    pub leaving: Arc<BTreeSet<ServerName>>,
    /// Backend servers that reported that they are draining, with the boot number
    /// of the draining process.
    pub draining: Arc<BTreeMap<ServerName, u64>>,
    /// Whether this daemon watches the platform's store for its domain.
    pub is_watcher: bool,
    /// Digest of the items that the fields above were built from.
    items_digest: u64,
}

/// A service and the snapshots that may be queried.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The service.
    pub entry: ServiceEntry,
    /// Its snapshots, oldest first.
    pub layout: ServiceLayout,
    /// For each snapshot and shard, the groups that have a replica, this daemon's
    /// own failure domain first.
    pub routes: Vec<Vec<Vec<GroupId>>>,
    /// For each snapshot, the groups that are the first choice for a shard, with
    /// the total weight of these shards.
    pub nearest: Vec<BTreeMap<GroupId, f64>>,
}

impl SharedView {
    /// Creates an empty view for this daemon.
    pub fn new(own: &VmName, domain: &FailureDomain) -> Arc<Self> {
        let view = TierView {
            own: own.clone(),
            domain: domain.clone(),
            generation: Generation::default(),
            config: Arc::default(),
            part_keys: Arc::default(),
            groups: Arc::default(),
            services: Arc::default(),
            seats: Arc::default(),
            leaving: Arc::default(),
            draining: Arc::default(),
            is_watcher: false,
            items_digest: 0,
        };
        Arc::new(Self {
            current: ArcSwap::from_pointee(view),
        })
    }

    /// Returns the current view.
    pub fn load(&self) -> Arc<TierView> {
        self.current.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: Arc<TierView>) {
        self.current.store(view);
    }
}

impl TierView {
    /// Builds the view from the control thread's state. Fields derived from the items
    /// are shared with `before` while the items are the same.
    pub fn build(
        before: &Self,
        members: &MemberTable,
        items: &SharedItems,
        tracker: &ConfigTracker,
    ) -> Self {
        let mut view = before.clone();
        view.rebuild_items(items, tracker);
        view.rebuild_seats(members);
        view
    }

    /// The groups for whose seats `wanted` holds.
    pub fn groups_with<'view, Wanted>(
        &'view self,
        wanted: Wanted,
    ) -> impl Iterator<Item = &'view ServerGroup>
    where
        Wanted: Fn(&GroupSeats) -> bool + 'view,
    {
        self.groups.groups.values().filter(move |group| {
            let seats = self.seats.get(&group.id);
            seats.is_some_and(&wanted)
        })
    }

    fn rebuild_items(&mut self, items: &SharedItems, tracker: &ConfigTracker) {
        let digest = items.digest();
        if digest == self.items_digest {
            return;
        }
        self.items_digest = digest;
        if tracker.generation() != self.generation {
            self.generation = tracker.generation();
            self.config = Arc::clone(tracker.configuration());
            let group_size = self.config.rules.policy.group_size;
            self.groups = Arc::new(GroupTable::new(&self.config.inventory, group_size));
            let keys = tracker.head().parts.iter().map(PartReference::object_key);
            self.part_keys = Arc::new(keys.collect());
        }
        let names: Vec<String> = items
            .text(LEAVING_KEY)
            .and_then(|text| serde_json::from_str(text).ok())
            .unwrap_or_default();
        self.leaving = Arc::new(names.iter().map(|name| ServerName::new(name)).collect());
        self.services = Arc::new(self.build_services(items));
    }

    fn build_services(&self, items: &SharedItems) -> BTreeMap<ServiceName, ServiceView> {
        let mut services = BTreeMap::new();
        for entry in self.config.inventory.services.values() {
            let key = format!("{LAYOUT_PREFIX}{}", entry.layout);
            let Some(text) = items.text(&key) else {
                continue;
            };
            match ServiceLayout::parse(text) {
                Ok(layout) => {
                    services.insert(entry.service.clone(), self.build_service(entry, layout));
                }
                Err(cause) => {
                    event!(Error, "layout-refused", key = key, cause = cause);
                    // The previous layout stays in use.
                    if let Some(before) = self.services.get(&entry.service) {
                        services.insert(entry.service.clone(), before.clone());
                    }
                }
            }
        }
        services
    }

    fn build_service(&self, entry: &ServiceEntry, layout: ServiceLayout) -> ServiceView {
        let mut routes = Vec::new();
        let mut nearest = Vec::new();
        for snapshot in &layout.snapshots {
            let shard_routes = self.routes(entry, snapshot);
            let mut weights = BTreeMap::new();
            for (route, placement) in shard_routes.iter().zip(&snapshot.shards) {
                if let Some(group) = route.first() {
                    *weights.entry(group.clone()).or_default() += placement.weight;
                }
            }
            routes.push(shard_routes);
            nearest.push(weights);
        }
        ServiceView {
            entry: entry.clone(),
            layout,
            routes,
            nearest,
        }
    }

    fn routes(&self, entry: &ServiceEntry, snapshot: &SnapshotLayout) -> Vec<Vec<GroupId>> {
        let mut groups_by_instance: HashMap<&str, Vec<GroupId>> = HashMap::new();
        for placement in &snapshot.shards {
            groups_by_instance
                .entry(placement.instance.as_str())
                .or_insert_with(|| {
                    let replicas = self
                        .groups
                        .with_replica(&entry.service, &placement.instance);
                    let mut groups: Vec<GroupId> = replicas.map(|group| group.id.clone()).collect();
                    groups.sort_by_key(|group| self.domain_order(&group.domain));
                    groups
                });
        }
        let placements = snapshot.shards.iter();
        placements
            .map(|placement| groups_by_instance[placement.instance.as_str()].clone())
            .collect()
    }

    /// Sort key of domains: the own domain first, the others in an order that
    /// differs by own domain, so that after the loss of a domain its load spreads
    /// over several others.
    fn domain_order(&self, domain: &FailureDomain) -> u64 {
        if *domain == self.domain {
            return 0;
        }
        let pair = format!("{}/{domain}", self.domain);
        xxh3_64(pair.as_bytes()) | 1
    }

    fn rebuild_seats(&mut self, members: &MemberTable) {
        let mut groups_by_domain: BTreeMap<FailureDomain, Vec<GroupId>> = BTreeMap::new();
        for group in self.groups.groups.keys() {
            groups_by_domain
                .entry(group.domain.clone())
                .or_default()
                .push(group.clone());
        }
        let seats = self.config.rules.policy.seats as usize;
        let mut table = HashMap::new();
        for (domain, groups) in &groups_by_domain {
            let serving: Vec<&MemberRecord> = members.serving(domain).collect();
            table.extend(HolderTable::assign(groups, &serving, seats).groups);
        }
        self.seats = Arc::new(table);
        let local_members: Vec<&MemberRecord> = members.serving(&self.domain).collect();
        self.is_watcher = watchers(&local_members)
            .iter()
            .any(|member| member.vm == self.own);
    }
}
