//! Holders that are killed or frozen under load.

use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::{self, LoadAnswer, LoadPlan, LoadStream};
use camphorway_standins::shape::FleetShape;
use rustix::process::Signal;
use serde_json::Value;
use std::time::Duration;

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

/// Sends to all daemons but the last, which holds groups; `disturb` happens to
/// it after a second.
fn load_while<Disturb>(fleet: &Fleet, disturb: Disturb) -> Vec<LoadAnswer>
where
    Disturb: FnOnce(&Fleet),
{
    let plan = LoadPlan {
        targets: fleet.callers()[..2].to_vec(),
        streams: vec![LoadStream::new("queries", "portal", 50.0, DEADLINE)],
        duration: Duration::from_secs(4),
        warm_up: Duration::ZERO,
        seed: 3,
    };
    std::thread::scope(|scope| {
        let load = scope.spawn(|| load::run(&plan).expect("a load"));
        std::thread::sleep(Duration::from_secs(1));
        disturb(fleet);
        load.join().expect("no panic")
    })
}

#[test]
fn frozen_holder_is_passed_over() {
    let fleet = fleet();
    let holder = fleet.daemons[2].process.as_ref().expect("a process");
    let answers = load_while(&fleet, |_| holder.signal(Signal::STOP).expect("stopped"));
    holder.signal(Signal::CONT).expect("resumed");
    let count = complete(&answers);
    println!("{count} of {} complete", answers.len());
    assert!(
        count * 100 >= answers.len() * 95,
        "{count} of {}",
        answers.len()
    );
}

#[test]
fn killed_holder_is_passed_over() {
    let fleet = fleet();
    let holder = fleet.daemons[2].process.as_ref().expect("a process");
    let answers = load_while(&fleet, |_| holder.signal(Signal::KILL).expect("killed"));
    let count = complete(&answers);
    println!("{count} of {} complete", answers.len());
    assert!(
        count * 100 >= answers.len() * 95,
        "{count} of {}",
        answers.len()
    );
}
