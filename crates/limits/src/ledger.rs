//! The coordinator's record of granted quota.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

use crate::{budget::Budget, election::ElectionState};

/// Minimum wait before a daemon may request quota again. Until then it refuses operations without another request.
const MIN_WAIT: Duration = Duration::from_millis(40);
/// Maximum wait before a daemon may request quota again, so that a raised limit takes effect soon.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// A daemon's request for quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The daemon's host.
    pub host: Name,
    /// Granted operations that it has not used.
    pub unused: u32,
    /// The number of operations that it requests.
    pub wanted: u32,
}

/// The answer to a quota request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The number of granted operations.
    Granted(u32),
    /// Nothing is left; the daemon may request again after this time.
    Exhausted(Duration),
    /// This daemon is not the coordinator.
    NotCoordinator,
}

/// The granted quota of all accounts.
#[derive(Default)]
pub struct Ledger {
    accounts: HashMap<Name, AccountLedger>,
    /// The term of the entries. A new term starts without saved tokens.
    term: u64,
}

struct AccountLedger {
    tokens: f64,
    refilled_at: Instant,
    outstanding: HashMap<Name, (u32, Instant)>,
    /// Operations granted without an elected coordinator that still count, and when that number was computed.
    provisional: f64,
    provisional_at: Instant,
}

impl Ledger {
    /// Grants what is left of an account's limit. The grant expires after `lifetime` at the latest.
    pub fn grant(
        &mut self,
        account: &Name,
        budget: &Budget,
        request: &QuotaRequest,
        state: ElectionState,
        lifetime: Duration,
        now: Instant,
    ) -> Grant {
        let (term, since) = match state {
            ElectionState::Coordinator { term, since }
            | ElectionState::Partial { term, since, .. } => (term, since),
            ElectionState::Candidate { term, .. } => (term, now),
            ElectionState::None => return Grant::NotCoordinator,
        };
        if term != self.term {
            for ledger in self.accounts.values_mut() {
                ledger.begin_term();
            }
            self.term = term;
        }
        let ledger = self.accounts.entry(account.clone()).or_insert_with(|| AccountLedger {
            tokens: 0.0,
            refilled_at: since,
            outstanding: HashMap::new(),
            provisional: 0.0,
            provisional_at: now,
        });
        match state {
            ElectionState::Candidate { share, .. } => {
                ledger.grant_provisionally(budget, request, share, now)
            }
            ElectionState::Partial { share, .. } => {
                ledger.grant(&budget.scaled(share), request, since, lifetime, now)
            }
            _ => ledger.grant(budget, request, since, lifetime, now),
        }
    }
}

impl AccountLedger {
    /// Drops the tokens and grants of the previous term. Provisional grants still count.
    fn begin_term(&mut self) {
        self.tokens = 0.0;
        self.outstanding.clear();
    }

    fn grant(
        &mut self,
        budget: &Budget,
        request: &QuotaRequest,
        since: Instant,
        lifetime: Duration,
        now: Instant,
    ) -> Grant {
        let from = self.refilled_at.max(since);
        let refilled = now.saturating_duration_since(from).as_secs_f64() * budget.rate_per_s;
        self.refilled_at = now.max(from);
        self.outstanding.retain(|_, (_, until)| *until > now);
        // The daemon can't hold more than it was granted.
        let granted = self.outstanding.remove(&request.host).map_or(0, |(count, _)| count);
        let kept = request.unused.min(granted);
        self.tokens = (self.tokens + refilled).min(budget.burst.max(1.0));
        let outstanding = kept + self.outstanding.values().map(|(count, _)| *count).sum::<u32>();
        let grantable = (budget.outstanding - f64::from(outstanding)).max(0.0);
        let count = self.tokens.min(grantable).min(f64::from(request.wanted)).floor();
        let count = if count < 1.0 { 0 } else { count as u32 };
        if kept + count > 0 {
            self.outstanding.insert(request.host.clone(), (kept + count, now + lifetime));
        }
        if count == 0 {
            return Grant::Exhausted(self.expected_wait(budget, outstanding));
        }
        self.tokens -= f64::from(count);
        Grant::Granted(count)
    }

    fn grant_provisionally(
        &mut self,
        budget: &Budget,
        request: &QuotaRequest,
        share: f64,
        now: Instant,
    ) -> Grant {
        let max_provisional = budget.provisional * share;
        let elapsed = now.saturating_duration_since(self.provisional_at).as_secs_f64();
        let expired = max_provisional * elapsed / budget.window.as_secs_f64();
        self.provisional = (self.provisional - expired).max(0.0);
        self.provisional_at = now;
        let left = max_provisional - self.provisional;
        let count = left.min(f64::from(request.wanted)).floor();
        if count < 1.0 {
            return Grant::Exhausted(MIN_WAIT * 4);
        }
        self.provisional += count;
        Grant::Granted(count as u32)
    }

    /// Returns the expected time until the requesting daemon can be granted an operation, if the daemons that hold
    /// quota request more first.
    fn expected_wait(&self, budget: &Budget, outstanding: u32) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let seconds = missing / budget.rate_per_s.max(0.001);
        // Daemons that hold quota request more before it is used up.
        let others = f64::from(outstanding.min(8)) / budget.rate_per_s.max(0.001);
        let seconds = (seconds + others).min(MAX_WAIT.as_secs_f64());
        Duration::from_secs_f64(seconds).max(MIN_WAIT)
    }
}
