//! `wardtiller apply`: checks a configuration and activates it on all daemons.

use std::time::Duration;

use daemon::{ApplyError, apply_configuration};
use store::ConsulClient;

use super::{EXIT_DONE, EXIT_FAILED, read_file, write_error, write_out};
use crate::cli::Apply;

/// The timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Applies the configuration file in the flags.
pub(crate) fn run(flags: &Apply) -> eyre::Result<u8> {
    let text = read_file(&flags.file)?;
    let store = ConsulClient::new(flags.platform, CALL_TIMEOUT);
    let prefix = flags.prefix.as_deref().unwrap_or("wardtiller");
    let file = flags.file.display().to_string();
    let change_id = format!("{:032x}", rand::random::<u128>());
    match apply_configuration(&store, prefix, &file, &text, flags.base, &change_id) {
        Ok(revision) => {
            write_out(&format!("accepted as revision {revision} (change {change_id})"));
            Ok(EXIT_DONE)
        }
        Err(ApplyError::Invalid(problems)) => {
            write_error(&problems.to_string());
            Ok(EXIT_FAILED)
        }
        Err(error) => Err(error.into()),
    }
}
