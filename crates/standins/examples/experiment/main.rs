//! Runs one of the measurements, each of which compares variants in one run.

mod definitions;

use camphorway_standins::experiment::{compare, table, to_json};
use camphorway_standins::fleet::Fleet;
use clap::{Parser, ValueEnum};
use std::io;
use std::path::PathBuf;

/// Runs one measurement and prints its table.
#[derive(Debug, Parser)]
struct ExperimentCommand {
    /// The measurement to run.
    name: ExperimentName,
    /// Seed for the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs of each variant.
    #[arg(long, default_value_t = 2)]
    rounds: u64,
    /// Duration of each run in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// File to which the results are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The measurements.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum ExperimentName {
    /// One daemon with nine shards: rate, latency and processor time.
    Baseline,
    /// The streams of the flood measurements, all at the low rate, for comparison.
    NoFlood,
    /// Bulk requests at ten times the capacity, beside a few requests of other ranks.
    BulkFlood,
    /// Urgent requests at ten times the capacity, beside a few requests of other ranks.
    UrgentFlood,
    /// 1% of the calls take ten times as long.
    Stragglers,
    /// One replica is always slow but reports no fault.
    SlowServer,
    /// Half of the instances do not hold the newest snapshot.
    Snapshots,
    /// The cost of canary requests without any crash.
    Canary,
}

fn main() -> io::Result<()> {
    let command = ExperimentCommand::parse();
    let experiment = match command.name {
        ExperimentName::Baseline => definitions::baseline(),
        ExperimentName::NoFlood => definitions::no_flood(),
        ExperimentName::BulkFlood => definitions::bulk_flood(),
        ExperimentName::UrgentFlood => definitions::urgent_flood(),
        ExperimentName::Stragglers => definitions::stragglers(),
        ExperimentName::SlowServer => definitions::slow_server(),
        ExperimentName::Snapshots => definitions::snapshots(),
        ExperimentName::Canary => definitions::canary(),
    };
    let mut fleet = Fleet::start(experiment.spec.clone())?;
    for (server, switches) in &experiment.switches {
        fleet.switch_server(server, switches)?;
    }
    let plan = experiment.plan(fleet.caller_addresses(), command.seed, command.seconds);
    println!(
        "{:?}, seed {}, {} rounds of {} s",
        command.name, command.seed, command.rounds, command.seconds
    );
    let reports = compare(&mut fleet, &experiment.variants, &plan, command.rounds)?;
    print!("{}", table(&reports, experiment.shards()));
    if let Some(path) = command.json {
        std::fs::write(path, to_json(&reports).to_string())?;
    }
    Ok(())
}
