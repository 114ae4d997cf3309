//! `wardtiller check`: reports every error in a configuration.

use config::{Configuration, check_configuration};

use super::{EXIT_DONE, EXIT_FAILED, read_file, write_error, write_out};
use crate::cli::Check;

/// Checks the configuration file in the flags.
pub(crate) fn run(flags: &Check) -> eyre::Result<u8> {
    let text = read_file(&flags.file)?;
    match check_configuration(&flags.file.display().to_string(), &text) {
        Ok(configuration) => {
            write_out(&summary(&configuration));
            Ok(EXIT_DONE)
        }
        Err(problems) => {
            write_error(&problems.to_string());
            Ok(EXIT_FAILED)
        }
    }
}

fn summary(configuration: &Configuration) -> String {
    let servers: usize = configuration.groups.values().map(|group| group.servers.len()).sum();
    format!(
        "no mistakes: {} services, {} groups, {servers} servers, {} users",
        configuration.services.len(),
        configuration.groups.len(),
        configuration.users.len()
    )
}
