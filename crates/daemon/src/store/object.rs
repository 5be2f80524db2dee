//! What the platform's object API takes and gives.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a call is for; it decides how much of the budget the call may use.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StorePurpose {
    /// Claims of requests that run at most once.
    #[display("claim")]
    Claim,
    /// Configuration and layouts.
    #[display("configuration")]
    Configuration,
    /// VM list and cleaning up.
    #[display("status")]
    Status,
}

impl StorePurpose {
    /// The part of the budget that this purpose leaves to others.
    pub(super) fn reserve(self) -> f64 {
        match self {
            Self::Claim => 0.0,
            Self::Configuration => 0.1,
            Self::Status => 0.3,
        }
    }
}

/// A call that failed: the write it made, if any, may have taken effect.
#[derive(Debug, Display)]
#[display("store {step} {key}: {cause}")]
pub struct StoreError {
    /// The step.
    pub step: &'static str,
    /// The key or path.
    pub key: String,
    /// What went wrong.
    pub cause: String,
}

impl std::error::Error for StoreError {}

/// An object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: String,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// Written, with this version.
    Written(u64),
    /// The object has another version than expected.
    Conflict,
}

/// A key and its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObject {
    /// The key.
    pub key: String,
    /// The version.
    pub version: u64,
}

/// What a watch saw.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchReply {
    /// To be given to the next watch.
    pub revision: u64,
    /// Objects that changed.
    pub changes: Vec<ListedObject>,
}

/// Whether a VM is there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is being taken away.
    Leaving,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// It runs a daemon.
    Entry,
    /// It runs a backend server.
    Backend,
}

/// A line of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// The VM; for backend servers, the server's name in the inventory.
    pub name: String,
    /// What it is for.
    pub kind: VmKind,
    /// For entry VMs, the address for other daemons.
    pub address: std::net::SocketAddr,
    /// Whether it is there.
    pub state: VmState,
}

/// The platform's VM list, which lags.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Grows with each change.
    pub revision: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
}
