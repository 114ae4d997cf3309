//! When a write may be acknowledged, and that an acknowledged write is not lost.

use config::Acknowledge;
use failover::{Evidence, OtherServerStatus, assess_evidence};
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

fn assess(rule: Acknowledge, primary: (u64, u64), others: &[(u64, u64, u64)]) -> Evidence {
    let write = LogPoint::new(3, 10);
    let primary = status(ServerRole::Primary, primary.0, 3, primary.1);
    let others: Vec<ServerStatus> = others
        .iter()
        .map(|(promised, log_term, held)| status(ServerRole::Replica, *promised, *log_term, *held))
        .collect();
    let statuses: Vec<OtherServerStatus<'_>> =
        others.iter().map(|status| OtherServerStatus { status }).collect();
    assess_evidence(rule, write, &primary, &statuses, 3)
}

#[test]
fn evidence_follows_the_rule_and_the_statuses() {
    use Acknowledge::{Majority, Term};
    use Evidence::{Deposed, Insufficient, Sufficient};
    let rows = [
        ("no server has answered", Majority, (3, 10), vec![], Insufficient),
        ("a replica holds the write", Majority, (3, 10), vec![(3, 3, 10)], Sufficient),
        ("a replica is one position behind", Majority, (3, 10), vec![(3, 3, 9)], Insufficient),
        ("a replica is one position behind", Term, (3, 10), vec![(3, 3, 9)], Sufficient),
        (
            "a replica has the log of an older term",
            Majority,
            (3, 10),
            vec![(3, 2, 12)],
            Insufficient,
        ),
        (
            "one replica is sealed, the other holds the write",
            Majority,
            (3, 10),
            vec![(4, 3, 10), (3, 3, 10)],
            Sufficient,
        ),
        ("one replica is sealed", Term, (3, 10), vec![(4, 3, 10)], Insufficient),
        ("both replicas are sealed", Majority, (3, 10), vec![(4, 3, 10), (4, 3, 10)], Deposed),
        ("both replicas are sealed", Term, (3, 10), vec![(4, 3, 10), (4, 3, 10)], Deposed),
        ("the primary and one replica are sealed", Term, (4, 10), vec![(4, 3, 10)], Deposed),
        (
            "the primary is sealed, one replica holds the write",
            Majority,
            (4, 10),
            vec![(3, 3, 10)],
            Insufficient,
        ),
        (
            "the primary is sealed, both replicas hold the write",
            Majority,
            (4, 10),
            vec![(3, 3, 10), (3, 3, 10)],
            Sufficient,
        ),
    ];
    for (name, rule, primary, others, expected) in rows {
        assert_eq!(assess(rule, primary, &others), expected, "{name} under {rule:?}");
    }
}

/// Guards against acknowledging a lost write: a primary that is paused after the write can resume in a
/// newer term, whose history the other servers confirm although it may not contain the write.
#[test]
fn a_former_primary_does_not_confirm_its_write() {
    let other = status(ServerRole::Replica, 4, 4, 10);
    let others = [OtherServerStatus { status: &other }, OtherServerStatus { status: &other }];
    let rows = [
        ("it is a replica in the newer term", status(ServerRole::Replica, 4, 4, 10), 4),
        (
            "it is a replica in the newer term, the write is of the older one",
            status(ServerRole::Replica, 4, 4, 10),
            3,
        ),
        ("it is primary again in the newer term", status(ServerRole::Primary, 4, 4, 10), 3),
    ];
    for (name, primary, term) in rows {
        for rule in [Acknowledge::Majority, Acknowledge::Term] {
            let write = LogPoint::new(term, 10);
            let assessed = assess_evidence(rule, write, &primary, &others, 3);
            assert_eq!(assessed, Evidence::Deposed, "{name} under {rule:?}");
        }
    }
}

#[test]
fn a_group_of_one_needs_no_other_server() {
    let write = LogPoint::new(1, 5);
    let primary = status(ServerRole::Primary, 1, 1, 5);
    assert_eq!(
        assess_evidence(Acknowledge::Majority, write, &primary, &[], 1),
        Evidence::Sufficient
    );
}

proptest! {
    /// The longest log of any majority that is sealed after an acknowledgement contains the write.
    #[test]
    fn an_acknowledged_write_survives_any_later_promotion(
        held in prop::collection::vec(0_u64..12, 3),
        excluded in 0_usize..3,
    ) {
        let position = 10;
        let held = [position, held[1], held[2]];
        let others = [(3, 3, held[1]), (3, 3, held[2])];
        if assess(Acknowledge::Majority, (3, position), &others) == Evidence::Sufficient {
            let longest = (0..3).filter(|server| *server != excluded).map(|server| held[server]);
            prop_assert!(longest.max() >= Some(position));
        }
    }

    /// No rule acknowledges a write after a majority was sealed above its term.
    #[test]
    fn nothing_is_acknowledged_after_a_majority_is_sealed(
        held in prop::collection::vec(0_u64..12, 2),
        unsealed in 0_usize..3,
        term_rule in any::<bool>(),
    ) {
        let rule = if term_rule { Acknowledge::Term } else { Acknowledge::Majority };
        let promised = |server: usize| if server == unsealed { 3 } else { 4 };
        let others = [(promised(1), 3, held[0]), (promised(2), 3, held[1])];
        prop_assert_ne!(assess(rule, (promised(0), 10), &others), Evidence::Sufficient);
    }
}
