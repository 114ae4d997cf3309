//! `wardtiller demo`: runs a complete system on the local machine.

use std::time::Duration;

use log::LevelFilter;
use serde_json::json;

use super::{EXIT_DONE, EXIT_FAILED, read_file, signals::wait_for_stop, write_error, write_out};
use crate::{
    cli::Demo,
    local_system::{LocalSystem, LocalSystemOptions},
};

/// The default configuration.
pub(crate) const SAMPLE: &str = include_str!("../../../../examples/skyndibiti.ini");

const DEFAULT_DAEMONS: usize = 2;
const DEFAULT_LAG_MS: u64 = 500;

/// Runs the system until a stop signal arrives, then shuts it down gracefully.
pub(crate) fn run(flags: &Demo) -> eyre::Result<u8> {
    telemetry::init_logging(LevelFilter::Warn);
    let text = match &flags.config {
        Some(file) => read_file(file)?,
        None => SAMPLE.to_owned(),
    };
    let options = LocalSystemOptions::default()
        .daemons(flags.daemons.unwrap_or(DEFAULT_DAEMONS))
        .first_listen(flags.listen)
        .apply_lag(Duration::from_millis(flags.lag_ms.unwrap_or(DEFAULT_LAG_MS)));
    let system = LocalSystem::start(&text, &options)?;
    for daemon in system.daemons.iter().flatten() {
        let line = json!({
            "host": daemon.show().host,
            "callers": daemon.caller_address().to_string(),
            "operators": daemon.operator_address().to_string(),
        });
        write_out(&line.to_string());
    }
    write_out(&psql_command(&system));
    wait_for_stop()?;
    write_error("stopping");
    Ok(if system.stop() { EXIT_DONE } else { EXIT_FAILED })
}

/// Returns the `psql` command that connects to the first daemon.
fn psql_command(system: &LocalSystem) -> String {
    let address = system.caller_addresses().first().copied();
    let service = system.configuration.services.keys().next();
    let user = system.configuration.users.keys().next();
    match (address, service, user) {
        (Some(address), Some(service), Some(user)) => format!(
            "psql 'host={} port={} dbname={service} user={user}'",
            address.ip(),
            address.port()
        ),
        _ => "the configuration has no service or no user to connect with".to_owned(),
    }
}
