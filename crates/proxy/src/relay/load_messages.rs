//! The message by which owners report the load of a server.

use std::time::{Duration, Instant};

use overload::{AgedReport, LoadReport, RANKS};
use prost::Message;

/// The load of a server, as reported by its owner.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadMessage {
    /// Expected wait of a statement in microseconds, by rank, the most urgent first.
    #[prost(uint32, repeated, tag = "1")]
    pub waits_us: Vec<u32>,
    /// Statements that the server runs now.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Statements that the server may run at a time.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Time that the server takes for a statement, in microseconds.
    #[prost(uint32, tag = "4")]
    pub service_us: u32,
}

impl LoadMessage {
    /// Creates the message for a load report.
    pub fn of(report: &LoadReport) -> LoadMessage {
        LoadMessage {
            waits_us: report.waits.iter().copied().map(micros).collect(),
            running: report.running,
            slots: report.slots,
            service_us: micros(report.service),
        }
    }

    /// Converts the message to a report. Ranks that it does not list get the wait of the last listed one.
    pub fn aged_report(&self, now: Instant) -> AgedReport {
        let mut waits = [Duration::ZERO; RANKS];
        let listed =
            self.waits_us.iter().chain(std::iter::repeat(self.waits_us.last().unwrap_or(&0)));
        for (wait, wait_us) in waits.iter_mut().zip(listed) {
            *wait = Duration::from_micros(u64::from(*wait_us));
        }
        let service = Duration::from_micros(u64::from(self.service_us));
        let report = LoadReport { waits, running: self.running, slots: self.slots, service };
        AgedReport { report, received_at: now }
    }
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
