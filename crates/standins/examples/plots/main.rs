//! Runs short forms of the main measurements and draws them as SVG files.

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

/// Draws the plots in the documentation.
#[derive(Debug, Parser)]
struct PlotsCommand {
    /// Directory to which the files are written.
    #[arg(default_value = "docs/plots")]
    directory: PathBuf,
}

fn main() -> Result<(), DrawError> {
    let directory = PlotsCommand::parse().directory;
    std::fs::create_dir_all(&directory)?;
    plot_hedging(&directory.join("hedging.svg"))?;
    plot_flood(&directory.join("flood.svg"))?;
    plot_spread(&directory.join("spread.svg"))
}

fn replicated_spec(delay: Duration) -> FleetSpec {
    let mut shape = FleetShape::simple(3, 10);
    shape.placement = InstancePlacement::OneDomain;
    shape.services[0].replicas = 3;
    let mut spec = FleetSpec::new(shape);
    spec.delay = delay;
    spec
}

/// Plots latency by quantile, with and without hedging.
fn plot_hedging(path: &std::path::Path) -> Result<(), DrawError> {
    let mut fleet = Fleet::start(replicated_spec(Duration::from_millis(5)))?;
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
    let variant = |name, switch: &str| ExperimentVariant {
        name,
        rules: format!("[policy]\nhedging = {switch}\n"),
    };
    let variants = [variant("off", "off"), variant("on", "on")];
    let mut series = Vec::new();
    for report in compare(&mut fleet, &variants, &plan, 2)? {
        let mut latencies_ms: Vec<f64> = report
            .answers
            .iter()
            .filter(|answer| answer.planned >= plan.warm_up)
            .map(|answer| answer.latency.as_secs_f64() * 1e3)
            .collect();
        latencies_ms.sort_by(f64::total_cmp);
        let last = latencies_ms.len().saturating_sub(1).max(1) as f64;
        let points = latencies_ms
            .iter()
            .enumerate()
            .map(|(index, latency)| (index as f64 / last * 100.0, *latency));
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

/// Plots the latency of each rank before, during and after a flood of bulk requests.
fn plot_flood(path: &std::path::Path) -> Result<(), DrawError> {
    let mut spec = replicated_spec(Duration::from_millis(20));
    spec.shape.rules = String::from(RULES);
    let fleet = Fleet::start(spec)?;
    let stream = |kind: &str, rate: f64| {
        let mut stream = LoadStream::new(kind, "portal", rate, Duration::from_secs(1));
        stream.kind = Some(kind.to_owned());
        stream
    };
    let mut bulk_stream = stream("bulk", 3_000.0);
    bulk_stream.from = Duration::from_secs(3);
    bulk_stream.until = Duration::from_secs(7);
    let plan = LoadPlan {
        targets: fleet.caller_addresses(),
        streams: vec![stream("urgent", 25.0), stream("normal", 25.0), bulk_stream],
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
                answer.latency.as_secs_f64() * 1e3,
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

/// Plots the number of daemons that have applied a configuration by time since its
/// acceptance.
fn plot_spread(path: &std::path::Path) -> Result<(), DrawError> {
    let mut spec = FleetSpec::new(FleetShape::simple(3, 3));
    spec.daemons = 10;
    spec.run_servers = false;
    let mut fleet = Fleet::start(spec)?;
    let inventory = fleet.inventory.clone();
    let mut series = Vec::new();
    for change in 0..4 {
        std::thread::sleep(Duration::from_secs(2));
        let started_at = Instant::now();
        let generation = fleet.apply(&format!("{inventory}\n[rule r{change}]\nrank = bulk\n"))?;
        let count = fleet.daemons.len();
        let mut points = vec![(0.0, 0.0)];
        let mut applied = vec![false; count];
        while applied.contains(&false) && started_at.elapsed() < Duration::from_secs(10) {
            for (index, is_applied) in applied.iter_mut().enumerate() {
                *is_applied =
                    *is_applied || fleet.state(index)?["generation"].as_u64() == Some(generation);
            }
            let applied_count = applied.iter().filter(|is_applied| **is_applied).count();
            points.push((
                started_at.elapsed().as_secs_f64() * 1e3,
                applied_count as f64,
            ));
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
