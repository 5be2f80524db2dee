//! Calls to backend servers for one request.

pub mod fan_out;
pub mod server_call;
pub mod stop_state;
