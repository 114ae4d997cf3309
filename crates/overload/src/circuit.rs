//! Whether a path is used: closed while it works, open once it fails, and few tries until it works for certain.
//!
//! A path is one hop: from a daemon to the owner of a server's connections, from an owner to a server, or the server itself.
//! Each hop has a circuit of its own, and a failure is charged to the hop that shows it.

use std::time::{Duration, Instant};

/// How long an open circuit lets nothing pass, at first; the next try is refused within a round trip if nothing has changed.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);
/// The longest that it lets nothing pass: a path that is back is in use again before callers have used up their retries.
const MAX_OPEN_TIME: Duration = Duration::from_millis(800);
/// A circuit that stayed closed for so long begins with the first pause again; one that opens sooner goes on with the next.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(5);
/// Outcomes that are looked at together.
const WINDOW: u32 = 16;
/// So many of them must be bad, so that a few losses in a row that concern single requests set nothing aside.
const MIN_FAILURES: u32 = 4;
/// The part of them that must be bad, in percent: above it, every other request or more is lost there.
const FAILURE_PERCENT: u32 = 40;
/// Outcomes with nothing after them for so long say nothing about the present.
const WINDOW_EXPIRES_AFTER: Duration = Duration::from_secs(2);
/// Time between two tries of a circuit that begins to close; it halves with each that succeeds.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(80);
/// Tries that must succeed before it is closed.
const PROBES_TO_CLOSE: u32 = 4;

/// What became of a request on a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathOutcome {
    /// It was answered.
    Answered,
    /// No answer came, or one that says that the server failed: a sign among others.
    Failed,
    /// The hop's end says that it goes no further: a proof for now.
    Refused,
}

/// What an outcome changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitChange {
    /// The circuit was closed and is open now.
    Opened,
    /// It was not closed and is now.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    /// Nothing passes before this.
    Open {
        until: Instant,
    },
    /// One passes at a time and the next one not before this, whatever has become of it: a try that is never heard of again
    /// holds up nobody.
    HalfOpen {
        next_at: Instant,
        succeeded: u32,
    },
}

/// The circuit of one path.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: State,
    /// The latest outcomes, the last one in the lowest bit, which is set if it was bad.
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
    /// Whether a request may take the path now. Where one does, [`CircuitBreaker::on_request`] has to be told.
    pub fn allows_request(&self, now: Instant) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { next_at, .. } => now >= next_at,
        }
    }

    /// Whether everything may take the path.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Notes that a request takes the path.
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

    /// Notes what became of a request on the path.
    pub fn on_outcome(&mut self, outcome: PathOutcome, now: Instant) -> Option<CircuitChange> {
        match (self.state, outcome) {
            (State::Closed, PathOutcome::Refused) => Some(self.open(now)),
            (State::Closed, PathOutcome::Answered | PathOutcome::Failed) => {
                self.record(outcome == PathOutcome::Failed, now);
                self.exceeds_threshold().then(|| self.open(now))
            }
            // It was sent before the circuit opened. One that comes later still counts as a try; the next ones put it right.
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
