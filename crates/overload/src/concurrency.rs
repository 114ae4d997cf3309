//! Limits how many statements are inside a server at a time.

use std::time::Duration;

use crate::rank::{RANKS, Rank};

/// One statement beyond the slots is admitted for this many slots. It waits inside the server, so that a slot is not
/// idle for the round trip between an answer and the next statement.
const SLOTS_PER_EXTRA_STATEMENT: u32 = 4;
/// Weight of a new sample in the moving average of service times.
const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// Relative increase of the minimum average with each finished statement, so that it follows a server whose
/// statements have become slower permanently.
const MINIMUM_DRIFT: f64 = 0.001;
/// Statements queue inside the server if their average time exceeds the minimum average by this factor.
const QUEUEING_RATIO: f64 = 2.0;
/// Another statement may be admitted if the average time is below the minimum average times this factor.
const HEADROOM_RATIO: f64 = 1.5;

/// Service times of one rank. Ranks differ in the work of their statements.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTimes {
    average_us: f64,
    min_us: f64,
}

/// A gradient limit on the statements inside a server: it falls when the service time rises, since statements that
/// queue inside the server are not ordered by priority.
///
/// The limit never falls below the daemon's share of the server's slots, since a slow statement can't be distinguished
/// from a queued one.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    slots: u32,
    min_limit: u32,
    limit: u32,
    times: [ServiceTimes; RANKS],
    finished: u32,
}

impl ConcurrencyLimit {
    /// Creates the limit for a server with this number of slots, whose callers are distributed over `owners` queues.
    pub(crate) fn new(slots: u32, owners: u32) -> ConcurrencyLimit {
        let mut limit = ConcurrencyLimit {
            slots: 0,
            min_limit: 1,
            limit: 1,
            times: [ServiceTimes::default(); RANKS],
            finished: 0,
        };
        limit.set(slots, owners);
        limit
    }

    pub(crate) fn set(&mut self, slots: u32, owners: u32) {
        let slots = slots.max(1);
        if self.slots != slots {
            self.slots = slots;
            self.limit = self.max_limit();
        }
        self.min_limit = slots.div_ceil(owners.max(1));
    }

    pub(crate) fn get(&self) -> u32 {
        self.limit.max(self.min_limit)
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the average service time of a rank, or the mean of the other ranks if it has no samples.
    pub(crate) fn expected_us(&self, rank: Rank) -> u64 {
        let average_us_of_rank = self.times[rank.index()].average_us;
        if average_us_of_rank > 0.0 {
            return average_us_of_rank as u64;
        }
        let measured = self.times.iter().map(|times| times.average_us).filter(|us| *us > 0.0);
        let (sum, count) = measured.fold((0.0, 0), |(sum, count), us| (sum + us, count + 1));
        if count == 0 { 0 } else { (sum / f64::from(count)) as u64 }
    }

    pub(crate) fn on_finished(&mut self, rank: Rank, took: Duration) {
        let took_us = took.as_micros() as f64;
        let times = &mut self.times[rank.index()];
        times.average_us = match times.average_us {
            0.0 => took_us,
            average => average + (took_us - average) * AVERAGE_WEIGHT,
        };
        times.min_us = match times.min_us {
            0.0 => times.average_us,
            min => times.average_us.min(min * (1.0 + MINIMUM_DRIFT)),
        };
        let ratio = times.average_us / times.min_us.max(1.0);
        self.finished += 1;
        if self.finished < self.limit {
            return;
        }
        self.finished = 0;
        if ratio > QUEUEING_RATIO {
            self.limit = (self.limit - 1).max(self.min_limit);
        } else if ratio < HEADROOM_RATIO {
            self.limit = (self.limit + 1).min(self.max_limit());
        }
    }

    fn max_limit(&self) -> u32 {
        self.slots + self.slots.div_ceil(SLOTS_PER_EXTRA_STATEMENT)
    }
}
