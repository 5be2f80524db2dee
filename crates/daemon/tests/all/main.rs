//! Tests of the daemon's parts without processes.

mod links;
