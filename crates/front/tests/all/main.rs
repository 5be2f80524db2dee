//! Tests of the front's parts without processes.

mod held;
mod knowledge;
mod settings;
