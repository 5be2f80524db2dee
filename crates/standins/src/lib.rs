//! Stand-ins for the systems outside the tier, and tools that drive it. Not
//! shipped.
//!
//! Each stand-in is small: as much of the published protocol as the proofs
//! need, and switches for the faults that the tier must survive.

pub mod certificates;
pub mod experiment;
pub mod fleet;
pub mod front;
pub mod http;
pub mod lifetime;
pub mod load;
pub mod platform;
pub mod relay;
pub mod server;
pub mod server_control;
pub mod shape;
