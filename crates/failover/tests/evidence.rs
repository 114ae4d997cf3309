//! When a write may be acknowledged, row by row, and what that guarantees.

use config::Acknowledge;
use failover::{Evidence, SecondStatus, judge_evidence};
use model::{LogPoint, Position, ServerRole, ServerStatus, Term};
use proptest::prelude::*;

fn status(role: ServerRole, promised: u64, log_term: u64, held: u64) -> ServerStatus {
    ServerStatus {
        promised_term: Term(promised),
        log_term: Term(log_term),
        held_position: Position(held),
        applied_position: Position(held),
        role,
        leader_silence_ms: None,
        term_starts: Vec::new(),
    }
}

fn judge(rule: Acknowledge, primary: (u64, u64), others: &[(u64, u64, u64)]) -> Evidence {
    let write = LogPoint::new(3, 10);
    let primary = status(ServerRole::Primary, primary.0, 3, primary.1);
    let others: Vec<ServerStatus> = others
        .iter()
        .map(|(promised, log_term, held)| status(ServerRole::Replica, *promised, *log_term, *held))
        .collect();
    let seconds: Vec<SecondStatus<'_>> =
        others.iter().map(|status| SecondStatus { status }).collect();
    judge_evidence(rule, write, &primary, &seconds, 3)
}

#[test]
fn each_rule_in_each_state_of_the_group() {
    use Acknowledge::{Majority, Term};
    use Evidence::{Deposed, Enough, Wait};
    let rows = [
        ("nobody has answered", Majority, (3, 10), vec![], Wait),
        ("a replica holds it", Majority, (3, 10), vec![(3, 3, 10)], Enough),
        ("a replica is one behind", Majority, (3, 10), vec![(3, 3, 9)], Wait),
        ("a replica is one behind", Term, (3, 10), vec![(3, 3, 9)], Enough),
        ("a replica has an old term's log", Majority, (3, 10), vec![(3, 2, 12)], Wait),
        (
            "one is sealed, the other holds it",
            Majority,
            (3, 10),
            vec![(4, 3, 10), (3, 3, 10)],
            Enough,
        ),
        ("one is sealed", Term, (3, 10), vec![(4, 3, 10)], Wait),
        ("both are sealed", Majority, (3, 10), vec![(4, 3, 10), (4, 3, 10)], Deposed),
        ("both are sealed", Term, (3, 10), vec![(4, 3, 10), (4, 3, 10)], Deposed),
        ("the primary and one are sealed", Term, (4, 10), vec![(4, 3, 10)], Deposed),
        ("the primary is sealed, one holds it", Majority, (4, 10), vec![(3, 3, 10)], Wait),
        (
            "the primary is sealed, both hold it",
            Majority,
            (4, 10),
            vec![(3, 3, 10), (3, 3, 10)],
            Enough,
        ),
    ];
    for (name, rule, primary, others, expected) in rows {
        assert_eq!(judge(rule, primary, &others), expected, "{name} under {rule:?}");
    }
}

/// A primary that was paused between the write and its status may wake as a follower of a newer term:
/// its status then tells of another history, which the others rightly confirm, and not of the write.
#[test]
fn a_former_primary_can_not_vouch_for_its_write() {
    let other = status(ServerRole::Replica, 4, 4, 10);
    let others = [SecondStatus { status: &other }, SecondStatus { status: &other }];
    let rows = [
        ("it follows the newer term", status(ServerRole::Replica, 4, 4, 10), 4),
        ("the same, judged in the write's term", status(ServerRole::Replica, 4, 4, 10), 3),
        ("it leads again, in a later term", status(ServerRole::Primary, 4, 4, 10), 3),
    ];
    for (name, primary, term) in rows {
        for rule in [Acknowledge::Majority, Acknowledge::Term] {
            let write = LogPoint::new(term, 10);
            let judged = judge_evidence(rule, write, &primary, &others, 3);
            assert_eq!(judged, Evidence::Deposed, "{name} under {rule:?}");
        }
    }
}

#[test]
fn a_group_of_one_needs_nobody_else() {
    let write = LogPoint::new(1, 5);
    let primary = status(ServerRole::Primary, 1, 1, 5);
    assert_eq!(judge_evidence(Acknowledge::Majority, write, &primary, &[], 1), Evidence::Enough);
}

proptest! {
    /// Whatever majority is sealed after an acknowledgement, the longest log in it has the write.
    #[test]
    fn an_acknowledged_write_survives_any_later_promotion(
        held in prop::collection::vec(0_u64..12, 3),
        left_out in 0_usize..3,
    ) {
        let position = 10;
        let held = [position, held[1], held[2]];
        let others = [(3, 3, held[1]), (3, 3, held[2])];
        if judge(Acknowledge::Majority, (3, position), &others) == Evidence::Enough {
            let longest = (0..3).filter(|server| *server != left_out).map(|server| held[server]);
            prop_assert!(longest.max() >= Some(position));
        }
    }

    /// Once a majority is sealed above the write's term, no rule acknowledges it any more.
    #[test]
    fn nothing_is_acknowledged_after_a_majority_is_sealed(
        held in prop::collection::vec(0_u64..12, 2),
        spared in 0_usize..3,
        term_rule in any::<bool>(),
    ) {
        let rule = if term_rule { Acknowledge::Term } else { Acknowledge::Majority };
        let promised = |server: usize| if server == spared { 3 } else { 4 };
        let others = [(promised(1), 3, held[0]), (promised(2), 3, held[1])];
        prop_assert_ne!(judge(rule, (promised(0), 10), &others), Evidence::Enough);
    }
}
