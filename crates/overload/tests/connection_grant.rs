//! Tests of the estimate of granted connections.

use std::time::{Duration, Instant};

use overload::{AfterRefusal, ConnectionGrant};

/// While a server still counts the connections of a daemon's former incarnation, further attempts would be refused too.
#[test]
fn no_connection_beyond_the_refused_number_is_opened_for_a_second() {
    let now = Instant::now();
    let mut granted = ConnectionGrant::default();
    assert_eq!(granted.max_connections(50, now), 50);
    assert_eq!(granted.on_refused(20, now), AfterRefusal::Replace);
    let at = |granted: &ConnectionGrant, ms| {
        granted.max_connections(50, now + Duration::from_millis(ms))
    };
    assert_eq!([0, 999, 1_000].map(|ms| at(&granted, ms)), [20, 20, 50]);
    // With several concurrent attempts, the last refusal counts.
    assert_eq!(granted.on_refused(18, now), AfterRefusal::Replace);
    assert_eq!(at(&granted, 1), 18);
    assert_eq!(granted.max_connections(10, now), 10, "never more than the daemon's own limit");
}

#[test]
fn without_connections_the_next_attempt_follows_a_pause() {
    let now = Instant::now();
    let mut granted = ConnectionGrant::default();
    assert_eq!(granted.on_refused(0, now), AfterRefusal::Pause);
    assert_eq!(granted.max_connections(50, now), 50);
    assert_eq!(granted.max_connections(0, now), 1);
}
