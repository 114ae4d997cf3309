//! What the owner of a server's connections tells of the load there, and what that is worth later.

use std::time::{Duration, Instant};

use crate::rank::{RANKS, Rank};

/// After this long a report's waits count for half: queues drain and fill within a few service times.
const HALF_LIFE: Duration = Duration::from_millis(200);

/// The load of one server, as the owner of its connections sees it. It travels with the answers that the owner gives anyhow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// How long a statement of each rank would wait if it arrived now.
    pub waits: [Duration; RANKS],
    /// Statements that the server runs at the moment.
    pub running: u32,
    /// Statements that it is to run at a time.
    pub slots: u32,
    /// How long it takes for one.
    pub service: Duration,
}

/// A report with the time at which it was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedReport {
    /// What was told.
    pub report: LoadReport,
    /// When it was heard.
    pub received_at: Instant,
}

impl AgedReport {
    /// Returns how long a statement is expected to wait: what was told, by half less for each [`HALF_LIFE`] since.
    pub fn expected_wait(&self, rank: Rank, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.received_at);
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.report.waits[rank.index()].mul_f64(0.5_f64.powf(halvings))
    }
}
