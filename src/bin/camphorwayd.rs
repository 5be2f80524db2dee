//! The daemon of the query tier; with `--front`, a front.

use camphorway_daemon::command::DaemonCommand;
use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = DaemonCommand::parse();
    if command.front {
        camphorway_platform::command::main(&command)
    } else {
        camphorway_daemon::command::main(&command)
    }
}
