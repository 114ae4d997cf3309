//! Answers that contradict the permission that a statement was sent under.

use std::{sync::Arc, time::Instant};

use model::{LogPoint, Name, Position, Term, TermStart};
use proxy::{
    control::control_view::{Basis, GroupLeader},
    serve::contradiction::{Contradiction, find_contradiction},
};
use session::TermHistory;

#[test]
fn a_primary_shows_no_later_term_and_nothing_before_what_it_had_reached() {
    // Term 2 began with twenty entries.
    let history = TermHistory::new(vec![TermStart { term: Term(2), start: Position(20) }]);
    let lead = GroupLeader {
        server: Name::from("i-1"),
        term: Term(2),
        valid_until: Instant::now(),
        basis: Basis::Store,
        changing: false,
        planned: false,
        history: Arc::new(history),
    };
    let point = |term, position| Some(LogPoint::new(term, position));
    let cases = [
        ("nothing is shown", point(2, 30), None, None),
        ("nothing was known", None, point(2, 30), None),
        ("as far as known", point(2, 30), point(2, 30), None),
        ("farther", point(2, 30), point(2, 31), None),
        ("before it", point(2, 30), point(2, 29), Some(Contradiction::BehindSample)),
        ("a later term", point(2, 30), point(3, 31), Some(Contradiction::LaterTerm)),
        ("what a promotion took back", point(1, 25), point(2, 21), None),
        (
            "the end of the term before, written to by nobody since",
            point(1, 25),
            point(1, 20),
            None,
        ),
        ("not even that", point(1, 25), point(1, 19), Some(Contradiction::BehindSample)),
    ];
    for (name, known, shown, expected) in cases {
        assert_eq!(find_contradiction(&lead, known, shown), expected, "{name}");
    }
}
