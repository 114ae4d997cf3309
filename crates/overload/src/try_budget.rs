//! How often operations are tried again, over all hops.
//!
//! Entry, owner and detour could each try again what the one before them tried again, and three tries at three hops are 27. So only
//! the entry tries again, what it sends says how often it was tried, and tries that follow a refusal for want of room are paid for by
//! successes, as the retry quota of the AWS SDKs and Finagle's retry budget have it.

use std::{collections::HashMap, sync::Arc};

use crate::rank::{RANKS, Rank};

/// Hundredths of a try that a success pays for: under lasting overload every tenth operation may be tried again.
const EARNED_PER_SUCCESS: u32 = 10;
/// Hundredths of a try that one try costs.
const TRY: u32 = 100;
/// Tries saved up at most by an account at a rank, which serve a short disturbance after a calm time.
const MOST_SAVED: u32 = 5 * TRY;
/// How often an operation is sent at the most, over all hops. Each further one finds the same servers in the same trouble.
const MOST_SENT: u32 = 3;
/// Accounts that are remembered; beyond that the saved tries of all begin anew.
const MOST_ACCOUNTS: usize = 4_096;

/// Why an operation is to be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The path failed, and the operation was not run: another path may be free.
    Path,
    /// There was no room for it: another try takes room from others.
    NoRoom,
}

impl Cause {
    /// Returns the word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Path => "path",
            Cause::NoRoom => "no_room",
        }
    }
}

/// Tries that are left to accounts, by rank.
#[derive(Clone, Debug, Default)]
pub struct TryBudget {
    saved: HashMap<Arc<str>, [u32; RANKS]>,
}

impl TryBudget {
    /// Counts an operation that was served.
    pub fn on_success(&mut self, account: &Arc<str>, rank: Rank) {
        let saved = self.saved_of(account, rank);
        *saved = (*saved + EARNED_PER_SUCCESS).min(MOST_SAVED);
    }

    /// Whether an operation that has been sent `sent` times may be sent once more.
    pub fn may_send_again(
        &mut self,
        account: &Arc<str>,
        rank: Rank,
        sent: u32,
        cause: Cause,
    ) -> bool {
        if sent == 0 {
            return true;
        }
        if sent >= MOST_SENT {
            return false;
        }
        if cause == Cause::Path && sent == 1 {
            return true;
        }
        let saved = self.saved_of(account, rank);
        if *saved < TRY {
            return false;
        }
        *saved -= TRY;
        true
    }

    fn saved_of(&mut self, account: &Arc<str>, rank: Rank) -> &mut u32 {
        if self.saved.len() >= MOST_ACCOUNTS && !self.saved.contains_key(account) {
            self.saved.clear();
        }
        let saved = self.saved.entry(account.clone()).or_insert([MOST_SAVED; RANKS]);
        &mut saved[rank.index()]
    }
}
