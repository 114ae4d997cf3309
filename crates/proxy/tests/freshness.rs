//! Tests of the age of a daemon's store data.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proxy::{
    control::freshness::{Freshness, ObservedRevision, catch_up_delay, must_read_store},
    metadata::{Era, Revision},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A revision of a store without an era.
fn at(number: u64) -> Revision {
    Revision::new(Era::NONE, number)
}

fn observed(base: Instant, at_ms: u64, revision: u64) -> ObservedRevision {
    ObservedRevision { revision: at(revision), asked_at: base + ms(at_ms) }
}

/// Guards against revisions that start over after a restore being taken as already applied.
#[test]
fn a_read_of_a_later_era_shows_missing_changes() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    freshness.on_store_read(observed(base, 100, 90), at(90));
    let restored = Revision::new(Era(1), 7);
    freshness
        .on_store_read(ObservedRevision { revision: restored, asked_at: base + ms(500) }, at(90));
    assert_eq!(freshness.behind_for(base + ms(600)), Some(ms(100)));
    freshness.on_applied(at(95));
    assert_eq!(freshness.behind_for(base + ms(600)), Some(ms(100)));
    freshness.on_applied(restored);
    assert_eq!(freshness.behind_for(base + ms(600)), None);
}

#[test]
fn age_counts_from_the_last_read_without_missing_changes() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(base + ms(50)), None);
    freshness.on_store_read(observed(base, 100, 7), at(7));
    assert_eq!(freshness.age(base + ms(400)), Some(ms(300)));
    assert_eq!(freshness.behind_for(base + ms(400)), None);
    freshness.on_store_read(observed(base, 500, 9), at(7));
    assert_eq!(freshness.age(base + ms(600)), Some(ms(500)));
    assert_eq!(freshness.behind_for(base + ms(600)), Some(ms(100)));
    freshness.on_applied(at(9));
    assert_eq!(freshness.age(base + ms(600)), Some(ms(100)));
    assert_eq!(freshness.behind_for(base + ms(600)), None);
}

/// In a busy store nearly every read shows a change that is not applied yet. Guards against a daemon that receives
/// each change a moment later being treated as behind.
#[test]
fn a_daemon_that_keeps_up_with_a_busy_store_is_not_behind() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    for step in 1..100 {
        freshness.on_store_read(observed(base, step * 100, step * 10), at(step * 10 - 10));
        let now = base + ms(step * 100 + 50);
        assert!(freshness.behind_for(now).unwrap() <= ms(150), "step {step}");
        freshness.on_applied(at(step * 10 - 5));
    }
}

#[test]
fn an_earlier_read_does_not_reduce_the_age() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    freshness.on_store_read(observed(base, 500, 7), at(7));
    freshness.on_store_read(observed(base, 300, 6), at(7));
    assert_eq!(freshness.age(base + ms(600)), Some(ms(100)));
}

proptest! {
    /// Checks the age against its definition: the time since the latest read whose revision has been applied. It may
    /// be overestimated but never underestimated.
    #[test]
    fn age_is_never_underestimated(
        steps in prop::collection::vec((0u64..20, any::<bool>()), 1..60),
    ) {
        let base = Instant::now();
        let mut freshness = Freshness::default();
        let mut reads: Vec<ObservedRevision> = Vec::new();
        let mut applied_revision = 0;
        let mut revision = 0;
        for (step, (change, is_read)) in steps.into_iter().enumerate() {
            let now = base + ms(step as u64 * 10);
            revision += change;
            if is_read {
                let observed = ObservedRevision { revision: at(revision), asked_at: now };
                reads.push(observed);
                freshness.on_store_read(observed, at(applied_revision));
            } else {
                applied_revision = revision.saturating_sub(change / 2);
                freshness.on_applied(at(applied_revision));
            }
            let complete = reads.iter().filter(|it| it.revision <= at(applied_revision));
            let true_age = complete.map(|it| now.duration_since(it.asked_at)).min();
            match (freshness.age(now), true_age) {
                (Some(age), Some(true_age)) => prop_assert!(age >= true_age),
                (Some(_), None) => prop_assert!(false, "nothing was complete"),
                (None, _) => {}
            }
            let is_missing = reads.iter().any(|it| it.revision > at(applied_revision));
            prop_assert_eq!(freshness.behind_for(now).is_some(), is_missing);
        }
    }
}

/// Guards against every daemon of a fleet reading the whole store while a large configuration is still arriving from
/// its upstream over congested links.
#[test]
fn changes_that_are_arriving_are_not_read_from_the_store() {
    let cases = [
        // Time behind in ms, whether it has an upstream, time since changes began to arrive; whether it reads the
        // store.
        (800, false, None, false),
        (1_000, false, None, true),
        (1_000, true, None, false),
        (1_500, true, None, true),
        (1_500, true, Some(800), false),
        (3_000, true, Some(2_400), false),
        // An upstream that stalls while sending must not keep a daemon from the store.
        (3_300, true, Some(2_600), true),
        // A daemon without an upstream does not wait.
        (1_000, false, Some(100), true),
    ];
    for (behind_ms, follows, receiving_ms, expected) in cases {
        let reads_store = must_read_store(ms(behind_ms), follows, receiving_ms.map(ms));
        assert_eq!(reads_store, expected, "{behind_ms} {follows} {receiving_ms:?}");
    }
}

/// Guards against every daemon of a zone reading the same missing changes when the whole zone is behind.
#[test]
fn daemons_of_a_zone_catch_up_in_turn_within_two_seconds() {
    let daemons_within =
        |time: Duration| (0..100).filter(|before| catch_up_delay(*before) <= time).count();
    assert_eq!(daemons_within(ms(0)), 1);
    assert_eq!(daemons_within(ms(300)), 3);
    assert_eq!(daemons_within(ms(600)), 7);
    assert_eq!(daemons_within(ms(2_000)), 100);
}
