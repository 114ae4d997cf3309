//! How old what a daemon knows of the store may be.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proxy::{
    control::freshness::{Freshness, ObservedRevision, catch_up_delay, must_read_store},
    metadata::{Era, Revision},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A revision of a store that tells of no era.
fn at(number: u64) -> Revision {
    Revision::new(Era::NONE, number)
}

fn seen(base: Instant, at_ms: u64, revision: u64) -> ObservedRevision {
    ObservedRevision { revision: at(revision), asked_at: base + ms(at_ms) }
}

/// After a restore lower numbers are news.
#[test]
fn a_reading_of_a_later_era_shows_that_something_is_missing() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    freshness.note_store_read(seen(base, 100, 90), at(90));
    let restored = Revision::new(Era(1), 7);
    freshness
        .note_store_read(ObservedRevision { revision: restored, asked_at: base + ms(500) }, at(90));
    assert_eq!(freshness.behind_for(base + ms(600)), Some(ms(100)));
    freshness.note_applied(at(95));
    assert_eq!(freshness.behind_for(base + ms(600)), Some(ms(100)));
    freshness.note_applied(restored);
    assert_eq!(freshness.behind_for(base + ms(600)), None);
}

#[test]
fn what_is_known_is_as_old_as_the_last_reading_that_showed_nothing_else() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(base + ms(50)), None);
    freshness.note_store_read(seen(base, 100, 7), at(7));
    assert_eq!(freshness.age(base + ms(400)), Some(ms(300)));
    assert_eq!(freshness.behind_for(base + ms(400)), None);
    freshness.note_store_read(seen(base, 500, 9), at(7));
    assert_eq!(freshness.age(base + ms(600)), Some(ms(500)));
    assert_eq!(freshness.behind_for(base + ms(600)), Some(ms(100)));
    freshness.note_applied(at(9));
    assert_eq!(freshness.age(base + ms(600)), Some(ms(100)));
    assert_eq!(freshness.behind_for(base + ms(600)), None);
}

/// The store changes all the time, so the latest reading nearly always shows something that is not known yet; that
/// alone must not make a daemon seem behind that hears of every change a moment later.
#[test]
fn whoever_keeps_up_with_a_store_that_changes_all_the_time_is_never_behind_for_long() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    for step in 1..100 {
        freshness.note_store_read(seen(base, step * 100, step * 10), at(step * 10 - 10));
        let now = base + ms(step * 100 + 50);
        assert!(freshness.behind_for(now).unwrap() <= ms(150), "step {step}");
        freshness.note_applied(at(step * 10 - 5));
    }
}

#[test]
fn a_reading_that_was_asked_for_earlier_makes_nothing_younger() {
    let base = Instant::now();
    let mut freshness = Freshness::default();
    freshness.note_store_read(seen(base, 500, 7), at(7));
    freshness.note_store_read(seen(base, 300, 6), at(7));
    assert_eq!(freshness.age(base + ms(600)), Some(ms(100)));
}

proptest! {
    /// Against the definition: everything that there was at a moment is known if it was asked for then and what it
    /// showed was made up for. The age may be greater than that, never less.
    #[test]
    fn what_is_known_never_seems_younger_than_it_is(
        steps in prop::collection::vec((0u64..20, any::<bool>()), 1..60),
    ) {
        let base = Instant::now();
        let mut freshness = Freshness::default();
        let mut readings: Vec<ObservedRevision> = Vec::new();
        let mut applied_revision = 0;
        let mut revision = 0;
        for (step, (change, is_reading)) in steps.into_iter().enumerate() {
            let now = base + ms(step as u64 * 10);
            revision += change;
            if is_reading {
                let sighting = ObservedRevision { revision: at(revision), asked_at: now };
                readings.push(sighting);
                freshness.note_store_read(sighting, at(applied_revision));
            } else {
                applied_revision = revision.saturating_sub(change / 2);
                freshness.note_applied(at(applied_revision));
            }
            let complete = readings.iter().filter(|it| it.revision <= at(applied_revision));
            let true_age = complete.map(|it| now.duration_since(it.asked_at)).min();
            match (freshness.age(now), true_age) {
                (Some(age), Some(true_age)) => prop_assert!(age >= true_age),
                (Some(_), None) => prop_assert!(false, "nothing was complete"),
                (None, _) => {}
            }
            let is_missing = readings.iter().any(|it| it.revision > at(applied_revision));
            prop_assert_eq!(freshness.behind_for(now).is_some(), is_missing);
        }
    }
}

/// A configuration of a megabyte takes seconds to come down to three hundred daemons. Its readings wait behind it, so each
/// daemon reads its own key for its rights meanwhile and sees that something is missing; if all of them asked the
/// store then, it would send the same megabyte three hundred times over links that are full already.
#[test]
fn changes_that_are_on_their_way_are_not_asked_for_again() {
    let cases = [
        // Behind for, follows another daemon, which has been sending for; asks.
        (800, false, None, false),
        (1_000, false, None, true),
        (1_000, true, None, false),
        (1_500, true, None, true),
        (1_500, true, Some(800), false),
        (3_000, true, Some(2_400), false),
        // A daemon that froze as it sent must not keep others from the store.
        (3_300, true, Some(2_600), true),
        // Whoever follows nobody waits for nobody.
        (1_000, false, Some(100), true),
    ];
    for (behind_ms, follows, receives_ms, expected) in cases {
        let asks = must_read_store(ms(behind_ms), follows, receives_ms.map(ms));
        assert_eq!(asks, expected, "{behind_ms} {follows} {receives_ms:?}");
    }
}

/// Guards against a zone that is behind as a whole and draws what it misses once for each of its daemons.
#[test]
fn a_zone_that_is_behind_asks_in_turns_and_everybody_within_two_seconds() {
    let within = |time: Duration| (0..100).filter(|before| catch_up_delay(*before) <= time).count();
    assert_eq!(within(ms(0)), 1);
    assert_eq!(within(ms(300)), 3);
    assert_eq!(within(ms(600)), 7);
    assert_eq!(within(ms(2_000)), 100);
}
