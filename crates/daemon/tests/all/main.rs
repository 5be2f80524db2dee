//! Tests of the daemon's parts without processes.

mod http_port;
mod json_entry;
mod links;
