//! Counts of servers for the gauges.

/// Counts of servers, their connections and calls at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointCounts {
    /// Servers that are expected to answer calls.
    pub healthy: usize,
    /// Servers that are stalled, or closed after failed calls.
    pub unhealthy: usize,
    /// Servers whose registration is missing.
    pub missing: usize,
    /// Servers in evacuated failure domains.
    pub evacuated: usize,
    /// Running calls.
    pub running: usize,
    /// Those of them at servers in evacuated failure domains.
    pub running_evacuated: usize,
    /// Connections kept for later calls.
    pub idle_connections: usize,
    /// Connections being opened.
    pub connecting: usize,
    /// Calls that wait for a free server.
    pub waiting: usize,
    /// Servers that name a limit on requests.
    pub limited: usize,
    /// Servers that have said that they leave.
    pub leaving: usize,
    /// Servers that are cold and have a limit meanwhile.
    pub cold: usize,
    /// Servers that want no request for a time.
    pub closed: usize,
}
