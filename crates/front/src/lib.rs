//! The front: answers requests that routes lead to services, by calling the
//! services' backend servers directly.
//!
//! Routes and servers are learned from a store, through the ports in [`ports`].
//! One thread follows the store and publishes a [`view`]; another carries
//! traffic. A request is read by the [`request_handler`], goes through the [`fan_out`], and
//! reaches servers chosen from [`service_endpoints`] by [`server_call`]s.

pub mod answer;
pub mod control;
pub mod counted_source;
pub mod crash_guard;
pub mod fan_out;
pub mod feed;
pub mod feed_cache;
pub mod front;
pub mod gauges;
pub mod membership;
pub mod metrics;
pub mod peer_port;
pub mod ports;
pub mod readiness_port;
pub mod request_handler;
pub mod server_call;
pub mod server_endpoint;
pub mod service_endpoints;
pub mod settings;
pub mod stall_notices;
pub mod view;
