//! What can go wrong, and the exit code that tells it.

use crate::files::SectionChange;
use camphorway_daemon::store::client::StoreError;
use camphorway_model::Generation;
use camphorway_model::ini::IniFault;
use derive_more::Display;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug, Display)]
pub enum OperatorError {
    /// A file can't be read.
    #[display("{}: cannot read: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The files have faults, one a line.
    #[display("{}", lines(_0))]
    Invalid(Vec<IniFault>),
    /// Another operator's change came first.
    #[display(
        "conflict: generation {generation} is in the store, not the one this change was made from; the store differs from your files by:\n{}",
        lines(changes)
    )]
    Conflict {
        /// The generation in the store.
        generation: Generation,
        /// What differs between the store and the files.
        changes: Vec<SectionChange>,
    },
    /// The store did not answer, and nothing was accepted.
    #[display("not accepted: {_0}")]
    Store(StoreError),
    /// The store did not answer, and the change may have been accepted.
    #[display("unknown whether accepted, run `camphorway status` or apply again: {_0}")]
    Unknown(StoreError),
    /// Accepted, but not in force everywhere.
    #[display("generation {generation} is accepted but not in force at: {}", missing.join(", "))]
    NotEverywhere {
        /// The accepted generation.
        generation: Generation,
        /// Daemons without it.
        missing: Vec<String>,
    },
    /// A daemon did not answer.
    #[display("daemon {_0}: {_1}")]
    Daemon(std::net::SocketAddr, String),
    /// The program can't start.
    #[display("cannot start: {_0}")]
    Start(String),
}

impl std::error::Error for OperatorError {}

impl OperatorError {
    /// The exit code; docs/operators.md lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Start(_) => 1,
            Self::Read { .. } | Self::Invalid(_) => 2,
            Self::Conflict { .. } => 4,
            Self::NotEverywhere { .. } => 5,
            Self::Store(_) => 6,
            Self::Unknown(_) => 7,
            Self::Daemon(..) => 8,
        }
    }
}

fn lines<Item>(items: &[Item]) -> String
where
    Item: std::fmt::Display,
{
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
