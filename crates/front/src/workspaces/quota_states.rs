//! What this front knows of all workspaces' quotas, and its place among the fronts for
//! each of them.

use crate::metrics::OwnedQuota;
use crate::servers::view::SharedView;
use crate::workspaces::quota_state::QuotaState;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::sync::lock;
use camphorway_model::{FrontRecord, RouteTable, VmName, Workspace, WorkspaceName};
use camphorway_policy::{GrantorGroup, QuotaParts, QuotaPlace, QuotaTolerance};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The states of all workspaces with a quota.
#[derive(Debug)]
pub struct QuotaStates {
    own: VmName,
    members: Arc<Mutex<Vec<FrontRecord>>>,
    view: Arc<SharedView>,
    clock: DaemonClock,
    tolerance: QuotaTolerance,
    by_workspace: Mutex<HashMap<WorkspaceName, QuotaState>>,
    placed: Mutex<PlacedFor>,
}

/// What the places of the states follow from.
#[derive(Debug, Default, PartialEq)]
struct PlacedFor {
    /// The version of the configuration.
    version: u64,
    members: Vec<FrontRecord>,
}

impl QuotaStates {
    /// The states of the front `own` among the registered `members`.
    pub fn new(
        own: &VmName,
        members: &Arc<Mutex<Vec<FrontRecord>>>,
        view: &Arc<SharedView>,
        clock: &DaemonClock,
        tolerance: QuotaTolerance,
    ) -> Self {
        Self {
            own: own.clone(),
            members: Arc::clone(members),
            view: Arc::clone(view),
            clock: clock.clone(),
            tolerance,
            by_workspace: Mutex::default(),
            placed: Mutex::default(),
        }
    }

    /// How a workspace's quota is divided, if it has one.
    pub fn parts(&self, workspace: &Workspace) -> Option<QuotaParts> {
        let quota = workspace.quota.as_ref()?;
        Some(QuotaParts::new(quota, &self.tolerance))
    }

    /// Like [`Self::parts`], for a workspace of the configuration in force.
    pub fn parts_by_name(&self, workspace: &WorkspaceName) -> Option<QuotaParts> {
        let view = self.view.load();
        let workspaces = view.routes.as_ref()?.workspaces();
        self.parts(workspaces.find_by_name(workspace)?)
    }

    /// Applies `apply` to the state of `workspace`.
    pub fn with<Applied, Apply>(
        &self,
        workspace: &WorkspaceName,
        parts: &QuotaParts,
        apply: Apply,
    ) -> Applied
    where
        Apply: FnOnce(&mut QuotaState, Instant) -> Applied,
    {
        let now = self.clock.now();
        let mut states = lock(&self.by_workspace);
        if let Some(state) = states.get_mut(workspace) {
            return apply(state, now);
        }
        let members = lock(&self.members);
        let group = GrantorGroup::new(&self.own, &members);
        let place = QuotaPlace::new(workspace, &self.own, &group, &members);
        let state = states.entry(workspace.clone());
        apply(
            state.or_insert_with(|| QuotaState::new(place, parts, now)),
            now,
        )
    }

    /// Applies `apply` to the state of `workspace`, if there is one.
    pub fn update<Applied, Apply>(&self, workspace: &WorkspaceName, apply: Apply) -> Option<Applied>
    where
        Apply: FnOnce(&mut QuotaState, Instant) -> Applied,
    {
        let now = self.clock.now();
        let mut states = lock(&self.by_workspace);
        states.get_mut(workspace).map(|state| apply(state, now))
    }

    /// Orders the fronts for all workspaces. Returns those that grant quotas if they or
    /// the configuration have changed.
    pub fn place_all(&self) -> Option<GrantorGroup> {
        let view = self.view.load();
        let routes = view.routes.as_ref()?;
        let current = PlacedFor {
            version: routes.version(),
            members: lock(&self.members).clone(),
        };
        let mut placed = lock(&self.placed);
        if *placed == current {
            return None;
        }
        let group = GrantorGroup::new(&self.own, &current.members);
        self.place_in(&group, &current.members, routes);
        *placed = current;
        let has_quotas = !lock(&self.by_workspace).is_empty();
        has_quotas.then_some(group)
    }

    fn place_in(&self, group: &GrantorGroup, members: &[FrontRecord], routes: &RouteTable) {
        let now = self.clock.now();
        let mut states = lock(&self.by_workspace);
        let has_quota = |name: &WorkspaceName| {
            let workspace = routes.workspaces().find_by_name(name);
            workspace.is_some_and(|workspace| workspace.quota.is_some())
        };
        states.retain(|name, _| has_quota(name));
        for workspace in routes.workspaces().workspaces() {
            let Some(parts) = self.parts(workspace) else {
                continue;
            };
            let place = QuotaPlace::new(&workspace.name, &self.own, group, members);
            match states.entry(workspace.name.clone()) {
                Entry::Occupied(mut state) => state.get_mut().set_place(place, &parts, now),
                Entry::Vacant(state) => {
                    state.insert(QuotaState::new(place, &parts, now));
                }
            }
        }
    }

    /// The quotas that this front has just come to own, and who may own them still.
    pub fn predecessors_to_ask(&self) -> Vec<(WorkspaceName, SocketAddr)> {
        let now = self.clock.now();
        let states = lock(&self.by_workspace);
        let asked = states.iter().filter_map(|(workspace, state)| {
            let predecessor = state.predecessor_to_ask(now)?;
            Some((workspace.clone(), predecessor))
        });
        asked.collect()
    }

    /// The quotas that this front owns.
    pub fn owned(&self) -> Vec<OwnedQuota> {
        let now = self.clock.now();
        let states = lock(&self.by_workspace);
        let owned = states.iter().filter_map(|(workspace, state)| {
            let owned_for = now.saturating_duration_since(state.owned_since()?);
            Some(OwnedQuota {
                workspace: workspace.clone(),
                credit: state.credit(),
                owned_for,
            })
        });
        owned.collect()
    }
}
