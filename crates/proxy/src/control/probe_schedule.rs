//! Schedules probes of servers that other daemons suspect: immediately, and then at a limited rate.
//!
//! Several daemons may report the same server within a short time. One probe for each report would open as many
//! connections to a server that may only be slow.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

/// The shortest interval between two probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A probe of a server, and whether another daemon has suspected the server since.
#[derive(Clone, Copy, Debug)]
struct Probe {
    at: Instant,
    is_requested_again: bool,
}

/// The recent probes, by service and server.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    probes: HashMap<(Name, Name), Probe>,
}

impl ProbeSchedule {
    /// Records that another daemon suspects a server; returns whether to probe the server now.
    pub fn on_suspected(&mut self, pair: &(Name, Name), now: Instant) -> bool {
        match self.probes.get_mut(pair) {
            Some(probe) if now.duration_since(probe.at) < PROBE_INTERVAL => {
                probe.is_requested_again = true;
                false
            }
            _ => {
                self.probes.insert(pair.clone(), Probe { at: now, is_requested_again: false });
                true
            }
        }
    }

    /// Returns the servers that were suspected within the interval after a probe and whose next probe is due.
    pub fn take_due(&mut self, now: Instant) -> Vec<(Name, Name)> {
        let is_recent = |probe: &Probe| now.duration_since(probe.at) < PROBE_INTERVAL;
        let is_due = |probe: &Probe| probe.is_requested_again && !is_recent(probe);
        let probes = self.probes.iter().filter(|(_, probe)| is_due(probe));
        let due: Vec<(Name, Name)> = probes.map(|(pair, _)| pair.clone()).collect();
        self.probes.retain(|_, probe| is_recent(probe));
        for pair in &due {
            self.probes.insert(pair.clone(), Probe { at: now, is_requested_again: false });
        }
        due
    }
}
