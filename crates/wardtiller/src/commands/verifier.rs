//! `wardtiller verifier`: turns a password into what the configuration holds of it.

use std::io::Read;

use eyre::ensure;

use super::{EXIT_DONE, write_out};

/// Reads a password from standard input, so that it stands in no process list and no history.
pub(crate) fn run() -> eyre::Result<u8> {
    let mut password = String::new();
    std::io::stdin().read_to_string(&mut password)?;
    let password = password.trim_end_matches(['\r', '\n']);
    ensure!(!password.is_empty(), "no password came in on standard input");
    write_out(&format!("verifier = {}", wire::make_verifier(password)));
    Ok(EXIT_DONE)
}
