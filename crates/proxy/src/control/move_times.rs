//! Timing of leader moves that are made because all replicas of a group are too far behind for its reads.

use std::time::{Duration, Instant};

/// How long a report that replicas are behind stays valid.
const BEHIND_REPORT_TTL: Duration = Duration::from_millis(600);
/// Time between two such moves of a group, since each one interrupts writes.
const MOVE_INTERVAL: Duration = Duration::from_secs(12);
/// Time between two checks for a replica that could lead. A check queries every server of the group, and a lagging
/// replica may catch up soon.
const CHECK_INTERVAL: Duration = Duration::from_millis(800);

/// The times that decide whether a leader may be moved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveTimes {
    /// When replicas were last reported to be behind.
    pub behind_at: Option<Instant>,
    /// When the leader was last moved for that reason.
    pub moved_at: Option<Instant>,
    /// When a check last looked for a replica that could take over.
    pub checked_at: Option<Instant>,
}

impl MoveTimes {
    /// Whether the leader may be moved now, if a replica can take over.
    pub fn allow_move(&self, now: Instant) -> bool {
        let within = |at: Option<Instant>, time| {
            at.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        within(self.behind_at, BEHIND_REPORT_TTL)
            && !within(self.moved_at, MOVE_INTERVAL)
            && !within(self.checked_at, CHECK_INTERVAL)
    }
}
