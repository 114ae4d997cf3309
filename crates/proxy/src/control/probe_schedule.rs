//! When this daemon looks at servers that others suspect: at once, and then only now and then.
//!
//! Daemons that suspect a server say so one after the other. A look for each of these words would open as many
//! connections from each daemon, to a server that may only be slow.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

/// How long after a look the next word of others is no reason for another one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A look at a server, and whether somebody has suspected it since.
#[derive(Clone, Copy, Debug)]
struct Probe {
    at: Instant,
    is_asked_again: bool,
}

/// The looks of the last moments, by service and server.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    made: HashMap<(Name, Name), Probe>,
}

impl ProbeSchedule {
    /// Notes that somebody suspects a server; whether to look at it now.
    pub fn on_suspected(&mut self, pair: &(Name, Name), now: Instant) -> bool {
        match self.made.get_mut(pair) {
            Some(look) if now.duration_since(look.at) < PROBE_INTERVAL => {
                look.is_asked_again = true;
                false
            }
            _ => {
                self.made.insert(pair.clone(), Probe { at: now, is_asked_again: false });
                true
            }
        }
    }

    /// Returns the servers that were suspected soon after a look and whose next one is due.
    pub fn take_due(&mut self, now: Instant) -> Vec<(Name, Name)> {
        let is_recent = |look: &Probe| now.duration_since(look.at) < PROBE_INTERVAL;
        let is_due = |look: &Probe| look.is_asked_again && !is_recent(look);
        let made = self.made.iter().filter(|(_, look)| is_due(look));
        let due: Vec<(Name, Name)> = made.map(|(pair, _)| pair.clone()).collect();
        self.made.retain(|_, look| is_recent(look));
        for pair in &due {
            self.made.insert(pair.clone(), Probe { at: now, is_asked_again: false });
        }
        due
    }
}
