//! Processor time of one front for a query over all services, with and without
//! its log, the sides in turn in one run.

use camphorway_standins::experiment::process_cpu;
use camphorway_standins::front::testbed::{FrontTestbed, PersistentConnection, request_text};
use clap::Parser;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const CALLERS: u32 = 8;
const TIME_LIMIT_MS: u64 = 900;
const READ_LIMIT: Duration = Duration::from_secs(3);
const LEVELS: [&str; 2] = ["info", "off"];

/// What to run.
#[derive(Debug, Parser)]
struct CostCommand {
    /// The daemon's program.
    #[arg(long, default_value = "target/release/camphorwayd")]
    binary: PathBuf,
    /// Services that a query is merged from.
    #[arg(long, default_value_t = 10)]
    services: usize,
    /// Queries a second.
    #[arg(long, default_value_t = 300)]
    rate: u32,
    /// How long each side runs each time.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// How often each side runs.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
}

fn main() -> io::Result<()> {
    let command = CostCommand::parse();
    let mut testbed = FrontTestbed::start(&command.binary, command.services, 1)?;
    println!("log level, queries, whole, us a query, us a server call");
    for round in 0..command.rounds {
        for level in LEVELS {
            testbed.log_level = level;
            testbed.restart_front(0)?;
            testbed.wait_ready()?;
            run_side(&command, &testbed, level, round);
        }
    }
    Ok(())
}

fn run_side(command: &CostCommand, testbed: &FrontTestbed, level: &str, round: usize) {
    let front = &testbed.fronts[0];
    let process = front.process.id();
    let before = process_cpu(process);
    let counts: Vec<(u32, u32)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let name = format!("cost-{level}-{round}-{caller}");
                scope.spawn(move || send(command, front.caller_address, &name))
            })
            .collect();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined.map(|counts| counts.expect("no panic")).collect()
    });
    let used = (process_cpu(process) - before) * 1e6;
    let sent: u32 = counts.iter().map(|(sent, _)| sent).sum();
    let whole: u32 = counts.iter().map(|(_, whole)| whole).sum();
    let a_query = used / f64::from(sent);
    let a_call = a_query / command.services as f64;
    println!("{level}, {sent}, {whole}, {a_query:.1}, {a_call:.1}");
}

/// Sends at its part of the rate; how many were sent and had a whole answer.
fn send(command: &CostCommand, address: SocketAddr, name: &str) -> (u32, u32) {
    let period = Duration::from_secs(1) * CALLERS / command.rate;
    let began = Instant::now();
    let (mut sent, mut whole) = (0, 0);
    let mut connection = PersistentConnection::new(address, READ_LIMIT);
    while began.elapsed() < Duration::from_secs(command.seconds) {
        let text = request_text("GET", "/all/", &format!("{name}-{sent}"), TIME_LIMIT_MS);
        match connection.send_request(&text) {
            Ok(answer) => whole += u32::from(answer.status() == 200),
            Err(error) => eprintln!("{name}-{sent}: {error}"),
        }
        sent += 1;
        std::thread::sleep((period * sent).saturating_sub(began.elapsed()));
    }
    (sent, whole)
}
