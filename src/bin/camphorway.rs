//! The operators' command-line tool of the query tier.

use camphorway_platform::operator::PlatformFormat;
use std::process::ExitCode;

fn main() -> ExitCode {
    camphorway_operator::command::main(&PlatformFormat)
}
