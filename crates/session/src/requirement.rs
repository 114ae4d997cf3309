//! Whether what a server shows is enough for a read.

use model::{LogPoint, ServerStatus};

use crate::{TermHistory, WriteStatus};

/// What a read has to see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadRequirement {
    /// The session's own writes reach up to here.
    pub session: Option<LogPoint>,
    /// A server at or past this point is fresh enough for the kind of read.
    pub freshness: Option<LogPoint>,
}

/// The judgement on a server's proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// The answer may be given to the caller.
    Enough,
    /// The server has not got there yet; another one, or the same one later, may have.
    Behind,
    /// A write of the session did not survive a promotion, so no server will ever show it.
    Lost,
}

/// Judges the status that came with a read's answer, on the same connection and before it.
///
/// `known` is what the daemon knows of the group's terms; the server's own history counts too, since
/// either of them may be ahead. A server that follows an old branch is told by its term: it can't
/// show a point of a newer one, however long its log is.
pub fn judge(requirement: ReadRequirement, status: &ServerStatus, known: &TermHistory) -> Shown {
    let history = TermHistory::new(status.term_starts.clone());
    if let Some(point) = requirement.session {
        if known.write_status(point) == WriteStatus::Lost
            || history.write_status(point) == WriteStatus::Lost
        {
            return Shown::Lost;
        }
        if !reaches(point, status, &history) {
            return Shown::Behind;
        }
    }
    // A sample may cover writes that nobody was told of and that a promotion dropped; what was kept
    // of everything before it ends where the later term began.
    match requirement.freshness.map(|point| history.clamp(point)) {
        Some(point) if !reaches(point, status, &history) => Shown::Behind,
        _ => Shown::Enough,
    }
}

fn reaches(point: LogPoint, status: &ServerStatus, history: &TermHistory) -> bool {
    status.log_term >= point.term
        && status.applied_position >= point.position
        && history.write_status(point) == WriteStatus::Kept
}
