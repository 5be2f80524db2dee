//! Measures the slopes from which docs/CAPACITY.md is calculated.

mod control;
mod traffic;

use clap::{Parser, ValueEnum};
use std::io;

/// Measures slopes and prints them.
#[derive(Debug, Parser)]
struct SlopesCommand {
    /// The slopes to measure.
    #[arg(required = true)]
    kinds: Vec<SlopeKind>,
    /// Numbers of daemons to measure with.
    #[arg(long, value_delimiter = ',', default_value = "9,30,100,155")]
    daemons: Vec<usize>,
    /// Number of failure domains over which the daemons are spread.
    #[arg(long, default_value_t = 1)]
    domains: usize,
}

/// The slopes that can be measured.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum SlopeKind {
    /// Control traffic, processor time and memory by number of daemons.
    Daemons,
    /// Time and store calls of a configuration change by number of daemons.
    Changes,
    /// Memory and start time by number of backend servers in the inventory.
    Inventory,
    /// Processor time of queries by number of shards, local and remote.
    Queries,
    /// Store calls and processor time of requests that run at most once, by rate.
    Claims,
}

fn main() -> io::Result<()> {
    let command = SlopesCommand::parse();
    for kind in command.kinds {
        match kind {
            SlopeKind::Daemons => control::daemons(&command.daemons, command.domains)?,
            SlopeKind::Changes => control::changes(&command.daemons, command.domains)?,
            SlopeKind::Inventory => control::inventory()?,
            SlopeKind::Queries => traffic::queries()?,
            SlopeKind::Claims => traffic::claims()?,
        }
    }
    Ok(())
}
