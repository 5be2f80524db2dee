//! Random faults under load. Afterwards the answers that callers received are
//! compared with the runs that the backend servers recorded.
//!
//! The short form runs with fixed seeds. For the long form set
//! `CAMPHORWAY_CHAOS_SECONDS` and `CAMPHORWAY_CHAOS_SEED`.

use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::{self, LoadAnswer, LoadPlan, LoadStream};
use camphorway_standins::shape::FleetShape;
use rustix::process::Signal;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const INSTANCES: usize = 4;
/// The index of the non-idempotent stream.
const ORDERS_STREAM: usize = 1;

fn run(seed: u64, seconds: u64) {
    println!("seed {seed}, {seconds} s");
    let mut spec = FleetSpec::new(FleetShape::simple(3, INSTANCES));
    spec.daemons = 2;
    let mut fleet = Fleet::start(spec).expect("a fleet");
    let mut orders = LoadStream::new("orders", "portal", 25.0, Duration::from_millis(800));
    orders.idempotent = false;
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams: vec![
            LoadStream::new("queries", "portal", 60.0, Duration::from_millis(800)),
            orders,
        ],
        duration: Duration::from_secs(seconds),
        warm_up: Duration::ZERO,
        seed,
    };
    let answers = std::thread::scope(|scope| {
        let load = scope.spawn(|| load::run(&plan).expect("a load"));
        inject_faults(&mut fleet, seed, Duration::from_secs(seconds));
        load.join().expect("no panic")
    });
    // Calls in progress may still reach the servers.
    std::thread::sleep(Duration::from_secs(2));
    check(&fleet, &answers);
}

/// Injects one fault after the other, and undoes each before the next of its
/// kind.
fn inject_faults(fleet: &mut Fleet, seed: u64, duration: Duration) {
    let mut random = fastrand::Rng::with_seed(seed);
    let began = Instant::now();
    let servers: Vec<String> = fleet
        .servers
        .iter()
        .flat_map(|servers| servers.names.clone())
        .collect();
    while began.elapsed() < duration {
        let daemon = random.usize(..fleet.daemons.len());
        let server = servers[random.usize(..servers.len())].clone();
        let pause = Duration::from_millis(random.u64(100..600));
        match random.u8(..7) {
            0 => {
                fleet.daemons[daemon].process = None;
                std::thread::sleep(pause);
                fleet.start_daemon(daemon).expect("a process");
            }
            1 => {
                let process = fleet.daemons[daemon].process.as_ref().expect("a process");
                process.signal(Signal::STOP).expect("stopped");
                std::thread::sleep(pause * 3);
                process.signal(Signal::CONT).expect("resumed");
            }
            2 => switch_platform_for(fleet, "down=on", "down=off", pause),
            3 => switch_platform_for(fleet, "lose-answers=0.5", "lose-answers=0", pause),
            4 => switch_platform_for(fleet, "slow-ms=200", "slow-ms=0", pause),
            5 => fleet.switch_server(&server, "crash=on").expect("a switch"),
            _ => {
                fleet
                    .switch_server(&server, "cut-after-run=on")
                    .expect("a switch");
                std::thread::sleep(pause);
                fleet
                    .switch_server(&server, "cut-after-run=off")
                    .expect("a switch");
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn switch_platform_for(fleet: &Fleet, on: &str, off: &str, pause: Duration) {
    fleet.switch_platform(on).expect("a switch");
    std::thread::sleep(pause);
    fleet.switch_platform(off).expect("a switch");
}

fn check(fleet: &Fleet, answers: &[LoadAnswer]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for record in fleet.records().expect("records") {
        if record["end"] != "refused" {
            let id = record["request"].as_str().unwrap_or_default().to_owned();
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut outcomes: BTreeMap<(usize, String), usize> = BTreeMap::new();
    for answer in answers {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let outcome = body["outcome"].as_str().unwrap_or("no-answer").to_owned();
        let count = runs.get(&answer.id).copied().unwrap_or_default();
        if answer.stream == ORDERS_STREAM {
            check_order(&outcome, count, &body);
        } else {
            check_query(&outcome, count, &body);
        }
        *outcomes.entry((answer.stream, outcome)).or_default() += 1;
    }
    println!("{outcomes:?}");
    for index in 0..fleet.daemons.len() {
        let state = fleet.state(index).expect("a dump");
        assert_eq!(
            state["invariant-breaches"], 0,
            "{}",
            fleet.daemons[index].vm
        );
    }
    let excess = fleet.server_counter("over-connections").expect("counts");
    assert_eq!(excess, 0, "connections beyond a server's limit");
    let complete = outcomes.get(&(0, "complete".to_owned())).copied();
    assert!(complete.unwrap_or_default() > 0, "no complete answer");
}

fn check_order(outcome: &str, runs: usize, body: &Value) {
    assert!(runs <= 1, "{runs} runs: {body}");
    match outcome {
        "not-run" => assert_eq!(runs, 0, "{body}"),
        "complete" => assert_eq!(runs, 1, "{body}"),
        _ => {}
    }
}

fn check_query(outcome: &str, runs: usize, body: &Value) {
    if outcome == "not-run" {
        assert_eq!(runs, 0, "{body}");
    }
    if outcome != "complete" && outcome != "partial" {
        return;
    }
    let answers = body["answer"].as_array().expect("a list");
    let shards: BTreeSet<u64> = answers
        .iter()
        .filter_map(|answer| answer["shard"].as_u64())
        .collect();
    assert_eq!(shards.len(), answers.len(), "{body}");
    let fraction = body["coverage"]["fraction"].as_f64().expect("a number");
    let expected = shards.len() as f64 / INSTANCES as f64;
    assert!((fraction - expected).abs() < 1e-9, "{body}");
    assert_eq!(outcome == "complete", shards.len() == INSTANCES, "{body}");
    assert!(
        answers
            .iter()
            .all(|answer| answer["answer"]["snapshot"] == body["snapshot"]),
        "{body}"
    );
}

fn environment_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_violate_no_guarantee() {
    run(
        environment_number("CAMPHORWAY_CHAOS_SEED", 1),
        environment_number("CAMPHORWAY_CHAOS_SECONDS", 10),
    );
}

#[test]
fn random_faults_of_another_seed_violate_no_guarantee() {
    run(
        environment_number("CAMPHORWAY_CHAOS_SEED", 1) + 1,
        environment_number("CAMPHORWAY_CHAOS_SECONDS", 10),
    );
}
