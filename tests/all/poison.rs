//! Content that crashes every backend server that runs it.

use camphorway_standins::fleet::{Fleet, FleetSpec, wait_for};
use camphorway_standins::http;
use camphorway_standins::load::{self, LoadPlan, LoadStream};
use camphorway_standins::server::{CRASH_IN_REPLY_TEXT, CRASH_TEXT};
use camphorway_standins::shape::FleetShape;
use serde_json::Value;
use std::time::{Duration, Instant};

const INSTANCES: usize = 4;
const DOMAINS: usize = 3;

fn fleet(canary: &str) -> Fleet {
    let mut shape = FleetShape::simple(DOMAINS, INSTANCES);
    shape.rules = format!("[rule all]\nrank = normal\ncanary = {canary}\n");
    Fleet::start(FleetSpec::new(shape)).expect("a fleet")
}

fn stream() -> LoadStream {
    LoadStream::new("test", "portal", 1.0, Duration::from_secs(1))
}

fn send(fleet: &Fleet, daemon: usize, body: &str) -> Value {
    let reply = fleet.query(daemon, &stream(), None, body);
    reply.expect("an answer").json()
}

/// Sends the crashing content repeatedly, under new ids, to one daemon after the
/// other.
fn send_crashing_content(fleet: &Fleet, times: usize) -> Vec<Value> {
    (0..times)
        .map(|number| send(fleet, number % DOMAINS, CRASH_TEXT))
        .collect()
}

#[test]
fn canary_always_loses_two_servers_at_most() {
    let fleet = fleet("always");
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams: vec![LoadStream::new(
            "innocents",
            "portal",
            60.0,
            Duration::from_secs(1),
        )],
        duration: Duration::from_secs(3),
        warm_up: Duration::ZERO,
        seed: 5,
    };
    let (bodies, answers) = std::thread::scope(|scope| {
        let load = scope.spawn(|| load::run(&plan).expect("a load"));
        let bodies = send_crashing_content(&fleet, 12);
        (bodies, load.join().expect("no panic"))
    });
    let crashes = fleet.server_counter("crashes").expect("counts");
    assert!(
        (1..=2).contains(&crashes),
        "{crashes} servers lost: {bodies:?}"
    );
    for body in &bodies {
        let refused = body["reason"] == "quarantined" || body["outcome"] == "unknown";
        assert!(refused, "{body}");
    }
    let last = bodies.last().expect("an answer");
    assert_eq!(last["reason"], "quarantined", "{last}");
    assert_eq!(last["outcome"], "not-run", "{last}");
    // Harmless requests are answered, and a partial answer reports what is missing.
    let complete = answers.iter().filter(|answer| {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        body["outcome"] == "complete"
    });
    assert!(complete.count() * 10 >= answers.len() * 8);
}

/// A connection that ended in the middle of a reply led to no look at whether the server
/// had crashed, so such content was never quarantined.
#[test]
fn content_that_crashes_servers_in_their_reply_is_quarantined() {
    let fleet = fleet("suspects");
    let bodies: Vec<Value> = (0..12)
        .map(|number| send(&fleet, number % DOMAINS, CRASH_IN_REPLY_TEXT))
        .collect();
    let crashes = fleet.server_counter("crashes").expect("counts");
    assert!(
        (1..=INSTANCES as u64).contains(&crashes),
        "{crashes} servers lost: {bodies:?}"
    );
    let last = bodies.last().expect("an answer");
    assert_eq!(last["reason"], "quarantined", "{last}");
}

