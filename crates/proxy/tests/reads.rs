//! What a read must have seen, and where it goes.

use std::time::{Duration, Instant};

use model::{LogPoint, Position, StatementClass, Term, TermStart};
use overload::Reach;
use proxy::{
    catalog::ReadRule,
    serve::{
        choose::{Candidate, Choice, choose},
        placement::{Placement, placement_for},
    },
};
use session::{StalenessSamples, TermHistory};

const BOUND: Duration = Duration::from_millis(1_000);

fn at(base: Instant, ms: u64) -> Instant {
    base + Duration::from_millis(ms)
}

#[test]
fn the_place_follows_from_rule_samples_and_history() {
    let base = Instant::now();
    let now = at(base, 10_000);
    let mut samples = StalenessSamples::new(16);
    samples.add(at(base, 8_000), LogPoint::new(1, 10));
    samples.add(at(base, 9_300), LogPoint::new(1, 20));
    samples.add(at(base, 9_900), LogPoint::new(1, 30));
    let bounded = ReadRule::BoundedStaleness { bound: BOUND };
    let own = ReadRule::OwnWrites { bound: BOUND };
    let long = ReadRule::BoundedStaleness { bound: Duration::from_millis(2_100) };
    let short = ReadRule::BoundedStaleness { bound: Duration::from_millis(60) };
    let written = Some(LogPoint::new(1, 25));
    let no_history = TermHistory::default();
    let ended = TermHistory::new(vec![TermStart { term: Term(2), start: Position(15) }]);
    let read = StatementClass::Read;
    let point = |number| Placement::AtLeast(LogPoint::new(1, number));
    let cases = [
        (
            "writes run at the primary",
            bounded,
            StatementClass::Write,
            None,
            &no_history,
            Placement::Primary,
        ),
        ("the rule says so", ReadRule::Primary, read, None, &no_history, Placement::Primary),
        ("the oldest sample that is young enough", bounded, read, None, &no_history, point(20)),
        ("a longer bound allows an older one", long, read, None, &no_history, point(10)),
        ("no sample is young enough", short, read, None, &no_history, Placement::Primary),
        ("own writes count", own, read, written, &no_history, point(25)),
        (
            "own writes don't count where not promised",
            bounded,
            read,
            written,
            &no_history,
            point(20),
        ),
        ("an ended term ends lower", own, read, written, &ended, point(15)),
    ];
    for (name, rule, class, own, history, expected) in cases {
        assert_eq!(placement_for(rule, class, own, &samples, history, now), expected, "{name}");
    }
}

fn candidate(index: usize) -> Candidate {
    Candidate {
        index,
        reach: Reach::SameZone,
        is_primary: false,
        idle: 1,
        in_use: 0,
        limit: 2,
        is_full: false,
        is_non_preferred: false,
        latency_us: 20_000,
        wait_us: 0,
    }
}

#[test]
fn the_choice_prefers_near_idle_replicas_with_room() {
    let near = candidate(0);
    let far = Candidate { reach: Reach::SameRegion, ..candidate(1) };
    let primary = Candidate { is_primary: true, ..candidate(2) };
    let closed = Candidate { idle: 0, ..candidate(3) };
    let in_use = Candidate { idle: 0, in_use: 2, ..candidate(4) };
    let full = Candidate { is_full: true, ..candidate(5) };
    let slow = Candidate { latency_us: 200_000, ..candidate(6) };
    let cases = [
        ("none", vec![], Choice::NoServer),
        ("near before far", vec![far, near], Choice::UseIdle(0)),
        ("a replica before the primary", vec![primary, near], Choice::UseIdle(0)),
        ("an idle connection before a new one", vec![closed, near], Choice::UseIdle(0)),
        ("a new connection near before a far one", vec![far, closed], Choice::Open(3)),
        ("far when near is in use", vec![in_use, far], Choice::UseIdle(1)),
        ("far when near is slow", vec![slow, far], Choice::UseIdle(1)),
        ("all in use", vec![in_use, full], Choice::Wait),
    ];
    for (name, candidates, expected) in cases {
        assert_eq!(choose(&candidates, false), expected, "{name}");
    }
}

/// With a near primary cheaper than a far replica where connections are scarce, two thirds more writes were late.
#[test]
fn where_connections_are_scarce_a_far_replica_goes_before_a_near_primary() {
    let near_primary = Candidate { is_primary: true, ..candidate(0) };
    let far_replica = Candidate { reach: Reach::SameRegion, ..candidate(1) };
    let near_replica = candidate(2);
    let cases = [
        ("scarce", true, vec![near_primary, far_replica], 1),
        ("not scarce", false, vec![near_primary, far_replica], 0),
        (
            "a near replica before all, scarce",
            true,
            vec![near_primary, far_replica, near_replica],
            2,
        ),
        ("a near replica before all", false, vec![near_primary, far_replica, near_replica], 2),
    ];
    for (name, scarce, candidates, expected) in cases {
        assert_eq!(choose(&candidates, scarce), Choice::UseIdle(expected), "{name}");
    }
}

/// Demand in two regions at three to one, with a replica in each: reads stay where they are while the replica there keeps up,
/// go to the other region once the wait at home is longer than the way, and come back when it is not.
#[test]
fn a_read_leaves_its_region_only_for_a_wait_that_is_longer_than_the_way() {
    let home = |in_use| Candidate { reach: Reach::SameRegion, in_use, limit: 9, ..candidate(0) };
    let abroad = Candidate { reach: Reach::OtherRegion, latency_us: 44_000, ..candidate(1) };
    let chosen: Vec<Choice> =
        [0, 2, 4, 6, 4, 2, 0].map(|in_use| choose(&[home(in_use), abroad], true)).to_vec();
    let expected = [0, 0, 0, 1, 0, 0, 0].map(Choice::UseIdle);
    assert_eq!(chosen, expected);
}

/// A burst at one replica of three: who hears from its owner how long others wait there goes elsewhere, also across zones, and
/// comes back once the wait is shorter than the way.
#[test]
fn a_read_goes_where_its_wait_and_its_way_are_shortest_together() {
    let waits = |wait_us| Candidate { wait_us, ..candidate(0) };
    let far = Candidate { reach: Reach::SameRegion, ..candidate(1) };
    let chosen: Vec<Choice> =
        [0, 30_000, 90_000, 30_000].map(|wait_us| choose(&[waits(wait_us), far], true)).to_vec();
    assert_eq!(chosen, [0, 0, 1, 0].map(Choice::UseIdle));
}
