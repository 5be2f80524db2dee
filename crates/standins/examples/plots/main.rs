//! Runs the main measurements, briefly, and draws them as SVG files.

mod draw;

use camphorway_standins::experiment::{ExperimentVariant, compare};
use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::{self, LoadPlan, LoadStream};
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use clap::Parser;
use draw::{DrawError, PlotSeries, draw};
use serde_json::Value;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const RULES: &str =
    "[rule urgent]\nkind = urgent\nrank = urgent\n[rule bulk]\nkind = bulk\nrank = bulk\n";

/// Draws the plots of the docs.
#[derive(Debug, Parser)]
struct PlotsCommand {
    /// Where the files go.
    #[arg(default_value = "docs/plots")]
    directory: PathBuf,
}

fn main() -> Result<(), DrawError> {
    let directory = PlotsCommand::parse().directory;
    std::fs::create_dir_all(&directory)?;
    hedging(&directory.join("hedging.svg"))?;
    flood(&directory.join("flood.svg"))?;
    spread(&directory.join("spread.svg"))
}

fn replicated(delay: Duration) -> FleetSpec {
    let mut shape = FleetShape::simple(3, 10);
    shape.placement = InstancePlacement::OneDomain;
    shape.services[0].replicas = 3;
    let mut spec = FleetSpec::new(shape);
    spec.delay = delay;
    spec
}

/// Latency by quantile with and without hedging.
fn hedging(path: &std::path::Path) -> Result<(), DrawError> {
    let mut fleet = Fleet::start(replicated(Duration::from_millis(5)))?;
    fleet.switch_server("*", "stragglers=0.01&straggler-factor=10")?;
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams: vec![LoadStream::new(
            "queries",
            "portal",
            150.0,
            Duration::from_secs(1),
        )],
        duration: Duration::from_secs(6),
        warm_up: Duration::from_secs(1),
        seed: 1,
    };
    let side = |name, switch: &str| ExperimentVariant {
        name,
        rules: format!("[policy]\nhedging = {switch}\n"),
    };
    let sides = [side("off", "off"), side("on", "on")];
    let mut series = Vec::new();
    for report in compare(&mut fleet, &sides, &plan, 2)? {
        let mut took: Vec<f64> = report
            .answers
            .iter()
            .filter(|answer| answer.planned >= plan.warm_up)
            .map(|answer| answer.took.as_secs_f64() * 1e3)
            .collect();
        took.sort_by(f64::total_cmp);
        let last = took.len().saturating_sub(1).max(1) as f64;
        let points = took
            .iter()
            .enumerate()
            .map(|(index, took)| (index as f64 / last * 100.0, *took));
        let calls = report.server_calls as f64 / (report.answers.len() as f64 * 10.0);
        series.push(PlotSeries {
            name: format!("hedging {}, {calls:.3} calls a shard", report.name),
            points: points.filter(|(quantile, _)| *quantile >= 80.0).collect(),
            is_line: true,
        });
    }
    draw(
        path,
        "Latency with 1% stragglers of 10 x the median",
        "quantile, %",
        "ms",
        &series,
    )
}

/// Latency of each rank before, during and after a flood of bulk work.
fn flood(path: &std::path::Path) -> Result<(), DrawError> {
    let mut spec = replicated(Duration::from_millis(20));
    spec.shape.rules = String::from(RULES);
    let fleet = Fleet::start(spec)?;
    let stream = |kind: &str, rate: f64| {
        let mut stream = LoadStream::new(kind, "portal", rate, Duration::from_secs(1));
        stream.kind = Some(kind.to_owned());
        stream
    };
    let mut flood = stream("bulk", 3_000.0);
    flood.from = Duration::from_secs(3);
    flood.until = Duration::from_secs(7);
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams: vec![stream("urgent", 25.0), stream("normal", 25.0), flood],
        duration: Duration::from_secs(10),
        warm_up: Duration::ZERO,
        seed: 1,
    };
    let answers = load::run(&plan)?;
    let mut series = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let complete = answers.iter().filter(|answer| {
            let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            answer.stream == index && body["outcome"] == "complete"
        });
        let point = |answer: &load::LoadAnswer| {
            (
                answer.planned.as_secs_f64(),
                answer.took.as_secs_f64() * 1e3,
            )
        };
        series.push(PlotSeries {
            name: stream.name.clone(),
            points: complete.map(point).collect(),
            is_line: false,
        });
    }
    draw(
        path,
        "Complete answers through a bulk flood of 10 x the capacity, 3 s to 7 s",
        "s",
        "ms",
        &series,
    )
}

/// Daemons that have a configuration, by time since its acceptance.
fn spread(path: &std::path::Path) -> Result<(), DrawError> {
    let mut spec = FleetSpec::new(FleetShape::simple(3, 3));
    spec.daemons = 10;
    spec.run_servers = false;
    let mut fleet = Fleet::start(spec)?;
    let inventory = fleet.inventory.clone();
    let mut series = Vec::new();
    for change in 0..4 {
        std::thread::sleep(Duration::from_secs(2));
        let began = Instant::now();
        let wanted = fleet.apply(&format!("{inventory}\n[rule r{change}]\nrank = bulk\n"))?;
        let count = fleet.daemons.len();
        let mut points = vec![(0.0, 0.0)];
        let mut have = vec![false; count];
        while have.contains(&false) && began.elapsed() < Duration::from_secs(10) {
            for (index, has) in have.iter_mut().enumerate() {
                *has = *has || fleet.state(index)?["generation"].as_u64() == Some(wanted);
            }
            let done = have.iter().filter(|has| **has).count();
            points.push((began.elapsed().as_secs_f64() * 1e3, done as f64));
        }
        series.push(PlotSeries {
            name: format!("change {}", change + 1),
            points,
            is_line: true,
        });
    }
    draw(
        path,
        "Spread of a change over 30 daemons in 3 domains",
        "ms since acceptance",
        "daemons",
        &series,
    )
}
