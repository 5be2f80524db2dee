//! What fronts tell each other: changes, held content, and who is there.

use super::{new_id, stage, wait_version};
use camphorway_standins::routed::object_store::StoreFault;
use camphorway_standins::routed::signed_server::POISON;
use camphorway_standins::routed::stage::RoutedStage;
use rustix::process::Signal;
use std::time::Duration;

/// Fronts know each other after this time.
const ACQUAINTED: Duration = Duration::from_secs(3);

fn two_fronts_of_one_domain() -> RoutedStage {
    let mut stage = stage(1, 1);
    stage.add_front("a").expect("a second front");
    stage.wait_ready().expect("both are ready");
    std::thread::sleep(ACQUAINTED);
    stage
}

#[test]
fn fronts_register_and_take_that_back() {
    let mut stage = stage(1, 3);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(stage.store.count("camphorway-fronts"), 3);
    stage.fronts[0]
        .process
        .signal(Signal::TERM)
        .expect("a signal");
    assert_eq!(
        stage.fronts[0].process.wait(Duration::from_secs(6)),
        Some(0)
    );
    assert_eq!(stage.store.count("camphorway-fronts"), 2);
}

#[test]
fn one_front_of_a_domain_asks_the_store_for_all() {
    let mut stage = two_fronts_of_one_domain();
    for _ in 0..2 {
        stage.add_front("a").expect("another front");
    }
    stage.wait_ready().expect("all are ready");
    std::thread::sleep(ACQUAINTED);
    let before = stage.store.calls();
    std::thread::sleep(Duration::from_secs(5));
    let calls = stage.store.calls() - before;
    // One watch a second for configuration and servers, one in 5 s for the rest.
    assert!(calls <= 16, "{calls} calls in 5 s of four fronts");
    let version = stage.configure(&stage.routes());
    for front in 0..4 {
        wait_version(&stage, front, version);
    }
}

#[test]
fn a_change_is_in_force_though_the_front_that_asks_the_store_is_frozen() {
    for frozen in 0..2 {
        let mut stage = two_fronts_of_one_domain();
        stage.fronts[frozen]
            .process
            .signal(Signal::STOP)
            .expect("a signal");
        std::thread::sleep(Duration::from_millis(500));
        let version = stage.configure(&stage.routes());
        wait_version(&stage, 1 - frozen, version);
        stage.fronts[frozen]
            .process
            .signal(Signal::CONT)
            .expect("a signal");
        wait_version(&stage, frozen, version);
    }
}

#[test]
fn a_front_whose_store_is_back_serves_after_both_restart_without_it() {
    let mut stage = two_fronts_of_one_domain();
    stage.store.set_fault(StoreFault::Reset);
    for front in &mut stage.fronts {
        front.process.kill();
    }
    stage.fronts.clear();
    stage.add_front("a").expect("a front");
    std::thread::sleep(Duration::from_millis(500));
    assert!(!stage.fronts[0].is_ready());
    stage.store.set_fault(StoreFault::None);
    stage.wait_ready().expect("it is ready");
    let answer = stage.ask(0, "GET", "/s0/", &new_id()).expect("an answer");
    assert_eq!(answer.status(), 200);
}

#[test]
fn content_that_crashes_servers_is_held_at_all_fronts() {
    let stage = two_fronts_of_one_domain();
    let path = format!("/s0/{POISON}");
    let ended = || {
        stage.servers[0]
            .iter()
            .filter(|server| server.is_ended())
            .count()
    };
    stage.ask(0, "GET", &path, &new_id()).expect("an answer");
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(ended(), 2, "the first and the one that made it good");
    for _ in 0..6 {
        for front in 0..2 {
            let answer = stage
                .ask(front, "GET", &path, &new_id())
                .expect("an answer");
            assert_eq!(answer.status(), 503, "{answer:?}");
        }
    }
    assert_eq!(ended(), 2, "the third is spared");
    let innocent = stage.ask(1, "GET", "/s0/", &new_id()).expect("an answer");
    assert_eq!(innocent.status(), 200);
}

#[test]
fn servers_that_end_by_themselves_put_nothing_away() {
    let stage = two_fronts_of_one_domain();
    for server in &stage.servers[0][..2] {
        server.set_work(Duration::from_millis(100));
        let callers = stage.fronts[0].callers;
        let asking = std::thread::spawn(move || {
            let text =
                camphorway_standins::routed::stage::request_text("GET", "/s0/same", &new_id(), 900);
            camphorway_standins::routed::stage::exchange(callers, text.as_bytes())
        });
        std::thread::sleep(Duration::from_millis(50));
        server.end();
        let answer = asking.join().expect("a thread").expect("an answer");
        let log = || stage.fronts[0].process.log();
        assert_eq!(answer.status(), 200, "{}", log());
        std::thread::sleep(Duration::from_millis(100));
    }
    let answer = stage
        .ask(0, "GET", "/s0/same", &new_id())
        .expect("an answer");
    assert_eq!(answer.status(), 200, "what succeeded is innocent");
}