/// A caller may receive its answer and send again before a remote daemon has
/// received the notice of the crash. The content still crashes two servers at most.
#[test]
fn resends_do_not_overtake_the_notice_of_a_crash() {
    let mut shape = FleetShape::simple(DOMAINS, INSTANCES);
    shape.rules = "[rule all]\nrank = normal\ncanary = always\n".to_owned();
    for remote in 0..DOMAINS {
        let mut spec = FleetSpec::new(shape.clone());
        spec.use_relays = true;
        let fleet = Fleet::start(spec).expect("a fleet");
        let domain = format!("domain-{}", remote + 1);
        fleet.relays.set_delay(&domain, Duration::from_millis(60));
        let order = (remote..remote + DOMAINS)
            .rev()
            .map(|number| number % DOMAINS);
        let bodies: Vec<Value> = order
            .map(|daemon| send(&fleet, daemon, CRASH_TEXT))
            .collect();
        let crashes = fleet.server_counter("crashes").expect("counts");
        assert!(
            (1..=2).contains(&crashes),
            "{crashes} servers lost, remote is {domain}: {bodies:?}"
        );
    }
}

#[test]
fn canary_suspects_loses_one_replica_of_a_shard_at_most() {
    let fleet = fleet("suspects");
    let first = send(&fleet, 0, CRASH_TEXT);
    assert_ne!(first["outcome"], "complete", "{first}");
    assert_ne!(first["outcome"], "not-run", "{first}");
    let after_first = fleet.server_counter("crashes").expect("counts");
    assert!(
        after_first <= INSTANCES as u64,
        "{after_first} servers lost"
    );
    let bodies = send_crashing_content(&fleet, 9);
    let crashes = fleet.server_counter("crashes").expect("counts");
    assert!(
        crashes <= INSTANCES as u64,
        "{crashes} servers lost: {bodies:?}"
    );
}

#[test]
fn harmless_content_is_not_quarantined() {
    let fleet = fleet("suspects");
    fleet
        .switch_server("*", "delay-us=60000")
        .expect("a switch");
    // The harmless request runs on the servers while the other one crashes them.
    let harmless = std::thread::scope(|scope| {
        let handle = scope.spawn(|| send(&fleet, 0, "innocent"));
        std::thread::sleep(Duration::from_millis(20));
        send(&fleet, 0, CRASH_TEXT);
        handle.join().expect("no panic")
    });
    assert_ne!(harmless["outcome"], "not-run", "{harmless}");
    let works = || {
        let body = send(&fleet, 0, "innocent");
        assert_ne!(body["reason"], "quarantined", "{body}");
        body["outcome"] == "complete"
    };
    wait_for(works, "the harmless content").expect("it is answered");
}

#[test]
fn server_restarts_quarantine_nothing() {
    let fleet = fleet("suspects");
    fleet
        .switch_server("*", "delay-us=60000")
        .expect("a switch");
    for _ in 0..3 {
        std::thread::scope(|scope| {
            scope.spawn(|| send(&fleet, 0, "steady"));
            std::thread::sleep(Duration::from_millis(20));
            fleet
                .switch_server("portal-0-domain-1-0", "crash=on")
                .expect("a switch");
        });
        std::thread::sleep(Duration::from_millis(500));
        let body = send(&fleet, 0, "steady");
        assert_ne!(body["reason"], "quarantined", "{body}");
    }
}

#[test]
fn quarantine_reaches_all_daemons_of_the_domain_in_seconds() {
    let mut spec = FleetSpec::new(FleetShape::simple(1, INSTANCES));
    spec.daemons = 3;
    let fleet = Fleet::start(spec).expect("a fleet");
    for _ in 0..3 {
        send(&fleet, 0, CRASH_TEXT);
    }
    let began = Instant::now();
    let is_quarantined = |daemon: usize| {
        let metrics = http::get(fleet.daemons[daemon].admin_address, "/metrics").expect("metrics");
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        text.contains("camphorway_quarantine{state=\"held\"} 1")
    };
    wait_for(|| (0..3).all(is_quarantined), "the quarantine")
        .expect("it is quarantined everywhere");
    let took = began.elapsed();
    println!("quarantined at all daemons after {took:?}");
    assert!(took < Duration::from_secs(5), "{took:?}");
    let body = send(&fleet, 2, CRASH_TEXT);
    assert_eq!(body["outcome"], "not-run", "{body}");
}
