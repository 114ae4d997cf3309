//! Fault injection into a local system, by name and time.

use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use crate::local_system::LocalSystem;

/// The kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The first group's primary crashes.
    CrashPrimary,
    /// The first group's primary accepts connections but does not respond.
    PausePrimary,
    /// The first group's primary is unreachable for the daemons and for its replicas.
    CutPrimary,
    /// The first group's primary is unreachable for its replicas only.
    CutReplication,
    /// A replica of the first group crashes.
    CrashReplica,
    /// A replica of the first group is slow.
    SlowReplica,
    /// The platform's metadata store is down.
    StoreDown,
    /// The store executes its next writes but loses their responses.
    LoseAnswers,
    /// The host list shows the first group's primary as leaving.
    LeavePrimary,
    /// The last daemon is killed and restarted when the fault ends.
    KillDaemon,
    /// The daemons are restarted one after the other.
    RollDaemons,
}

const FAULT_NAMES: [(&str, FaultKind); 11] = [
    ("crash-primary", FaultKind::CrashPrimary),
    ("pause-primary", FaultKind::PausePrimary),
    ("cut-primary", FaultKind::CutPrimary),
    ("cut-replication", FaultKind::CutReplication),
    ("crash-replica", FaultKind::CrashReplica),
    ("slow-replica", FaultKind::SlowReplica),
    ("store-down", FaultKind::StoreDown),
    ("lose-answers", FaultKind::LoseAnswers),
    ("leave-primary", FaultKind::LeavePrimary),
    ("kill-daemon", FaultKind::KillDaemon),
    ("roll-daemons", FaultKind::RollDaemons),
];

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The start of the fault, measured from the start of the run.
    pub start: Duration,
    /// The duration of the fault.
    pub duration: Duration,
}

/// The error for a text that doesn't describe a fault.
#[derive(Debug)]
pub struct UnknownFault {
    text: String,
}

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<&str> = FAULT_NAMES.iter().map(|(name, _)| *name).collect();
        write!(
            f,
            "`{}` is not a fault; write WHAT@START_MS+FOR_MS, such as crash-primary@3000+5000, with \
             one of: {}",
            self.text,
            known.join(", ")
        )
    }
}

impl std::error::Error for UnknownFault {}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Fault, UnknownFault> {
        let unknown = || UnknownFault { text: text.to_owned() };
        let (name, times) = text.split_once('@').ok_or_else(unknown)?;
        let (start, duration) = times.split_once('+').ok_or_else(unknown)?;
        let kind = FAULT_NAMES.iter().find(|(known, _)| *known == name).ok_or_else(unknown)?.1;
        let milliseconds = |text: &str| text.parse().map(Duration::from_millis);
        let start = milliseconds(start).map_err(|_| unknown())?;
        let duration = milliseconds(duration).map_err(|_| unknown())?;
        Ok(Fault { kind, start, duration })
    }
}

/// Starts and ends the faults at their times. Blocks until the last one has ended.
pub fn inject_faults(
    system: &mut LocalSystem,
    faults: &[Fault],
    started_at: Instant,
) -> eyre::Result<()> {
    let mut events: Vec<(Duration, Fault, bool)> = Vec::new();
    for fault in faults {
        events.push((fault.start, *fault, true));
        events.push((fault.start + fault.duration, *fault, false));
    }
    events.sort_by_key(|(at, _, _)| *at);
    let mut faulted = FaultedServers::default();
    for (at, fault, is_start) in events {
        std::thread::sleep(at.saturating_sub(started_at.elapsed()));
        if is_start {
            faulted.start_fault(system, fault.kind)?
        } else {
            faulted.end_fault(system, fault.kind)?
        }
    }
    Ok(())
}

/// The servers with an active fault, so that each fault ends on the server on which it started.
#[derive(Default)]
struct FaultedServers {
    primary: Option<standin::Endpoint>,
    replica: Option<standin::Endpoint>,
}

impl FaultedServers {
    fn start_fault(&mut self, system: &mut LocalSystem, kind: FaultKind) -> eyre::Result<()> {
        match kind {
            FaultKind::StoreDown => system.platform.change_faults(|faults| faults.down = true),
            FaultKind::LoseAnswers => {
                system.platform.change_faults(|faults| faults.lose_responses = 3);
            }
            FaultKind::KillDaemon => {
                let last = system.daemons.len() - 1;
                system.kill_daemon(last);
            }
            FaultKind::RollDaemons => rolling_restart(system)?,
            FaultKind::CrashReplica | FaultKind::SlowReplica => {
                self.replica = first_replica(system);
                if let Some(replica) = &self.replica {
                    set_fault(replica, kind, true);
                }
            }
            _ => {
                self.primary = first_primary(system);
                let Some(primary) = &self.primary else { return Ok(()) };
                if kind == FaultKind::LeavePrimary {
                    system.set_host_state(primary.address(), "leaving");
                } else {
                    set_fault(primary, kind, true);
                }
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, system: &mut LocalSystem, kind: FaultKind) -> eyre::Result<()> {
        match kind {
            FaultKind::StoreDown => system.platform.change_faults(|faults| faults.down = false),
            FaultKind::LoseAnswers | FaultKind::RollDaemons => {}
            FaultKind::KillDaemon => {
                let last = system.daemons.len() - 1;
                system.restart_daemon(last)?;
            }
            FaultKind::CrashReplica | FaultKind::SlowReplica => {
                if let Some(replica) = self.replica.take() {
                    set_fault(&replica, kind, false);
                }
            }
            _ => {
                let Some(primary) = self.primary.take() else { return Ok(()) };
                if kind == FaultKind::LeavePrimary {
                    system.set_host_state(primary.address(), "live");
                } else {
                    set_fault(&primary, kind, false);
                }
            }
        }
        Ok(())
    }
}

fn first_primary(system: &LocalSystem) -> Option<standin::Endpoint> {
    system.groups.values().next()?.primary().cloned()
}

fn first_replica(system: &LocalSystem) -> Option<standin::Endpoint> {
    let group = system.groups.values().next()?;
    group.servers.iter().find(|server| !server.status().leads()).cloned()
}

/// The additional time per statement on a slow replica.
const SLOW_REPLICA_DELAY: Duration = Duration::from_millis(20);

fn set_fault(server: &standin::Endpoint, kind: FaultKind, is_active: bool) {
    server.change_faults(|faults| match kind {
        FaultKind::CrashPrimary | FaultKind::CrashReplica => faults.crashed = is_active,
        FaultKind::PausePrimary => faults.paused = is_active,
        FaultKind::CutPrimary => {
            faults.unreachable_from = if is_active { vec![String::new()] } else { Vec::new() };
            faults.replication_disconnected = is_active;
        }
        FaultKind::CutReplication => faults.replication_disconnected = is_active,
        FaultKind::SlowReplica => {
            faults.extra_service_time = if is_active { SLOW_REPLICA_DELAY } else { Duration::ZERO };
        }
        _ => {}
    });
}

fn rolling_restart(system: &mut LocalSystem) -> eyre::Result<()> {
    for index in 0..system.daemons.len() {
        system.stop_daemon(index);
        system.restart_daemon(index)?;
        system.wait_until_ready()?;
    }
    Ok(())
}
