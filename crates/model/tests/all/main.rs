//! Tests of configuration parsing, layouts and coverage.

mod configuration;
mod coverage;
mod ini;
