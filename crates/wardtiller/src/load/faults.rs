//! Faults that a run brings about, by name and time.

use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use crate::local_system::LocalSystem;

/// What is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The first group's primary crashes.
    CrashPrimary,
    /// The first group's primary is frozen.
    PausePrimary,
    /// The first group's primary can't be reached by the daemons, nor by its replicas.
    CutPrimary,
    /// The first group's primary is cut off from its replicas only.
    CutReplication,
    /// A replica of the first group crashes.
    CrashReplica,
    /// A replica of the first group is slow.
    SlowReplica,
    /// The platform's store is down.
    StoreDown,
    /// The store loses the answers of its next writes.
    LoseAnswers,
    /// The first group's primary is listed as leaving.
    LeavePrimary,
    /// The last daemon is killed and started again.
    KillDaemon,
    /// Every daemon is stopped and started again, one after the other.
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

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What is broken.
    pub kind: FaultKind,
    /// When, after the start of the run.
    pub at: Duration,
    /// For how long.
    pub duration: Duration,
}

/// The text names no fault.
#[derive(Debug)]
pub struct UnknownFault {
    text: String,
}

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<&str> = FAULT_NAMES.iter().map(|(word, _)| *word).collect();
        write!(
            f,
            "`{}` is no fault; write WHAT@START_MS+FOR_MS, such as crash-primary@3000+5000, with \
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
        let (word, times) = text.split_once('@').ok_or_else(unknown)?;
        let (at, duration) = times.split_once('+').ok_or_else(unknown)?;
        let kind = FAULT_NAMES.iter().find(|(known, _)| *known == word).ok_or_else(unknown)?.1;
        let milliseconds = |text: &str| text.parse().map(Duration::from_millis);
        let at = milliseconds(at).map_err(|_| unknown())?;
        let duration = milliseconds(duration).map_err(|_| unknown())?;
        Ok(Fault { kind, at, duration })
    }
}

/// Brings the faults about, one after the other by their times.
pub fn inject_faults(
    system: &mut LocalSystem,
    faults: &[Fault],
    began: Instant,
) -> eyre::Result<()> {
    let mut events: Vec<(Duration, Fault, bool)> = Vec::new();
    for fault in faults {
        events.push((fault.at, *fault, true));
        events.push((fault.at + fault.duration, *fault, false));
    }
    events.sort_by_key(|(at, _, _)| *at);
    let mut faulted = FaultedServers::default();
    for (at, fault, begins) in events {
        std::thread::sleep(at.saturating_sub(began.elapsed()));
        if begins {
            faulted.start_fault(system, fault.kind)?
        } else {
            faulted.end_fault(system, fault.kind)?
        }
    }
    Ok(())
}

/// The servers that were faulted, so that the same ones are healed.
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
                system.platform.change_faults(|faults| faults.lose_answers = 3);
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
                    system.set_listed_state(primary.address(), "leaving");
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
                    system.set_listed_state(primary.address(), "live");
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

/// How much longer a slow server takes for each statement.
const SLOW_REPLICA_DELAY: Duration = Duration::from_millis(20);

fn set_fault(server: &standin::Endpoint, kind: FaultKind, on: bool) {
    server.change_faults(|faults| match kind {
        FaultKind::CrashPrimary | FaultKind::CrashReplica => faults.crashed = on,
        FaultKind::PausePrimary => faults.paused = on,
        FaultKind::CutPrimary => {
            faults.cut_from = if on { vec![String::new()] } else { Vec::new() };
            faults.cut_from_servers = on;
        }
        FaultKind::CutReplication => faults.cut_from_servers = on,
        FaultKind::SlowReplica => {
            faults.extra_service = if on { SLOW_REPLICA_DELAY } else { Duration::ZERO };
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
