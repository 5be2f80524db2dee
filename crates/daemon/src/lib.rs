//! The daemon: network, store, clock and log around the logic of the gossip and
//! policy crates, and the threads that run them.
//!
//! One thread owns the control state and publishes an immutable view of it. The
//! other threads carry traffic: they read the view, answer callers ([`entry`])
//! and call backend servers on behalf of the whole tier ([`holder`]).

pub mod admin_port;
pub mod body_memory;
pub mod caller_port;
pub mod clock;
pub mod command;
pub mod connection_counts;
pub mod connection_memory;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod event;
pub mod holder;
pub mod http2_heads;
pub mod http_client;
pub mod http_port;
pub mod http_stream;
pub mod json_entry;
pub mod log_sink;
pub mod metric_set;
pub mod metrics;
pub mod peer;
pub mod read_limit;
pub mod settings;
pub mod store;
mod stream_heads;
mod stream_memory;
pub mod sync;
pub mod task;
