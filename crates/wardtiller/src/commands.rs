//! The commands, one module each.

mod apply;
mod check;
mod demo;
mod load;
mod run;
mod show;
mod signals;
mod verifier;

use std::{io::Write, process::ExitCode};

use crate::{Wardtiller, WardtillerCmd};

/// The exit code of a successful command.
pub const EXIT_DONE: u8 = 0;
/// The exit code of a failed command, or of a check that found errors.
pub const EXIT_FAILED: u8 = 1;
/// The exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Parses the arguments of the process and runs the command.
pub fn run_from_arguments() -> ExitCode {
    let flags = match Wardtiller::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            write_out(&error.to_string());
            return ExitCode::from(EXIT_DONE);
        }
        Err(error) => {
            write_error(&format!("{error}\n\nTry `wardtiller --help`."));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let outcome = match flags.subcommand {
        WardtillerCmd::Run(flags) => run::run(&flags),
        WardtillerCmd::Check(flags) => check::run(&flags),
        WardtillerCmd::Apply(flags) => apply::run(&flags),
        WardtillerCmd::Show(flags) => show::run(&flags),
        WardtillerCmd::Verifier(_) => verifier::run(),
        WardtillerCmd::Demo(flags) => demo::run(&flags),
        WardtillerCmd::Load(flags) => load::run(&flags),
    };
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            write_error(&format!("{error:#}"));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Writes a line to standard output. Ignores errors, such as a pipe that its reader has closed.
pub(crate) fn write_out(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Writes a line to standard error. Ignores errors.
pub(crate) fn write_error(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Reads a file. The error contains its path.
pub(crate) fn read_file(path: &std::path::Path) -> eyre::Result<String> {
    use eyre::WrapErr;
    std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))
}
