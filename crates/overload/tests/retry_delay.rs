//! Tests of the retry delays of refused callers.

use std::time::Duration;

use overload::retry_delay::{RetryDelay, add_jitter};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Callers that are refused at the same time must not retry at the same time.
#[test]
fn retries_of_callers_refused_together_are_spread() {
    let mut rng = StdRng::seed_from_u64(11);
    let route = RetryDelay { target: ms(500), timeout: ms(1_000) };
    let delays: Vec<Duration> = (0..500).map(|_| route.for_wait(ms(500), rng.random())).collect();
    assert!(delays.iter().all(|it| (ms(500)..ms(750)).contains(it)));
    for from_ms in (500..750).step_by(25) {
        let span = ms(from_ms)..ms(from_ms + 25);
        let count = delays.iter().filter(|it| span.contains(it)).count();
        assert!((25..=80).contains(&count), "{count} retry within 25 ms of {from_ms} ms");
    }
}

/// The caller's deadline is unknown but no shorter than the timeout, so the delay must not be much longer.
#[test]
fn the_delay_is_bounded_by_the_timeout() {
    let route = RetryDelay { target: ms(400), timeout: ms(1_000) };
    assert_eq!(route.for_wait(ms(20_000), 0.0), ms(1_000));
    assert!(route.for_wait(ms(20_000), 0.999) < ms(1_500));
}

/// A retry at another daemon must leave time to be answered within the latency target.
#[test]
fn a_retry_at_another_daemon_leaves_time_within_the_target() {
    for target in [ms(200), ms(400), ms(1_500)] {
        let route = RetryDelay { target, timeout: ms(3_000) };
        assert!(route.for_other_daemon(0.999) <= target / 2 + ms(1));
        assert!(route.for_other_daemon(0.0) < route.for_other_daemon(0.999));
    }
}

#[test]
fn even_a_short_wait_gets_jitter() {
    assert!(add_jitter(Duration::ZERO, 0.999) >= ms(45));
}
