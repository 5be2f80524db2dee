//! Backend servers as they register themselves.

use crate::id::{FailureDomain, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// One backend server's registration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRecord {
    /// Its name; calls carry it, so that another server at a reused address refuses them.
    pub name: ServerName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it stands in.
    pub domain: FailureDomain,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new calls.
    pub state: RegisteredState,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
    /// The start that it lives in; differs after each start.
    pub incarnation: u64,
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, PartialEq, Serialize)]
pub enum RegisteredState {
    /// It takes calls.
    #[display("ready")]
    Ready,
    /// It finishes what it has and leaves.
    #[display("draining")]
    Draining,
}
