//! Every answer comes from one snapshot and reports its exact coverage, while
//! versions change and a repartition runs.

use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::{self, LoadPlan, LoadStream};
use camphorway_standins::shape::FleetShape;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

const INSTANCES: usize = 6;

#[test]
fn answers_use_one_snapshot_while_versions_change() {
    let seed = 11;
    println!("seed {seed}");
    let fleet = Fleet::start(FleetSpec::new(FleetShape::simple(2, INSTANCES))).expect("a fleet");
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams: vec![LoadStream::new(
            "queries",
            "portal",
            150.0,
            Duration::from_secs(1),
        )],
        duration: Duration::from_secs(4),
        warm_up: Duration::ZERO,
        seed,
    };
    let answers = std::thread::scope(|scope| {
        let load = scope.spawn(|| load::run(&plan).expect("a load"));
        change_versions(&fleet, seed);
        load.join().expect("no panic")
    });
    let mut snapshots = BTreeMap::new();
    for answer in &answers {
        let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
        if body["outcome"] != "complete" && body["outcome"] != "partial" {
            continue;
        }
        check_answer(&body);
        *snapshots.entry(body["snapshot"].as_u64()).or_insert(0) += 1;
    }
    println!("answers by snapshot: {snapshots:?}");
    assert!(snapshots.len() >= 2, "{snapshots:?}");
    assert!(answers.len() > 400);
}

/// Publishes snapshot 2, a repartition into twice as many shards, beside snapshot
/// 1, loads it on one server after the other, then drops snapshot 1.
fn change_versions(fleet: &Fleet, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let pause = |random: &mut fastrand::Rng| {
        std::thread::sleep(Duration::from_millis(random.u64(20..120)));
    };
    let servers: Vec<String> = fleet
        .servers
        .iter()
        .flat_map(|servers| servers.names.clone())
        .collect();
    let old: Vec<Value> = (0..INSTANCES)
        .map(|shard| json!({ "shard": shard, "weight": 1.0, "instance": shard.to_string() }))
        .collect();
    let new: Vec<Value> = (0..INSTANCES * 2)
        .map(|shard| json!({ "shard": shard, "weight": 0.5, "instance": (shard / 2).to_string() }))
        .collect();
    let both = json!({ "snapshots": [
        { "snapshot": 1, "shards": old },
        { "snapshot": 2, "shards": new.clone() },
    ] });
    fleet.write_layout("portal", &both).expect("a layout");
    for server in &servers {
        fleet
            .switch_server(server, "snapshots=1%2B2".replace("%2B", "+").as_str())
            .expect("a switch");
        pause(&mut random);
    }
    for server in &servers {
        fleet
            .switch_server(server, "snapshots=2")
            .expect("a switch");
        pause(&mut random);
    }
    let only_new = json!({ "snapshots": [{ "snapshot": 2, "shards": new }] });
    fleet.write_layout("portal", &only_new).expect("a layout");
}

/// Checks the reported coverage against the shards in the answer.
fn check_answer(body: &Value) {
    let snapshot = &body["snapshot"];
    let answers = body["answer"].as_array().expect("a list");
    for answer in answers {
        assert_eq!(answer["answer"]["snapshot"], *snapshot, "{body}");
        assert_eq!(answer["answer"]["shard"], answer["shard"], "{body}");
    }
    let shards = if *snapshot == 1 {
        INSTANCES
    } else {
        INSTANCES * 2
    };
    let mut answered: Vec<u64> = answers
        .iter()
        .filter_map(|answer| answer["shard"].as_u64())
        .collect();
    answered.dedup();
    assert_eq!(answered.len(), answers.len(), "{body}");
    let expected = answered.len() as f64 / shards as f64;
    let reported = body["coverage"]["fraction"].as_f64().expect("a number");
    assert!((expected - reported).abs() < 1e-9, "{body}");
    assert_eq!(
        body["outcome"] == "complete",
        answered.len() == shards,
        "{body}"
    );
}
