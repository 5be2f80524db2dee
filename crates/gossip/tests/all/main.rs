//! Tests of the state that daemons share, over a simulated network.

mod configuration;
mod holders;
mod membership;
mod network;
