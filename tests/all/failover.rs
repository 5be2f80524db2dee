//! Holders that are killed or frozen under load.

use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::{self, LoadAnswer, LoadPlan, LoadStream};
use camphorway_standins::shape::FleetShape;
use rustix::process::Signal;
use serde_json::Value;
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_millis(600);

fn fleet() -> Fleet {
    let mut spec = FleetSpec::new(FleetShape::simple(1, 6));
    spec.daemons = 3;
    Fleet::start(spec).expect("a fleet")
}

fn complete(answers: &[LoadAnswer]) -> usize {
    let is_complete = |answer: &&LoadAnswer| {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        body["outcome"] == "complete"
    };
    answers.iter().filter(is_complete).count()
}

/// The index of the daemon that holds the only group.
fn holder_of(fleet: &Fleet) -> usize {
    let state = fleet.state(0).expect("a dump");
    let holder = state["groups"][0]["seats"][0]
        .as_str()
        .expect("a holder")
        .to_owned();
    let index = fleet.daemons.iter().position(|daemon| daemon.vm == holder);
    index.expect("a daemon of the fleet")
}

/// Sends queries to all daemons but `holder`, which gets `signal` after a second.
fn load_while(fleet: &Fleet, holder: usize, signal: Signal) -> Vec<LoadAnswer> {
    let mut targets = fleet.caller_addresses();
    targets.remove(holder);
    let plan = LoadPlan {
        targets,
        streams: vec![LoadStream::new("queries", "portal", 50.0, DEADLINE)],
        duration: Duration::from_secs(4),
        warm_up: Duration::ZERO,
        seed: 3,
    };
    std::thread::scope(|scope| {
        let load = scope.spawn(|| load::run(&plan).expect("a load"));
        std::thread::sleep(Duration::from_secs(1));
        let process = fleet.daemons[holder].process.as_ref().expect("a process");
        process.signal(signal).expect("signalled");
        load.join().expect("no panic")
    })
}

fn check(answers: &[LoadAnswer]) {
    let count = complete(answers);
    println!("{count} of {} complete", answers.len());
    assert!(
        count * 100 >= answers.len() * 95,
        "{count} of {}",
        answers.len()
    );
}

#[test]
fn requests_bypass_a_frozen_holder() {
    let fleet = fleet();
    let holder = holder_of(&fleet);
    check(&load_while(&fleet, holder, Signal::STOP));
}

/// No budget is needed to bypass a holder that does not answer.
#[test]
fn requests_bypass_a_frozen_holder_without_a_budget() {
    let mut shape = FleetShape::simple(1, 6);
    shape.rules = "[policy]\nhedging = off\nretry-budget = 0\n".to_owned();
    let mut spec = FleetSpec::new(shape);
    spec.daemons = 3;
    let fleet = Fleet::start(spec).expect("a fleet");
    let holder = holder_of(&fleet);
    let process = fleet.daemons[holder].process.as_ref().expect("a process");
    process.signal(Signal::STOP).expect("signalled");
    let mut targets = fleet.caller_addresses();
    targets.remove(holder);
    let stream = LoadStream::new("queries", "portal", 50.0, Duration::from_secs(2));
    let plan = LoadPlan {
        targets,
        streams: vec![stream],
        duration: Duration::from_millis(500),
        warm_up: Duration::ZERO,
        seed: 4,
    };
    let answers = load::run(&plan).expect("a load");
    assert_eq!(complete(&answers), answers.len());
}

#[test]
fn requests_bypass_a_killed_holder() {
    let fleet = fleet();
    let holder = holder_of(&fleet);
    check(&load_while(&fleet, holder, Signal::KILL));
}

#[test]
fn answer_does_not_wait_for_the_slower_call_of_a_hedge() {
    let fleet = Fleet::start(FleetSpec::new(FleetShape::simple(2, 3))).expect("a fleet");
    let stream = LoadStream::new("test", "portal", 1.0, DEADLINE);
    for _ in 0..20 {
        fleet.query(0, &stream, None, "").expect("an answer");
    }
    fleet
        .switch_server("portal-0-domain-1-0", "frozen=on")
        .expect("a switch");
    let began = Instant::now();
    let reply = fleet.query(0, &stream, None, "").expect("an answer");
    let took = began.elapsed();
    assert_eq!(reply.json()["outcome"], "complete", "{}", reply.json());
    assert!(took < DEADLINE / 2, "{took:?}");
}
