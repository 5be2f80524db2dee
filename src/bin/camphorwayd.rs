//! The daemon of the query tier.

use std::process::ExitCode;

fn main() -> ExitCode {
    camphorway_daemon::command::main()
}
