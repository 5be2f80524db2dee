//! Servers that leave get no new work, and fronts that stop cut off no request.

use super::{new_id, testbed, wait_version};
use camphorway_standins::front::http_message::HttpMessage;
use camphorway_standins::front::object_store::StalePages;
use camphorway_standins::front::signed_server::SignedServer;
use camphorway_standins::front::testbed::{FrontTestbed, records, request_text};
use rustix::process::Signal;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A server that leaves receives no new work after this time.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// A front's answer to a request that it can't run is at once.
const REFUSAL_BOUND: Duration = Duration::from_millis(300);
/// The grace period of the testbed's fronts.
const GRACE: Duration = Duration::from_secs(4);
const SLOW_SERVICE: Duration = Duration::from_millis(1_600);

/// Routes whose requests may take as long as their callers wait.
fn allow_long_requests(testbed: &mut FrontTestbed) {
    let mut routes = testbed.routes();
    for route in &mut routes {
        route["timeoutMs"] = json!(20_000);
    }
    let version = testbed.configure(&routes);
    wait_version(testbed, 0, version);
}

#[test]
fn a_draining_server_gets_no_new_work() {
    let testbed = testbed(1, 1);
    let draining = &testbed.servers[0][0];
    testbed.register(draining, "service0", "a", "draining");
    check_no_work_after_drain(&testbed, 0);
}

#[test]
fn a_server_whose_registration_is_removed_gets_no_new_work() {
    let testbed = testbed(1, 1);
    testbed.store.remove("servers", "i-0-0");
    check_no_work_after_drain(&testbed, 0);
}

/// A page that was older than the first one hid for good what had changed in between: a
/// front used a server on it that was draining, or gone, and not one that was new.
#[test]
fn an_older_second_page_hides_no_change() {
    let mut testbed = testbed(4, 0);
    testbed.store.hold_stale_lists(StalePages::Later);
    let [draining, gone, unchanged] = [0, 1, 2].map(|index| Arc::clone(&testbed.servers[3][index]));
    testbed.register(&draining, "service3", "a", "draining");
    testbed.store.remove("servers", &gone.name);
    let new = SignedServer::start("i-4", records(3)).expect("a server");
    testbed.register(&new, "service3", "a", "ready");
    testbed.add_front("a").expect("a front");
    testbed.wait_ready().expect("it is ready");
    std::thread::sleep(DRAIN_BOUND);
    unchanged.terminate();
    for _ in 0..10 {
        let answer = testbed.send_request(0, "GET", "/s3/", &new_id());
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    assert_eq!(draining.arrivals().len(), 0, "the server is draining");
    assert_eq!(gone.arrivals().len(), 0, "the server is gone");
    assert!(!new.arrivals().is_empty(), "the new server is used");
}

fn check_no_work_after_drain(testbed: &FrontTestbed, server: usize) {
    let announced_at = Instant::now();
    while announced_at.elapsed() < DRAIN_BOUND + Duration::from_millis(500) {
        let answer = testbed
            .send_request(0, "GET", "/s0/", &new_id())
            .expect("an answer");
        assert_eq!(answer.status(), 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    let late = testbed.servers[0][server].arrivals();
    let late = late
        .iter()
        .filter(|arrival| arrival.arrived_at > announced_at + DRAIN_BOUND);
    assert_eq!(late.count(), 0);
}

#[test]
fn a_stopping_front_still_answers_requests() {
    let mut testbed = testbed(1, 1);
    for server in &testbed.servers[0] {
        server.set_service_time(Duration::from_millis(300));
    }
    let address = testbed.fronts[0].caller_address;
    let stream = TcpStream::connect(address).expect("a connection");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    let mut send = |id: &str| {
        let request = request_text("GET", "/s0/", id, 900);
        stream
            .write_all(request.as_bytes())
            .expect("a sent request");
        HttpMessage::read(&mut reader).expect("an answer")
    };
    let first = send(&new_id()).expect("an answer");
    assert_eq!(first.status(), 200);
    testbed.fronts[0]
        .process
        .signal(Signal::TERM)
        .expect("a signal");
    std::thread::sleep(Duration::from_millis(100));
    assert!(!testbed.fronts[0].is_ready(), "readiness fails at once");
    let second = send(&new_id()).expect("an answer on the open connection");
    assert_eq!(second.status(), 200);
    assert_eq!(second.header("connection"), "close");
    // The balancer may still send new connections.
    let late = testbed.fronts[0].send_request("GET", "/s0/", &new_id(), 900);
    assert_eq!(late.expect("an answer").status(), 200);
    let code = testbed.fronts[0].process.wait(Duration::from_secs(5));
    assert_eq!(code, Some(0), "it ends before it would be killed");
}

/// Reported by an operator: in a planned stop, requests that came late in the grace
/// period were passed on, and cut at its end. The servers are slower than usual.
#[test]
fn a_stopping_front_refuses_requests_that_would_outlast_its_grace() {
    let mut testbed = testbed(1, 1);
    allow_long_requests(&mut testbed);
    for server in &testbed.servers[0] {
        server.set_service_time(SLOW_SERVICE);
    }
    let front = &testbed.fronts[0];
    front.process.signal(Signal::TERM).expect("a signal");
    std::thread::sleep(Duration::from_millis(2_100));
    for (method, path) in [("POST", "/once/x"), ("GET", "/s0/")] {
        let id = new_id();
        let sent_at = Instant::now();
        let answer = front.send_request(method, path, &id, 3_000);
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 503, "{path}");
        assert!(sent_at.elapsed() < REFUSAL_BOUND, "{:?}", sent_at.elapsed());
        assert_eq!(answer.header("connection"), "close");
        assert_ne!(answer.header("retry-after"), "");
        assert_eq!(testbed.run_count(&id), 0, "refused as not run");
    }
    // What fits into the rest of the grace period is still served.
    let short = front.send_request("GET", "/all/", &new_id(), 200);
    assert_ne!(short.expect("an answer").status(), 503);
}

/// A request that its server doesn't end in time gets an answer that promises nothing,
/// in place of a cut connection.
#[test]
fn a_request_that_runs_at_the_end_of_the_grace_is_answered() {
    let mut testbed = testbed(1, 1);
    allow_long_requests(&mut testbed);
    for server in &testbed.servers[0] {
        server.set_service_time(GRACE * 2);
    }
    let front = &testbed.fronts[0];
    let answers: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = [("POST", "/once/x"), ("GET", "/s0/")]
            .into_iter()
            .map(|(method, path)| {
                scope.spawn(move || front.send_request(method, path, &new_id(), 15_000))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        front.process.signal(Signal::TERM).expect("a signal");
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined.map(|answer| answer.expect("no panic")).collect()
    });
    for answer in answers {
        let status = answer.expect("a complete answer").status();
        assert!([502, 504].contains(&status), "{status}");
    }
    let code = testbed.fronts[0].process.wait(GRACE);
    assert_eq!(code, Some(0), "it ends before it would be killed");
}
