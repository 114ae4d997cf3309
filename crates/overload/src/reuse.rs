//! Chooses which idle connection to close when another account needs one.
//!
//! A connection serves one account, and opening one occupies a slot of the server for the handshake. So the
//! connection that is least likely to be used again is closed; see `docs/design/hard-load.md`, "Connections that
//! accounts compete for".

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::decaying::DecayingSums;

/// Half-life of recorded uses: longer than the interval between two statements of a small account, and short enough
/// to follow changes of load.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// An idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection<'a> {
    /// The account that it serves.
    pub account: &'a str,
    /// Since when it has been idle.
    pub idle_since: Instant,
}

/// How often each account used connections to one server recently.
#[derive(Debug)]
pub struct ReuseHistory {
    uses: DecayingSums,
}

impl Default for ReuseHistory {
    fn default() -> ReuseHistory {
        ReuseHistory { uses: DecayingSums::new(HALF_LIFE) }
    }
}

impl ReuseHistory {
    /// Records that a statement of an account began.
    pub fn on_used(&mut self, account: &str, now: Instant) {
        self.uses.add(account, 1.0, now);
    }

    /// Returns the index of the connection that is least likely to be used again; `None` if there is none.
    ///
    /// Connections of accounts with several idle ones are closed first, so that a busy account does not displace the
    /// only connection of a small one.
    pub fn least_likely_reused(&self, idle: &[IdleConnection<'_>], now: Instant) -> Option<usize> {
        let mut held: HashMap<&str, u32> = HashMap::new();
        for connection in idle {
            *held.entry(connection.account).or_default() += 1;
        }
        let reuse_score = |connection: &IdleConnection<'_>| {
            let held = held[connection.account];
            (held == 1, self.uses.get(connection.account, now) / f64::from(held))
        };
        let order = |one: &IdleConnection<'_>, other: &IdleConnection<'_>| {
            let ((one_is_last, one_score), (other_is_last, other_score)) =
                (reuse_score(one), reuse_score(other));
            let last = one_is_last.cmp(&other_is_last);
            last.then(one_score.total_cmp(&other_score)).then(one.idle_since.cmp(&other.idle_since))
        };
        let numbered = idle.iter().enumerate();
        numbered.min_by(|(_, one), (_, other)| order(one, other)).map(|(index, _)| index)
    }
}
