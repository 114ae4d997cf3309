//! When a caller that is refused should come back.
//!
//! Callers that are refused in the same moment would return in the same moment and meet the same queue. Each is told the time
//! from which it may be served, and a part of its own beyond that; see "Exponential Backoff And Jitter" (AWS, 2015), "equal jitter".

use std::time::Duration;

/// The shortest time over which returns are spread: some answers of a server, so that the first ones are out of the way.
const SPREAD_AT_LEAST: Duration = Duration::from_millis(50);
/// The part of the expected wait over which returns are add_jitter, since an estimate is off by a part of itself.
const SPREAD_SHARE: f64 = 0.5;
/// The longest wait that a caller is told, as a part of its route's time: its own deadline is not known here, and is at least
/// that time. A caller that comes back then has a try left for later.
const LONGEST_SHARE: f64 = 1.0;
/// When a caller should try another daemon, which may serve it now: within its target, with time left to be answered.
const ELSEWHERE_TARGET_SHARE: f64 = 0.25;

/// Makes the time that refused callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelay {
    /// The latency that the route aims at.
    pub target: Duration,
    /// How long an answer on the route is of use.
    pub timeout: Duration,
}

impl RetryDelay {
    /// Returns when to come back to what is expected in `expected`; `draw` is a random number from 0 to below 1.
    pub fn for_wait(&self, expected: Duration, draw: f64) -> Duration {
        let longest = self.timeout.mul_f64(LONGEST_SHARE);
        add_jitter(expected.min(longest), draw)
    }

    /// Returns when to try another daemon, where nothing here tells when this one can serve again.
    pub fn for_other_daemon(&self, draw: f64) -> Duration {
        add_jitter(self.target.mul_f64(ELSEWHERE_TARGET_SHARE).min(self.timeout), draw)
    }
}

/// Returns `expected` and a part of its own beyond it; `draw` is a random number from 0 to below 1.
pub fn add_jitter(expected: Duration, draw: f64) -> Duration {
    expected + expected.mul_f64(SPREAD_SHARE).max(SPREAD_AT_LEAST).mul_f64(draw)
}
