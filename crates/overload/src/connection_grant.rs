//! Estimate of how many connections a server grants a daemon, based on the connections that it refused.

use std::time::{Duration, Instant};

/// How long a refusal is taken into account. A server counts the connections of a failed daemon for some seconds, and
/// each attempt to open another one delays a statement.
const REFUSAL_TTL: Duration = Duration::from_millis(1_000);

/// What to do after a server refused a connection because there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRefusal {
    /// Close an idle connection for each one that is to be opened.
    Replace,
    /// No connection is held; retry after a pause.
    Pause,
}

/// The number of connections that a server grants at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionGrant {
    refused: Option<(u32, Instant)>,
}

impl ConnectionGrant {
    /// Records that the server refused another connection while `held` were open.
    pub fn on_refused(&mut self, held: u32, now: Instant) -> AfterRefusal {
        if held == 0 {
            return AfterRefusal::Pause;
        }
        self.refused = Some((held, now + REFUSAL_TTL));
        AfterRefusal::Replace
    }

    /// Returns the maximum number of connections, at most `limit` and at least 1.
    pub fn max_connections(&self, limit: u32, now: Instant) -> u32 {
        let granted = match self.refused {
            Some((held, until)) if now < until => held.min(limit),
            _ => limit,
        };
        granted.max(1)
    }
}
