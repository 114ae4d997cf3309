//! What the keeper has lent of each account's limit.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

use crate::{budget::Budget, election::ElectionState};

/// How long a daemon is told to wait at the least when nothing is left: a flood is refused by the daemon that it
/// reaches meanwhile, without a question.
const LEAST_WAIT: Duration = Duration::from_millis(40);
/// The longest such wait, so that a limit that is raised is felt soon.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);

/// What a daemon asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
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
    Lent(u32),
    /// Nothing is left; it may ask again after this time.
    Empty(Duration),
    /// This daemon is not the keeper.
    NotKeeper,
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
    out: HashMap<Name, (u32, Instant)>,
    /// Operations that were lent without a proved keeper and still count, and when that was worked out.
    provisional: f64,
    provisional_at: Instant,
}

impl Ledger {
    /// Lends what there is of an account's limit; what is lent ends `lasts` after now at the latest.
    pub fn lend(
        &mut self,
        account: &Name,
        budget: &Budget,
        wanted: &Wanted,
        state: ElectionState,
        lasts: Duration,
        now: Instant,
    ) -> Grant {
        let (term, since) = match state {
            ElectionState::Coordinator { term, since }
            | ElectionState::Partial { term, since, .. } => (term, since),
            ElectionState::Candidate { term, .. } => (term, now),
            ElectionState::None => return Grant::NotKeeper,
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
            out: HashMap::new(),
            provisional: 0.0,
            provisional_at: now,
        });
        match state {
            ElectionState::Candidate { share, .. } => {
                ledger.lend_provisionally(budget, wanted, share, now)
            }
            ElectionState::Partial { share, .. } => {
                ledger.lend(&budget.part(share), wanted, since, lasts, now)
            }
            _ => ledger.lend(budget, wanted, since, lasts, now),
        }
    }
}

impl AccountLedger {
    /// Forgets what was saved up and lent: it was another keeper's, or that of a time before another one's. What was
    /// lent without a keeper still counts.
    fn begin_term(&mut self) {
        self.tokens = 0.0;
        self.out.clear();
    }

    fn lend(
        &mut self,
        budget: &Budget,
        wanted: &Wanted,
        since: Instant,
        lasts: Duration,
        now: Instant,
    ) -> Grant {
        let from = self.refilled_at.max(since);
        let saved = now.saturating_duration_since(from).as_secs_f64() * budget.rate_per_s;
        self.refilled_at = now.max(from);
        self.out.retain(|_, (_, until)| *until > now);
        // What is held was lent, so it can't be more than that.
        let lent = self.out.remove(&wanted.host).map_or(0, |(count, _)| count);
        let kept = wanted.unused.min(lent);
        self.tokens = (self.tokens + saved).min(budget.burst.max(1.0));
        let out = kept + self.out.values().map(|(count, _)| *count).sum::<u32>();
        let room = (budget.outstanding - f64::from(out)).max(0.0);
        let count = self.tokens.min(room).min(f64::from(wanted.wanted)).floor();
        let count = if count < 1.0 { 0 } else { count as u32 };
        if kept + count > 0 {
            self.out.insert(wanted.host.clone(), (kept + count, now + lasts));
        }
        if count == 0 {
            return Grant::Empty(self.time_until_one(budget, out));
        }
        self.tokens -= f64::from(count);
        Grant::Lent(count)
    }

    fn lend_provisionally(
        &mut self,
        budget: &Budget,
        wanted: &Wanted,
        share: f64,
        now: Instant,
    ) -> Grant {
        let most = budget.provisional * share;
        let passed = now.saturating_duration_since(self.provisional_at).as_secs_f64();
        let forgotten = most * passed / budget.window.as_secs_f64();
        self.provisional = (self.provisional - forgotten).max(0.0);
        self.provisional_at = now;
        let left = most - self.provisional;
        let count = left.min(f64::from(wanted.wanted)).floor();
        if count < 1.0 {
            return Grant::Empty(LEAST_WAIT * 4);
        }
        self.provisional += count;
        Grant::Lent(count as u32)
    }

    /// Returns when there may be something for one more daemon, after those that wait already.
    fn time_until_one(&self, budget: &Budget, out: u32) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let seconds = missing / budget.rate_per_s.max(0.001);
        // Whoever holds something is about to ask again too.
        let others = f64::from(out.min(8)) / budget.rate_per_s.max(0.001);
        let seconds = (seconds + others).min(LONGEST_WAIT.as_secs_f64());
        Duration::from_secs_f64(seconds).max(LEAST_WAIT)
    }
}
