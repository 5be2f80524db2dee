//! Requests that must run at most once, through kills, freezes, outages of the
//! platform's store and lost answers. The records of the backend servers show
//! what ran.

use camphorway_model::RequestId;
use camphorway_standins::fleet::{Fleet, FleetSpec, wait_for};
use camphorway_standins::http;
use camphorway_standins::load::{LoadStream, new_request_id};
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use hyper::Method;
use rustix::process::Signal;
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

fn stream(deadline: Duration) -> LoadStream {
    let mut stream = LoadStream::new("orders", "portal", 1.0, deadline);
    stream.idempotent = false;
    stream
}

fn new_id() -> String {
    new_request_id(&mut fastrand::Rng::new())
}

/// Three domains with all servers in the first, so that the entry of another
/// domain always needs a remote holder.
fn remote_fleet() -> Fleet {
    let mut shape = FleetShape::simple(3, 1);
    shape.placement = InstancePlacement::OneDomain;
    Fleet::start(FleetSpec::new(shape)).expect("a fleet")
}

/// How many times the servers started to run a request.
fn runs(fleet: &Fleet, id: &str) -> usize {
    let records = fleet.records().expect("records");
    let ran = |record: &&Value| record["request"] == id && record["end"] != "refused";
    records.iter().filter(ran).count()
}

fn send(fleet: &Fleet, daemon: usize, id: &str, body: &str) -> Value {
    let orders = stream(Duration::from_secs(1));
    let reply = fleet.query(daemon, &orders, Some(id), body);
    reply.expect("an answer").json()
}

#[test]
fn resent_request_gets_the_first_answer() {
    let fleet = remote_fleet();
    let id = new_id();
    let first = send(&fleet, 0, &id, "order 1");
    assert_eq!(first["outcome"], "complete", "{first}");
    // The end of the claim is written after the answer is sent.
    let again = || send(&fleet, 1, &id, "order 1")["answer"] == first["answer"];
    wait_for(again, "the first answer").expect("the first answer");
    let third = send(&fleet, 2, &id, "order 1");
    assert_eq!(third["outcome"], "complete");
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn same_id_at_all_daemons_at_once_runs_once() {
    let fleet = remote_fleet();
    for _ in 0..10 {
        let id = new_id();
        let outcomes: Vec<Value> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..6)
                .map(|number| {
                    let (fleet, id) = (&fleet, &id);
                    scope.spawn(move || send(fleet, number % 3, id, "order 2"))
                })
                .collect();
            let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
            joined.map(|answer| answer.expect("no panic")).collect()
        });
        assert_eq!(runs(&fleet, &id), 1, "{outcomes:?}");
        let not_run = outcomes.iter().filter(|body| body["outcome"] == "not-run");
        assert_eq!(not_run.count(), 0, "{outcomes:?}");
    }
}

