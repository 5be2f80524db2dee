//! Sends an open-loop load to daemons and prints a table.

use camphorway_standins::load::{LoadPlan, LoadStream, report, run, table, to_json};
use clap::Parser;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// One stream of requests.
#[derive(Debug, Parser)]
struct LoadCommand {
    /// Daemons to send to, used in turn.
    #[arg(long, value_delimiter = ',', required = true)]
    target: Vec<SocketAddr>,
    /// The service asked.
    #[arg(long)]
    service: String,
    /// The kind of work, for the rules.
    #[arg(long)]
    kind: Option<String>,
    /// Requests a second.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// How long to send.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Time limit of each request in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    deadline_ms: u64,
    /// Seed for times and ids.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests must run at most once.
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
