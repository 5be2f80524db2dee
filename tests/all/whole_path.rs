//! The path of a request from the caller to the backend servers and back.

use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::LoadStream;
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use std::time::Duration;

const DOMAINS: usize = 3;
const INSTANCES: usize = 9;

fn stream() -> LoadStream {
    LoadStream::new("test", "portal", 1.0, Duration::from_secs(1))
}

fn spread_spec() -> FleetSpec {
    let mut shape = FleetShape::simple(DOMAINS, INSTANCES);
    shape.placement = InstancePlacement::OneDomain;
    let mut spec = FleetSpec::new(shape);
    spec.separate_servers = true;
    spec
}

#[test]
fn answers_through_remote_holders_are_complete() {
    let fleet = Fleet::start(spread_spec()).expect("a fleet");
    for daemon in 0..DOMAINS {
        let reply = fleet
            .query(daemon, &stream(), None, "serial 4711")
            .expect("an answer");
        let body = reply.json();
        assert_eq!(body["outcome"], "complete", "{body}");
        assert_eq!(body["coverage"]["shards"], INSTANCES);
        assert_eq!(body["answer"].as_array().map(Vec::len), Some(INSTANCES));
    }
}

#[test]
fn answer_is_partial_when_a_server_is_killed() {
    let mut fleet = Fleet::start(spread_spec()).expect("a fleet");
    let killed = fleet.servers[4].names[0].clone();
    fleet.servers[4].process.kill();
    let reply = fleet
        .query(0, &stream(), None, "serial 4711")
        .expect("an answer");
    let body = reply.json();
    assert_eq!(body["outcome"], "partial", "{body}");
    let expected = (INSTANCES - 1) as f64 / INSTANCES as f64;
    let fraction = body["coverage"]["fraction"].as_f64().expect("a fraction");
    assert!((fraction - expected).abs() < 1e-9, "{body}");
    let missing = body["coverage"]["missing"].as_array().expect("a list");
    assert_eq!(missing.len(), 1);
    let instance = killed.split('-').nth(1).expect("an instance");
    assert_eq!(missing[0].to_string(), instance);
}
