//! `wardtiller run`: runs the daemon of this host.

use std::{sync::Arc, time::Duration};

use config::HostSettings;
use daemon::Daemon;
use eyre::OptionExt;
use store::ConsulClient;

use super::{EXIT_DONE, EXIT_FAILED, read_file, signals::wait_for_stop, write_error};
use crate::cli::Run;

/// Runs the daemon until a stop signal arrives, then shuts it down gracefully.
pub(crate) fn run(flags: &Run) -> eyre::Result<u8> {
    let text = read_file(&flags.settings)?;
    let settings = match HostSettings::read(&flags.settings.display().to_string(), &text) {
        Ok(settings) => settings,
        Err(problems) => {
            write_error(&problems.to_string());
            return Ok(EXIT_FAILED);
        }
    };
    telemetry::init_logging(settings.log.level.filter());
    let address = settings.platform.address.ok_or_eyre("[platform] address must be set")?;
    let timeout = Duration::from_millis(settings.platform.call_timeout_ms);
    let store = Arc::new(ConsulClient::new(address, timeout));
    let daemon = Daemon::start(settings, store)?;
    log::info!(
        callers = daemon.caller_address().to_string().as_str(),
        peers = daemon.peer_address().to_string().as_str(),
        operators = daemon.operator_address().to_string().as_str();
        "daemon started"
    );
    wait_for_stop()?;
    log::info!("stop signal received; shutting down gracefully");
    Ok(if daemon.stop() { EXIT_DONE } else { EXIT_FAILED })
}
