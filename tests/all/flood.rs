//! During a flood of one rank the others keep their guaranteed share, and
//! hedging stays within its budget.

use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::{self, LoadPlan, LoadStream, StreamReport};
use camphorway_standins::shape::FleetShape;
use std::time::Duration;

const INSTANCES: usize = 3;
const RULES: &str =
    "[rule urgent]\nkind = urgent\nrank = urgent\n[rule bulk]\nkind = bulk\nrank = bulk\n";
const DEADLINE: Duration = Duration::from_secs(1);

fn fleet(delay: Duration) -> Fleet {
    let mut shape = FleetShape::simple(1, INSTANCES);
    shape.services[0].replicas = 2;
    shape.rules = String::from(RULES);
    let mut spec = FleetSpec::new(shape);
    spec.daemons = 2;
    spec.delay = delay;
    Fleet::start(spec).expect("a fleet")
}

fn stream(kind: &str, rate: f64) -> LoadStream {
    let mut stream = LoadStream::new(kind, "portal", rate, DEADLINE);
    stream.kind = Some(kind.to_owned());
    stream
}

fn run(fleet: &Fleet, streams: Vec<LoadStream>) -> Vec<StreamReport> {
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams,
        duration: Duration::from_secs(4),
        warm_up: Duration::from_secs(1),
        seed: 9,
    };
    let reports = load::report(&plan, &load::run(&plan).expect("a load"));
    println!("{}", load::table(&reports));
    reports
}

/// Sends 600 queries a second of the rank `flooding`. The capacity is 100 a
/// second: two replicas of two slots with calls of 40 ms.
fn check_flood(flooding: &str) {
    let fleet = fleet(Duration::from_millis(40));
    let rate = |kind: &str| if kind == flooding { 600.0 } else { 8.0 };
    let kinds = ["urgent", "normal", "bulk"];
    let reports = run(
        &fleet,
        kinds.iter().map(|kind| stream(kind, rate(kind))).collect(),
    );
    for report in reports.iter().filter(|report| report.name != flooding) {
        // Their load is below their guaranteed share, so all must be served.
        assert!(report.mean_coverage > 0.95, "{report:?}");
        assert!(report.p99_ms < DEADLINE.as_secs_f64() * 1e3, "{report:?}");
    }
}

#[test]
fn bulk_flood_leaves_other_ranks_their_guaranteed_share() {
    check_flood("bulk");
}

#[test]
fn urgent_flood_leaves_other_ranks_their_guaranteed_share() {
    check_flood("urgent");
}

#[test]
fn hedged_calls_stay_within_their_budget() {
    let fleet = fleet(Duration::from_millis(5));
    fleet
        .switch_server("*", "stragglers=0.1&straggler-factor=10")
        .expect("a switch");
    let before = fleet.server_counter("calls").expect("counts");
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams: vec![stream("normal", 100.0)],
        duration: Duration::from_secs(4),
        warm_up: Duration::ZERO,
        seed: 10,
    };
    let answers = load::run(&plan).expect("a load");
    let calls = fleet.server_counter("calls").expect("counts") - before;
    let first_calls = (answers.len() * INSTANCES) as f64;
    // The budget is 5% of the first calls, and up to ten saved calls at each of the two
    // holders.
    let max_calls = first_calls * 1.05 + 20.0;
    assert!(calls as f64 <= max_calls, "{calls} calls for {first_calls}");
}
