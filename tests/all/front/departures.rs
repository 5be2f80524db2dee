//! Servers that leave get no new work, and fronts that stop cut off no request.

use super::{new_id, testbed};
use camphorway_standins::front::http_message::HttpMessage;
use camphorway_standins::front::testbed::request_text;
use rustix::process::Signal;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A server that leaves receives no new work after this time.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

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

fn check_no_work_after_drain(
    testbed: &camphorway_standins::front::testbed::FrontTestbed,
    server: usize,
) {
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
