//! The operators' command-line tool.
//!
//! `check` and `story` work offline. `diff` and `apply` call the platform's store;
//! `status`, `dump` and `explain` call the daemons' admin addresses. `check` and `diff` take
//! configurations of fronts as well, in the format of a [`front_configuration`] adapter.

pub mod apply;
pub mod command;
mod configuration_commands;
pub mod error;
pub mod files;
pub mod front_check;
pub mod front_configuration;
pub mod refusal_meaning;
pub mod remote;
pub mod status;
pub mod trace;
