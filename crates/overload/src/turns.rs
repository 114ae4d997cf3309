//! Whose turn it is among those that compete, by the work that was done for each.

use std::collections::HashMap;

use model::Name;

/// Accounts that are remembered before those with nothing outstanding are forgotten.
const MOST_REMEMBERED: usize = 1_024;

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996): each statement is stamped with the work that its account has asked
/// for so far, and the smallest stamp goes first.
///
/// It gives what deficit round robin gives, a share of the work rather than of the statements, and needs no quantum: an
/// account that asks rarely is stamped with the present, and passes those that asked for much.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    now_us: u64,
    asked_us: HashMap<Name, u64>,
}

impl Turns {
    /// Stamps a statement that is expected to take `cost_us`.
    pub(crate) fn stamp(&mut self, account: &Name, cost_us: u64) -> u64 {
        let asked_us = self.asked_us.get(account).copied().unwrap_or(0);
        let stamp = asked_us.max(self.now_us);
        self.asked_us.insert(account.clone(), stamp + cost_us);
        if self.asked_us.len() > MOST_REMEMBERED {
            let now_us = self.now_us;
            self.asked_us.retain(|_, asked_us| *asked_us > now_us);
        }
        stamp
    }

    /// Notes that a statement with this stamp begins.
    pub(crate) fn on_begin(&mut self, stamp: u64) {
        self.now_us = self.now_us.max(stamp);
    }

    /// Charges what a statement took beyond what was expected, or gives back what it took less. What is expected may
    /// have changed a little since the stamp.
    pub(crate) fn settle(&mut self, account: &Name, expected_us: u64, took_us: u64) {
        if let Some(asked_us) = self.asked_us.get_mut(account) {
            *asked_us = (*asked_us + took_us).saturating_sub(expected_us);
        }
    }
}
