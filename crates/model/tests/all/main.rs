//! Tests of the inventory's language and of coverage.

mod configuration;
mod coverage;
