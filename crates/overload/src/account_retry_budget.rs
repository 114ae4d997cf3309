//! Retry budgets of client accounts.
//!
//! Retries at several hops multiply: three attempts at each of three hops are 27. So only the daemon that received a
//! statement retries it, and the statement carries its number of attempts. Retries after a refusal for lack of
//! capacity spend tokens that successes earn, as in the retry quota of the AWS SDKs and Finagle's retry budget.

use std::{collections::HashMap, sync::Arc};

use crate::rank::{RANKS, Rank};

/// Tokens earned by a success. Under sustained overload, this allows one retry for ten operations.
const TOKENS_PER_SUCCESS: u32 = 10;
const TOKENS_PER_RETRY: u32 = 100;
/// Maximum number of tokens of an account at a rank.
const MAX_TOKENS: u32 = 5 * TOKENS_PER_RETRY;
/// Maximum number of attempts of an operation, over all hops.
const MAX_ATTEMPTS: u32 = 3;
/// Number of accounts beyond which all budgets are reset.
const MAX_ACCOUNTS: usize = 4_096;

/// Why an operation is to be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The path failed before the operation was run; another path may work.
    Path,
    /// There was no capacity; a retry takes capacity from other operations.
    NoCapacity,
}

impl RetryCause {
    /// Returns the text used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryCause::Path => "path",
            RetryCause::NoCapacity => "no_room",
        }
    }
}

/// The remaining tokens of each account, by rank.
#[derive(Clone, Debug, Default)]
pub struct AccountRetryBudget {
    tokens: HashMap<Arc<str>, [u32; RANKS]>,
}

impl AccountRetryBudget {
    /// Records a successful operation.
    pub fn on_success(&mut self, account: &Arc<str>, rank: Rank) {
        let tokens = self.tokens_of(account, rank);
        *tokens = (*tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Whether an operation that has been sent `sent` times may be sent again. Spends the tokens for the retry.
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
