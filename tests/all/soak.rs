//! Random faults against fronts as real processes, with the promises checked
//! from what callers and servers see.
//!
//! Faults come in series and overlap: signals to fronts, faults of servers, of
//! the store, and of the links to both by proxies. A short form runs with fixed
//! seeds; for more set `CAMPHORWAY_SOAK_SEEDS` (such as `100..150`) and
//! `CAMPHORWAY_SOAK_SECONDS`.

mod callers;
mod faults;

use callers::{SoakAnswer, SoakCallers};
use camphorway_standins::front::testbed::{FrontTestbed, exchange, request_text, service_name};
use faults::FaultSeries;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

const SERVICES: usize = 3;
const FRONTS: usize = 3;
/// After the last fault, all fronts serve again within this time.
const RECOVERY: Duration = Duration::from_secs(12);
/// A configuration is in force within this time.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Once all is well again, at least this part of requests is served.
const SERVED: f64 = 0.9;
/// Keeps the ids of callers after the recovery apart from those before.
const AFTERWARDS: u64 = 1 << 32;

fn run(seed: u64, seconds: u64) {
    println!("seed {seed}, {seconds} s");
    let binary = Path::new(env!("CARGO_BIN_EXE_camphorwayd"));
    let mut testbed = FrontTestbed::start_proxied(binary, SERVICES, FRONTS).expect("a stage");
    let callers = SoakCallers::start(&testbed, seed);
    let mut series = FaultSeries::new(seed);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(seconds) {
        series.strike(&mut testbed);
    }
    series.heal(&mut testbed);
    let healed = Instant::now();
    let answers = callers.finish();
    for answer in &answers {
        answer.check(&testbed);
    }
    let good = answers.iter().filter(|answer| answer.is_success()).count();
    println!(
        "seed {seed}: {good} of {} answered; {:?}",
        answers.len(),
        by_status(&answers)
    );
    check_recovery(&mut testbed, healed);
    check_served(&testbed, seed);
}

/// What the fronts logged that no single request is about.
fn print_beliefs(testbed: &FrontTestbed) {
    for front in &testbed.fronts {
        let log = front.process.log();
        let lines = log.lines().filter(|line| !line.contains("request="));
        for line in lines {
            println!("{}: {line}", front.domain);
        }
    }
}

/// How many requests got each status; 0 is a connection that ended.
fn by_status(answers: &[SoakAnswer]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for answer in answers {
        *counts.entry(answer.status()).or_default() += 1;
    }
    counts
}

/// Fresh callers are served after the recovery. During the faults there is no
/// such bound: a front that restarts while the store is away knows nothing.
fn check_served(testbed: &FrontTestbed, seed: u64) {
    let callers = SoakCallers::start(testbed, seed + AFTERWARDS);
    std::thread::sleep(Duration::from_secs(1));
    let answers = callers.finish();
    let good = answers.iter().filter(|answer| answer.is_success()).count();
    if (good as f64) < SERVED * answers.len() as f64 {
        print_beliefs(testbed);
        panic!(
            "seed {seed}: {good} of {}; {:?}",
            answers.len(),
            by_status(&answers)
        );
    }
}

/// All fronts serve all routes, and a new configuration comes into force.
fn check_recovery(testbed: &mut FrontTestbed, healed: Instant) {
    testbed.wait_ready().expect("all fronts are ready");
    for front in 0..FRONTS {
        for path in ["/s0/", "/all/"] {
            while !answers_well(testbed, front, path) {
                assert!(
                    healed.elapsed() < RECOVERY,
                    "front {front} does not serve {path}"
                );
            }
        }
    }
    let version = testbed.configure(&testbed.routes());
    let accepted = Instant::now();
    let line = format!("front_configuration_version {version}");
    for front in &testbed.fronts {
        while !front.metrics().is_ok_and(|text| text.contains(&line)) {
            assert!(
                accepted.elapsed() < IN_FORCE,
                "version {version} is not in force"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    let leaving = &testbed.servers[0][0];
    testbed.register(leaving, &service_name(0), "a", "draining");
    let told = Instant::now();
    while told.elapsed() < IN_FORCE + Duration::from_millis(300) {
        answers_well(testbed, 0, "/s0/");
    }
    let arrivals = leaving.arrivals();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.arrived_at > told + IN_FORCE);
    assert_eq!(late.count(), 0, "a draining server got new work");
}

fn answers_well(testbed: &FrontTestbed, front: usize, path: &str) -> bool {
    let text = request_text("GET", path, "soak-recovery", 900);
    let answer = exchange(testbed.fronts[front].caller_address, text.as_bytes());
    answer.is_ok_and(|answer| answer.status() == 200)
}

#[test]
fn promises_hold_under_short_series_of_faults() {
    for seed in [1, 2] {
        run(seed, 6);
    }
}

/// Seeds that failed once, each with its cause.
#[test]
fn seeds_that_failed_once() {
    for seed in REGRESSIONS {
        run(*seed, 6);
    }
}

const REGRESSIONS: &[u64] = &[
    // The store was away nearly all the time while each front was restarted; the
    // check asked for a quarter of answers even then (1127 of 5288).
    226,
];

#[test]
fn seeds_chosen_by_hand() {
    let Ok(range) = std::env::var("CAMPHORWAY_SOAK_SEEDS") else {
        return;
    };
    let seconds = std::env::var("CAMPHORWAY_SOAK_SECONDS");
    let seconds = seconds.map_or(6, |text| text.parse().expect("a number of seconds"));
    let (first, end) = range.split_once("..").expect("a range such as 100..150");
    let bound = |text: &str| text.parse::<u64>().expect("a number");
    for seed in bound(first)..bound(end) {
        run(seed, seconds);
    }
}
