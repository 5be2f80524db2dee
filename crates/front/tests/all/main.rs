//! Tests of the front's parts without processes.

mod feed_cache;
mod quarantine;
mod settings;
