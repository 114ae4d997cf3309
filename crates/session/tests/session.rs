//! Session tokens, term histories and the requirements of reads.

use std::time::{Duration, Instant};

use model::{LogPoint, Name, Position, ServerRole, ServerStatus, Term, TermStart};
use proptest::prelude::*;
use session::{
    ReadCheck, ReadRequirement, SessionToken, StalenessSamples, TermHistory, WriteStatus,
    check_read,
};

fn history(starts: &[(u64, u64)]) -> TermHistory {
    TermHistory::new(term_starts(starts))
}

fn term_starts(starts: &[(u64, u64)]) -> Vec<TermStart> {
    let start =
        |(term, start): &(u64, u64)| TermStart { term: Term(*term), start: Position(*start) };
    starts.iter().map(start).collect()
}

fn server(starts: &[(u64, u64)], applied: u64) -> ServerStatus {
    let term = Term(starts.last().expect("a history has a term").0);
    ServerStatus {
        promised_term: term,
        log_term: term,
        held_position: Position(applied),
        applied_position: Position(applied),
        role: ServerRole::Replica,
        leader_silence_ms: Some(0),
        term_starts: term_starts(starts),
    }
}

#[test]
fn a_token_is_unchanged_by_formatting_and_parsing() {
    let mut token = SessionToken::default();
    assert_eq!(token.to_string().parse(), Ok(token.clone()));
    token.advance(&Name::from("north"), LogPoint::new(3, 105));
    token.advance(&Name::from("south"), LogPoint::new(2, 77));
    token.advance(&Name::from("north"), LogPoint::new(3, 90));
    assert_eq!(token.to_string(), "w1;north@3:105;south@2:77");
    assert_eq!(token.to_string().parse(), Ok(token));
}

#[test]
fn malformed_tokens_are_rejected() {
    let bad =
        ["x", "w2", "w1;north", "w1;north@", "w1;@1:2", "w1;north@1:-2", "w1;north@+1:2", "w1;;"];
    for text in bad {
        assert!(text.parse::<SessionToken>().is_err(), "{text}");
    }
}

#[test]
fn the_status_of_a_write_depends_on_the_starts_of_later_terms() {
    let history = history(&[(1, 0), (2, 100), (4, 150)]);
    let rows = [
        (LogPoint::new(1, 100), WriteStatus::Kept),
        (LogPoint::new(1, 101), WriteStatus::Lost),
        (LogPoint::new(2, 150), WriteStatus::Kept),
        (LogPoint::new(2, 151), WriteStatus::Lost),
        (LogPoint::new(3, 140), WriteStatus::Kept),
        (LogPoint::new(4, 9_999), WriteStatus::Kept),
        (LogPoint::new(5, 1), WriteStatus::UnknownTerm),
    ];
    for (point, expected) in rows {
        assert_eq!(history.write_status(point), expected, "{point}");
    }
}

#[test]
fn a_read_is_checked_against_the_session_and_both_histories() {
    let old = [(1, 0)];
    let new = [(1, 0), (2, 100)];
    let rows = [
        (
            "at the position",
            LogPoint::new(1, 50),
            server(&old, 50),
            history(&old),
            ReadCheck::Sufficient,
        ),
        (
            "one position short",
            LogPoint::new(1, 51),
            server(&old, 50),
            history(&old),
            ReadCheck::Behind,
        ),
        (
            "a primary of an older term past the position",
            LogPoint::new(2, 101),
            server(&old, 500),
            history(&old),
            ReadCheck::Behind,
        ),
        (
            "a token of a term that the daemon does not know",
            LogPoint::new(2, 101),
            server(&new, 101),
            history(&old),
            ReadCheck::Sufficient,
        ),
        (
            "a kept write of an older term",
            LogPoint::new(1, 100),
            server(&new, 120),
            history(&new),
            ReadCheck::Sufficient,
        ),
        (
            "a lost write of an older term",
            LogPoint::new(1, 101),
            server(&new, 120),
            history(&new),
            ReadCheck::Lost,
        ),
        (
            "a lost write, unknown to the server",
            LogPoint::new(1, 101),
            server(&old, 120),
            history(&new),
            ReadCheck::Lost,
        ),
        (
            "a lost write, unknown to the daemon",
            LogPoint::new(1, 101),
            server(&new, 120),
            history(&old),
            ReadCheck::Lost,
        ),
        (
            "a write of a term that neither knows",
            LogPoint::new(9, 1),
            server(&new, 120),
            history(&new),
            ReadCheck::Behind,
        ),
    ];
    for (name, point, status, daemon_history, expected) in rows {
        let requirement = ReadRequirement { session: Some(point), freshness: None };
        assert_eq!(check_read(requirement, &status, &daemon_history), expected, "{name}");
    }
}

