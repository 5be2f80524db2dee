//! Stand-ins for the systems around the daemons, and tools that generate load
//! and measure. Not part of the shipped program.
//!
//! Each stand-in implements as much of the published protocol as the tests
//! need, and switches for the faults that the daemons must survive.

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
