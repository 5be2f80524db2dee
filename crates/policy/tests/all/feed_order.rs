//! Who asks the store, and who asks whom.

use camphorway_model::{FailureDomain, FrontRecord, PeerKey, VmName};
use camphorway_policy::{FeedOrder, FeedOrigin};
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

fn order(member: &FrontRecord) -> FeedOrder {
    FeedOrder::new(&member.vm, &member.domain)
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
            "nobody depends on peers"
        );
        let asks_itself = origins
            .iter()
            .any(|origin| matches!(origin, FeedOrigin::Peer(vm, _) if *vm == member.vm));
        assert!(!asks_itself);
    }
}

#[test]
fn a_front_that_knows_nobody_asks_the_store() {
    let alone = members(1, 1);
    assert_eq!(
        order(&alone[0]).origins(&[], Instant::now()),
        [FeedOrigin::Store]
    );
    assert!(order(&alone[0]).is_first(&[]));
}

#[test]
fn peers_that_fail_are_passed_over_for_a_while() {
    let members = members(2, 5);
    let now = Instant::now();
    let follower = members
        .iter()
        .find(|member| !order(member).is_first(&members))
        .expect("a follower");
    let mut order = order(follower);
    let before = order.origins(&members, now);
    let FeedOrigin::Peer(first, _) = &before[0] else {
        panic!("a follower asks a peer first");
    };
    order.note_failed(first, now);
    let after = order.origins(&members, now);
    let still = after
        .iter()
        .any(|origin| matches!(origin, FeedOrigin::Peer(vm, _) if vm == first));
    assert!(!still);
    assert_eq!(
        order.origins(&members, now + Duration::from_secs(4)),
        before
    );
}
