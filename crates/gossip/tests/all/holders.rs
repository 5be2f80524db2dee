//! Groups are spread evenly over holders, and the loss of a member moves few other groups.

use camphorway_gossip::{HolderTable, MemberRecord, MemberState};
use camphorway_model::{FailureDomain, GroupId, ServiceName, VmName};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn groups(count: u32) -> Vec<GroupId> {
    (0..count)
        .map(|index| GroupId {
            service: ServiceName::new("portal"),
            domain: FailureDomain::new("d"),
            index,
        })
        .collect()
}

fn members(count: u16) -> Vec<MemberRecord> {
    (0..count)
        .map(|index| MemberRecord {
            vm: VmName::new(&format!("entry-{index}")),
            domain: FailureDomain::new("d"),
            address: SocketAddr::from(([127, 0, 0, 1], index + 1)),
            incarnation: 1,
            state: MemberState::Alive,
        })
        .collect()
}

fn assign(groups: &[GroupId], members: &[MemberRecord], seats: usize) -> HolderTable {
    HolderTable::assign(groups, &members.iter().collect::<Vec<_>>(), seats)
}

#[test]
fn load_is_bounded() {
    let groups = groups(173);
    for (count, seats) in [(3, 1), (20, 1), (155, 1), (155, 8)] {
        let table = assign(&groups, &members(count), seats);
        let mut load: BTreeMap<String, usize> = BTreeMap::new();
        for seat in table.groups.values().flat_map(|group| &group.seats) {
            *load.entry(seat.vm.to_string()).or_default() += 1;
        }
        let mean_load = (173 * seats) as f64 / f64::from(count);
        let max_load = load.values().max().copied().unwrap_or_default();
        assert!(
            max_load as f64 <= (mean_load * 1.25).ceil(),
            "{max_load} of {mean_load} at {count}"
        );
    }
}

#[test]
fn every_group_has_seats_and_standbys() {
    for group in assign(&groups(40), &members(9), 1).groups.values() {
        assert_eq!(group.seats.len(), 1);
        assert_eq!(group.standbys.len(), 2);
    }
    let single = assign(&groups(4), &members(1), 1);
    assert!(single.groups.values().all(|group| group.seats.len() == 1));
    let without_members = assign(&groups(4), &[], 1);
    assert!(
        without_members
            .groups
            .values()
            .all(|group| group.seats.is_empty())
    );
}

#[test]
fn loss_of_a_member_moves_few_groups() {
    let groups = groups(200);
    let all = members(20);
    let before = assign(&groups, &all, 1);
    let after = assign(&groups, &all[1..], 1);
    let moved = before
        .groups
        .iter()
        .filter(|(id, seats)| after.groups[*id].seats != seats.seats);
    let moved = moved.count();
    assert!(
        moved <= 40,
        "{moved} of 200 groups moved for one of 20 members"
    );
}
