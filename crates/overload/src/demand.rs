//! Which accounts ask for so much of one server that others would pay for it.

use std::time::{Duration, Instant};

use model::Name;

use crate::decaying::DecayingSums;

/// What an account asked counts for half after so long: many statements of a busy account, and a burst is over soon after it
/// ends.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// An account is heavy only if it asks for more than one part in so many of the server.
const HEAVY_SLOTS_DIVISOR: f64 = 4.0;
/// And for more than so many times what accounts ask on average: where all ask for much, none is to blame.
const HEAVY_MEAN_FACTOR: f64 = 3.0;
/// Microseconds of work: an account of which less is left counts as not asking.
const NEGLIGIBLE_US: f64 = 1_000.0;

/// The work that each account asked for lately.
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
    /// Notes that an account asks for some work, and returns whether it is heavy for a server of so many slots.
    pub(crate) fn add(&mut self, account: &Name, work_us: u64, slots: u32, now: Instant) -> bool {
        let requested_us = self.requested_us.add(account, work_us as f64, now);
        // What a steady rate of work adds up to while it fades.
        let slot_us = HALF_LIFE.as_micros() as f64 / std::f64::consts::LN_2;
        let is_large_share = requested_us * HEAVY_SLOTS_DIVISOR > slot_us * f64::from(slots);
        is_large_share
            && requested_us > self.requested_us.mean_above(NEGLIGIBLE_US, now) * HEAVY_MEAN_FACTOR
    }
}
