//! Content that ends every backend server that runs it.

use camphorway_standins::fleet::{Fleet, FleetSpec, wait_for};
use camphorway_standins::http;
use camphorway_standins::load::{self, LoadPlan, LoadStream};
use camphorway_standins::server::CRASH_TEXT;
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

/// Sends the content again and again, under new ids, to one daemon after the other.
fn send_poison(fleet: &Fleet, times: usize) -> Vec<Value> {
    (0..times)
        .map(|number| send(fleet, number % DOMAINS, CRASH_TEXT))
        .collect()
}

#[test]
fn always_loses_two_servers_at_most() {
    let fleet = fleet("always");
    let innocents = LoadPlan {
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
        let load = scope.spawn(|| load::run(&innocents).expect("a load"));
        let bodies = send_poison(&fleet, 12);
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
    // Innocent requests are answered, and say honestly what they lack.
    let complete = answers.iter().filter(|answer| {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        body["outcome"] == "complete"
    });
    assert!(complete.count() * 10 >= answers.len() * 8);
}

/// A caller may have its answer and send again before a daemon far away has
/// heard of the crash.
#[test]
fn resends_do_not_overtake_the_news_of_a_crash() {
    let mut shape = FleetShape::simple(DOMAINS, INSTANCES);
    shape.rules = "[rule all]\nrank = normal\ncanary = always\n".to_owned();
    for far in 0..DOMAINS {
        let mut spec = FleetSpec::new(shape.clone());
        spec.use_relays = true;
        let fleet = Fleet::start(spec).expect("a fleet");
        let domain = format!("domain-{}", far + 1);
        fleet.relays.set_delay(&domain, Duration::from_millis(60));
        let order = (far..far + DOMAINS).rev().map(|number| number % DOMAINS);
        let bodies: Vec<Value> = order
            .map(|daemon| send(&fleet, daemon, CRASH_TEXT))
            .collect();
        let crashes = fleet.server_counter("crashes").expect("counts");
        assert!(
            (1..=2).contains(&crashes),
            "{crashes} servers lost, far is {domain}: {bodies:?}"
        );
    }
}

#[test]
fn suspects_loses_one_replica_of_a_shard_at_most() {
    let fleet = fleet("suspects");
    let first = send(&fleet, 0, CRASH_TEXT);
    assert_ne!(first["outcome"], "complete", "{first}");
    assert_ne!(first["outcome"], "not-run", "{first}");
    let after_first = fleet.server_counter("crashes").expect("counts");
    assert!(
        after_first <= INSTANCES as u64,
        "{after_first} servers lost"
    );
    let bodies = send_poison(&fleet, 9);
    let crashes = fleet.server_counter("crashes").expect("counts");
    assert!(
        crashes <= INSTANCES as u64,
        "{crashes} servers lost: {bodies:?}"
    );
}

#[test]
fn innocent_content_is_not_put_away() {
    let fleet = fleet("suspects");
    fleet
        .switch_server("*", "delay-us=60000")
        .expect("a switch");
    // The innocent request runs on the servers while the other one ends them.
    let innocent = std::thread::scope(|scope| {
        let handle = scope.spawn(|| send(&fleet, 0, "innocent"));
        std::thread::sleep(Duration::from_millis(20));
        send(&fleet, 0, CRASH_TEXT);
        handle.join().expect("no panic")
    });
    assert_ne!(innocent["outcome"], "not-run", "{innocent}");
    let works = || {
        let body = send(&fleet, 0, "innocent");
        assert_ne!(body["reason"], "quarantined", "{body}");
        body["outcome"] == "complete"
    };
    wait_for(works, "the innocent content").expect("it is answered");
}

#[test]
fn restarted_server_puts_nothing_away() {
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
    let holds = |daemon: usize| {
        let metrics = http::get(fleet.daemons[daemon].admin_address, "/metrics").expect("metrics");
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        text.contains("camphorway_quarantine{state=\"held\"} 1")
    };
    wait_for(|| (0..3).all(holds), "the quarantine").expect("it is known everywhere");
    let took = began.elapsed();
    println!("known everywhere after {took:?}");
    assert!(took < Duration::from_secs(5), "{took:?}");
    let body = send(&fleet, 2, CRASH_TEXT);
    assert_eq!(body["outcome"], "not-run", "{body}");
}
