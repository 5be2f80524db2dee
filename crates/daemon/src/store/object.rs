//! Types of the platform's object API.

use crate::json_entry::RawEntry;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The purpose of a call, which decides how much of the budget it may use.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StorePurpose {
    /// Claims of requests that may run at most once.
    #[display("claim")]
    Claim,
    /// Reading configuration and layouts.
    #[display("configuration")]
    Configuration,
    /// Reading the VM list and deleting old claims.
    #[display("status")]
    Status,
}

impl StorePurpose {
    /// The fraction of the budget that calls of this purpose leave to others.
    pub(super) fn reserve(self) -> f64 {
        match self {
            Self::Claim => 0.0,
            Self::Configuration => 0.1,
            Self::Status => 0.3,
        }
    }
}

/// A failed call; if it was a write, the write may have taken effect.
#[derive(Debug, Display)]
#[display("store {step} {key}: {cause}")]
pub struct StoreError {
    /// The step that failed.
    pub step: &'static str,
    /// The object's key or the path.
    pub key: String,
    /// The cause of the failure.
    pub cause: String,
}

impl std::error::Error for StoreError {}

/// An object that was read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Its version; later histories of the store have higher ones.
    pub version: u64,
    /// Its text.
    pub text: String,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// Written; the object now has this version.
    Written(u64),
    /// Not written: the object's version is not the expected one.
    Conflict,
}

/// An object's key and version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObject {
    /// The key.
    pub key: String,
    /// The version.
    pub version: u64,
}

/// The reply to a watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchReply {
    /// The revision to pass to the next watch.
    pub revision: u64,
    /// Objects that changed.
    pub changes: Vec<ListedObject>,
}

/// A [`WatchReply`] as sent.
#[derive(Debug, Deserialize)]
pub(super) struct WatchDocument {
    pub(super) revision: u64,
    pub(super) changes: Vec<RawEntry<ListedObject>>,
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is being removed.
    Leaving,
}

/// The kind of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// It runs a daemon.
    Entry,
    /// It runs a backend server.
    Backend,
}

/// A VM in the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name of the VM; for backend servers, the server's name in the inventory.
    pub name: String,
    /// Its kind.
    pub kind: VmKind,
    /// For entry VMs, the address at which other daemons connect.
    pub address: std::net::SocketAddr,
    /// Its state.
    pub state: VmState,
}

/// The platform's VM list, which may lag behind the actual VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Increases with each change.
    pub revision: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// A [`VmList`] as sent.
#[derive(Debug, Deserialize)]
pub(super) struct VmDocument {
    pub(super) revision: u64,
    pub(super) vms: Vec<RawEntry<ListedVm>>,
}
