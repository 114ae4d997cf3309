//! Which accounts ask for so much of one server that others would pay for it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

/// What an account asked counts for half after so long: many statements of a busy account, and a burst is over soon after it
/// ends.
const HALVED_AFTER: Duration = Duration::from_secs(1);
/// An account is heavy only if it asks for more than one part in so many of the server.
const HEAVY_PART: f64 = 4.0;
/// And for more than so many times what accounts ask on average: where all ask for much, none is to blame.
const HEAVY_TIMES: f64 = 3.0;
/// Accounts that are remembered before those that asked long ago are forgotten.
const MOST_REMEMBERED: usize = 1_024;
/// Work that has faded to this is forgotten.
const FADED_US: f64 = 1_000.0;

#[derive(Clone, Copy, Debug)]
struct Asked {
    work_us: f64,
    at: Instant,
}

impl Asked {
    fn faded_us(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.work_us * 0.5_f64.powf(age.as_secs_f64() / HALVED_AFTER.as_secs_f64())
    }
}

/// The work that each account asked for lately.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    asked: HashMap<Name, Asked>,
}

impl Demand {
    /// Notes that an account asks for some work, and returns whether it is heavy for a server of so many slots.
    pub(crate) fn is_heavy(
        &mut self,
        account: &Name,
        work_us: u64,
        slots: u32,
        now: Instant,
    ) -> bool {
        let known_us = self.asked.get(account).map_or(0.0, |it| it.faded_us(now));
        let asked = Asked { work_us: known_us + work_us as f64, at: now };
        self.asked.insert(account.clone(), asked);
        if self.asked.len() > MOST_REMEMBERED {
            self.asked.retain(|_, it| it.faded_us(now) > FADED_US);
        }
        // What a steady rate of work adds up to while it fades.
        let slot_us = HALVED_AFTER.as_micros() as f64 / std::f64::consts::LN_2;
        let is_much = asked.work_us * HEAVY_PART > slot_us * f64::from(slots);
        is_much && asked.work_us > self.mean_us(now) * HEAVY_TIMES
    }

    fn mean_us(&self, now: Instant) -> f64 {
        let all = self.asked.values().map(|it| it.faded_us(now)).filter(|us| *us > FADED_US);
        let (sum, count) = all.fold((0.0, 0), |(sum, count), us| (sum + us, count + 1));
        sum / f64::from(count.max(1))
    }
}
