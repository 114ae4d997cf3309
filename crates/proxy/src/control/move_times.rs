//! When the lead of a group moves although nothing has failed: all replicas are too far behind for the
//! reads there are.

use std::time::{Duration, Instant};

/// How long a report that replicas are behind counts.
const BEHIND_LASTS: Duration = Duration::from_millis(600);
/// How long the lead stays where it was moved to because replicas were behind; a move costs a gap.
const MOVE_AGAIN_AFTER: Duration = Duration::from_secs(12);
/// How long after no replica could take the lead over it is looked again; that costs a status of each
/// server, and replicas that receive nothing now may be level in a moment.
const CHECK_AGAIN_AFTER: Duration = Duration::from_millis(800);

/// What a move of the lead is decided by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveTimes {
    /// When replicas were last reported to be behind.
    pub behind_at: Option<Instant>,
    /// When the lead was last moved for that reason.
    pub moved_at: Option<Instant>,
    /// When it was last looked whether a replica could take it over.
    pub checked_at: Option<Instant>,
}

impl MoveTimes {
    /// Whether the lead may move now, if a replica can take it over.
    pub fn allow_move(&self, now: Instant) -> bool {
        let within = |at: Option<Instant>, time| {
            at.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        within(self.behind_at, BEHIND_LASTS)
            && !within(self.moved_at, MOVE_AGAIN_AFTER)
            && !within(self.checked_at, CHECK_AGAIN_AFTER)
    }
}
