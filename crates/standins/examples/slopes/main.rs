//! Measures the slopes that docs/CAPACITY.md is worked out from.

mod control;
mod traffic;

use clap::{Parser, ValueEnum};
use std::io;

/// Measures one kind of slope and prints it.
#[derive(Debug, Parser)]
struct SlopesCommand {
    /// Which slope.
    #[arg(required = true)]
    kinds: Vec<SlopeKind>,
    /// Numbers of daemons.
    #[arg(long, value_delimiter = ',', default_value = "9,30,100,155")]
    daemons: Vec<usize>,
    /// Failure domains that the daemons are spread over.
    #[arg(long, default_value_t = 1)]
    domains: usize,
}

/// The slopes.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum SlopeKind {
    /// Control traffic, processor time and memory by number of daemons.
    Daemons,
    /// Time and store calls of a configuration change by number of daemons.
    Changes,
    /// Memory by number of backend servers in the inventory.
    Inventory,
    /// Processor time of queries by shards, local and remote.
    Queries,
    /// Store calls and processor time of requests that run at most once.
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
