//! Tests of what daemons share, over a small fake of the messages' way.

mod configuration;
mod holders;
mod membership;
mod network;
