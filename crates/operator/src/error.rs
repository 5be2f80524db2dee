//! Errors of the subcommands and their exit codes.

use crate::files::SectionChange;
use crate::front_configuration::ReportLine;
use camphorway_daemon::store::client::StoreError;
use camphorway_model::Generation;
use camphorway_model::ini::IniFault;
use derive_more::Display;
use std::path::PathBuf;

/// An error of a subcommand.
#[derive(Debug, Display)]
pub enum OperatorError {
    /// A file can't be read.
    #[display("{}: cannot read: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The files have faults, shown one per line.
    #[display("{}", join_lines(_0))]
    Invalid(Vec<IniFault>),
    /// A configuration of fronts has faults, shown one per line.
    #[display("{}", join_lines(_0))]
    Unfit(Vec<ReportLine>),
    /// The options don't fit the files.
    #[display("{_0}")]
    Options(&'static str),
    /// Another operator's change was accepted first.
    #[display(
        "conflict: generation {generation} is in the store, not the one on which this change is based; the store differs from your files by:\n{}",
        join_lines(changes)
    )]
    Conflict {
        /// The generation in the store.
        generation: Generation,
        /// The differences between the store and the files.
        changes: Vec<SectionChange>,
    },
    /// The store did not answer, and nothing was accepted.
    #[display("not accepted: {_0}")]
    Store(StoreError),
    /// The store did not answer, and the change may have been accepted.
    #[display(
        "unknown whether the change was accepted; run `camphorway status` or apply again: {_0}"
    )]
    Unknown(StoreError),
    /// The store came back from an older copy, and the change replaced one accepted since.
    #[display(
        "generation {_0} was written just after the store came back from an older copy and may have replaced another change; compare with `camphorway diff` and apply again with all daemons in `--admin`"
    )]
    Replaced(Generation),
    /// The change is accepted, but not in force in all daemons.
    #[display("generation {generation} is accepted but not in force at: {}", missing.join(", "))]
    NotInForce {
        /// The accepted generation.
        generation: Generation,
        /// The daemons in which it is not in force.
        missing: Vec<String>,
    },
    /// The store of fronts did not answer, or not with a configuration.
    #[display("not read: {_0}")]
    FrontStore(String),
    /// A daemon's answer is missing or malformed.
    #[display("daemon {_0}: {_1}")]
    Daemon(std::net::SocketAddr, String),
    /// The program can't start.
    #[display("cannot start: {_0}")]
    Start(String),
}

impl std::error::Error for OperatorError {}

impl OperatorError {
    /// Returns the exit code; docs/operators.md lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Start(_) => 1,
            Self::Read { .. } | Self::Invalid(_) | Self::Unfit(_) | Self::Options(_) => 2,
            Self::Conflict { .. } => 4,
            Self::NotInForce { .. } => 5,
            Self::Store(_) | Self::FrontStore(_) => 6,
            Self::Unknown(_) | Self::Replaced(_) => 7,
            Self::Daemon(..) => 8,
        }
    }
}

fn join_lines<Item>(items: &[Item]) -> String
where
    Item: std::fmt::Display,
{
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
