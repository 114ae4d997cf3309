//! When callers come back that were refused together.

use std::time::Duration;

use overload::retry_delay::{RetryDelay, add_jitter};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Load pattern: 500 callers are refused in the same moment, half a second before they can be served.
#[test]
fn callers_refused_together_return_one_after_the_other() {
    let mut rng = StdRng::seed_from_u64(11);
    let route = RetryDelay { target: ms(500), timeout: ms(1_000) };
    let told: Vec<Duration> = (0..500).map(|_| route.for_wait(ms(500), rng.random())).collect();
    assert!(told.iter().all(|it| (ms(500)..ms(750)).contains(it)));
    for from_ms in (500..750).step_by(25) {
        let span = ms(from_ms)..ms(from_ms + 25);
        let count = told.iter().filter(|it| span.contains(it)).count();
        assert!((25..=80).contains(&count), "{count} return within 25 ms of {from_ms} ms");
    }
}

/// A caller's own deadline is not known, and is at least its route's time: it is never told to wait for much longer.
#[test]
fn nobody_is_told_to_wait_beyond_its_time() {
    let route = RetryDelay { target: ms(400), timeout: ms(1_000) };
    assert_eq!(route.for_wait(ms(20_000), 0.0), ms(1_000));
    assert!(route.for_wait(ms(20_000), 0.999) < ms(1_500));
}

/// Where another daemon may serve it, a caller is back so early that it can still be answered within its target.
#[test]
fn trying_elsewhere_leaves_time_within_the_target() {
    for target in [ms(200), ms(400), ms(1_500)] {
        let route = RetryDelay { target, timeout: ms(3_000) };
        assert!(route.for_other_daemon(0.999) <= target / 2 + ms(1));
        assert!(route.for_other_daemon(0.0) < route.for_other_daemon(0.999));
    }
}

#[test]
fn even_a_short_wait_is_spread() {
    assert!(add_jitter(Duration::ZERO, 0.999) >= ms(45));
}
