//! Backend servers as targets of calls: their connections, what they say of
//! themselves, and the choice of one.

pub mod call_end;
pub(crate) mod cold_calls;
pub(crate) mod cold_servers;
pub mod connection_warmer;
pub mod crash_guard;
pub mod endpoint_counts;
pub(crate) mod endpoint_status;
pub(crate) mod idle_connection;
pub mod known_places;
pub mod leaving_servers;
pub mod server_endpoint;
pub mod server_limit;
pub mod service_endpoints;
pub mod view;
