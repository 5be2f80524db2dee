//! Where a front stands among those that grant workspaces' quotas.
//!
//! A few fronts grant the quotas of all workspaces, so that each front keeps connections
//! to few others. All fronts find the same ones, and the same order for each workspace, by
//! rendezvous hashing over the registered fronts: one that comes or goes moves the quotas
//! of few workspaces.

use crate::quota::GrantorRole;
use camphorway_model::{FrontRecord, VmName, WorkspaceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MIN_GRANTORS: usize = 8;
/// In a large fleet one of so many fronts grants quotas.
const FRONTS_PER_GRANTOR: usize = 16;
const GROUP_SEED: u64 = 0;
const GRANTOR_SEED: u64 = 1;
const LOCAL_SEED: u64 = 2;

/// The fronts that grant quotas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantorGroup {
    /// The group without this front.
    others: Vec<FrontRecord>,
    has_own: bool,
}

impl GrantorGroup {
    /// The group among the registered `members`. The front `own` is in it only if it is
    /// registered: others don't ask it before, nor once it was removed.
    pub fn new(own: &VmName, members: &[FrontRecord]) -> Self {
        let order = FrontOrder { seed: GROUP_SEED };
        let mut others: Vec<&FrontRecord> =
            members.iter().filter(|member| member.vm != *own).collect();
        let size = MIN_GRANTORS.max((others.len() + 1) / FRONTS_PER_GRANTOR);
        others.sort_by_cached_key(|front| order.key(&front.vm));
        let before_own = others
            .iter()
            .filter(|front| order.key(&front.vm) < order.key(own))
            .count();
        let is_registered = others.len() < members.len();
        let has_own = is_registered && before_own < size;
        others.truncate(size - usize::from(has_own));
        Self {
            others: others.into_iter().cloned().collect(),
            has_own,
        }
    }

    /// The fronts of the group without this one.
    pub fn others(&self) -> &[FrontRecord] {
        &self.others
    }
}

/// Where a front stands for one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaPlace {
    /// The owner, unless it is this front.
    pub owner: Option<FrontRecord>,
    /// The deputy, if there is one that is not this front.
    pub deputy: Option<FrontRecord>,
    /// All fronts of the group but this one, in the order in which they come to own the
    /// quota.
    pub others: Vec<FrontRecord>,
    /// In what position this front answers for the workspace, if it does.
    pub role: Option<GrantorRole>,
    /// This front's rank among those that hold parts of their own.
    pub local_rank: usize,
    /// The number of fronts.
    pub fronts: usize,
}

impl QuotaPlace {
    /// The place of the front `own` for `workspace` among the registered `members`, of
    /// which those in `group` grant quotas.
    pub fn new(
        workspace: &WorkspaceName,
        own: &VmName,
        group: &GrantorGroup,
        members: &[FrontRecord],
    ) -> Self {
        let order = FrontOrder::of_workspace(workspace, GRANTOR_SEED);
        let mut others: Vec<&FrontRecord> = group.others.iter().collect();
        others.sort_by_cached_key(|front| order.key(&front.vm));
        let own_key = order.key(own);
        let before_own = others
            .iter()
            .filter(|front| order.key(&front.vm) < own_key)
            .count();
        let (role, owner, deputy) = match (group.has_own, before_own) {
            (true, 0) => (Some(GrantorRole::Owner), None, others.first()),
            (true, 1) => (Some(GrantorRole::Deputy), others.first(), None),
            _ => (None, others.first(), others.get(1)),
        };
        let (owner, deputy) = (owner.copied().cloned(), deputy.copied().cloned());
        let local = FrontOrder::of_workspace(workspace, LOCAL_SEED);
        let own_key = local.key(own);
        let all_others = members.iter().filter(|member| member.vm != *own);
        let is_before = |front: &&FrontRecord| local.key(&front.vm) < own_key;
        Self {
            owner,
            deputy,
            others: others.into_iter().cloned().collect(),
            role,
            local_rank: all_others.clone().filter(is_before).count(),
            fronts: all_others.count() + 1,
        }
    }
}

/// An order of fronts that follows from a seed.
#[derive(Clone, Copy, Debug)]
struct FrontOrder {
    seed: u64,
}

impl FrontOrder {
    fn of_workspace(workspace: &WorkspaceName, seed: u64) -> Self {
        Self {
            seed: xxh3_64_with_seed(workspace.as_str().as_bytes(), seed),
        }
    }

    fn key(self, vm: &VmName) -> (u64, VmName) {
        let hash = xxh3_64_with_seed(vm.as_str().as_bytes(), self.seed);
        (hash, vm.clone())
    }
}
