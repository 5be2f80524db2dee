//! Tests over real processes on loopback: daemons, and stand-ins for the
//! platform and the backend servers.

mod caller_port;
mod peers;
mod settings;
mod whole_path;
