//! Tests of the daemon's parts without processes.

mod http_port;
mod links;
