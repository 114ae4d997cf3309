//! When a primary is taken to have failed.

use std::time::Duration;

use failover::{Health, OtherView, PrimaryHealth, SuspicionRules, judge_health};

const RULES: SuspicionRules = SuspicionRules { suspect_after: Duration::from_secs(1) };

fn health(silent_ms: u64) -> PrimaryHealth {
    PrimaryHealth {
        silent_for: Some(Duration::from_millis(silent_ms)),
        watched_for: Duration::from_secs(60),
        replicas_answering: 2,
        replicas_without_leader: 0,
        replicas: 2,
        has_leader: true,
    }
}

#[test]
fn a_silence_is_judged_with_the_other_owners() {
    use OtherView::{Reachable, Silent, Unreachable};
    let rows: [(u64, Option<&[OtherView]>, Health); 8] = [
        (0, None, Health::Fine),
        (999, None, Health::Fine),
        (1_000, None, Health::AskOthers),
        (1_000, Some(&[]), Health::Failed),
        (1_000, Some(&[Unreachable]), Health::Failed),
        (1_000, Some(&[Reachable]), Health::Fine),
        (1_000, Some(&[Silent, Silent]), Health::Failed),
        (1_000, Some(&[Reachable, Unreachable]), Health::Failed),
    ];
    for (silent_ms, others, expected) in rows {
        let judged = judge_health(RULES, &health(silent_ms), others);
        assert_eq!(judged, expected, "silent for {silent_ms} ms, others {others:?}");
    }
}

#[test]
fn a_primary_without_replicas_within_reach_is_useless() {
    let isolated = PrimaryHealth { replicas_without_leader: 2, ..health(0) };
    assert_eq!(judge_health(RULES, &isolated, None), Health::Failed);
    let one_lost = PrimaryHealth { replicas_without_leader: 1, ..health(0) };
    assert_eq!(judge_health(RULES, &one_lost, None), Health::Fine);
}

#[test]
fn without_a_majority_nobody_is_suspected_for_nothing() {
    let alone = PrimaryHealth { replicas_answering: 1, ..health(5_000) };
    assert_eq!(judge_health(RULES, &alone, None), Health::NoMajority);
}

#[test]
fn a_group_without_a_leader_gets_one() {
    let leaderless = PrimaryHealth { has_leader: false, silent_for: None, ..health(0) };
    assert_eq!(judge_health(RULES, &leaderless, None), Health::Failed);
    let just_started = PrimaryHealth { watched_for: Duration::from_millis(10), ..leaderless };
    assert_eq!(judge_health(RULES, &just_started, None), Health::Fine);
}
