//! Detection of answers that contradict the primary lease under which a statement was sent.

use std::{sync::Arc, time::Instant};

use model::{LogPoint, Name, Position, Term, TermStart};
use proxy::{
    control::control_view::{Basis, GroupLeader},
    serve::contradiction::{Contradiction, find_contradiction},
};
use session::TermHistory;

#[test]
fn a_later_term_and_a_position_behind_the_known_one_are_contradictions() {
    // Term 2 started at position 20.
    let history = TermHistory::new(vec![TermStart { term: Term(2), start: Position(20) }]);
    let leader = GroupLeader {
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
        ("no point is returned", point(2, 30), None, None),
        ("no point was known", None, point(2, 30), None),
        ("the known point", point(2, 30), point(2, 30), None),
        ("beyond the known point", point(2, 30), point(2, 31), None),
        ("behind the known point", point(2, 30), point(2, 29), Some(Contradiction::BehindSample)),
        ("a later term", point(2, 30), point(3, 31), Some(Contradiction::LaterTerm)),
        ("the known point was rolled back by a promotion", point(1, 25), point(2, 21), None),
        ("the end of the previous term, without later writes", point(1, 25), point(1, 20), None),
        (
            "behind the end of the previous term",
            point(1, 25),
            point(1, 19),
            Some(Contradiction::BehindSample),
        ),
    ];
    for (name, known, returned, expected) in cases {
        assert_eq!(find_contradiction(&leader, known, returned), expected, "{name}");
    }
}
