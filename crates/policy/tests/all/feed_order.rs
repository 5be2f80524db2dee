//! Which fronts ask the store, and which ask other fronts.

use camphorway_model::{FailureDomain, FrontRecord, PeerKey, VmName};
use camphorway_policy::{FeedOrder, FeedOrigin};
use std::collections::HashMap;
use std::time::{Duration, Instant};

pub(crate) fn members(domains: usize, each: usize) -> Vec<FrontRecord> {
    let number = |domain: usize, index: usize| domain * each + index;
    let record = |domain: usize, index: usize| FrontRecord {
        vm: VmName::new(&format!("vm-{}", number(domain, index))),
        domain: FailureDomain::new(&format!("domain-{domain}")),
        address: format!("127.0.0.1:{}", 9_000 + number(domain, index))
            .parse()
            .expect("an address"),
        key: PeerKey::from_der(&[7]),
    };
    let all = (0..domains).flat_map(|domain| (0..each).map(move |index| (domain, index)));
    all.map(|(domain, index)| record(domain, index)).collect()
}

/// Each failure domain is a region of its own.
fn order(member: &FrontRecord) -> FeedOrder {
    FeedOrder::new(member, &HashMap::new())
}

#[test]
fn one_front_of_each_domain_asks_the_store_first() {
    let members = members(6, 12);
    let firsts = members
        .iter()
        .filter(|member| order(member).is_first(&members))
        .count();
    assert_eq!(firsts, 6);
    let now = Instant::now();
    for member in &members {
        let origins = order(member).origins(&members, now);
        let is_first = order(member).is_first(&members);
        assert_eq!(origins[0] == FeedOrigin::Store, is_first);
        assert!(
            origins.contains(&FeedOrigin::Store),
            "no front depends on peers alone"
        );
        let asks_itself = origins
            .iter()
            .any(|origin| matches!(origin, FeedOrigin::Peer(vm, _) if *vm == member.vm));
        assert!(!asks_itself);
    }
}

#[test]
fn one_front_of_a_region_asks_the_store_and_its_domains_ask_that_one() {
    let members = members(6, 12);
    let regions: HashMap<FailureDomain, String> = (0..6)
        .map(|domain| {
            let name = FailureDomain::new(&format!("domain-{domain}"));
            (name, format!("region-{}", domain % 3))
        })
        .collect();
    let now = Instant::now();
    let mut from_store = Vec::new();
    for member in &members {
        let mut order = FeedOrder::new(member, &regions);
        let origins = order.origins(&members, now);
        assert!(origins.contains(&FeedOrigin::Store));
        match &origins[0] {
            FeedOrigin::Store => from_store.push(member),
            FeedOrigin::Peer(vm, _) => {
                let peer = members.iter().find(|other| other.vm == *vm);
                let peer = peer.expect("a member");
                assert_eq!(regions[&peer.domain], regions[&member.domain]);
                let is_own = peer.domain == member.domain;
                assert_eq!(is_own, !order.is_first(&members));
            }
        }
    }
    assert_eq!(from_store.len(), 3);
    // If that front does not answer, the other domain's first asks the store.
    let follower = members.iter().find(|member| {
        let order = FeedOrder::new(member, &regions);
        let is_asked = from_store.iter().any(|first| first.vm == member.vm);
        order.is_first(&members) && !is_asked
    });
    let mut order = FeedOrder::new(
        follower.expect("the first front of another domain"),
        &regions,
    );
    let asked = order.origins(&members, now).remove(0);
    assert_ne!(asked, FeedOrigin::Store);
    order.record_failure(&asked, now);
    assert_eq!(order.origins(&members, now)[0], FeedOrigin::Store);
}

#[test]
fn a_front_without_members_asks_the_store() {
    let alone = members(1, 1);
    assert_eq!(
        order(&alone[0]).origins(&[], Instant::now()),
        [FeedOrigin::Store]
    );
    assert!(order(&alone[0]).is_first(&[]));
}

#[test]
fn failed_peers_are_skipped_for_a_while() {
    let members = members(2, 5);
    let now = Instant::now();
    let follower = members
        .iter()
        .find(|member| !order(member).is_first(&members))
        .expect("a follower");
    let mut order = order(follower);
    let before = order.origins(&members, now);
    let first = &before[0];
    assert_ne!(*first, FeedOrigin::Store);
    order.record_failure(first, now);
    assert!(!order.origins(&members, now).contains(first));
    assert_eq!(
        order.origins(&members, now + Duration::from_secs(4)),
        before
    );
}

/// A front that is cut off from the store asks a front that may reach it, and still
/// asks the store as well.
#[test]
fn a_store_that_failed_is_asked_last_for_a_while() {
    let members = members(2, 5);
    let now = Instant::now();
    let first = members
        .iter()
        .find(|member| order(member).is_first(&members))
        .expect("a first front");
    let mut order = order(first);
    let before = order.origins(&members, now);
    assert_eq!(before[0], FeedOrigin::Store);
    order.record_failure(&FeedOrigin::Store, now);
    let after = order.origins(&members, now);
    assert_eq!(after.last(), Some(&FeedOrigin::Store));
    assert_eq!(after.len(), before.len());
    let later = now + Duration::from_secs(4);
    assert_eq!(order.origins(&members, later), before);
}
