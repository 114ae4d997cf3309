//! Circuit breaker of a path: closed while the path works, open after it failed, and half-open while it is probed.
//!
//! A path is one hop: from a daemon to the owner of a server's connections, or from an owner to a server. Each hop
//! has its own circuit breaker, and a failure counts for the hop that reports it.

use std::time::{Duration, Instant};

/// How long the circuit stays open the first time.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);
/// Maximum time that the circuit stays open. Short enough that a path that works again is used before callers run
/// out of retries.
const MAX_OPEN_TIME: Duration = Duration::from_millis(800);
/// A circuit that was closed for this long starts again with the minimum open time; otherwise the open time doubles.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(5);
/// Number of latest outcomes that are evaluated.
const WINDOW: u32 = 16;
/// Minimum number of failures that opens the circuit, so that a few failures of single requests don't.
const MIN_FAILURES: u32 = 4;
/// Minimum share of failures that opens the circuit, in percent.
const FAILURE_PERCENT: u32 = 40;
/// The recorded outcomes are discarded if no further outcome is recorded for this time.
const WINDOW_EXPIRES_AFTER: Duration = Duration::from_secs(2);
/// Interval between the first two probes of a half-open circuit. It halves with each successful probe.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(80);
/// Successful probes after which the circuit is closed.
const PROBES_TO_CLOSE: u32 = 4;

/// The outcome of a request on a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathOutcome {
    /// The request was answered.
    Answered,
    /// There was no answer, or one that says that the server failed.
    Failed,
    /// The receiving end of the hop reports that it can't reach the next hop. Opens the circuit at once.
    Refused,
}

/// A change of the circuit's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitChange {
    /// The circuit was closed and has opened.
    Opened,
    /// The circuit has closed.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    /// No request is sent on the path before this time.
    Open {
        until: Instant,
    },
    /// The next probe is sent at this time, even if the last one has no outcome yet, so that a lost probe does not
    /// block the path.
    HalfOpen {
        next_at: Instant,
        succeeded: u32,
    },
}

/// The circuit breaker of one path.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: State,
    /// The latest outcomes as bits, the last one in the lowest bit; 1 for a failure.
    recent: u32,
    count: u32,
    last_at: Option<Instant>,
    times_opened: u32,
    closed_at: Option<Instant>,
}

impl Default for CircuitBreaker {
    fn default() -> CircuitBreaker {
        CircuitBreaker {
            state: State::Closed,
            recent: 0,
            count: 0,
            last_at: None,
            times_opened: 0,
            closed_at: None,
        }
    }
}

impl CircuitBreaker {
    /// Whether a request may use the path now. If one does, call [`CircuitBreaker::on_request`].
    pub fn allows_request(&self, now: Instant) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { next_at, .. } => now >= next_at,
        }
    }

    /// Whether the circuit is closed, so that all requests may use the path.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Records that a request uses the path.
    pub fn on_request(&mut self, now: Instant) {
        self.state = match self.state {
            State::Closed => State::Closed,
            State::Open { .. } => {
                State::HalfOpen { next_at: now + FIRST_PROBE_INTERVAL, succeeded: 0 }
            }
            State::HalfOpen { succeeded, .. } => {
                State::HalfOpen { next_at: now + probe_interval(succeeded), succeeded }
            }
        };
    }

    /// Records the outcome of a request on the path.
    pub fn on_outcome(&mut self, outcome: PathOutcome, now: Instant) -> Option<CircuitChange> {
        match (self.state, outcome) {
            (State::Closed, PathOutcome::Refused) => Some(self.open(now)),
            (State::Closed, PathOutcome::Answered | PathOutcome::Failed) => {
                self.record(outcome == PathOutcome::Failed, now);
                self.exceeds_threshold().then(|| self.open(now))
            }
            // The request was sent before the circuit opened, so its outcome is ignored. After a probe was sent, a late
            // outcome can't be distinguished from the probe's and counts as such.
            (State::Open { .. }, _) => None,
            (State::HalfOpen { next_at, succeeded }, PathOutcome::Answered) => {
                let succeeded = succeeded + 1;
                if succeeded < PROBES_TO_CLOSE {
                    let next_at = next_at.min(now + probe_interval(succeeded));
                    self.state = State::HalfOpen { next_at, succeeded };
                    return None;
                }
                self.close(now);
                Some(CircuitChange::Closed)
            }
            (State::HalfOpen { .. }, PathOutcome::Failed | PathOutcome::Refused) => {
                self.open(now);
                None
            }
        }
    }

    fn open(&mut self, now: Instant) -> CircuitChange {
        let was_stable =
            self.closed_at.is_some_and(|at| now.duration_since(at) >= BACKOFF_RESET_AFTER);
        if was_stable {
            self.times_opened = 0;
        }
        let open_time =
            MIN_OPEN_TIME.saturating_mul(1 << self.times_opened.min(8)).min(MAX_OPEN_TIME);
        self.times_opened += 1;
        self.closed_at = None;
        self.state = State::Open { until: now + open_time };
        CircuitChange::Opened
    }

    fn close(&mut self, now: Instant) {
        self.state = State::Closed;
        self.closed_at = Some(now);
        self.recent = 0;
        self.count = 0;
    }

    fn record(&mut self, has_failed: bool, now: Instant) {
        if self.last_at.is_some_and(|at| now.duration_since(at) >= WINDOW_EXPIRES_AFTER) {
            self.recent = 0;
            self.count = 0;
        }
        self.last_at = Some(now);
        self.recent = ((self.recent << 1) | u32::from(has_failed)) & ((1 << WINDOW) - 1);
        self.count = (self.count + 1).min(WINDOW);
    }

    fn exceeds_threshold(&self) -> bool {
        let failures = self.recent.count_ones();
        failures >= MIN_FAILURES && failures * 100 >= self.count * FAILURE_PERCENT
    }
}

fn probe_interval(succeeded: u32) -> Duration {
    FIRST_PROBE_INTERVAL / (1 << succeeded.min(8))
}
