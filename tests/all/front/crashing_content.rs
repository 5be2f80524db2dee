//! Content that crashes the servers that run it is kept from them at all fronts,
//! whichever of them meet it, the store and each other.

use super::{new_id, testbed, testbed_with_store_proxies};
use camphorway_standins::front::signed_server::{
    POISON, POISON_IN_BODY, POISON_IN_HEAD, POISON_IN_UNFRAMED, SignedServer,
};
use camphorway_standins::front::tcp_proxy::ProxyFault;
use camphorway_standins::front::testbed::{
    FrontTestbed, exchange, records, request_text, service_name,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Fronts have discovered each other after this time.
const DISCOVERY_TIME: Duration = Duration::from_secs(4);
/// The pause between a caller's attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(300);
/// Content that crashed servers is refused for this time at first.
const QUARANTINE_TIME: Duration = Duration::from_secs(31);
const BEFORE_RESTART: Duration = Duration::from_secs(8);
/// The time after the third crash from which the users count further attempts.
const KNOWN_AFTER: Duration = Duration::from_secs(5);

/// Registers `count` more servers of the first service.
fn add_servers(testbed: &FrontTestbed, count: usize) -> Vec<Arc<SignedServer>> {
    let start = |index: usize| {
        let server = SignedServer::start(&format!("i-more-{index}"), records(0));
        let server = server.expect("a server");
        let domain = ["a", "b", "c"][index % 3];
        testbed.register(&server, "service0", domain, "ready");
        server
    };
    (0..count).map(start).collect()
}

fn terminated(testbed: &FrontTestbed, more: &[Arc<SignedServer>]) -> usize {
    let servers = testbed.servers.iter().flatten().chain(more);
    servers.filter(|server| server.is_terminated()).count()
}

fn send(testbed: &FrontTestbed, front: usize, path: &str) -> u16 {
    let answer = testbed.send_request(front, "GET", path, &new_id());
    answer.expect("an answer").status()
}

/// Crashes were counted at each front alone: a request that crashed one server and
/// came again at another front each time was never quarantined.
#[test]
fn content_that_comes_again_at_another_front_each_time_is_quarantined() {
    let testbed = testbed(1, 9);
    let more = add_servers(&testbed, 9);
    std::thread::sleep(DISCOVERY_TIME);
    let path = format!("/once/{POISON}");
    for front in 0..9 {
        send(&testbed, front, &path);
        std::thread::sleep(ATTEMPT_PAUSE);
    }
    assert!(terminated(&testbed, &more) <= 3, "three servers at most");
    assert_eq!(send(&testbed, 0, &path), 503);
    assert_eq!(send(&testbed, 8, "/once/harmless"), 200);
}

/// Only a connection that ended before the answer began led to a look at whether the
/// server had crashed: content that crashes servers while they answer was never
/// quarantined.
#[test]
fn content_that_crashes_servers_while_they_answer_is_quarantined() {
    for kind in [POISON_IN_HEAD, POISON_IN_BODY, POISON_IN_UNFRAMED] {
        let testbed = testbed(1, 3);
        let more = add_servers(&testbed, 9);
        std::thread::sleep(DISCOVERY_TIME);
        let path = format!("/s0/{kind}");
        let mut statuses = Vec::new();
        for attempt in 0..9 {
            statuses.push(send(&testbed, attempt % 3, &path));
            std::thread::sleep(ATTEMPT_PAUSE);
        }
        let crashes = terminated(&testbed, &more);
        assert!(crashes <= 3, "{kind}: {crashes} crashes, {statuses:?}");
        assert_eq!(statuses.last(), Some(&503), "{kind}");
        assert_eq!(send(&testbed, 0, "/s0/harmless"), 200, "{kind}");
    }
}

/// Sends crashing content to a front while another front, or the same one, can't
/// reach the store, and then to all others.
fn check_quarantine_with_cut_front(is_observer_cut: bool) {
    let testbed = testbed_with_store_proxies(3);
    let more = add_servers(&testbed, 9);
    std::thread::sleep(DISCOVERY_TIME);
    let path = format!("/s0/{POISON}");
    for observer in 0..3 {
        let path = format!("{path}/{observer}");
        let cut = (0..3).filter(|front| (*front == observer) == is_observer_cut);
        let cut: Vec<_> = cut.map(|front| &testbed.fronts[front]).collect();
        for front in &cut {
            let proxy = front.store_proxy.as_ref().expect("a proxy");
            proxy.set_fault(ProxyFault::HoldFromTarget);
        }
        send(&testbed, observer, &path);
        std::thread::sleep(KNOWN_AFTER);
        let before = terminated(&testbed, &more);
        for front in 0..3 {
            let status = send(&testbed, front, &path);
            assert_eq!(status, 503, "front {front}, observer {observer}");
        }
        assert_eq!(terminated(&testbed, &more), before);
        for front in &cut {
            let proxy = front.store_proxy.as_ref().expect("a proxy");
            proxy.set_fault(ProxyFault::None);
        }
        std::thread::sleep(DISCOVERY_TIME);
    }
}

/// The verdict travelled only through the store, and was written once.
#[test]
fn a_front_that_is_cut_off_from_the_store_tells_others_what_crashes_servers() {
    check_quarantine_with_cut_front(true);
}

/// A front that others ask for the quarantine was silent for longer than allowed.
#[test]
fn fronts_that_are_cut_off_from_the_store_learn_what_crashes_servers() {
    check_quarantine_with_cut_front(false);
}

/// A front that restarted took the quarantine from the store with an end of its own, 30 s
/// after its start.
#[test]
fn a_quarantine_outlives_a_restart_with_its_end() {
    let mut testbed = testbed(1, 2);
    let more = add_servers(&testbed, 6);
    std::thread::sleep(DISCOVERY_TIME);
    let path = format!("/s0/{POISON}");
    send(&testbed, 0, &path);
    let crashed_at = Instant::now();
    std::thread::sleep(BEFORE_RESTART);
    assert_eq!(send(&testbed, 1, &path), 503);
    let before = terminated(&testbed, &more);
    for front in 0..2 {
        testbed.restart_front(front).expect("a restart");
    }
    testbed.wait_ready().expect("both are ready");
    for front in 0..2 {
        let answer = testbed.send_request(front, "GET", &path, &new_id());
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 503, "front {front}");
        let retry_after: f64 = answer.header("retry-after").parse().expect("seconds");
        let ends_in = QUARANTINE_TIME.saturating_sub(crashed_at.elapsed());
        assert!(
            retry_after <= ends_in.as_secs_f64(),
            "front {front}: {retry_after} s, it ends in {ends_in:?}"
        );
    }
    assert_eq!(terminated(&testbed, &more), before);
}

