//! Members find each other, notice deaths and don't take a pause for one.

use crate::network::FakeNetwork;
use proptest::prelude::*;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(60);

#[test]
fn members_of_all_domains_find_each_other() {
    let mut network = FakeNetwork::new(3, 5, 1);
    let took = network.run_until(LIMIT, |network| network.least_known() == 15);
    assert!(
        took.is_some_and(|took| took < Duration::from_secs(20)),
        "{took:?}"
    );
}

#[test]
fn dead_member_is_noticed_in_seconds() {
    let mut network = FakeNetwork::new(1, 20, 2);
    network
        .run_until(LIMIT, |network| network.least_known() == 20)
        .expect("joined");
    network.down[7] = true;
    let took = network
        .run_until(LIMIT, |network| network.is_gone(7))
        .expect("noticed");
    assert!(took < Duration::from_secs(20), "{took:?}");
}

#[test]
fn short_pause_is_no_death_and_long_one_heals() {
    let mut network = FakeNetwork::new(1, 9, 3);
    network
        .run_until(LIMIT, |network| network.least_known() == 9)
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
    let took = network.run_until(LIMIT, |network| network.least_known() == 9);
    assert!(took.is_some());
}

#[test]
fn cut_domains_keep_their_members_and_heal() {
    let mut network = FakeNetwork::new(3, 4, 4);
    network
        .run_until(LIMIT, |network| network.least_known() == 12)
        .expect("joined");
    network.is_cut = true;
    network.run(Duration::from_secs(120));
    assert_eq!(
        network.least_known(),
        12,
        "a cut is not the death of those behind it"
    );
    network.is_cut = false;
    network.run(Duration::from_secs(10));
    assert_eq!(network.least_known(), 12);
}

#[test]
fn leaving_member_is_passed_over_at_once() {
    let mut network = FakeNetwork::new(1, 9, 5);
    network
        .run_until(LIMIT, |network| network.least_known() == 9)
        .expect("joined");
    let actions = network.members[3].leave(network.now);
    network.act(3, actions);
    let took = network
        .run_until(LIMIT, |network| network.is_gone(3))
        .expect("noticed");
    assert!(took < Duration::from_millis(500), "{took:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8))]

    #[test]
    fn loss_kills_nobody_for_good(seed in any::<u64>(), loss in 0.0..0.2_f64) {
        let mut network = FakeNetwork::new(2, 5, seed);
        network.loss = loss;
        network.run(Duration::from_secs(60));
        network.loss = 0.0;
        let healed = network.run_until(LIMIT, |network| network.least_known() == 10);
        prop_assert!(healed.is_some());
    }
}
