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
    for kind in SlopesCommand::parse().kinds {
        match kind {
            SlopeKind::Daemons => control::daemons()?,
            SlopeKind::Changes => control::changes()?,
            SlopeKind::Inventory => control::inventory()?,
            SlopeKind::Queries => traffic::queries()?,
            SlopeKind::Claims => traffic::claims()?,
        }
    }
    Ok(())
}
