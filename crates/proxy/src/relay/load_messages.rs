//! How the load of a server is told between daemons.

use std::time::{Duration, Instant};

use overload::{AgedReport, LoadReport, RANKS};
use prost::Message;

/// The load of a server, as its owner tells it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadMessage {
    /// How long a statement would wait, in microseconds, by priority, the most urgent first.
    #[prost(uint32, repeated, tag = "1")]
    pub waits_us: Vec<u32>,
    /// Statements that the server runs at the moment.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Statements that it is to run at a time.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// How long it takes for one, in microseconds.
    #[prost(uint32, tag = "4")]
    pub service_us: u32,
}

impl LoadMessage {
    /// Returns how a report is told.
    pub fn of(report: &LoadReport) -> LoadMessage {
        LoadMessage {
            waits_us: report.waits.iter().copied().map(micros).collect(),
            running: report.running,
            slots: report.slots,
            service_us: micros(report.service),
        }
    }

    /// Returns what was told. Priorities that the teller does not know wait as long as the last that it knows.
    pub fn heard(&self, now: Instant) -> AgedReport {
        let mut waits = [Duration::ZERO; RANKS];
        let told =
            self.waits_us.iter().chain(std::iter::repeat(self.waits_us.last().unwrap_or(&0)));
        for (wait, told_us) in waits.iter_mut().zip(told) {
            *wait = Duration::from_micros(u64::from(*told_us));
        }
        let service = Duration::from_micros(u64::from(self.service_us));
        let report = LoadReport { waits, running: self.running, slots: self.slots, service };
        AgedReport { report, heard_at: now }
    }
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
