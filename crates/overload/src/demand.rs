//! Detects accounts whose demand on a server would slow down the other accounts.

use std::time::{Duration, Instant};

use model::Name;

use crate::decaying::DecayingSums;

/// Half-life of recorded demand: covers many statements of a busy account, and discounts a burst soon after its end.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// An account is heavy only if it requests more than this fraction (1/n) of the server.
const HEAVY_SLOTS_DIVISOR: f64 = 4.0;
/// An account is heavy only if it also requests more than this multiple of the mean, so that no account is heavy
/// while all of them request equally much.
const HEAVY_MEAN_FACTOR: f64 = 3.0;
/// Accounts with less recent work than this, in microseconds, don't count in the mean.
const NEGLIGIBLE_US: f64 = 1_000.0;

/// The work that each account requested recently.
#[derive(Debug)]
pub(crate) struct Demand {
    requested_us: DecayingSums,
}

impl Default for Demand {
    fn default() -> Demand {
        Demand { requested_us: DecayingSums::new(HALF_LIFE) }
    }
}

impl Demand {
    /// Records requested work and returns whether the account is heavy for a server with this number of slots.
    pub(crate) fn add(&mut self, account: &Name, work_us: u64, slots: u32, now: Instant) -> bool {
        let requested_us = self.requested_us.add(account, work_us as f64, now);
        // The decaying sum of a steady load that fills one slot.
        let slot_us = HALF_LIFE.as_micros() as f64 / std::f64::consts::LN_2;
        let is_large_share = requested_us * HEAVY_SLOTS_DIVISOR > slot_us * f64::from(slots);
        is_large_share
            && requested_us > self.requested_us.mean_above(NEGLIGIBLE_US, now) * HEAVY_MEAN_FACTOR
    }
}
