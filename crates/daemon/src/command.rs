//! The daemon's command line.

use crate::daemon::{self, StartError};
use crate::event;
use crate::settings::{DaemonSettings, SettingsError};
use clap::Parser;
use log::LevelFilter;
use std::path::PathBuf;
use std::process::ExitCode;

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;

/// Runs one daemon of the query tier.
#[derive(Debug, Parser)]
#[command(name = "camphorwayd", version)]
pub struct DaemonCommand {
    /// The settings file (INI).
    #[arg(long)]
    pub settings: PathBuf,
    /// Sets a value of a front in place of the file's, as `SECTION.KEY=VALUE`; an empty
    /// value sets nothing.
    #[arg(long, requires = "front")]
    pub set: Vec<String>,
    /// Only check the settings, and start nothing.
    #[arg(long)]
    pub check: bool,
    /// Serve requests by the routes in the platform's store, as a front; the
    /// settings file is then that of a front.
    #[arg(long)]
    pub front: bool,
}

/// Runs a daemon with the settings that the command names.
pub fn main(command: &DaemonCommand) -> ExitCode {
    let settings = DaemonSettings::read(&command.settings);
    run_checked(
        command,
        settings,
        |settings| settings.log_level,
        daemon::run,
    )
}

/// Prints the faults of the settings, or runs with valid settings unless the command
/// only checks them.
pub fn run_checked<Settings, Level, Run>(
    command: &DaemonCommand,
    settings: Result<Settings, SettingsError>,
    level: Level,
    run: Run,
) -> ExitCode
where
    Level: FnOnce(&Settings) -> LevelFilter,
    Run: FnOnce(Settings) -> Result<(), StartError>,
{
    let settings = match settings {
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
    if let Err(cause) = event::start(level(&settings)) {
        eprintln!("cannot start the log: {cause}");
        return ExitCode::from(EXIT_START);
    }
    let ended = run(settings);
    event::finish();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}
