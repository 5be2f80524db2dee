//! Tests of the front's parts without processes.

mod knowledge;
mod settings;
