//! The verdicts on attempts: whether a statement is retried and which error its caller gets.

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
fn server_errors_lead_to_the_expected_next_step() {
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
fn a_server_without_free_connections_is_not_a_failure() {
    assert!(!is_server_failure(&ConnectionLost::Refused(ErrorCode::TooManyConnections)));
    assert!(is_server_failure(&ConnectionLost::TimedOut));
    assert!(is_server_failure(&ConnectionLost::Broken("reset".to_owned())));
}

#[test]
fn a_write_of_an_ended_term_is_kept_only_if_the_history_includes_the_end_of_the_term() {
    let start = |term, position| TermStart { term: Term(term), start: Position(position) };
    let known = TermHistory::new(vec![start(2, 5), start(3, 20)]);
    // The history at a daemon that learned of term 3 only from the servers.
    let behind = TermHistory::new(vec![start(2, 5)]);
    let none = TermHistory::default();
    let at = |term, position| Some(LogPoint::new(term, position));
    let cases = [
        ("kept", at(2, 20), &known, true),
        ("rolled back", at(2, 21), &known, false),
        ("the end of its term is unknown", at(2, 20), &behind, false),
        ("no history is known", at(2, 20), &none, false),
        ("no point was returned", None, &known, false),
    ];
    for (name, point, history, expected) in cases {
        assert_eq!(is_write_kept(point, Term(3), history), expected, "{name}");
    }
}
