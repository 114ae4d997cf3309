//! How many connections a server grants, while it counts those that dead daemons left behind.

use std::time::{Duration, Instant};

use overload::{AfterRefusal, ConnectionGrant};

/// A server that still counts 30 of 50 connections for a daemon's former life: the new one opens none in vain, and tries
/// for more once those may have ended.
#[test]
fn an_owner_opens_none_beyond_what_was_refused_for_a_second() {
    let now = Instant::now();
    let mut granted = ConnectionGrant::default();
    assert_eq!(granted.max_connections(50, now), 50);
    assert_eq!(granted.on_refused(20, now), AfterRefusal::Replace);
    let at = |granted: &ConnectionGrant, ms| {
        granted.max_connections(50, now + Duration::from_millis(ms))
    };
    assert_eq!([0, 999, 1_000].map(|ms| at(&granted, ms)), [20, 20, 50]);
    // Several were being opened at a time: the last refusal tells what is left.
    assert_eq!(granted.on_refused(18, now), AfterRefusal::Replace);
    assert_eq!(at(&granted, 1), 18);
    assert_eq!(granted.max_connections(10, now), 10, "never beyond the daemon's own part");
}

#[test]
fn an_owner_that_holds_none_tries_again_after_a_pause() {
    let now = Instant::now();
    let mut granted = ConnectionGrant::default();
    assert_eq!(granted.on_refused(0, now), AfterRefusal::Pause);
    assert_eq!(granted.max_connections(50, now), 50);
    assert_eq!(granted.max_connections(0, now), 1);
}
