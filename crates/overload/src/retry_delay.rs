//! The delay after which a refused caller should retry.
//!
//! Jitter keeps callers that were refused together from retrying together; see "Exponential Backoff And Jitter" (AWS,
//! 2015), "equal jitter".

use std::time::Duration;

/// Minimum length of the jitter interval, so that retries after a short wait are spread as well.
const MIN_JITTER: Duration = Duration::from_millis(50);
/// Length of the jitter interval as a share of the expected wait.
const JITTER_SHARE: f64 = 0.5;
/// Maximum delay, without jitter, as a share of the route's timeout. The caller's own deadline is unknown but no
/// shorter than the timeout.
const MAX_DELAY_SHARE: f64 = 1.0;
/// Delay before a retry at another daemon, as a share of the latency target, so that the retry can still meet the
/// target.
const OTHER_DAEMON_TARGET_SHARE: f64 = 0.25;

/// Computes retry delays for the callers of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelay {
    /// The route's latency target.
    pub target: Duration,
    /// The route's timeout.
    pub timeout: Duration,
}

impl RetryDelay {
    /// Returns the delay before a retry if the wait is expected to take `expected`. `draw` is a random number in
    /// [0, 1).
    pub fn for_wait(&self, expected: Duration, draw: f64) -> Duration {
        let max_delay = self.timeout.mul_f64(MAX_DELAY_SHARE);
        add_jitter(expected.min(max_delay), draw)
    }

    /// Returns the delay before a retry at another daemon. `draw` is a random number in [0, 1).
    pub fn for_other_daemon(&self, draw: f64) -> Duration {
        add_jitter(self.target.mul_f64(OTHER_DAEMON_TARGET_SHARE).min(self.timeout), draw)
    }
}

/// Adds random jitter to a wait. `draw` is a random number in [0, 1).
pub fn add_jitter(expected: Duration, draw: f64) -> Duration {
    expected + expected.mul_f64(JITTER_SHARE).max(MIN_JITTER).mul_f64(draw)
}
