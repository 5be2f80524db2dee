//! Partitions between failure domains, also while the platform is down.

use camphorway_standins::fleet::{Fleet, FleetSpec, wait_for};
use camphorway_standins::load::LoadStream;
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use serde_json::Value;
use std::time::Duration;

const DOMAINS: usize = 3;
const INSTANCES: usize = 6;

fn fleet(placement: InstancePlacement) -> Fleet {
    let mut shape = FleetShape::simple(DOMAINS, INSTANCES);
    shape.placement = placement;
    let mut spec = FleetSpec::new(shape);
    spec.daemons = 2;
    spec.use_relays = true;
    Fleet::start(spec).expect("a fleet")
}

fn send(fleet: &Fleet, daemon: usize) -> Value {
    let stream = LoadStream::new("test", "portal", 1.0, Duration::from_millis(800));
    let reply = fleet.query(daemon, &stream, None, "serial 4711");
    reply.expect("an answer").json()
}

fn generation(fleet: &Fleet, daemon: usize) -> u64 {
    fleet.state(daemon).expect("a dump")["generation"]
        .as_u64()
        .unwrap_or_default()
}

#[test]
fn partitioned_domain_serves_with_its_own_servers() {
    let fleet = fleet(InstancePlacement::EveryDomain);
    fleet.relays.set_partitioned(true);
    fleet.switch_platform("down=on").expect("a switch");
    std::thread::sleep(Duration::from_secs(6));
    for daemon in 0..fleet.daemons.len() {
        let body = send(&fleet, daemon);
        assert_eq!(body["outcome"], "complete", "{body}");
    }
}

#[test]
fn coverage_lists_the_shards_lost_to_a_partition_and_recovers() {
    let fleet = fleet(InstancePlacement::OneDomain);
    let body = send(&fleet, 0);
    assert_eq!(body["outcome"], "complete", "{body}");
    fleet.relays.set_partitioned(true);
    for _ in 0..3 {
        let body = send(&fleet, 0);
        assert_eq!(body["outcome"], "partial", "{body}");
        // Each domain has a third of the instances.
        let missing = body["coverage"]["missing"].as_array().map(Vec::len);
        assert_eq!(missing, Some(INSTANCES / DOMAINS * 2), "{body}");
    }
    std::thread::sleep(Duration::from_secs(5));
    fleet.relays.set_partitioned(false);
    let recovered =
        || (0..fleet.daemons.len()).all(|daemon| send(&fleet, daemon)["outcome"] == "complete");
    wait_for(recovered, "complete answers").expect("it recovers");
}

#[test]
fn change_reaches_partitioned_domains_through_their_own_watchers() {
    let mut fleet = fleet(InstancePlacement::EveryDomain);
    fleet.relays.set_partitioned(true);
    std::thread::sleep(Duration::from_secs(2));
    let text = format!("{}\n[rule cut]\nrank = bulk\n", fleet.inventory);
    let wanted = fleet.apply(&text).expect("accepted");
    let everywhere = || (0..fleet.daemons.len()).all(|daemon| generation(&fleet, daemon) == wanted);
    wait_for(everywhere, "the change").expect("in force");
    fleet.relays.set_partitioned(false);
    std::thread::sleep(Duration::from_secs(4));
    // No daemon returns to an older generation when the partition ends.
    for daemon in 0..fleet.daemons.len() {
        assert_eq!(generation(&fleet, daemon), wanted);
    }
    fleet.wait_ready().expect("all members known");
}
