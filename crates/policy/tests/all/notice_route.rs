//! Every front of the region receives a notice once.

use crate::feed_order::members;
use camphorway_model::FrontRecord;
use camphorway_policy::{NoticeReach, NoticeRoute};
use std::collections::{HashMap, HashSet, VecDeque};
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

/// Returns how many fronts a flooded notice of `observer` reaches, and how often it
/// is sent, while `silent` fronts neither receive nor send.
fn flood(all: &[FrontRecord], observer: &FrontRecord, silent: &[&FrontRecord]) -> (usize, usize) {
    let by_address: HashMap<SocketAddr, &FrontRecord> =
        all.iter().map(|member| (member.address, member)).collect();
    let mut notified = HashSet::from([observer.address]);
    let mut queue = VecDeque::from([observer]);
    let mut sent = 0;
    while let Some(front) = queue.pop_front() {
        for address in route(front, all).neighbours(all) {
            assert_ne!(address, front.address);
            sent += 1;
            let is_silent = silent.iter().any(|front| front.address == address);
            if !is_silent && notified.insert(address) {
                queue.push_back(by_address[&address]);
            }
        }
    }
    (notified.len(), sent)
}

/// A front that is silent kept notices from its whole failure domain.
#[test]
fn a_flooded_notice_reaches_all_fronts_though_one_of_each_domain_is_silent() {
    let all = members(4, 5);
    for observer in &all {
        assert_eq!(flood(&all, observer, &[]).0, all.len());
        for index in 0..5 {
            let of_each: Vec<&FrontRecord> = all.iter().skip(index).step_by(5).collect();
            let silent: Vec<&FrontRecord> = of_each
                .into_iter()
                .filter(|front| front.vm != observer.vm)
                .collect();
            let reached = flood(&all, observer, &silent).0;
            assert_eq!(reached, all.len() - silent.len(), "{}", observer.vm);
        }
    }
}

#[test]
fn a_flood_costs_a_few_messages_a_front() {
    let all = members(11, 154);
    let (reached, sent) = flood(&all, &all[7], &[]);
    assert_eq!(reached, all.len());
    assert!(sent < 5 * all.len(), "{sent} messages");
}

#[test]
fn a_front_without_members_notifies_nobody() {
    let all = members(1, 1);
    assert!(
        route(&all[0], &all)
            .next_hops(NoticeReach::Origin, None, &[])
            .is_empty()
    );
    assert!(route(&all[0], &all).neighbours(&[]).is_empty());
}
