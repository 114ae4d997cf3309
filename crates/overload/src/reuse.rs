//! Which connection at rest is ended when another account needs one, by how soon it is likely to be used again.
//!
//! A connection works for one account, and opening one takes a slot of the server for the length of a handshake. One that is
//! ended and soon needed again costs that slot twice; see `docs/design/hard-load.md`, "Connections that accounts compete for".

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::decaying::DecayingSums;

/// What an account asked counts for half after so long: some times longer than the rest between two statements of a small
/// account, and short enough to follow a change of who is busy.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// A connection at rest.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection<'a> {
    /// For whom it works.
    pub account: &'a str,
    /// Since when it has rested.
    pub idle_since: Instant,
}

/// How often each account has used connections to one server lately.
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
    /// Notes that a statement of an account began.
    pub fn on_used(&mut self, account: &str, now: Instant) {
        self.uses.add(account, 1.0, now);
    }

    /// Chooses which connection to end: the least likely to be used again.
    ///
    /// Of several of one account only one is likely to be used as often as the account asks, and the next only while that
    /// one is in use. So accounts with more than one give theirs first, and no small account loses its only one to a hot one that
    /// has many.
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
