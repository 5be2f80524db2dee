//! The store is down, silent or forgetful: what is known is served on.

use super::{new_id, testbed};
use camphorway_standins::front::object_store::StoreFault;
use camphorway_standins::front::testbed::FrontTestbed;
use std::time::{Duration, Instant};

fn ask_ok(testbed: &FrontTestbed, front: usize, path: &str) {
    let answer = testbed
        .send_request(front, "GET", path, &new_id())
        .expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
}

fn wait_version(testbed: &FrontTestbed, version: u64, limit: Duration) {
    let began = Instant::now();
    let line = format!("front_configuration_version {version}");
    while !testbed.fronts[0]
        .metrics()
        .expect("metrics")
        .contains(&line)
    {
        assert!(began.elapsed() < limit, "version {version} is not in force");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn an_outage_of_each_kind_is_served_through_and_caught_up_on() {
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        let mut testbed = testbed(1, 1);
        testbed.store.set_fault(fault);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(2) {
            ask_ok(&testbed, 0, "/s0/");
        }
        let version = testbed.configure(&testbed.routes());
        testbed.store.set_fault(StoreFault::None);
        wait_version(&testbed, version, Duration::from_secs(4));
    }
}

#[test]
fn registrations_that_lapse_in_an_outage_are_no_departures() {
    let testbed = testbed(1, 1);
    testbed.store.set_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(500));
    for server in &testbed.servers[0] {
        testbed.store.remove("servers", &server.name);
    }
    testbed.store.set_fault(StoreFault::None);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(1_500) {
        ask_ok(&testbed, 0, "/s0/");
    }
    testbed.register(&testbed.servers[0][1], "service0", "b", "ready");
    std::thread::sleep(Duration::from_secs(2));
    ask_ok(&testbed, 0, "/s0/");
    let arrivals = testbed.servers[0][1].arrivals();
    assert!(!arrivals.is_empty(), "the one that is back serves");
}

/// All registrations have lapsed while the store was away, and the front starts
/// again: it uses each server soon after its return.
#[test]
fn servers_that_return_after_a_restart_are_used_soon() {
    let mut testbed = testbed(1, 0);
    for server in &testbed.servers[0] {
        testbed.store.remove("servers", &server.name);
    }
    testbed.budget = "ratio = 0.2\nrestart = true\n";
    testbed.add_front("a").expect("a front");
    testbed.wait_ready().expect("it knows the routes");
    testbed.register(&testbed.servers[0][0], "service0", "a", "ready");
    let back = Instant::now();
    while testbed
        .send_request(0, "GET", "/s0/", &new_id())
        .expect("an answer")
        .status()
        != 200
    {
        assert!(back.elapsed() < Duration::from_millis(500), "not used yet");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_forgotten_history_is_listed_again() {
    let mut testbed = testbed(1, 1);
    testbed.store.discard_history();
    let version = testbed.configure(&testbed.routes());
    wait_version(&testbed, version, Duration::from_secs(3));
}

#[test]
fn a_front_that_starts_without_a_store_refuses_until_it_is_back() {
    let mut testbed = testbed(1, 1);
    testbed.store.set_fault(StoreFault::Silent);
    testbed.add_front("b").expect("a second front");
    std::thread::sleep(Duration::from_millis(600));
    assert!(!testbed.fronts[1].is_ready());
    let answer = testbed
        .send_request(1, "GET", "/s0/", &new_id())
        .expect("an answer");
    assert_eq!(answer.status(), 503, "no 404 from one that knows no routes");
    assert!(!answer.header("retry-after").is_empty());
    testbed.store.set_fault(StoreFault::None);
    testbed.wait_ready().expect("both are ready");
    ask_ok(&testbed, 1, "/s0/");
}

#[test]
fn the_store_is_asked_seldom_while_nothing_changes() {
    let testbed = testbed(1, 1);
    let before = testbed.store.calls();
    std::thread::sleep(Duration::from_secs(5));
    let calls = testbed.store.calls() - before;
    // Two feeds, one watch a second each by the stage's settings.
    assert!(calls <= 14, "{calls} calls in 5 s");
}
