//! Servers and fronts that leave: no new work, no request cut off.

use super::{new_id, stage};
use camphorway_standins::routed::http_text::HttpText;
use camphorway_standins::routed::stage::request_text;
use rustix::process::Signal;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The bound on new work for a server that leaves.
const DRAIN: Duration = Duration::from_secs(3);

#[test]
fn a_draining_server_gets_no_new_work() {
    let stage = stage(1, 1);
    let leaving = &stage.servers[0][0];
    stage.register(leaving, "service0", "a", "draining");
    no_work_after_drain(&stage, 0);
}

#[test]
fn a_server_whose_registration_is_removed_gets_no_new_work() {
    let stage = stage(1, 1);
    stage.store.remove("servers", "i-0-0");
    no_work_after_drain(&stage, 0);
}

fn no_work_after_drain(stage: &camphorway_standins::routed::stage::RoutedStage, server: usize) {
    let told = Instant::now();
    while told.elapsed() < DRAIN + Duration::from_millis(500) {
        let answer = stage.ask(0, "GET", "/s0/", &new_id()).expect("an answer");
        assert_eq!(answer.status(), 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    let late = stage.servers[0][server].arrivals();
    let late = late.iter().filter(|arrival| arrival.at > told + DRAIN);
    assert_eq!(late.count(), 0);
}

#[test]
fn a_stopping_front_answers_what_it_has_read() {
    let mut stage = stage(1, 1);
    for server in &stage.servers[0] {
        server.set_work(Duration::from_millis(300));
    }
    let callers = stage.fronts[0].callers;
    let stream = TcpStream::connect(callers).expect("a connection");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    let mut ask = |id: &str| {
        let request = request_text("GET", "/s0/", id, 900);
        stream
            .write_all(request.as_bytes())
            .expect("a sent request");
        HttpText::read(&mut reader).expect("an answer")
    };
    let first = ask(&new_id()).expect("an answer");
    assert_eq!(first.status(), 200);
    stage.fronts[0]
        .process
        .signal(Signal::TERM)
        .expect("a signal");
    std::thread::sleep(Duration::from_millis(100));
    assert!(!stage.fronts[0].is_ready(), "readiness fails at once");
    let kept = ask(&new_id()).expect("an answer on the kept connection");
    assert_eq!(kept.status(), 200);
    assert_eq!(kept.header("connection"), "close");
    // The balancer may still send new connections.
    let late = stage.fronts[0].ask("GET", "/s0/", &new_id(), 900);
    assert_eq!(late.expect("an answer").status(), 200);
    let code = stage.fronts[0].process.wait(Duration::from_secs(5));
    assert_eq!(code, Some(0), "it ends before it would be killed");
}
