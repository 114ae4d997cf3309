//! What became of an attempt, and so what may be done next and what a caller may be told.
//!
//! The table in `docs/PLATFORM.md`, "Verdicts", lists every case; `tests/verdict.rs` compares them.

use model::{LogPoint, StatementClass, Term};
use session::{TermHistory, WriteStatus};

use crate::{serve::connection::ConnectionLost, statement::ErrorCode};

/// How far an attempt had come when it ended without a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No byte of the statement was sent.
    NotSent,
    /// Some or all of it was sent, and no answer came.
    Sent,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// No server ran it: try another one while there is time.
    TryElsewhere,
    /// The server does not lead any more: wait for the one that does.
    AwaitPrimary,
    /// Tell the caller this; it is final.
    Report(ErrorCode),
}

/// What follows when a server answered a single statement with an error.
pub fn after_error(code: ErrorCode, class: StatementClass) -> NextStep {
    match code {
        ErrorCode::NotPrimary | ErrorCode::WrongServer => NextStep::AwaitPrimary,
        code if code.was_not_run() => NextStep::TryElsewhere,
        // It ran and failed; a read may run again, since it changes nothing.
        ErrorCode::Failed | ErrorCode::TimedOut if class == StatementClass::Read => {
            NextStep::TryElsewhere
        }
        code => NextStep::Report(code),
    }
}

/// What follows when a single statement's connection was lost.
pub fn after_loss(progress: Progress, class: StatementClass) -> NextStep {
    match (progress, class) {
        (Progress::NotSent, _) | (Progress::Sent, StatementClass::Read) => NextStep::TryElsewhere,
        (Progress::Sent, StatementClass::Write) => NextStep::Report(ErrorCode::InDoubt),
    }
}

/// What a caller is told when the connection of its open transaction was lost.
///
/// A server rolls a transaction back when its connection ends, so before the commit was sent nothing
/// is kept; after it, only a transaction that wrote nothing has surely kept nothing.
pub fn transaction_after_loss(is_commit: bool, wrote: bool, progress: Progress) -> ErrorCode {
    if is_commit && wrote && progress == Progress::Sent {
        ErrorCode::InDoubt
    } else {
        ErrorCode::Aborted
    }
}

/// Whether a write at `point` is known to stand in the history of the server that leads in `term`.
///
/// A history that does not reach up to that term, as after a promotion that only the servers told of,
/// says nothing of where the write's own term ended.
pub fn is_write_kept(point: Option<LogPoint>, term: Term, history: &TermHistory) -> bool {
    history.latest() == Some(term)
        && point.is_some_and(|point| history.write_status(point) == WriteStatus::Kept)
}

/// Whether a lost connection speaks against the server itself.
pub fn is_server_failure(lost: &ConnectionLost) -> bool {
    !matches!(lost, ConnectionLost::Refused(ErrorCode::TooManyConnections))
}
