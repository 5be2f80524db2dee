//! The fleets, sides and loads of the measurements.

use camphorway_standins::experiment::ExperimentVariant;
use camphorway_standins::fleet::FleetSpec;
use camphorway_standins::load::{LoadPlan, LoadStream};
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use std::net::SocketAddr;
use std::time::Duration;

const DELAY: Duration = Duration::from_millis(5);
const FLOOD_DELAY: Duration = Duration::from_millis(20);
const SLOTS: u32 = 2;
const INSTANCES: usize = 10;
const REPLICAS: usize = 3;

/// One measurement.
pub struct Experiment {
    /// The fleet.
    pub spec: FleetSpec,
    /// Switches set on backend servers before the load.
    pub switches: Vec<(String, String)>,
    /// The sides.
    pub sides: Vec<ExperimentVariant>,
    /// The load.
    pub streams: Vec<LoadStream>,
}

impl Experiment {
    /// The load plan against these daemons.
    pub fn plan(&self, targets: Vec<SocketAddr>, seed: u64, seconds: u64) -> LoadPlan {
        LoadPlan {
            targets,
            streams: self.streams.clone(),
            duration: Duration::from_secs(seconds),
            warm_up: Duration::from_secs(1),
            seed,
        }
    }

    /// Shards that one query asks.
    pub fn shards(&self) -> usize {
        let service = &self.spec.shape.services[0];
        service.instances * service.shards
    }
}

/// Three failure domains, an instance's three replicas in one of them.
fn replicated() -> FleetSpec {
    let mut shape = FleetShape::simple(3, INSTANCES);
    shape.placement = InstancePlacement::OneDomain;
    shape.services[0].replicas = REPLICAS;
    shape.services[0].slots = SLOTS;
    let mut spec = FleetSpec::new(shape);
    spec.delay = DELAY;
    spec
}

fn side(name: &'static str, rules: &str) -> ExperimentVariant {
    ExperimentVariant {
        name,
        rules: rules.to_owned(),
    }
}

/// Queries a second at which the first service's slots are all busy.
fn capacity(spec: &FleetSpec) -> f64 {
    let service = &spec.shape.services[0];
    f64::from(service.slots) * service.replicas as f64 / spec.delay.as_secs_f64()
}

const RANK_RULES: &str = "\
[rule urgent]
kind = urgent
rank = urgent
[rule bulk]
kind = bulk
rank = bulk
";

fn ranked_stream(rank: &str, name: &str, rate: f64, deadline: Duration) -> LoadStream {
    let mut stream = LoadStream::new(name, "portal", rate, deadline);
    stream.kind = Some(rank.to_owned());
    stream
}

/// One daemon, nine shards, one replica each.
pub fn baseline() -> Experiment {
    let mut shape = FleetShape::simple(1, 9);
    shape.services[0].slots = 64;
    shape.services[0].connections = 200;
    let mut spec = FleetSpec::new(shape);
    spec.delay = Duration::from_millis(1);
    spec.traffic_threads = 2;
    let streams = vec![LoadStream::new(
        "queries",
        "portal",
        1_000.0,
        Duration::from_secs(1),
    )];
    Experiment {
        spec,
        switches: Vec::new(),
        sides: vec![side("1000 a second", "")],
        streams,
    }
}

fn flood(flooding: &str) -> Experiment {
    let mut spec = replicated();
    // Long calls keep the machine's processors out of the picture.
    spec.delay = FLOOD_DELAY;
    let full = capacity(&spec);
    let deadline = Duration::from_secs(1);
    let rate = |rank: &str| {
        if rank == flooding {
            full * 10.0
        } else {
            full * 0.08
        }
    };
    let streams = vec![
        ranked_stream("urgent", "urgent", rate("urgent"), deadline),
        ranked_stream("normal", "normal-a", rate("normal"), deadline),
        ranked_stream("normal", "normal-b", rate("normal"), deadline),
        ranked_stream("bulk", "bulk", rate("bulk"), deadline),
    ];
    let quiet = format!("{RANK_RULES}[policy]\nranked-queues = on\npreempt = off\n");
    let preempt = format!("{RANK_RULES}[policy]\nranked-queues = on\npreempt = on\n");
    let plain =
        format!("{RANK_RULES}[policy]\nranked-queues = off\nearly-refusal = off\npreempt = off\n");
    Experiment {
        spec,
        switches: Vec::new(),
        sides: vec![
            side("fifo", &plain),
            side("ranked", &quiet),
            side("ranked+preempt", &preempt),
        ],
        streams,
    }
}

/// The same streams with no flood, for comparison.
pub fn no_flood() -> Experiment {
    flood("none")
}

/// Bulk work floods.
pub fn bulk_flood() -> Experiment {
    flood("bulk")
}

/// Urgent work floods.
pub fn urgent_flood() -> Experiment {
    flood("urgent")
}

/// One call in a hundred takes ten times as long.
pub fn stragglers() -> Experiment {
    let spec = replicated();
    let rate = capacity(&spec) * 0.15;
    Experiment {
        spec,
        switches: vec![(
            "*".to_owned(),
            "stragglers=0.01&straggler-factor=10".to_owned(),
        )],
        sides: vec![
            side("hedging off", "[policy]\nhedging = off\n"),
            side("hedging on", "[policy]\nhedging = on\n"),
        ],
        streams: vec![LoadStream::new(
            "queries",
            "portal",
            rate,
            Duration::from_secs(1),
        )],
    }
}

/// One replica always takes ten times as long.
pub fn slow_server() -> Experiment {
    let mut experiment = stragglers();
    let slow = "portal-0-domain-1-0".to_owned();
    experiment.switches = vec![(slow, "slow-factor=10".to_owned())];
    experiment
}

/// The newest snapshot is on two replicas of three only.
pub fn snapshots() -> Experiment {
    let mut experiment = stragglers();
    experiment.spec.snapshots = vec![1, 2];
    let lagging = (0..INSTANCES).filter(|instance| instance % 2 == 0);
    experiment.switches = lagging
        .flat_map(|instance| {
            let domain = instance % 3 + 1;
            (0..REPLICAS).map(move |replica| {
                (
                    format!("portal-{instance}-domain-{domain}-{replica}"),
                    "snapshots=1".to_owned(),
                )
            })
        })
        .collect();
    experiment.sides = vec![
        side("newest only", "[policy]\nnewest-snapshot = on\n"),
        side("best covered", "[policy]\nnewest-snapshot = off\n"),
    ];
    experiment
}

/// Every body is new, so `always` sends a canary ahead of each query.
pub fn canary() -> Experiment {
    let mut experiment = stragglers();
    experiment.switches = Vec::new();
    let rule = |mode: &str| format!("[rule all]\nrank = normal\ncanary = {mode}\n");
    experiment.sides = vec![
        side("never", &rule("never")),
        side("suspects", &rule("suspects")),
        side("always", &rule("always")),
    ];
    experiment
}
