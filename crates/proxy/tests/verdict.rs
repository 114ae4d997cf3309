//! What may be done and said after each way in which an attempt ends.

use model::{
    LogPoint, Position,
    StatementClass::{self, Read, Write},
    Term, TermStart,
};
use proxy::{
    serve::{
        connection::ConnectionLost,
        verdict::{
            NextStep, Progress, after_error, after_loss, is_server_failure, is_write_kept,
            transaction_after_loss,
        },
    },
    statement::ErrorCode,
};
use session::TermHistory;

#[test]
fn errors_of_servers() {
    let cases: [(ErrorCode, StatementClass, NextStep); 14] = [
        (ErrorCode::Overloaded, Write, NextStep::TryElsewhere),
        (ErrorCode::NotFresh, Read, NextStep::TryElsewhere),
        (ErrorCode::TooManyConnections, Write, NextStep::TryElsewhere),
        (ErrorCode::UnknownStatement, Write, NextStep::TryElsewhere),
        (ErrorCode::NotPrimary, Write, NextStep::AwaitPrimary),
        (ErrorCode::WrongServer, Read, NextStep::AwaitPrimary),
        (ErrorCode::Failed, Read, NextStep::TryElsewhere),
        (ErrorCode::TimedOut, Read, NextStep::TryElsewhere),
        (ErrorCode::Failed, Write, NextStep::Report(ErrorCode::Failed)),
        (ErrorCode::TimedOut, Write, NextStep::Report(ErrorCode::TimedOut)),
        (ErrorCode::Aborted, Write, NextStep::Report(ErrorCode::Aborted)),
        (ErrorCode::InDoubt, Write, NextStep::Report(ErrorCode::InDoubt)),
        (ErrorCode::Malformed, Read, NextStep::Report(ErrorCode::Malformed)),
        (ErrorCode::TooLarge, Write, NextStep::Report(ErrorCode::TooLarge)),
    ];
    for (code, class, expected) in cases {
        assert_eq!(after_error(code, class), expected, "{code:?} {class:?}");
    }
}

#[test]
fn a_write_that_may_have_run_is_never_sent_again() {
    assert_eq!(after_loss(Progress::Sent, Write), NextStep::Report(ErrorCode::InDoubt));
    for (progress, class) in
        [(Progress::NotSent, Write), (Progress::NotSent, Read), (Progress::Sent, Read)]
    {
        assert_eq!(after_loss(progress, class), NextStep::TryElsewhere, "{progress:?} {class:?}");
    }
}

#[test]
fn only_a_commit_that_was_sent_leaves_a_transaction_in_doubt() {
    for is_commit in [false, true] {
        for wrote in [false, true] {
            for progress in [Progress::NotSent, Progress::Sent] {
                let expected = match (is_commit, wrote, progress) {
                    (true, true, Progress::Sent) => ErrorCode::InDoubt,
                    _ => ErrorCode::Aborted,
                };
                assert_eq!(transaction_after_loss(is_commit, wrote, progress), expected);
            }
        }
    }
}

#[test]
fn a_server_without_connections_left_is_alive() {
    assert!(!is_server_failure(&ConnectionLost::Refused(ErrorCode::TooManyConnections)));
    assert!(is_server_failure(&ConnectionLost::TimedOut));
    assert!(is_server_failure(&ConnectionLost::Broken("reset".to_owned())));
}

#[test]
fn a_write_of_an_ended_term_is_acknowledged_only_by_a_history_that_knows_its_end() {
    let start = |term, position| TermStart { term: Term(term), start: Position(position) };
    let known = TermHistory::new(vec![start(2, 5), start(3, 20)]);
    // What a daemon knows that was told of term 3 by the servers alone.
    let behind = TermHistory::new(vec![start(2, 5)]);
    let none = TermHistory::default();
    let at = |term, position| Some(LogPoint::new(term, position));
    let cases = [
        ("kept", at(2, 20), &known, true),
        ("rolled back", at(2, 21), &known, false),
        ("the end of its term is not known", at(2, 20), &behind, false),
        ("nothing is known", at(2, 20), &none, false),
        ("no point was told", None, &known, false),
    ];
    for (name, point, history, expected) in cases {
        assert_eq!(is_write_kept(point, Term(3), history), expected, "{name}");
    }
}
