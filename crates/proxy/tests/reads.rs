//! Placement of reads and the choice of their server.

use std::time::{Duration, Instant};

use model::{LogPoint, Position, StatementClass, Term, TermStart};
use overload::ZoneDistance;
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
fn the_placement_follows_from_rule_samples_and_history() {
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
        (
            "the rule requires the primary",
            ReadRule::Primary,
            read,
            None,
            &no_history,
            Placement::Primary,
        ),
        ("the oldest sample that is recent enough", bounded, read, None, &no_history, point(20)),
        ("a longer bound allows an older one", long, read, None, &no_history, point(10)),
        ("no sample is recent enough", short, read, None, &no_history, Placement::Primary),
        ("own writes count", own, read, written, &no_history, point(25)),
        (
            "own writes don't count under bounded staleness",
            bounded,
            read,
            written,
            &no_history,
            point(20),
        ),
        ("a point beyond the end of its term is clamped", own, read, written, &ended, point(15)),
    ];
    for (name, rule, class, own, history, expected) in cases {
        assert_eq!(placement_for(rule, class, own, &samples, history, now), expected, "{name}");
    }
}

fn candidate(index: usize) -> Candidate {
    Candidate {
        index,
        distance: ZoneDistance::SameZone,
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
    let far = Candidate { distance: ZoneDistance::SameRegion, ..candidate(1) };
    let primary = Candidate { is_primary: true, ..candidate(2) };
    let no_idle = Candidate { idle: 0, ..candidate(3) };
    let in_use = Candidate { idle: 0, in_use: 2, ..candidate(4) };
    let full = Candidate { is_full: true, ..candidate(5) };
    let slow = Candidate { latency_us: 200_000, ..candidate(6) };
    let cases = [
        ("no candidates", vec![], Choice::NoServer),
        ("a near server before a far one", vec![far, near], Choice::UseIdle(0)),
        ("a replica before the primary", vec![primary, near], Choice::UseIdle(0)),
        ("an idle connection before a new one", vec![no_idle, near], Choice::UseIdle(0)),
        ("a new connection near before a far one", vec![far, no_idle], Choice::Open(3)),
        ("a far server if the near one is in use", vec![in_use, far], Choice::UseIdle(1)),
        ("a far server if the near one is slow", vec![slow, far], Choice::UseIdle(1)),
        ("all connections in use", vec![in_use, full], Choice::Wait),
    ];
    for (name, candidates, expected) in cases {
        assert_eq!(choose(&candidates, false), expected, "{name}");
    }
}

/// Guards against reads that use the primary's scarce connections although a replica in another zone is free.
#[test]
fn with_scarce_connections_a_far_replica_is_preferred_to_a_near_primary() {
    let near_primary = Candidate { is_primary: true, ..candidate(0) };
    let far_replica = Candidate { distance: ZoneDistance::SameRegion, ..candidate(1) };
    let near_replica = candidate(2);
    let cases = [
        ("scarce", true, vec![near_primary, far_replica], 1),
        ("not scarce", false, vec![near_primary, far_replica], 0),
        ("scarce, with a near replica", true, vec![near_primary, far_replica, near_replica], 2),
        (
            "not scarce, with a near replica",
            false,
            vec![near_primary, far_replica, near_replica],
            2,
        ),
    ];
    for (name, scarce, candidates, expected) in cases {
        assert_eq!(choose(&candidates, scarce), Choice::UseIdle(expected), "{name}");
    }
}

/// Guards against reads that cross regions while the local replica keeps up, or that stay in the other
/// region after the load has dropped.
#[test]
fn a_read_leaves_its_region_only_if_the_local_wait_exceeds_the_extra_latency() {
    let local =
        |in_use| Candidate { distance: ZoneDistance::SameRegion, in_use, limit: 9, ..candidate(0) };
    let remote =
        Candidate { distance: ZoneDistance::OtherRegion, latency_us: 44_000, ..candidate(1) };
    let chosen: Vec<Choice> =
        [0, 2, 4, 6, 4, 2, 0].map(|in_use| choose(&[local(in_use), remote], true)).to_vec();
    let expected = [0, 0, 0, 1, 0, 0, 0].map(Choice::UseIdle);
    assert_eq!(chosen, expected);
}

/// Guards against reads that queue at a busy replica although its owner reports a wait that is longer than
/// the extra latency of another zone.
#[test]
fn a_read_goes_where_the_sum_of_wait_and_latency_is_lowest() {
    let waits = |wait_us| Candidate { wait_us, ..candidate(0) };
    let far = Candidate { distance: ZoneDistance::SameRegion, ..candidate(1) };
    let chosen: Vec<Choice> =
        [0, 30_000, 90_000, 30_000].map(|wait_us| choose(&[waits(wait_us), far], true)).to_vec();
    assert_eq!(chosen, [0, 0, 1, 0].map(Choice::UseIdle));
}
