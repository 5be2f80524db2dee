//! Fronts serve from their cached state while the store is down or silent or has
//! lost its history.

use super::{new_id, testbed};
use camphorway_standins::front::object_store::StoreFault;
use camphorway_standins::front::testbed::FrontTestbed;
use std::time::{Duration, Instant};

fn check_success(testbed: &FrontTestbed, front: usize, path: &str) {
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
fn fronts_serve_through_each_kind_of_store_outage_and_catch_up() {
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        let mut testbed = testbed(1, 1);
        testbed.store.set_fault(fault);
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(2) {
            check_success(&testbed, 0, "/s0/");
        }
        let version = testbed.configure(&testbed.routes());
        testbed.store.set_fault(StoreFault::None);
        wait_version(&testbed, version, Duration::from_secs(4));
    }
}

#[test]
fn registrations_that_expire_in_an_outage_remove_no_servers() {
    let testbed = testbed(1, 1);
    testbed.store.set_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(500));
    for server in &testbed.servers[0] {
        testbed.store.remove("servers", &server.name);
    }
    testbed.store.set_fault(StoreFault::None);
    let returned_at = Instant::now();
    while returned_at.elapsed() < Duration::from_millis(1_500) {
        check_success(&testbed, 0, "/s0/");
    }
    testbed.register(&testbed.servers[0][1], "service0", "b", "ready");
    std::thread::sleep(Duration::from_secs(2));
    check_success(&testbed, 0, "/s0/");
    let arrivals = testbed.servers[0][1].arrivals();
    assert!(
        !arrivals.is_empty(),
        "the server that registered again is used"
    );
}

/// All registrations expired while the store was unavailable, and the front
/// restarts: it uses each server soon after it registers again.
#[test]
fn servers_that_return_after_a_restart_are_used_soon() {
    let mut testbed = testbed(1, 0);
    for server in &testbed.servers[0] {
        testbed.store.remove("servers", &server.name);
    }
    testbed.budget = "ratio = 0.2\nrestart = true\n";
    testbed.add_front("a").expect("a front");
    testbed.wait_ready().expect("it has the routes");
    testbed.register(&testbed.servers[0][0], "service0", "a", "ready");
    let returned_at = Instant::now();
    while testbed
        .send_request(0, "GET", "/s0/", &new_id())
        .expect("an answer")
        .status()
        != 200
    {
        assert!(
            returned_at.elapsed() < Duration::from_millis(500),
            "not used yet"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_lost_history_leads_to_a_new_listing() {
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
    assert_eq!(answer.status(), 503, "no 404 from a front without routes");
    assert!(!answer.header("retry-after").is_empty());
    testbed.store.set_fault(StoreFault::None);
    testbed.wait_ready().expect("both are ready");
    check_success(&testbed, 1, "/s0/");
}

#[test]
fn the_store_gets_few_calls_while_nothing_changes() {
    let testbed = testbed(1, 1);
    let before = testbed.store.calls();
    std::thread::sleep(Duration::from_secs(5));
    let calls = testbed.store.calls() - before;
    // Two feeds, each with one watch a second by the testbed's settings.
    assert!(calls <= 14, "{calls} calls in 5 s");
}
