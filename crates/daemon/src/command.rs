//! The daemon's command line.

use crate::daemon;
use crate::event;
use crate::settings::DaemonSettings;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;

/// Runs one daemon of the query tier.
#[derive(Debug, Parser)]
#[command(name = "camphorwayd", version)]
struct DaemonCommand {
    /// The settings file (INI).
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings, and start nothing.
    #[arg(long)]
    check: bool,
}

/// Reads the command line and runs the daemon.
pub fn main() -> ExitCode {
    let command = DaemonCommand::parse();
    let settings = match DaemonSettings::read(&command.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if command.check {
        println!("{}: valid", command.settings.display());
        return ExitCode::SUCCESS;
    }
    event::start(settings.log_level);
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}
