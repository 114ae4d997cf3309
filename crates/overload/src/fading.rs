//! What accounts did lately, where the past counts less and less.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

/// Accounts that are remembered before those that have faded are forgotten.
const MOST_REMEMBERED: usize = 1_024;
/// A sum below this part of what was added last, to any account, has faded.
const FADED_PART: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Sum {
    amount: f64,
    at: Instant,
}

/// A sum for each account that halves with time.
#[derive(Debug)]
pub(crate) struct FadingSums {
    halved_after: Duration,
    sums: HashMap<Name, Sum>,
}

impl FadingSums {
    /// Makes sums of which half is left after so long.
    pub(crate) fn new(halved_after: Duration) -> FadingSums {
        FadingSums { halved_after, sums: HashMap::new() }
    }

    /// Adds to an account's sum and returns it.
    pub(crate) fn add(&mut self, account: &str, added: f64, now: Instant) -> f64 {
        let amount = self.get(account, now) + added;
        self.sums.insert(Name::from(account), Sum { amount, at: now });
        if self.sums.len() > MOST_REMEMBERED {
            let halved_after = self.halved_after;
            let least = added * FADED_PART;
            self.sums.retain(|_, sum| sum.left(halved_after, now) > least);
        }
        amount
    }

    /// Returns what is left of an account's sum.
    pub(crate) fn get(&self, account: &str, now: Instant) -> f64 {
        self.sums.get(account).map_or(0.0, |sum| sum.left(self.halved_after, now))
    }

    /// Returns the mean of the accounts that have at least `least`.
    pub(crate) fn mean_above(&self, least: f64, now: Instant) -> f64 {
        let left = self.sums.values().map(|sum| sum.left(self.halved_after, now));
        let counted = left.filter(|amount| *amount > least);
        let (sum, count) = counted.fold((0.0, 0), |(sum, count), left| (sum + left, count + 1));
        sum / f64::from(count.max(1))
    }
}

impl Sum {
    fn left(&self, halved_after: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.amount * 0.5_f64.powf(age.as_secs_f64() / halved_after.as_secs_f64())
    }
}