#[test]
fn same_id_with_other_content_is_a_conflict() {
    let fleet = remote_fleet();
    let id = new_id();
    assert_eq!(send(&fleet, 0, &id, "order 3")["outcome"], "complete");
    let other = send(&fleet, 1, &id, "another order");
    assert_eq!(other["outcome"], "not-run");
    assert_eq!(other["reason"], "id-conflict");
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn old_and_future_ids_are_refused() {
    let fleet = remote_fleet();
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time");
    let now = now.as_millis() as u64;
    let day = 24 * 3_600_000;
    let old = RequestId::from_parts(now - 2 * day, [7; 10]).to_string();
    let body = send(&fleet, 0, &old, "order 4");
    assert_eq!(
        (&body["outcome"], &body["reason"]),
        (&"unknown".into(), &"expired".into())
    );
    let future = RequestId::from_parts(now + 3_600_000, [7; 10]).to_string();
    let body = send(&fleet, 0, &future, "order 4");
    let expected = (&"not-run".into(), &"issued-in-future".into());
    assert_eq!((&body["outcome"], &body["reason"]), expected);
    assert_eq!(runs(&fleet, &old) + runs(&fleet, &future), 0);
}

#[test]
fn store_outage_refuses_requests_and_their_ids_stay_usable() {
    let fleet = remote_fleet();
    fleet.switch_platform("down=on").expect("a switch");
    let id = new_id();
    let body = send(&fleet, 0, &id, "order 5");
    assert_eq!(body["outcome"], "not-run", "{body}");
    assert_eq!(runs(&fleet, &id), 0);
    fleet.switch_platform("down=off").expect("a switch");
    let claims_are_settled = || {
        fleet
            .state(0)
            .is_ok_and(|state| state["claims-waiting"] == 0)
    };
    wait_for(claims_are_settled, "settled claims").expect("settled claims");
    let runs_now = || send(&fleet, 1, &id, "order 5")["outcome"] == "complete";
    wait_for(runs_now, "a run").expect("the id can be used");
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn lost_store_answers_cause_at_most_one_run() {
    let fleet = remote_fleet();
    fleet.switch_platform("lose-answers=0.5").expect("a switch");
    let mut ran = 0;
    for number in 0..12 {
        let id = new_id();
        let mut orders = stream(Duration::from_secs(4));
        orders.name = number.to_string();
        let first = fleet
            .query(number % 3, &orders, Some(&id), "order 6")
            .expect("an answer");
        let again = fleet
            .query((number + 1) % 3, &orders, Some(&id), "order 6")
            .expect("an answer");
        let count = runs(&fleet, &id);
        assert!(count <= 1, "{count} runs of {id}");
        for body in [first.json(), again.json()] {
            let is_not_run = body["outcome"] == "not-run";
            // A refusal covers its own attempt only: the second may run after the first was refused.
            assert!(
                !(is_not_run && count == 1 && body == again.json()),
                "{body}"
            );
            assert!(!(body["outcome"] == "complete" && count == 0), "{body}");
        }
        ran += count;
    }
    assert!(ran > 0, "no request ran");
}

#[test]
fn late_store_writes_do_not_run_a_refused_request() {
    let fleet = remote_fleet();
    fleet
        .switch_platform("late-writes-ms=2500")
        .expect("a switch");
    let id = new_id();
    let body = send(&fleet, 0, &id, "order 7");
    assert_eq!(body["outcome"], "not-run", "{body}");
    std::thread::sleep(Duration::from_secs(3));
    fleet.switch_platform("late-writes-ms=0").expect("a switch");
    assert_eq!(runs(&fleet, &id), 0);
    let runs_now = || send(&fleet, 1, &id, "order 7")["outcome"] == "complete";
    wait_for(runs_now, "a run").expect("the id can be used");
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn holder_killed_after_dispatch_is_never_not_run() {
    let mut fleet = remote_fleet();
    fleet
        .switch_server("*", "delay-us=600000")
        .expect("a switch");
    let id = new_id();
    let body = std::thread::scope(|scope| {
        let handle = {
            let (fleet, id) = (&fleet, &id);
            scope.spawn(move || send(fleet, 1, id, "order 8"))
        };
        let ran = || runs(&fleet, &id) == 1;
        wait_for(ran, "the dispatch").expect("the dispatch");
        let holder = fleet.daemons[0].process.as_ref().expect("a process");
        holder.signal(Signal::KILL).expect("killed");
        handle.join().expect("no panic")
    });
    assert_eq!(body["outcome"], "unknown", "{body}");
    fleet.daemons[0].process = None;
    fleet.start_daemon(0).expect("a process");
    fleet.wait_ready().expect("ready again");
    let again = send(&fleet, 2, &id, "order 8");
    assert_eq!(again["outcome"], "unknown", "{again}");
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn request_does_not_run_if_the_holder_is_killed_before_dispatch() {
    let mut fleet = remote_fleet();
    fleet.daemons[0].process = None;
    let id = new_id();
    let body = send(&fleet, 1, &id, "order 9");
    // A daemon with an open connection to the killed holder can't determine whether the
    // holder had read the request.
    let outcome = body["outcome"].as_str().unwrap_or_default();
    assert!(matches!(outcome, "not-run" | "unknown"), "{body}");
    assert_eq!(runs(&fleet, &id), 0);
}

#[test]
fn frozen_holder_that_resumes_runs_nothing_twice() {
    let fleet = remote_fleet();
    let holder = fleet.daemons[0].process.as_ref().expect("a process");
    holder.signal(Signal::STOP).expect("stopped");
    let id = new_id();
    let body = send(&fleet, 1, &id, "order 10");
    let again = send(&fleet, 2, &id, "order 10");
    holder.signal(Signal::CONT).expect("resumed");
    std::thread::sleep(Duration::from_millis(1_500));
    let count = runs(&fleet, &id);
    assert!(count <= 1, "{count} runs");
    assert_ne!(again["outcome"], "complete");
    if count == 1 {
        assert_eq!(body["outcome"], "unknown", "{body}");
        assert_eq!(again["outcome"], "unknown", "{again}");
    }
}

#[test]
fn connection_cut_after_the_run_gives_unknown_and_no_second_run() {
    let fleet = remote_fleet();
    fleet
        .switch_server("*", "cut-after-run=on")
        .expect("a switch");
    let id = new_id();
    let body = send(&fleet, 1, &id, "order 11");
    assert_eq!(body["outcome"], "unknown", "{body}");
    fleet
        .switch_server("*", "cut-after-run=off")
        .expect("a switch");
    for daemon in 0..3 {
        let again = send(&fleet, daemon, &id, "order 11");
        assert_eq!(again["outcome"], "unknown", "{again}");
    }
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn refused_resend_is_never_not_run() {
    let fleet = remote_fleet();
    fleet
        .switch_server("*", "cut-after-run=on")
        .expect("a switch");
    let id = new_id();
    let first = send(&fleet, 1, &id, "order 12");
    assert_eq!(first["outcome"], "unknown", "{first}");
    assert_eq!(runs(&fleet, &id), 1);
    fleet.switch_platform("down=on").expect("a switch");
    let headers = [
        ("camphorway-request", id.as_str()),
        ("camphorway-service", "portal"),
        ("camphorway-caller", "orders"),
        ("camphorway-idempotent", "no"),
        ("camphorway-resend", "yes"),
    ];
    let message = http::request(Method::POST, "/query", &headers, "order 12");
    let limit = Duration::from_secs(10);
    let reply = http::call(fleet.daemons[2].caller_address, message, limit).expect("an answer");
    assert_eq!(reply.json()["outcome"], "unknown", "{}", reply.json());
    assert_eq!(runs(&fleet, &id), 1);
}
