//! The assignment of backend server groups to daemons.
//!
//! Uses rendezvous hashing (Thaler and Ravishankar, 1998) over the serving
//! members of the group's failure domain, with a bound on each member's load as
//! in consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
//! 2018). All daemons compute the same table from the same members. While their
//! views differ, two daemons may hold a group at once, which weakens overload
//! protection but nothing else.

use crate::member::MemberRecord;
use camphorway_model::{GroupId, VmName};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

const LOAD_BOUND: f64 = 1.25;
const STANDBYS_PER_GROUP: usize = 2;
const WATCHERS_PER_DOMAIN: usize = 2;

/// A daemon that holds a group or is a standby for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatHolder {
    /// The daemon's VM.
    pub vm: VmName,
    /// The daemon's address.
    pub address: SocketAddr,
}

/// The daemons assigned to one group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupSeats {
    /// The daemons that hold the group.
    pub seats: Vec<SeatHolder>,
    /// The daemons that take over if a holder fails, in order.
    pub standbys: Vec<SeatHolder>,
}

/// The assigned daemons of all groups of one failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HolderTable {
    /// The seats of each group.
    pub groups: BTreeMap<GroupId, GroupSeats>,
}

impl HolderTable {
    /// Assigns `seats` of the `members` to each of the `groups`.
    pub fn assign<'group, Groups>(groups: Groups, members: &[&MemberRecord], seats: usize) -> Self
    where
        Groups: IntoIterator<Item = &'group GroupId>,
    {
        let groups: Vec<&GroupId> = groups.into_iter().collect();
        let seats = seats.min(members.len());
        let mut load: HashMap<&VmName, usize> = HashMap::new();
        let mean_load = (groups.len() * seats) as f64 / members.len().max(1) as f64;
        let max_load = ((mean_load * LOAD_BOUND).ceil() as usize).max(1);
        let mut table = BTreeMap::new();
        for group in groups {
            let order = members_by_score(group, members);
            let mut chosen = GroupSeats::default();
            for member in order {
                let load = load.entry(&member.vm).or_default();
                let holder = SeatHolder {
                    vm: member.vm.clone(),
                    address: member.address,
                };
                if chosen.seats.len() < seats && *load < max_load {
                    *load += 1;
                    chosen.seats.push(holder);
                } else if chosen.standbys.len() < STANDBYS_PER_GROUP {
                    chosen.standbys.push(holder);
                }
                if chosen.seats.len() == seats && chosen.standbys.len() == STANDBYS_PER_GROUP {
                    break;
                }
            }
            table.insert(group.clone(), chosen);
        }
        Self { groups: table }
    }
}

/// The members that watch the platform's store for their failure domain.
pub fn watchers<'member>(members: &[&'member MemberRecord]) -> Vec<&'member MemberRecord> {
    let mut order: Vec<_> = members.to_vec();
    order.sort_by_key(|member| std::cmp::Reverse(score(b"watch", &member.vm)));
    order.truncate(WATCHERS_PER_DOMAIN);
    order
}

fn members_by_score<'member>(
    group: &GroupId,
    members: &[&'member MemberRecord],
) -> Vec<&'member MemberRecord> {
    let key = group.to_string();
    let mut order: Vec<_> = members
        .iter()
        .map(|member| (score(key.as_bytes(), &member.vm), *member))
        .collect();
    order.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.vm.cmp(&right.1.vm)));
    order.into_iter().map(|(_, member)| member).collect()
}

fn score(key: &[u8], vm: &VmName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    hasher.digest()
}
