//! Load reports of the owner of a server's connections.

use std::time::{Duration, Instant};

use crate::rank::{RANKS, Rank};

/// Half-life of the reported waits: queues drain and fill within a few service times.
const HALF_LIFE: Duration = Duration::from_millis(200);

/// The load of one server, as seen by the owner of its connections. It is sent with the owner's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Expected wait of a statement that arrives now, by rank.
    pub waits: [Duration; RANKS],
    /// Statements that the server runs now.
    pub running: u32,
    /// Maximum number of statements that the server should run at a time.
    pub slots: u32,
    /// Average service time of a statement.
    pub service: Duration,
}

/// A report and when it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedReport {
    /// The report.
    pub report: LoadReport,
    /// When the report was received.
    pub received_at: Instant,
}

impl AgedReport {
    /// Returns the expected wait of a statement: the reported wait, halved for each [`HALF_LIFE`] since the report was
    /// received.
    pub fn expected_wait(&self, rank: Rank, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.received_at);
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.report.waits[rank.index()].mul_f64(0.5_f64.powf(halvings))
    }
}
