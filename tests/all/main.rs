//! Tests over real processes on loopback: daemons, and stand-ins for the
//! platform and the backend servers.

mod whole_path;
