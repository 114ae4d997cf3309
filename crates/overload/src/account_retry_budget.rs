//! How often operations are tried again, over all hops.
//!
//! Entry, owner and detour could each try again what the one before them tried again, and three tries at three hops are 27. So only
//! the entry tries again, what it sends says how often it was tried, and tries that follow a refusal for want of room are paid for by
//! successes, as the retry quota of the AWS SDKs and Finagle's retry budget have it.

use std::{collections::HashMap, sync::Arc};

use crate::rank::{RANKS, Rank};

/// Hundredths of a try that a success pays for: under lasting overload every tenth operation may be tried again.
const TOKENS_PER_SUCCESS: u32 = 10;
/// Hundredths of a try that one try costs.
const TOKENS_PER_RETRY: u32 = 100;
/// Tries saved up at most by an account at a rank, which serve a short disturbance after a calm time.
const MAX_TOKENS: u32 = 5 * TOKENS_PER_RETRY;
/// How often an operation is sent at the most, over all hops. Each further one finds the same servers in the same trouble.
const MAX_ATTEMPTS: u32 = 3;
/// Accounts that are remembered; beyond that the saved tries of all begin anew.
const MAX_ACCOUNTS: usize = 4_096;

/// Why an operation is to be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The path failed, and the operation was not run: another path may be free.
    Path,
    /// There was no room for it: another try takes room from others.
    NoRoom,
}

impl RetryCause {
    /// Returns the word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryCause::Path => "path",
            RetryCause::NoRoom => "no_room",
        }
    }
}

/// Tries that are left to accounts, by rank.
#[derive(Clone, Debug, Default)]
pub struct AccountRetryBudget {
    tokens: HashMap<Arc<str>, [u32; RANKS]>,
}

impl AccountRetryBudget {
    /// Counts an operation that was served.
    pub fn on_success(&mut self, account: &Arc<str>, rank: Rank) {
        let tokens = self.tokens_of(account, rank);
        *tokens = (*tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Whether an operation that has been sent `sent` times may be sent once more.
    pub fn may_retry(
        &mut self,
        account: &Arc<str>,
        rank: Rank,
        sent: u32,
        cause: RetryCause,
    ) -> bool {
        if sent == 0 {
            return true;
        }
        if sent >= MAX_ATTEMPTS {
            return false;
        }
        if cause == RetryCause::Path && sent == 1 {
            return true;
        }
        let tokens = self.tokens_of(account, rank);
        if *tokens < TOKENS_PER_RETRY {
            return false;
        }
        *tokens -= TOKENS_PER_RETRY;
        true
    }

    fn tokens_of(&mut self, account: &Arc<str>, rank: Rank) -> &mut u32 {
        if self.tokens.len() >= MAX_ACCOUNTS && !self.tokens.contains_key(account) {
            self.tokens.clear();
        }
        let tokens = self.tokens.entry(account.clone()).or_insert([MAX_TOKENS; RANKS]);
        &mut tokens[rank.index()]
    }
}
