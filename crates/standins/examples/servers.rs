//! Runs the backend servers' stand-ins until standard input closes.

use camphorway_model::CheckedConfiguration;
use camphorway_standins::http::StandinExecutor;
use camphorway_standins::lifetime::end_of_input;
use camphorway_standins::server::ServerSwitches;
use camphorway_standins::server_control::ServerFarm;
use clap::Parser;
use futures_lite::FutureExt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Runs stand-ins for the backend servers of an inventory.
#[derive(Debug, Parser)]
struct ServersCommand {
    /// Address of the control port.
    #[arg(long)]
    control: SocketAddr,
    /// Path of the inventory.
    #[arg(long)]
    inventory: PathBuf,
    /// Names of the servers to run; all by default.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Snapshots that the servers hold, joined by `+`.
    #[arg(long, default_value = "1")]
    snapshots: String,
    /// Median duration of a call in microseconds.
    #[arg(long, default_value_t = 2_000)]
    delay_us: u64,
    /// Seed of the random delays; the process id is added.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> io::Result<()> {
    let command = ServersCommand::parse();
    let text = std::fs::read_to_string(&command.inventory)?;
    let configuration = CheckedConfiguration::parse(&[("inventory", &text)])
        .map_err(|faults| io::Error::other(format!("{faults:?}")))?;
    let switches = ServerSwitches {
        delay: Duration::from_micros(command.delay_us),
        snapshots: command
            .snapshots
            .split('+')
            .filter_map(|text| text.parse().ok())
            .collect(),
        ..ServerSwitches::default()
    };
    let executor = StandinExecutor::default();
    let seed = command.seed.wrapping_add(u64::from(std::process::id()));
    let farm = ServerFarm::new(&configuration, &switches, &executor, seed, |server| {
        command.only.is_empty() || command.only.iter().any(|name| name == server.name.as_str())
    });
    async_io::block_on(executor.run(async {
        let control = async_net::TcpListener::bind(command.control).await?;
        let stdin_closed = async {
            end_of_input().await;
            Ok(())
        };
        farm.run(control).or(stdin_closed).await
    }))
}
