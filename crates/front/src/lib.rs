//! The front: answers requests that routes lead to services, by calling the
//! services' backend servers directly.
//!
//! Routes and servers are learned from a store, through the ports in [`ports`].
//! One thread follows the store and publishes a [`view`]; another carries
//! traffic. A request is read by the [`door`], goes through the [`fan_out`], and
//! reaches servers chosen from [`service_lines`] by [`server_call`]s.

pub mod answer;
pub mod control;
pub mod counted_source;
pub mod crash_guard;
pub mod door;
pub mod fan_out;
pub mod feed;
pub mod front;
pub mod gauges;
pub mod knowledge;
pub mod membership;
pub mod metrics;
pub mod peer_port;
pub mod ports;
pub mod readiness_port;
pub mod server_call;
pub mod server_line;
pub mod service_lines;
pub mod settings;
pub mod stall_news;
pub mod view;
