//! Counts requests by workspace, in a bounded number of series.

use camphorway_daemon::metric_set::MetricSet;
use camphorway_daemon::sync::lock;
use camphorway_model::{WorkspaceName, WorkspaceTable};
use prometheus::IntCounterVec;
use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

/// Workspaces that have series of their own; all others share one.
pub const MAX_WORKSPACE_SERIES: usize = 256;
const OTHER_WORKSPACES: &str = "others";

/// The requests of each workspace by their ends.
#[derive(Debug)]
pub struct WorkspaceSeries {
    requests: IntCounterVec,
    /// The ends counted for each workspace that has series of its own.
    counted: Mutex<HashMap<WorkspaceName, BTreeSet<String>>>,
}

impl WorkspaceSeries {
    /// Registers the series in `set`.
    pub fn new(set: &MetricSet) -> Self {
        Self {
            requests: set.counters(
                "front_workspace_requests_total",
                "Requests by workspace and outcome, or the reason of a refusal",
                &["workspace", "outcome"],
            ),
            counted: Mutex::default(),
        }
    }

    /// Counts one request.
    pub fn count(&self, workspace: &WorkspaceName, end: &str) {
        let mut counted = lock(&self.counted);
        let has_room = counted.len() < MAX_WORKSPACE_SERIES;
        let name = if counted.contains_key(workspace) || has_room {
            let ends = counted.entry(workspace.clone()).or_default();
            ends.insert(end.to_owned());
            workspace.as_str()
        } else {
            OTHER_WORKSPACES
        };
        self.requests.with_label_values(&[name, end]).inc();
    }

    /// Removes the series of workspaces that `table` lacks, to make room for others.
    pub fn retain(&self, table: &WorkspaceTable) {
        lock(&self.counted).retain(|workspace, ends| {
            let is_known = table.find_by_name(workspace).is_some();
            if !is_known {
                self.remove(workspace, ends);
            }
            is_known
        });
    }

    fn remove(&self, workspace: &WorkspaceName, ends: &BTreeSet<String>) {
        for end in ends {
            let labels = [workspace.as_str(), end.as_str()];
            // Fails only if there is no such series.
            let _ = self.requests.remove_label_values(&labels);
        }
    }
}
