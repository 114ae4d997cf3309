//! The `wardtiller` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    wardtiller::commands::run_from_arguments()
}
