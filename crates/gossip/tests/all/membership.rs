//! Members discover each other, detect dead members and tolerate short pauses.

use crate::network::FakeNetwork;
use proptest::prelude::*;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(60);

#[test]
fn members_of_all_domains_find_each_other() {
    let mut network = FakeNetwork::new(3, 5, 1);
    let elapsed = network.run_until(LIMIT, |network| network.min_serving_seen() == 15);
    assert!(
        elapsed.is_some_and(|elapsed| elapsed < Duration::from_secs(20)),
        "{elapsed:?}"
    );
}

#[test]
fn dead_member_is_detected_in_seconds() {
    let mut network = FakeNetwork::new(1, 20, 2);
    network
        .run_until(LIMIT, |network| network.min_serving_seen() == 20)
        .expect("joined");
    network.down[7] = true;
    let elapsed = network
        .run_until(LIMIT, |network| network.is_gone(7))
        .expect("detected");
    assert!(elapsed < Duration::from_secs(20), "{elapsed:?}");
}

#[test]
fn short_pause_is_tolerated_and_long_pause_recovers() {
    let mut network = FakeNetwork::new(1, 9, 3);
    network
        .run_until(LIMIT, |network| network.min_serving_seen() == 9)
        .expect("joined");
    network.down[4] = true;
    network.run(Duration::from_secs(2));
    network.down[4] = false;
    for _ in 0..40 {
        network.run(Duration::from_millis(250));
        assert!(!network.is_gone(4));
    }
    network.down[4] = true;
    network.run(Duration::from_secs(30));
    assert!(network.is_gone(4));
    network.down[4] = false;
    let elapsed = network.run_until(LIMIT, |network| network.min_serving_seen() == 9);
    assert!(elapsed.is_some());
}

#[test]
fn partitioned_domains_keep_their_members_and_recover() {
    let mut network = FakeNetwork::new(3, 4, 4);
    network
        .run_until(LIMIT, |network| network.min_serving_seen() == 12)
        .expect("joined");
    network.is_partitioned = true;
    network.run(Duration::from_secs(120));
    assert_eq!(
        network.min_serving_seen(),
        12,
        "a partition must not make members dead"
    );
    network.is_partitioned = false;
    network.run(Duration::from_secs(10));
    assert_eq!(network.min_serving_seen(), 12);
}

#[test]
fn leaving_member_is_no_longer_counted_as_serving() {
    let mut network = FakeNetwork::new(1, 9, 5);
    network
        .run_until(LIMIT, |network| network.min_serving_seen() == 9)
        .expect("joined");
    let actions = network.members[3].leave(network.now);
    network.perform(3, actions);
    let elapsed = network
        .run_until(LIMIT, |network| network.is_gone(3))
        .expect("detected");
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8))]

    #[test]
    fn members_recover_after_message_loss(seed in any::<u64>(), loss in 0.0..0.2_f64) {
        let mut network = FakeNetwork::new(2, 5, seed);
        network.loss = loss;
        network.run(Duration::from_secs(60));
        network.loss = 0.0;
        let recovered = network.run_until(LIMIT, |network| network.min_serving_seen() == 10);
        prop_assert!(recovered.is_some());
    }
}
