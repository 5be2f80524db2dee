//! Measurements, each of two or more sides in one run.

mod definitions;

use camphorway_standins::experiment::{compare, table, to_json};
use camphorway_standins::fleet::Fleet;
use clap::{Parser, ValueEnum};
use std::io;
use std::path::PathBuf;

/// Runs one measurement and prints its table.
#[derive(Debug, Parser)]
struct ExperimentCommand {
    /// Which measurement.
    name: ExperimentName,
    /// Seed for the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Times that each side runs.
    #[arg(long, default_value_t = 2)]
    rounds: u64,
    /// Seconds of each run.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Write all figures here as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The measurements.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum ExperimentName {
    /// One daemon, nine shards: rate, latency and processor time.
    Baseline,
    /// The streams of the floods without a flood.
    NoFlood,
    /// Ten times the capacity in bulk work, beside a little urgent work.
    BulkFlood,
    /// Ten times the capacity in urgent work, beside the other ranks.
    UrgentFlood,
    /// One call in a hundred takes ten times as long.
    Stragglers,
    /// One replica is always slow and says that it is well.
    SlowServer,
    /// An index version changes on one replica after the other.
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
    let reports = compare(&mut fleet, &experiment.sides, &plan, command.rounds)?;
    print!("{}", table(&reports, experiment.shards()));
    if let Some(path) = command.json {
        std::fs::write(path, to_json(&reports).to_string())?;
    }
    Ok(())
}
