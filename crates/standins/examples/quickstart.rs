//! Starts a small fleet, sends a query, prints the answer and stops the fleet.

use async_signal::{Signal, Signals};
use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::load::LoadStream;
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use futures_lite::StreamExt;
use std::io;
use std::time::Duration;

const DOMAINS: usize = 3;
const INSTANCES: usize = 9;

fn main() -> io::Result<()> {
    kill_fleet_on_signal()?;
    println!(
        "starting a platform, {INSTANCES} backend servers and {DOMAINS} daemons in {DOMAINS} failure domains"
    );
    // Each domain has a third of the shards, so a query needs holders in all of them.
    let mut shape = FleetShape::simple(DOMAINS, INSTANCES);
    shape.placement = InstancePlacement::OneDomain;
    let spec = FleetSpec::new(shape);
    let fleet = Fleet::start(spec)?;
    let stream = LoadStream::new("quickstart", "portal", 1.0, Duration::from_secs(2));
    let reply = fleet.query(0, &stream, None, "burr set for serial 4711")?;
    let body = reply.json();
    println!("{}", serde_json::to_string_pretty(&body)?);
    println!(
        "outcome {} from {} shards, coverage {}",
        body["outcome"], body["coverage"]["shards"], body["coverage"]["fraction"]
    );
    if body["outcome"] == "complete" {
        return Ok(());
    }
    Err(io::Error::other("the answer is not complete"))
}

/// On SIGTERM or SIGINT, kills the started processes by their ids and exits.
fn kill_fleet_on_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    std::thread::spawn(move || {
        if futures_lite::future::block_on(signals.next()).is_some() {
            camphorway_standins::fleet::kill_started_processes();
            std::process::exit(130);
        }
    });
    Ok(())
}
