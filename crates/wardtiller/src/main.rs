//! The entry point of the `wardtiller` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    wardtiller::commands::run_from_arguments()
}
