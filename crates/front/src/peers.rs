//! What fronts tell each other beside the feeds, and the port for their queries.

pub mod crash_notices;
pub mod credit_queries;
pub mod peer_port;
pub mod stall_notices;
pub mod workspace_slots;
