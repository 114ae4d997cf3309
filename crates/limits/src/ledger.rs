//! What the keeper has lent of each account's limit.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

use crate::{budget::Budget, election::ElectionState};

/// How long a daemon is told to wait at the least when nothing is left: a flood is refused by the daemon that it
/// reaches meanwhile, without a question.
const MIN_WAIT: Duration = Duration::from_millis(40);
/// The longest such wait, so that a limit that is raised is felt soon.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// What a daemon asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The daemon's host.
    pub host: Name,
    /// Operations that it still holds.
    pub unused: u32,
    /// Operations that it wants.
    pub wanted: u32,
}

/// What it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// So many operations.
    Granted(u32),
    /// Nothing is left; it may ask again after this time.
    Exhausted(Duration),
    /// This daemon is not the keeper.
    NotCoordinator,
}

/// What is lent of all accounts' limits.
#[derive(Default)]
pub struct Ledger {
    accounts: HashMap<Name, AccountLedger>,
    /// The term of keeping that the entries are of; a new one begins with nothing saved up.
    term: u64,
}

struct AccountLedger {
    tokens: f64,
    refilled_at: Instant,
    outstanding: HashMap<Name, (u32, Instant)>,
    /// Operations that were lent without a proved keeper and still count, and when that was worked out.
    provisional: f64,
    provisional_at: Instant,
}

impl Ledger {
    /// Lends what there is of an account's limit; what is lent ends `lasts` after now at the latest.
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
    /// Forgets what was saved up and lent: it was another keeper's, or that of a time before another one's. What was
    /// lent without a keeper still counts.
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
        let saved = now.saturating_duration_since(from).as_secs_f64() * budget.rate_per_s;
        self.refilled_at = now.max(from);
        self.outstanding.retain(|_, (_, until)| *until > now);
        // What is held was lent, so it can't be more than that.
        let granted = self.outstanding.remove(&request.host).map_or(0, |(count, _)| count);
        let kept = request.unused.min(granted);
        self.tokens = (self.tokens + saved).min(budget.burst.max(1.0));
        let outstanding = kept + self.outstanding.values().map(|(count, _)| *count).sum::<u32>();
        let room = (budget.outstanding - f64::from(outstanding)).max(0.0);
        let count = self.tokens.min(room).min(f64::from(request.wanted)).floor();
        let count = if count < 1.0 { 0 } else { count as u32 };
        if kept + count > 0 {
            self.outstanding.insert(request.host.clone(), (kept + count, now + lifetime));
        }
        if count == 0 {
            return Grant::Exhausted(self.time_until_one(budget, outstanding));
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
        let most = budget.provisional * share;
        let passed = now.saturating_duration_since(self.provisional_at).as_secs_f64();
        let forgotten = most * passed / budget.window.as_secs_f64();
        self.provisional = (self.provisional - forgotten).max(0.0);
        self.provisional_at = now;
        let left = most - self.provisional;
        let count = left.min(f64::from(request.wanted)).floor();
        if count < 1.0 {
            return Grant::Exhausted(MIN_WAIT * 4);
        }
        self.provisional += count;
        Grant::Granted(count as u32)
    }

    /// Returns when there may be something for one more daemon, after those that wait already.
    fn time_until_one(&self, budget: &Budget, outstanding: u32) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let seconds = missing / budget.rate_per_s.max(0.001);
        // Whoever holds something is about to ask again too.
        let others = f64::from(outstanding.min(8)) / budget.rate_per_s.max(0.001);
        let seconds = (seconds + others).min(MAX_WAIT.as_secs_f64());
        Duration::from_secs_f64(seconds).max(MIN_WAIT)
    }
}
