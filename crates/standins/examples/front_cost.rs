//! Measures a front's processor time per query over all services, with and without
//! its log. Both log levels take turns in one run.

use camphorway_standins::experiment::process_cpu;
use camphorway_standins::front::testbed::{FrontTestbed, PersistentConnection, request_text};
use clap::Parser;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const CALLERS: u32 = 8;
const DEADLINE_MS: u64 = 900;
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const LEVELS: [&str; 2] = ["info", "off"];

/// Measures a front's processor time with and without its log.
#[derive(Debug, Parser)]
struct CostCommand {
    /// Path of the daemon's program.
    #[arg(long, default_value = "target/release/camphorwayd")]
    binary: PathBuf,
    /// Number of services from which a query is merged.
    #[arg(long, default_value_t = 10)]
    services: usize,
    /// Queries per second.
    #[arg(long, default_value_t = 300)]
    rate: u32,
    /// Duration of each run in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of runs at each log level.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
}

fn main() -> io::Result<()> {
    let command = CostCommand::parse();
    let mut testbed = FrontTestbed::start(&command.binary, command.services, 1)?;
    println!("log level, queries, complete, us per query, us per server call");
    for round in 0..command.rounds {
        for level in LEVELS {
            testbed.log_level = level;
            testbed.restart_front(0)?;
            testbed.wait_ready()?;
            run_level(&command, &testbed, level, round);
        }
    }
    Ok(())
}

fn run_level(command: &CostCommand, testbed: &FrontTestbed, level: &str, round: usize) {
    let front = &testbed.fronts[0];
    let process = front.process.id();
    let cpu_before = process_cpu(process);
    let counts: Vec<(u32, u32)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let name = format!("cost-{level}-{round}-{caller}");
                scope.spawn(move || send_load(command, front.caller_address, &name))
            })
            .collect();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined.map(|counts| counts.expect("no panic")).collect()
    });
    let cpu_micros = (process_cpu(process) - cpu_before) * 1e6;
    let sent: u32 = counts.iter().map(|(sent, _)| sent).sum();
    let complete: u32 = counts.iter().map(|(_, complete)| complete).sum();
    let per_query = cpu_micros / f64::from(sent);
    let per_call = per_query / command.services as f64;
    println!("{level}, {sent}, {complete}, {per_query:.1}, {per_call:.1}");
}

/// Sends one caller's share of the queries; returns the number of queries sent and
/// of complete answers.
fn send_load(command: &CostCommand, address: SocketAddr, name: &str) -> (u32, u32) {
    let period = Duration::from_secs(1) * CALLERS / command.rate;
    let started_at = Instant::now();
    let (mut sent, mut complete) = (0, 0);
    let mut connection = PersistentConnection::new(address, READ_TIMEOUT);
    while started_at.elapsed() < Duration::from_secs(command.seconds) {
        let request = request_text("GET", "/all/", &format!("{name}-{sent}"), DEADLINE_MS);
        match connection.send_request(&request) {
            Ok(answer) => complete += u32::from(answer.status() == 200),
            Err(error) => eprintln!("{name}-{sent}: {error}"),
        }
        sent += 1;
        std::thread::sleep((period * sent).saturating_sub(started_at.elapsed()));
    }
    (sent, complete)
}