/// A query whose content had been quarantined ran at all its shards once that ended,
/// and ended a server of each.
#[test]
fn a_suspect_query_runs_at_one_server_before_the_others() {
    let testbed = testbed(3, 1);
    let path = format!("/all/{POISON}");
    send(&testbed, 0, &path);
    std::thread::sleep(QUARANTINE_TIME);
    let replace = |service: usize| {
        let name = format!("i-new-{service}");
        let server = SignedServer::start(&name, records(service)).expect("a server");
        testbed.register(&server, &service_name(service), "a", "ready");
        server
    };
    let new: Vec<_> = (0..3).map(replace).collect();
    std::thread::sleep(DISCOVERY_TIME);
    let before = terminated(&testbed, &new);
    assert_ne!(send(&testbed, 0, &path), 200);
    std::thread::sleep(ATTEMPT_PAUSE);
    assert_eq!(terminated(&testbed, &new), before + 1);
    assert_eq!(send(&testbed, 0, &path), 503, "quarantined again");
    assert_eq!(terminated(&testbed, &new), before + 1);
}

/// A query was quarantined because servers of several shards ended under it, though
/// another shard answered it: its content does not crash servers.
#[test]
fn a_query_that_one_shard_answers_is_not_quarantined() {
    let mut testbed = testbed(3, 0);
    testbed.budget = "ratio = 0\nallowance = 0\n";
    testbed.add_front("a").expect("a front");
    testbed.wait_ready().expect("it is ready");
    for server in testbed.servers.iter().flatten() {
        server.set_service_time(Duration::from_millis(100));
    }
    let address = testbed.fronts[0].caller_address;
    let query = std::thread::spawn(move || {
        let text = request_text("GET", "/all/same", &new_id(), 900);
        exchange(address, text.as_bytes())
    });
    std::thread::sleep(Duration::from_millis(50));
    for servers in &testbed.servers[..2] {
        let called = servers
            .iter()
            .filter(|server| !server.arrivals().is_empty());
        called.for_each(|server| server.terminate());
    }
    let answer = query.join().expect("a thread").expect("an answer");
    assert_ne!(answer.status(), 200, "two of three shards are lost");
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(send(&testbed, 0, "/all/same"), 200);
}
