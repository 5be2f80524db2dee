//! Every front of the region receives a notice once.

use crate::feed_order::members;
use camphorway_model::FrontRecord;
use camphorway_policy::{NoticeReach, NoticeRoute};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Four domains in two regions.
fn route(own: &FrontRecord, all: &[FrontRecord]) -> NoticeRoute {
    let regions = all.iter().map(|member| {
        let is_west = member.domain.as_str() < "domain-2";
        let region = if is_west { "west" } else { "east" };
        (member.domain.clone(), region.to_owned())
    });
    NoticeRoute::new(own, &regions.collect())
}

#[test]
fn each_front_of_the_region_is_notified_once() {
    let all = members(4, 5);
    let by_address: HashMap<SocketAddr, &FrontRecord> =
        all.iter().map(|member| (member.address, member)).collect();
    for observer in &all {
        let mut notified: HashMap<SocketAddr, usize> = HashMap::new();
        let mut queue = VecDeque::new();
        let first = route(observer, &all).next_hops(NoticeReach::Origin, None, &all);
        queue.extend(first.into_iter().map(|target| (observer.address, target)));
        while let Some((from, (address, reach))) = queue.pop_front() {
            *notified.entry(address).or_default() += 1;
            let next = route(by_address[&address], &all).next_hops(reach, Some(from), &all);
            queue.extend(next.into_iter().map(|target| (address, target)));
        }
        let region: Vec<&FrontRecord> = all
            .iter()
            .filter(|member| {
                (member.domain.as_str() < "domain-2") == (observer.domain.as_str() < "domain-2")
            })
            .collect();
        for member in &region {
            let count = notified.get(&member.address).copied().unwrap_or(0);
            assert_eq!(
                count,
                usize::from(member.vm != observer.vm),
                "{}",
                member.vm
            );
        }
        assert_eq!(notified.len(), region.len() - 1, "nobody else is notified");
    }
}

#[test]
fn a_front_without_members_notifies_nobody() {
    let all = members(1, 1);
    assert!(
        route(&all[0], &all)
            .next_hops(NoticeReach::Origin, None, &[])
            .is_empty()
    );
}
