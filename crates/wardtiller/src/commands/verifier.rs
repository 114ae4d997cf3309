//! `wardtiller verifier`: prints the SCRAM-SHA-256 verifier of a password, for the configuration.

use std::io::Read;

use eyre::ensure;

use super::{EXIT_DONE, write_out};

/// Reads a password from standard input, which keeps it out of process lists and the shell history.
pub(crate) fn run() -> eyre::Result<u8> {
    let mut password = String::new();
    std::io::stdin().read_to_string(&mut password)?;
    let password = password.trim_end_matches(['\r', '\n']);
    ensure!(!password.is_empty(), "no password on standard input");
    write_out(&format!("verifier = {}", wire::make_verifier(password)));
    Ok(EXIT_DONE)
}
