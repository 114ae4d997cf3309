//! When a primary is considered failed.

use std::time::Duration;

use failover::{OwnerView, PrimaryAssessment, PrimaryObservation, SuspicionRules, assess_primary};

const RULES: SuspicionRules = SuspicionRules { suspect_after: Duration::from_secs(1) };

fn observation(silent_ms: u64) -> PrimaryObservation {
    PrimaryObservation {
        silent_for: Some(Duration::from_millis(silent_ms)),
        watched_for: Duration::from_secs(60),
        replicas_answering: 2,
        replicas_without_leader: 0,
        replicas: 2,
        has_leader: true,
    }
}

#[test]
fn a_silent_primary_is_assessed_with_the_other_owners() {
    use OwnerView::{NoAnswer, Reachable, Unreachable};
    let rows: [(u64, Option<&[OwnerView]>, PrimaryAssessment); 8] = [
        (0, None, PrimaryAssessment::Healthy),
        (999, None, PrimaryAssessment::Healthy),
        (1_000, None, PrimaryAssessment::AskOwners),
        (1_000, Some(&[]), PrimaryAssessment::Failed),
        (1_000, Some(&[Unreachable]), PrimaryAssessment::Failed),
        (1_000, Some(&[Reachable]), PrimaryAssessment::Healthy),
        (1_000, Some(&[NoAnswer, NoAnswer]), PrimaryAssessment::Failed),
        (1_000, Some(&[Reachable, Unreachable]), PrimaryAssessment::Failed),
    ];
    for (silent_ms, others, expected) in rows {
        let assessed = assess_primary(RULES, &observation(silent_ms), others);
        assert_eq!(assessed, expected, "silent for {silent_ms} ms, others {others:?}");
    }
}

#[test]
fn a_primary_isolated_from_its_replicas_has_failed() {
    let isolated = PrimaryObservation { replicas_without_leader: 2, ..observation(0) };
    assert_eq!(assess_primary(RULES, &isolated, None), PrimaryAssessment::Failed);
    let one_lost = PrimaryObservation { replicas_without_leader: 1, ..observation(0) };
    assert_eq!(assess_primary(RULES, &one_lost, None), PrimaryAssessment::Healthy);
}

#[test]
fn a_primary_is_not_replaced_without_a_majority() {
    let one_answers = PrimaryObservation { replicas_answering: 1, ..observation(5_000) };
    assert_eq!(assess_primary(RULES, &one_answers, None), PrimaryAssessment::NoMajority);
}

#[test]
fn a_group_without_a_primary_gets_one() {
    let leaderless = PrimaryObservation { has_leader: false, silent_for: None, ..observation(0) };
    assert_eq!(assess_primary(RULES, &leaderless, None), PrimaryAssessment::Failed);
    let just_started = PrimaryObservation { watched_for: Duration::from_millis(10), ..leaderless };
    assert_eq!(assess_primary(RULES, &just_started, None), PrimaryAssessment::Healthy);
}
