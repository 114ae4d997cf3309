//! How many connections a server grants a daemon at present, as its refusals show it.

use std::time::{Duration, Instant};

/// How long a refusal counts: connections that daemons left behind when they died are counted by the server for some
/// seconds, and each try meanwhile costs a statement its time.
const REFUSAL_TTL: Duration = Duration::from_millis(1_000);

/// What to do after a server refused a connection for there being too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRefusal {
    /// Those that are held are what is granted: one may be ended for each that is opened.
    Replace,
    /// None is held: try again after a pause.
    Pause,
}

/// What a server grants at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionGrant {
    refused: Option<(u32, Instant)>,
}

impl ConnectionGrant {
    /// Notes that a server refused one more connection than the `held` ones.
    pub fn on_refused(&mut self, held: u32, now: Instant) -> AfterRefusal {
        if held == 0 {
            return AfterRefusal::Pause;
        }
        self.refused = Some((held, now + REFUSAL_TTL));
        AfterRefusal::Replace
    }

    /// Returns how many of `limit` connections there may be at a time; one at the least.
    pub fn max_connections(&self, limit: u32, now: Instant) -> u32 {
        let granted = match self.refused {
            Some((held, until)) if now < until => held.min(limit),
            _ => limit,
        };
        granted.max(1)
    }
}
