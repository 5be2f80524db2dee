//! Whether and at what cost a server can be called at one time.

use std::time::Instant;

/// Whether new calls may go to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndpointSuitability {
    /// They may.
    Usual,
    /// It leaves: only if no other server is left.
    LastResort,
    /// None.
    Unusable,
}

/// Whether and at what cost an endpoint can be called at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointStatus {
    /// Whether the server may be called at all.
    pub(crate) suitability: EndpointSuitability,
    /// Whether it has a free slot and a connection for one more call.
    pub(crate) is_free: bool,
    /// Whether it is neither stalled nor closed.
    pub(crate) is_healthy: bool,
    /// The cost of one more call, in milliseconds.
    pub(crate) cost: f64,
    /// The time until which the server wants no call of this front.
    pub(crate) closed_until: Option<Instant>,
}
