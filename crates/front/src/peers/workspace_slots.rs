//! Bounds what one workspace has waiting at once, so that others find room beside it.

use camphorway_daemon::sync::lock;
use camphorway_model::WorkspaceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// The slots of all workspaces, of which each has the same number.
#[derive(Clone, Debug)]
pub struct WorkspaceSlots {
    per_workspace: usize,
    taken: Arc<Mutex<HashMap<WorkspaceName, usize>>>,
}

/// A slot that is taken until dropped.
#[derive(Debug)]
pub struct WorkspaceSlot<'slots> {
    slots: &'slots WorkspaceSlots,
    workspace: &'slots WorkspaceName,
}

impl WorkspaceSlots {
    /// So many slots for each workspace.
    pub fn new(per_workspace: usize) -> Self {
        Self {
            per_workspace,
            taken: Arc::default(),
        }
    }

    /// Takes a slot of `workspace`, if one is free.
    pub fn take<'slots>(
        &'slots self,
        workspace: &'slots WorkspaceName,
    ) -> Option<WorkspaceSlot<'slots>> {
        let mut taken = lock(&self.taken);
        let count = taken.get(workspace).copied().unwrap_or_default();
        if count >= self.per_workspace {
            return None;
        }
        taken.insert(workspace.clone(), count + 1);
        Some(WorkspaceSlot {
            slots: self,
            workspace,
        })
    }
}

impl Drop for WorkspaceSlot<'_> {
    fn drop(&mut self) {
        let mut taken = lock(&self.slots.taken);
        if let Some(count) = taken.get_mut(self.workspace) {
            *count -= 1;
            if *count == 0 {
                taken.remove(self.workspace);
            }
        }
    }
}
