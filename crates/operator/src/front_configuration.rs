//! Configurations of fronts, whose format only an adapter knows.

use crate::error::OperatorError;
use crate::remote::RemoteAccess;
use camphorway_model::{ConfigurationDraft, DraftPlace, ServerRecord};
use camphorway_policy::FindingSeverity;
use derive_more::Display;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The byte that opens a configuration of fronts. No section or comment of inventory and
/// rules begins with a line that has it.
const OPENING_BYTE: u8 = b'{';
const COMMENT_BYTES: [u8; 2] = [b';', b'#'];
const FILE_EXTENSION: &str = "json";

/// Reads configurations of fronts, and what their store holds.
pub trait ConfigurationFormat {
    /// Decodes a configuration, as it is sent to the store.
    ///
    /// # Errors
    /// Returns all faults for which fronts would not use it.
    fn read(&self, document: &[u8]) -> Result<ConfigurationDraft, Vec<ReportLine>>;

    /// Decodes a list of servers, as the store answers it; entries that can't be read are
    /// left out.
    ///
    /// # Errors
    /// Returns why it is no list.
    fn read_servers(&self, document: &[u8]) -> Result<Vec<ServerRecord>, String>;

    /// The path of an entry in a configuration's text.
    fn path(&self, place: DraftPlace) -> String;

    /// Reads the configuration in the store; `None` if there is none.
    fn stored_configuration(
        &self,
        access: &RemoteAccess,
        store: SocketAddr,
    ) -> impl Future<Output = Result<Option<ConfigurationDraft>, String>>;

    /// Reads the servers that are registered in the store.
    fn stored_servers(
        &self,
        access: &RemoteAccess,
        store: SocketAddr,
    ) -> impl Future<Output = Result<Vec<ServerRecord>, String>>;
}

/// What is wrong at one place of a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{severity}: {}{}", one_line(&self.place()), one_line(reason))]
pub struct ReportLine {
    /// How much it takes away.
    pub severity: FindingSeverity,
    /// The path in the text; empty for the whole.
    pub path: String,
    /// What is wrong, without any value that may be a key.
    pub reason: String,
}

impl ReportLine {
    /// Returns the line as JSON.
    pub fn to_json(&self) -> Value {
        json!({ "severity": self.severity.to_string(), "path": self.path, "reason": self.reason })
    }

    fn place(&self) -> String {
        if self.path.is_empty() {
            return String::new();
        }
        format!("{}: ", self.path)
    }
}

/// Names come from the text and may hold line breaks.
fn one_line(text: &str) -> String {
    text.replace(char::is_control, " ")
}

/// Returns the content of the file if it is a configuration of fronts, or `None` if the
/// files are inventory and rules.
///
/// # Errors
/// Returns the file that can't be read, or that there are other files beside.
pub fn front_document(files: &[PathBuf]) -> Result<Option<Vec<u8>>, OperatorError> {
    let mut documents = Vec::new();
    for path in files {
        documents.extend(Some(read_file(path)?).filter(|bytes| is_front_document(path, bytes)));
    }
    match documents.len() {
        0 => Ok(None),
        1 if files.len() == 1 => Ok(documents.pop()),
        _ => Err(OperatorError::Options(
            "a configuration of fronts is one file, without others beside",
        )),
    }
}

/// Whether the file holds a configuration of fronts, also a damaged one: as inventory and
/// rules, its lines would be printed as faults, with the keys in them.
fn is_front_document(path: &Path, bytes: &[u8]) -> bool {
    let has_extension = path.extension().is_some_and(|name| name == FILE_EXTENSION);
    let text = bytes.trim_ascii_start();
    let is_comment = text
        .first()
        .is_some_and(|byte| COMMENT_BYTES.contains(byte));
    let mut lines = text.split(|byte| *byte == b'\n');
    let first_line = lines.next().unwrap_or_default();
    has_extension || !is_comment && first_line.contains(&OPENING_BYTE)
}

/// Reads a whole file.
///
/// # Errors
/// Returns the file that can't be read.
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, OperatorError> {
    std::fs::read(path).map_err(|cause| OperatorError::Read {
        path: path.to_owned(),
        cause,
    })
}
