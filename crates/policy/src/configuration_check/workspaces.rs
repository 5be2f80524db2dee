//! The workspaces of a configuration: their keys, quotas and homes.

use super::{ConfigurationCheck, FindingKind, services_of};
use camphorway_model::{
    DraftPlace, DraftWorkspace, RequestRoute, RouteTable, RouteTarget, ServiceName, WorkspacePart,
    WorkspaceQuota, WorkspaceTable,
};
use std::collections::HashSet;

impl ConfigurationCheck<'_> {
    pub(super) fn check_workspaces(&mut self, table: &RouteTable) {
        let draft = self.draft;
        let room = self.largest_room();
        let mut names = HashSet::new();
        for (index, entry) in draft.workspaces.iter().enumerate() {
            let place = |part| DraftPlace::Workspace(index, part);
            let workspace = &entry.workspace;
            if !names.insert(&workspace.name) {
                let kind = FindingKind::WorkspaceRepeated(workspace.name.clone());
                self.report(place(WorkspacePart::Name), kind);
            }
            if self.has_no_home(&workspace.homes) {
                self.report(place(WorkspacePart::Homes), FindingKind::HomesUnknown);
            }
            self.check_keys(index, entry, table.workspaces());
            if let Some(quota) = &workspace.quota {
                self.check_quota(index, quota, room);
            }
        }
    }

    fn check_keys(&mut self, index: usize, entry: &DraftWorkspace, table: &WorkspaceTable) {
        let place = |part| DraftPlace::Workspace(index, part);
        if !entry.is_usable {
            self.report(place(WorkspacePart::Name), FindingKind::WorkspaceUnusable);
            return;
        }
        if entry.keys.is_empty() {
            self.report(place(WorkspacePart::Keys), FindingKind::NoKeys);
        }
        for (number, key) in entry.keys.iter().enumerate() {
            let holder = table.find(key).map(|holder| &holder.name);
            if let Some(holder) = holder.filter(|holder| **holder != entry.workspace.name) {
                let kind = FindingKind::KeyTaken(holder.clone());
                self.report(place(WorkspacePart::Key(number)), kind);
            }
        }
    }

    fn check_quota(&mut self, index: usize, quota: &WorkspaceQuota, room: Option<u64>) {
        let place = DraftPlace::Workspace(index, WorkspacePart::Burst);
        if quota.burst < 1.0 {
            self.report(place, FindingKind::BurstBelowOne);
        }
        if let Some(room) = room.filter(|room| quota.burst > *room as f64) {
            let burst = quota.burst as u64;
            self.report(place, FindingKind::BurstAboveRoom { burst, room });
        }
    }

    /// The requests that the route with the most connections can run at once; `None` if
    /// servers are unknown.
    fn largest_room(&self) -> Option<u64> {
        let rooms = self.draft.routes.iter().map(|route| self.room_of(route));
        rooms.flatten().max()
    }

    /// The requests of `route` that its servers can run at once.
    fn room_of(&self, route: &RequestRoute) -> Option<u64> {
        let rooms = services_of(route).into_iter();
        let rooms: Option<Vec<u64>> = rooms.map(|service| self.service_room(service)).collect();
        let rooms = rooms?.into_iter();
        match &route.target {
            RouteTarget::Service(_) | RouteTarget::Split(_) => Some(rooms.sum()),
            // Each request needs all shards.
            RouteTarget::Gather(_) => rooms.min(),
        }
    }

    fn service_room(&self, service: &ServiceName) -> Option<u64> {
        let servers = self.servers_of(service)?.len() as u64;
        let rules = self.services.get(service)?;
        Some(servers.saturating_mul(rules.max_connections as u64))
    }
}
