//! Whose turn it is among those that compete, by the work that was done for each.

use std::collections::HashMap;

use model::Name;

/// Accounts that are remembered before those with nothing outstanding are forgotten.
const MAX_ACCOUNTS: usize = 1_024;

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996): each statement is stamped with the work that its account has asked
/// for so far, and the smallest stamp goes first.
///
/// It gives what deficit round robin gives, a share of the work rather than of the statements, and needs no quantum: an
/// account that asks rarely is stamped with the present, and passes those that asked for much.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    virtual_time_us: u64,
    requested_us: HashMap<Name, u64>,
}

impl FairQueue {
    /// Stamps a statement that is expected to take `cost_us`.
    pub(crate) fn start_tag(&mut self, account: &Name, cost_us: u64) -> u64 {
        let requested_us = self.requested_us.get(account).copied().unwrap_or(0);
        let start_tag = requested_us.max(self.virtual_time_us);
        self.requested_us.insert(account.clone(), start_tag + cost_us);
        if self.requested_us.len() > MAX_ACCOUNTS {
            let virtual_time_us = self.virtual_time_us;
            self.requested_us.retain(|_, requested_us| *requested_us > virtual_time_us);
        }
        start_tag
    }

    /// Notes that a statement with this stamp begins.
    pub(crate) fn on_begin(&mut self, start_tag: u64) {
        self.virtual_time_us = self.virtual_time_us.max(start_tag);
    }

    /// Charges what a statement took beyond what was expected, or gives back what it took less. What is expected may
    /// have changed a little since the stamp.
    pub(crate) fn settle(&mut self, account: &Name, expected_us: u64, took_us: u64) {
        if let Some(requested_us) = self.requested_us.get_mut(account) {
            *requested_us = (*requested_us + took_us).saturating_sub(expected_us);
        }
    }
}
