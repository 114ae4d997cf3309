//! Tests of the decay of load reports.

use std::time::{Duration, Instant};

use overload::{AgedReport, LoadReport, RANKS, Rank};

#[test]
fn reported_waits_halve_every_200_ms() {
    let received_at = Instant::now();
    let report = LoadReport {
        waits: [Duration::from_millis(80); RANKS],
        running: 6,
        slots: 6,
        service: Duration::from_millis(20),
    };
    let aged = AgedReport { report, received_at };
    let wait_after = |ms| aged.expected_wait(Rank::ALL[0], received_at + Duration::from_millis(ms));
    assert_eq!(wait_after(0), Duration::from_millis(80));
    assert_eq!(wait_after(200), Duration::from_millis(40));
    assert_eq!(wait_after(400), Duration::from_millis(20));
}

#[test]
fn priorities_beyond_the_last_rank_map_to_it() {
    assert_eq!(Rank::of_priority(0), Rank::ALL[0]);
    assert_eq!(Rank::of_priority(200), Rank::ALL[RANKS - 1]);
}
