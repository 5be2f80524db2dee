//! The front: routes requests to services and answers them by calling the
//! services' backend servers directly.
//!
//! Routes and servers come from a store, through the traits in [`ports`]. One
//! thread follows the store and publishes a [`servers::view`]; another serves requests.
//! The [`callers::request_handler`] reads a request, and the [`calls::fan_out`] makes
//! [`calls::server_call`]s to servers chosen from [`servers::service_endpoints`].
//!
//! Modules depend only on those above them in this list: [`answer`], [`ports`],
//! [`messages`], [`servers`], [`metrics`], [`feeds`], [`peers`], [`workspaces`],
//! [`calls`], [`callers`], [`caller_port`], [`gauges`], [`control`], [`front`].

pub mod answer;
pub mod caller_port;
pub mod callers;
pub mod calls;
pub mod control;
pub mod feeds;
pub mod front;
pub mod gauges;
pub mod messages;
pub mod metrics;
pub mod peers;
pub mod ports;
pub mod servers;
pub mod settings;
pub mod store_revision;
pub mod workspaces;