#[test]
fn freshness_is_checked_without_a_session() {
    let status = server(&[(1, 0)], 50);
    let daemon_history = history(&[(1, 0)]);
    let fresh = |position| Some(LogPoint::new(1, position));
    let rows = [
        (fresh(50), ReadCheck::Sufficient),
        (fresh(51), ReadCheck::Behind),
        (None, ReadCheck::Sufficient),
    ];
    for (freshness, expected) in rows {
        let requirement = ReadRequirement { session: None, freshness };
        assert_eq!(check_read(requirement, &status, &daemon_history), expected, "{freshness:?}");
    }
}

#[test]
fn a_sample_of_dropped_writes_requires_only_the_kept_ones() {
    // The primary of term 1 was sampled at 150, and term 2 began at 100.
    let new = [(1, 0), (2, 100)];
    let rows =
        [(99, ReadCheck::Behind), (100, ReadCheck::Sufficient), (120, ReadCheck::Sufficient)];
    for (applied, expected) in rows {
        let requirement = ReadRequirement { session: None, freshness: Some(LogPoint::new(1, 150)) };
        let checked = check_read(requirement, &server(&new, applied), &history(&new));
        assert_eq!(checked, expected, "at {applied}");
    }
    assert_eq!(history(&new).clamp(LogPoint::new(1, 150)), LogPoint::new(1, 100));
    assert_eq!(history(&new).clamp(LogPoint::new(1, 70)), LogPoint::new(1, 70));
    assert_eq!(history(&new).clamp(LogPoint::new(2, 150)), LogPoint::new(2, 150));
}

#[test]
fn staleness_is_bounded_by_samples() {
    let began = Instant::now();
    let at = |ms: u64| began + Duration::from_millis(ms);
    let mut samples = StalenessSamples::new(100);
    assert_eq!(samples.point_for(Duration::from_secs(9), at(0)), None);
    for second in 1..=10 {
        samples.add(at(second * 1_000), LogPoint::new(1, second * 10));
    }
    let now = at(10_500);
    assert_eq!(samples.point_for(Duration::from_secs(2), now), Some(LogPoint::new(1, 90)));
    assert_eq!(samples.point_for(Duration::from_millis(400), now), None);
    assert_eq!(samples.age_of(LogPoint::new(1, 95), now), Some(Duration::from_millis(1_500)));
    assert_eq!(samples.age_of(LogPoint::new(1, 5), now), None);
    // Without new samples, the age of the same data increases with time.
    let later = at(60_500);
    assert_eq!(samples.age_of(LogPoint::new(1, 95), later), Some(Duration::from_millis(51_500)));
}

proptest! {
    #[test]
    fn any_parsed_token_is_unchanged_by_formatting(text in ".{0,80}") {
        if let Ok(token) = text.parse::<SessionToken>() {
            prop_assert_eq!(token.to_string().parse(), Ok(token));
        }
    }

    /// A server at the point for a bound has reached every sample that is older than the bound.
    #[test]
    fn the_point_for_a_bound_covers_all_older_samples(
        steps in prop::collection::vec((1_u64..500, 0_u64..20), 1..400),
        bound_ms in 1_u64..5_000,
    ) {
        let began = Instant::now();
        let mut samples = StalenessSamples::new(16);
        let (mut ms, mut position) = (0, 0);
        let mut all = Vec::new();
        for (step_ms, written) in steps {
            ms += step_ms;
            position += written;
            let at = began + Duration::from_millis(ms);
            samples.add(at, LogPoint::new(1, position));
            all.push((at, position));
        }
        let now = began + Duration::from_millis(ms + 1);
        let bound = Duration::from_millis(bound_ms);
        if let Some(point) = samples.point_for(bound, now) {
            for (at, position) in all {
                if now.duration_since(at) > bound {
                    prop_assert!(point.position.0 >= position);
                }
            }
        }
    }
}
