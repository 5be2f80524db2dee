//! The operators' command line.
//!
//! `check` and `story` work offline. `diff` and `apply` talk to the platform's store,
//! `status`, `dump` and `explain` to daemons' admin addresses.

pub mod apply;
pub mod command;
pub mod error;
pub mod files;
pub mod remote;
pub mod status;
pub mod story;
