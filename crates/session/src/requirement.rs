//! Checks whether a server's data is recent enough for a read.

use model::{LogPoint, ServerStatus};

use crate::{TermHistory, WriteStatus};

/// The points that a read must see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadRequirement {
    /// The highest point of the session's own writes; `None` if there are none.
    pub session: Option<LogPoint>,
    /// The point from which a server is fresh enough; `None` if any staleness is allowed.
    pub freshness: Option<LogPoint>,
}

/// The result of checking a server's status against a read's requirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadCheck {
    /// The answer may be returned to the caller.
    Sufficient,
    /// The server has not reached a required point; another server, or the same one later, may have.
    Behind,
    /// A write of the session was lost in a promotion, so no server will ever have it.
    Lost,
}

/// Checks the status that a server sent before a read's answer, on the same connection.
///
/// `daemon_history` is the daemon's copy of the term history. The history in the status is checked as well,
/// since either can be newer. A server with a log of an older term never satisfies a point of a newer term,
/// whatever its position.
pub fn check_read(
    requirement: ReadRequirement,
    status: &ServerStatus,
    daemon_history: &TermHistory,
) -> ReadCheck {
    let server_history = TermHistory::new(status.term_starts.clone());
    if let Some(point) = requirement.session {
        if daemon_history.write_status(point) == WriteStatus::Lost
            || server_history.write_status(point) == WriteStatus::Lost
        {
            return ReadCheck::Lost;
        }
        if !reaches(point, status, &server_history) {
            return ReadCheck::Behind;
        }
    }
    // A sample may include unacknowledged writes that a later promotion dropped. No server will ever have
    // them, so the point is limited to the position at which the later term began.
    match requirement.freshness.map(|point| server_history.clamp(point)) {
        Some(point) if !reaches(point, status, &server_history) => ReadCheck::Behind,
        _ => ReadCheck::Sufficient,
    }
}

fn reaches(point: LogPoint, status: &ServerStatus, history: &TermHistory) -> bool {
    status.log_term >= point.term
        && status.applied_position >= point.position
        && history.write_status(point) == WriteStatus::Kept
}
