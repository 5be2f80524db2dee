//! Tests of the front's modules that start no processes.

mod feed_cache;
mod quarantine;
mod settings;
