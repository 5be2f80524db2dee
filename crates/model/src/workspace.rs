//! Workspaces: customers that share the tier, the keys by which their requests are
//! recognized, and the regions that may serve them.

use crate::id::{RegionName, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// The regions whose servers may serve a route or a workspace; empty if all may.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HomeRegions(pub Vec<RegionName>);

/// A one-way digest of a key. Configurations hold digests only, so that no key reaches
/// a log, a metric or another front.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyDigest(pub [u8; 16]);

/// One workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// The name, as servers are told.
    pub name: WorkspaceName,
    /// The rank of its requests, in place of their route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its limit over all fronts, if it has one.
    pub quota: Option<WorkspaceQuota>,
    /// The regions that may serve it.
    pub homes: HomeRegions,
}

/// The limit of a workspace's requests over all fronts together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceQuota {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Requests beyond that rate that may come at once.
    pub burst: f64,
}

/// All workspaces, by their keys.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WorkspaceTable {
    workspaces: Vec<Arc<Workspace>>,
    /// The index of each key's workspace.
    by_key: HashMap<KeyDigest, u32>,
}

impl WorkspaceTable {
    /// Adds a workspace with its keys. A key that another workspace has stays its own.
    pub fn insert<Keys>(&mut self, workspace: Workspace, keys: Keys)
    where
        Keys: IntoIterator<Item = KeyDigest>,
    {
        let index = self.workspaces.len() as u32;
        self.workspaces.push(Arc::new(workspace));
        for key in keys {
            self.by_key.entry(key).or_insert(index);
        }
    }

    /// Whether there are workspaces, so that requests need a key.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// The workspace that holds `key`.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        let index = *self.by_key.get(key)?;
        self.workspaces.get(index as usize)
    }

    /// The workspace with this name.
    pub fn find_by_name(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == *name)
    }

    /// All workspaces, in the order in which they were added.
    pub fn workspaces(&self) -> &[Arc<Workspace>] {
        &self.workspaces
    }
}
