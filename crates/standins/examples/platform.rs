//! Runs the platform's stand-in until standard input closes.

use camphorway_standins::http::StandinExecutor;
use camphorway_standins::lifetime::end_of_input;
use camphorway_standins::platform::Platform;
use clap::Parser;
use futures_lite::FutureExt;
use std::io;
use std::net::SocketAddr;

/// Runs a stand-in for the platform's object API and VM list.
#[derive(Debug, Parser)]
struct PlatformCommand {
    /// Address at which to listen.
    #[arg(long)]
    listen: SocketAddr,
    /// Seed of the random faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> io::Result<()> {
    let command = PlatformCommand::parse();
    let executor = StandinExecutor::default();
    let platform = Platform::new(&executor, command.seed);
    async_io::block_on(executor.run(async {
        let listener = async_net::TcpListener::bind(command.listen).await?;
        platform.run(listener).or(end_of_input()).await;
        Ok(())
    }))
}
