//! Fair queueing among the accounts that compete for a server.

use std::collections::HashMap;

use model::Name;

/// Number of accounts above which those without outstanding work are dropped.
const MAX_ACCOUNTS: usize = 1_024;

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996): each statement is tagged with the work that its account has
/// requested so far, and the smallest tag goes first.
///
/// Like deficit round robin, it shares work rather than statements, but it needs no quantum. A statement of an account
/// that sends few statements is tagged with the virtual time, and starts before those of accounts that requested more.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    virtual_time_us: u64,
    requested_us: HashMap<Name, u64>,
}

impl FairQueue {
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

    /// Advances the virtual time when a statement with this tag begins.
    pub(crate) fn on_begin(&mut self, start_tag: u64) {
        self.virtual_time_us = self.virtual_time_us.max(start_tag);
    }

    /// Corrects an account's requested work by the difference between the actual and the expected cost. The expected
    /// cost may have changed since the statement was tagged.
    pub(crate) fn settle(&mut self, account: &Name, expected_us: u64, took_us: u64) {
        if let Some(requested_us) = self.requested_us.get_mut(account) {
            *requested_us = (*requested_us + took_us).saturating_sub(expected_us);
        }
    }
}
