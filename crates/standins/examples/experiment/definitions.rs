//! The fleets, variants and loads of the measurements.

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

/// A measurement.
pub struct Experiment {
    /// The fleet's specification.
    pub spec: FleetSpec,
    /// Switches set on backend servers before the load.
    pub switches: Vec<(String, String)>,
    /// The compared variants.
    pub variants: Vec<ExperimentVariant>,
    /// The streams of requests.
    pub streams: Vec<LoadStream>,
}

impl Experiment {
    /// The load plan for `targets`.
    pub fn plan(&self, targets: Vec<SocketAddr>, seed: u64, seconds: u64) -> LoadPlan {
        LoadPlan {
            targets,
            streams: self.streams.clone(),
            duration: Duration::from_secs(seconds),
            warm_up: Duration::from_secs(1),
            seed,
        }
    }

    /// Number of shards of one query.
    pub fn shards(&self) -> usize {
        let service = &self.spec.shape.services[0];
        service.instances * service.shards
    }
}

/// Three failure domains, each instance with its three replicas in one of them.
fn replicated_spec() -> FleetSpec {
    let mut shape = FleetShape::simple(3, INSTANCES);
    shape.placement = InstancePlacement::OneDomain;
    shape.services[0].replicas = REPLICAS;
    shape.services[0].slots = SLOTS;
    let mut spec = FleetSpec::new(shape);
    spec.delay = DELAY;
    spec
}

fn variant(name: &'static str, rules: &str) -> ExperimentVariant {
    ExperimentVariant {
        name,
        rules: rules.to_owned(),
    }
}

/// Queries per second that occupy all slots of the first service.
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

/// One daemon with nine shards of one replica each.
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
        variants: vec![variant("1000 a second", "")],
        streams,
    }
}

fn flood(flooding_rank: &str) -> Experiment {
    let mut spec = replicated_spec();
    // With long calls the slots are the bottleneck, not the processors.
    spec.delay = FLOOD_DELAY;
    let max_rate = capacity(&spec);
    let deadline = Duration::from_secs(1);
    let rate = |rank: &str| {
        if rank == flooding_rank {
            max_rate * 10.0
        } else {
            max_rate * 0.08
        }
    };
    let streams = vec![
        ranked_stream("urgent", "urgent", rate("urgent"), deadline),
        ranked_stream("normal", "normal-a", rate("normal"), deadline),
        ranked_stream("normal", "normal-b", rate("normal"), deadline),
        ranked_stream("bulk", "bulk", rate("bulk"), deadline),
    ];
    let ranked = format!("{RANK_RULES}[policy]\nranked-queues = on\npreempt = off\n");
    let preemptive = format!("{RANK_RULES}[policy]\nranked-queues = on\npreempt = on\n");
    let fifo =
        format!("{RANK_RULES}[policy]\nranked-queues = off\nearly-refusal = off\npreempt = off\n");
    Experiment {
        spec,
        switches: Vec::new(),
        variants: vec![
            variant("fifo", &fifo),
            variant("ranked", &ranked),
            variant("ranked+preempt", &preemptive),
        ],
        streams,
    }
}

/// The streams of the flood measurements, all at the low rate, for comparison.
pub fn no_flood() -> Experiment {
    flood("none")
}

/// Bulk requests at ten times the capacity.
pub fn bulk_flood() -> Experiment {
    flood("bulk")
}

/// Urgent requests at ten times the capacity.
pub fn urgent_flood() -> Experiment {
    flood("urgent")
}

/// 1% of the calls take ten times as long.
pub fn stragglers() -> Experiment {
    let spec = replicated_spec();
    let rate = capacity(&spec) * 0.15;
    Experiment {
        spec,
        switches: vec![(
            "*".to_owned(),
            "stragglers=0.01&straggler-factor=10".to_owned(),
        )],
        variants: vec![
            variant("hedging off", "[policy]\nhedging = off\n"),
            variant("hedging on", "[policy]\nhedging = on\n"),
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
    let slow_server_name = "portal-0-domain-1-0".to_owned();
    experiment.switches = vec![(slow_server_name, "slow-factor=10".to_owned())];
    experiment
}

/// Half of the instances do not hold the newest snapshot.
pub fn snapshots() -> Experiment {
    let mut experiment = stragglers();
    experiment.spec.snapshots = vec![1, 2];
    let lagging_instances = (0..INSTANCES).filter(|instance| instance % 2 == 0);
    experiment.switches = lagging_instances
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
    experiment.variants = vec![
        variant("newest only", "[policy]\nnewest-snapshot = on\n"),
        variant("best covered", "[policy]\nnewest-snapshot = off\n"),
    ];
    experiment
}

/// Every body is new, so `always` sends a canary before each query.
pub fn canary() -> Experiment {
    let mut experiment = stragglers();
    experiment.switches = Vec::new();
    let rule = |mode: &str| format!("[rule all]\nrank = normal\ncanary = {mode}\n");
    experiment.variants = vec![
        variant("never", &rule("never")),
        variant("suspects", &rule("suspects")),
        variant("always", &rule("always")),
    ];
    experiment
}
