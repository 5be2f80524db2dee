//! A configuration of fronts in the order in which it was written, with its mistakes.
//!
//! A [`RouteTable`] keeps only what can be in force. A draft also keeps
//! what a table drops, and where each entry stands, so that a check can name it.

use crate::id::{ServiceName, WorkspaceName};
use crate::routing::{CallerLimits, RequestRoute, RouteTable, RoutedService};
use crate::workspace::{KeyDigest, Workspace, WorkspaceTable};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

/// A configuration before it becomes a table.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationDraft {
    /// The version; each change increases it.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RequestRoute>,
    /// The services, by name.
    pub services: Vec<(ServiceName, RoutedService)>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The workspaces.
    pub workspaces: Vec<DraftWorkspace>,
    /// The figures that count as absent or as another one.
    pub ignored: Vec<(DraftPlace, IgnoredFigure)>,
}

impl ConfigurationDraft {
    /// The names of workspaces that have the name of one before.
    pub fn repeated_names(&self) -> impl Iterator<Item = &WorkspaceName> {
        let mut names = HashSet::new();
        let all = self.workspaces.iter().map(|entry| &entry.workspace.name);
        all.filter(move |name| !names.insert(*name))
    }

    /// The configuration as fronts use it. Of services with one name, the last counts; a
    /// key belongs to the first workspace that has it. Workspaces with one name are one,
    /// with the first one's priority, quota and homes: a quota is one for each name.
    pub fn into_table(self) -> RouteTable {
        let mut workspaces = WorkspaceTable::default();
        for entry in merge_namesakes(self.workspaces) {
            // Servers must not run requests of an unnamed workspace.
            let keys = entry.keys.into_iter().filter(|_| entry.is_usable);
            workspaces.insert(entry.workspace, keys);
        }
        let services = self.services.into_iter().collect();
        RouteTable::new(self.version, self.routes, services, self.limits)
            .with_workspaces(workspaces)
    }
}

/// Takes the keys of workspaces with one name together.
fn merge_namesakes(entries: Vec<DraftWorkspace>) -> Vec<DraftWorkspace> {
    let mut merged: Vec<DraftWorkspace> = Vec::with_capacity(entries.len());
    let mut indexes: HashMap<WorkspaceName, usize> = HashMap::new();
    for entry in entries {
        match indexes.entry(entry.workspace.name.clone()) {
            Entry::Occupied(index) => merged[*index.get()].keys.extend(entry.keys),
            Entry::Vacant(index) => {
                index.insert(merged.len());
                merged.push(entry);
            }
        }
    }
    merged
}

/// A workspace with its keys.
#[derive(Clone, Debug)]
pub struct DraftWorkspace {
    /// The workspace.
    pub workspace: Workspace,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Whether servers can be told its name.
    pub is_usable: bool,
}

/// A figure that fronts don't take as it stands.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum IgnoredFigure {
    /// A quota without a rate above 0, so that there is no limit.
    Quota,
    /// A rate or time of cold servers below 0, so that there is no limit.
    WarmUp,
    /// No attempt; one is made.
    Attempts,
    /// A kind of request that isn't known; it is never repeated.
    Kind,
}

/// The place of an entry in a draft.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DraftPlace {
    /// The version.
    Version,
    /// One of the limits on callers.
    Limit(LimitPart),
    /// A part of the route with this index.
    Route(usize, RoutePart),
    /// A part of the service with this index.
    Service(usize, ServicePart),
    /// A part of the workspace with this index.
    Workspace(usize, WorkspacePart),
}

/// A limit on callers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LimitPart {
    /// Maximum size of a request head.
    HeaderBytes,
    /// Maximum size of a request body.
    BodyBytes,
    /// Maximum time to receive a request head.
    HeaderTimeout,
    /// Maximum time that a connection may be idle.
    IdleTimeout,
}

/// A part of a route.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RoutePart {
    /// The name.
    Name,
    /// The host.
    Host,
    /// The path prefix.
    Prefix,
    /// The kind of request.
    Kind,
    /// The time limit.
    TimeLimit,
    /// The objective.
    Objective,
    /// The number of attempts.
    Attempts,
    /// The one service.
    Service,
    /// All services of a split.
    Split,
    /// The service with this index in a split.
    SplitService(usize),
    /// The weight with this index in a split.
    SplitWeight(usize),
    /// All services of a merged answer.
    Gather,
    /// The service with this index of a merged answer.
    Shard(usize),
    /// The number of records of a merged answer.
    TopRecords,
    /// The minimum coverage of a merged answer.
    MinShare,
    /// The home regions.
    Homes,
}

/// A part of a service's configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ServicePart {
    /// The name.
    Name,
    /// The connections that one server accepts.
    Connections,
    /// The limit of cold servers.
    WarmUp,
}

/// A part of a workspace.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkspacePart {
    /// The name.
    Name,
    /// All keys.
    Keys,
    /// The key with this index.
    Key(usize),
    /// The quota's rate.
    Rate,
    /// The quota's burst.
    Burst,
    /// The home regions.
    Homes,
}
