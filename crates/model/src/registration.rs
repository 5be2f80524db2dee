//! The records by which backend servers register themselves.

use crate::id::{FailureDomain, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The registration of one backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRecord {
    /// The server's name. Calls carry it, so that another server at a reused address refuses them.
    pub name: ServerName,
    /// The server's service.
    pub service: ServiceName,
    /// The server's listening address.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub domain: FailureDomain,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the server accepts new calls.
    pub state: RegisteredState,
    /// The remaining time for which the server is slow after its start.
    pub warmup_left: Duration,
    /// A number that differs for each start of the server process.
    pub incarnation: u64,
}

/// The state that a server registers for itself.
#[derive(Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, PartialEq, Serialize)]
pub enum RegisteredState {
    /// The server accepts calls.
    #[display("ready")]
    Ready,
    /// The server finishes its running calls and then leaves.
    #[display("draining")]
    Draining,
}
