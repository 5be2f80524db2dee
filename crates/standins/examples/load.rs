//! Sends an open-loop load to daemons and prints the results.

use camphorway_standins::load::{LoadPlan, LoadStream, report, run, table, to_json};
use clap::Parser;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Sends a stream of requests to daemons and prints the results.
#[derive(Debug, Parser)]
struct LoadCommand {
    /// Addresses of the daemons, used in turn.
    #[arg(long, value_delimiter = ',', required = true)]
    target: Vec<SocketAddr>,
    /// The service to query.
    #[arg(long)]
    service: String,
    /// The requests' kind, which the rules match.
    #[arg(long)]
    kind: Option<String>,
    /// Requests per second.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// Duration of the load in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Deadline of each request in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    deadline_ms: u64,
    /// Seed of the send times and ids.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Send requests that must run at most once.
    #[arg(long)]
    once: bool,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

fn main() -> io::Result<()> {
    let command = LoadCommand::parse();
    let deadline = Duration::from_millis(command.deadline_ms);
    let mut stream = LoadStream::new("load", &command.service, command.rate, deadline);
    stream.kind = command.kind;
    stream.idempotent = !command.once;
    let plan = LoadPlan {
        targets: command.target,
        streams: vec![stream],
        duration: Duration::from_secs(command.seconds),
        warm_up: Duration::ZERO,
        seed: command.seed,
    };
    let reports = report(&plan, &run(&plan)?);
    if command.json {
        println!("{}", to_json(&reports));
    } else {
        print!("{}", table(&reports));
    }
    Ok(())
}
