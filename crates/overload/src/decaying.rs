//! Sums per account that decay exponentially.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

/// Number of accounts above which negligible sums are dropped.
const MAX_ACCOUNTS: usize = 1_024;
/// A sum is negligible if it is below this share of the amount that is being added.
const NEGLIGIBLE_SHARE: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Sum {
    amount: f64,
    updated_at: Instant,
}

/// One exponentially decaying sum for each account.
#[derive(Debug)]
pub(crate) struct DecayingSums {
    half_life: Duration,
    sums: HashMap<Name, Sum>,
}

impl DecayingSums {
    pub(crate) fn new(half_life: Duration) -> DecayingSums {
        DecayingSums { half_life, sums: HashMap::new() }
    }

    pub(crate) fn add(&mut self, account: &str, added: f64, now: Instant) -> f64 {
        let amount = self.get(account, now) + added;
        self.sums.insert(Name::from(account), Sum { amount, updated_at: now });
        if self.sums.len() > MAX_ACCOUNTS {
            let half_life = self.half_life;
            let minimum = added * NEGLIGIBLE_SHARE;
            self.sums.retain(|_, sum| sum.decayed(half_life, now) > minimum);
        }
        amount
    }

    pub(crate) fn get(&self, account: &str, now: Instant) -> f64 {
        self.sums.get(account).map_or(0.0, |sum| sum.decayed(self.half_life, now))
    }

    pub(crate) fn mean_above(&self, minimum: f64, now: Instant) -> f64 {
        let amounts = self.sums.values().map(|sum| sum.decayed(self.half_life, now));
        let counted = amounts.filter(|amount| *amount > minimum);
        let (sum, count) = counted.fold((0.0, 0), |(sum, count), amount| (sum + amount, count + 1));
        sum / f64::from(count.max(1))
    }
}

impl Sum {
    fn decayed(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.amount * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }
}
