//! Verdicts on failed attempts: whether a statement may be retried, and which error its caller gets.
//!
//! The table in `docs/PLATFORM.md`, "Verdicts", lists every case; `tests/verdict.rs` tests them.

use model::{LogPoint, StatementClass, Term};
use session::{TermHistory, WriteStatus};

use crate::{serve::connection::ConnectionLost, statement::ErrorCode};

/// How far an attempt had progressed when it ended without a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No byte of the statement was sent.
    NotSent,
    /// Some or all of the statement was sent, and no answer arrived.
    Sent,
}

/// The step that follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// No server ran the statement: try another server while there is time.
    TryElsewhere,
    /// The server is not the primary: wait for the current one.
    AwaitPrimary,
    /// Return this error to the caller.
    Report(ErrorCode),
}

/// Returns the next step after a server answered a single statement with an error.
pub fn after_error(code: ErrorCode, class: StatementClass) -> NextStep {
    match code {
        ErrorCode::NotPrimary | ErrorCode::WrongServer => NextStep::AwaitPrimary,
        code if code.was_not_run() => NextStep::TryElsewhere,
        // The statement ran and failed; a read may run again, since it changes nothing.
        ErrorCode::Failed | ErrorCode::TimedOut if class == StatementClass::Read => {
            NextStep::TryElsewhere
        }
        code => NextStep::Report(code),
    }
}

/// Returns the next step after the connection of a single statement was lost.
pub fn after_loss(progress: Progress, class: StatementClass) -> NextStep {
    match (progress, class) {
        (Progress::NotSent, _) | (Progress::Sent, StatementClass::Read) => NextStep::TryElsewhere,
        (Progress::Sent, StatementClass::Write) => NextStep::Report(ErrorCode::InDoubt),
    }
}

/// Returns the error for a caller whose open transaction lost its connection.
///
/// A server rolls a transaction back when its connection ends, so nothing is kept before the commit is sent.
/// After that, the outcome is certain only for a transaction without writes.
pub fn transaction_after_loss(is_commit: bool, wrote: bool, progress: Progress) -> ErrorCode {
    if is_commit && wrote && progress == Progress::Sent {
        ErrorCode::InDoubt
    } else {
        ErrorCode::Aborted
    }
}

/// Whether a write at `point` is known to be kept in the history of the primary of `term`.
///
/// A history that does not include `term`, as after a promotion that this daemon learned of only from the servers, does
/// not show where the write's own term ended.
pub fn is_write_kept(point: Option<LogPoint>, term: Term, history: &TermHistory) -> bool {
    history.latest() == Some(term)
        && point.is_some_and(|point| history.write_status(point) == WriteStatus::Kept)
}

/// Whether a lost connection counts as a failure of the server.
pub fn is_server_failure(lost: &ConnectionLost) -> bool {
    !matches!(lost, ConnectionLost::Refused(ErrorCode::TooManyConnections))
}
