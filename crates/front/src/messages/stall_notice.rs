//! A notice that a server's stall has changed, or that it lost an answer.

use camphorway_model::{ServerName, ServiceName};
use camphorway_policy::{NoticeReach, StallChange};
use serde::{Deserialize, Serialize};

/// A notice that a server's stall has changed, or that it lost an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StallNotice {
    /// The server's service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// The change.
    pub change: StallChange,
    /// How far the notice has been relayed.
    pub reach: NoticeReach,
}
