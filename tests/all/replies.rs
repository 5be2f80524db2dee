//! Mismatched, truncated and late replies reach no caller and count as missing.

use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::http;
use camphorway_standins::load::LoadStream;
use camphorway_standins::shape::FleetShape;
use std::time::Duration;

const INSTANCES: usize = 4;

fn fleet() -> Fleet {
    Fleet::start(FleetSpec::new(FleetShape::simple(1, INSTANCES))).expect("a fleet")
}

fn missing_shards(fleet: &Fleet) -> Vec<u64> {
    let stream = LoadStream::new("test", "portal", 1.0, Duration::from_millis(500));
    let body = fleet.query(0, &stream, None, "").expect("an answer").json();
    let answers = body["answer"].as_array().cloned().unwrap_or_default();
    for answer in &answers {
        // The stand-in returns the number of the shard that was queried.
        assert_eq!(answer["shard"], answer["answer"]["shard"], "{body}");
    }
    let shards = body["coverage"]["missing"].as_array().cloned();
    let shards: Vec<u64> = shards
        .unwrap_or_default()
        .iter()
        .filter_map(serde_json::Value::as_u64)
        .collect();
    assert_eq!(answers.len() + shards.len(), INSTANCES, "{body}");
    shards
}

#[test]
fn mismatched_replies_are_dropped() {
    let fleet = fleet();
    fleet
        .switch_server("portal-2-domain-1-0", "crossed=on")
        .expect("a switch");
    assert_eq!(missing_shards(&fleet), [2]);
    let metrics = http::get(fleet.daemons[0].admin_address, "/metrics").expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(
        text.contains("camphorway_mismatched_replies_total 1"),
        "{text}"
    );
}

#[test]
fn truncated_replies_are_dropped() {
    let fleet = fleet();
    fleet
        .switch_server("portal-1-domain-1-0", "truncated=on")
        .expect("a switch");
    assert_eq!(missing_shards(&fleet), [1]);
}

#[test]
fn late_replies_are_dropped() {
    let fleet = fleet();
    fleet
        .switch_server("portal-0-domain-1-0", "frozen=on")
        .expect("a switch");
    assert_eq!(missing_shards(&fleet), [0]);
    fleet
        .switch_server("portal-0-domain-1-0", "frozen=off")
        .expect("a switch");
}
