//! `wardtiller load`: runs a load against a system and checks its consistency guarantees.

use std::time::Duration;

use config::{Configuration, check_configuration};
use log::LevelFilter;
use standin::EndpointOptions;

use super::{EXIT_DONE, EXIT_FAILED, demo::SAMPLE, read_file, write_out};
use crate::{
    cli::Load,
    load::{
        LoadOptions,
        compare::{AccessPath, AccessPathReport, compare_access_paths},
        faults::Fault,
        mix::Mix,
        report::LoadReport,
        run::{Target, run_load},
    },
    local_system::{LocalSystem, LocalSystemOptions},
};

const DEFAULT_DAEMONS: usize = 8;
const DEFAULT_LAG_MS: u64 = 500;
const DEFAULT_SECONDS: u64 = 10;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_CALLERS: usize = 48;

/// Runs a load with the options of the command line.
pub(crate) fn run(flags: &Load) -> eyre::Result<u8> {
    telemetry::init_logging(if flags.verbose { LevelFilter::Info } else { LevelFilter::Error });
    let text = match &flags.config {
        Some(file) => read_file(file)?,
        None => SAMPLE.to_owned(),
    };
    let options = options(flags)?;
    if !flags.target.is_empty() {
        let configuration = check_configuration("the configuration", &text)?;
        let targets = Target::Running(flags.target.clone());
        return print(flags, &run_load(&configuration, targets, &options)?);
    }
    let endpoint = EndpointOptions {
        apply_lag: Duration::from_millis(flags.lag_ms.unwrap_or(DEFAULT_LAG_MS)),
        service_time: Duration::from_micros(flags.service_us.unwrap_or(0)),
        ..EndpointOptions::default()
    };
    let system_options = LocalSystemOptions::default()
        .daemons(flags.daemons.unwrap_or(DEFAULT_DAEMONS))
        .endpoint(endpoint);
    let mut system = LocalSystem::start(&text, &system_options)?;
    let delay = Duration::from_millis(flags.answer_delay_ms.unwrap_or(0));
    for server in system.groups.values().flat_map(|group| &group.servers) {
        server.change_faults(|faults| faults.response_delay = delay);
    }
    if flags.compare {
        return compare(flags, &system, &options);
    }
    let configuration: Configuration = system.configuration.clone();
    let report = run_load(&configuration, Target::Local(&mut system), &options)?;
    print(flags, &report)
}

fn options(flags: &Load) -> eyre::Result<LoadOptions> {
    let mix: Option<Mix> = flags.mix.as_deref().map(str::parse).transpose()?;
    let faults: Result<Vec<Fault>, _> = flags.fault.iter().map(|text| text.parse()).collect();
    Ok(LoadOptions::default()
        .mix(mix)
        .seconds(flags.seconds.unwrap_or(DEFAULT_SECONDS))
        .seed(flags.seed.unwrap_or(DEFAULT_SEED))
        .callers(flags.callers.unwrap_or(DEFAULT_CALLERS))
        .pace(Duration::from_millis(flags.pace_ms.unwrap_or(0)))
        .faults(faults?))
}

fn print(flags: &Load, report: &LoadReport) -> eyre::Result<u8> {
    if flags.json {
        write_out(&serde_json::to_string_pretty(report)?);
    } else {
        write_out(&report.render());
    }
    Ok(if report.violations.is_empty() { EXIT_DONE } else { EXIT_FAILED })
}

/// How long the comparison measures one access path before it switches to the other.
const SLICE_DURATION: Duration = Duration::from_millis(500);

/// Compares a daemon with a direct connection to an endpoint, and prints the result.
fn compare(flags: &Load, system: &LocalSystem, _options: &LoadOptions) -> eyre::Result<u8> {
    let reports = compare_direct(
        system,
        flags.callers.unwrap_or(DEFAULT_CALLERS),
        flags.seconds.unwrap_or(DEFAULT_SECONDS),
    )?;
    if flags.json {
        write_out(&serde_json::to_string_pretty(&reports)?);
        return Ok(EXIT_DONE);
    }
    for report in &reports {
        write_out(&format!(
            "{:<16} {:>9.0} statements/s, p50 {} us, p99 {} us",
            report.name, report.per_second, report.p50_us, report.p99_us
        ));
    }
    Ok(EXIT_DONE)
}

fn compare_direct(
    system: &LocalSystem,
    callers: usize,
    seconds: u64,
) -> eyre::Result<Vec<AccessPathReport>> {
    let Some((id, group)) = system.groups.iter().next() else {
        eyre::bail!("the configuration has no group");
    };
    let Some(user) = system.configuration.users.keys().next() else {
        eyre::bail!("the configuration has no user");
    };
    let parameters = format!(
        "user={user} dbname={} options='-c wardtiller.group={} -c wardtiller.session='",
        id.service, id.group
    );
    let paths = [
        AccessPath {
            name: "direct",
            address: group.servers[0].address(),
            parameters: "user=load dbname=load".to_owned(),
        },
        AccessPath {
            name: "through a daemon",
            address: system.daemon(0)?.caller_address(),
            parameters,
        },
    ];
    let slices =
        (seconds as usize * 1_000 / (SLICE_DURATION.as_millis() as usize * paths.len())).max(1);
    compare_access_paths(&paths, "SELECT 1", callers, slices, SLICE_DURATION)
}
