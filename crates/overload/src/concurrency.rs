//! How many statements are kept inside a server at a time.

use std::time::Duration;

use crate::rank::{RANKS, Rank};

/// One more statement is kept inside for so many slots: an answer and the next statement need a round trip, in which a slot
/// would stand empty.
const SLOTS_PER_SPARE: u32 = 4;
/// Each finished statement moves an average by one part in so many.
const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// The least average is forgotten by this part with each finished statement, so that it follows a server whose work has
/// become heavier for good.
const MINIMUM_DRIFT: f64 = 0.001;
/// Statements take so many times their least average once they queue inside the server.
const QUEUEING_RATIO: f64 = 2.0;
/// Below so many times there is room inside for one more.
const HEADROOM_RATIO: f64 = 1.5;

/// The times of one rank's statements, which differ in work from those of others.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTimes {
    average_us: f64,
    min_us: f64,
}

/// A limit that follows the answering time, as gradient limits do: what queues inside a server waits where no order counts.
///
/// It never falls below the daemon's part of the slots that the server says it has, since a statement that is slow by itself
/// looks like one that queues.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    slots: u32,
    min_limit: u32,
    limit: u32,
    times: [ServiceTimes; RANKS],
    finished: u32,
}

impl ConcurrencyLimit {
    /// Makes one for a server that runs `slots` statements at a time, whose callers are spread over `owners` queues.
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

    /// Takes over the slots and over how many queues its callers are spread.
    pub(crate) fn set(&mut self, slots: u32, owners: u32) {
        let slots = slots.max(1);
        if self.slots != slots {
            self.slots = slots;
            self.limit = self.max_limit();
        }
        self.min_limit = slots.div_ceil(owners.max(1));
    }

    /// Returns the limit.
    pub(crate) fn get(&self) -> u32 {
        self.limit.max(self.min_limit)
    }

    /// Returns the server's slots.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how long a statement of a rank takes on average; that of any rank where none of it was seen.
    pub(crate) fn expected_us(&self, rank: Rank) -> u64 {
        let own = self.times[rank.index()].average_us;
        if own > 0.0 {
            return own as u64;
        }
        let known = self.times.iter().map(|times| times.average_us).filter(|us| *us > 0.0);
        let (sum, count) = known.fold((0.0, 0), |(sum, count), us| (sum + us, count + 1));
        if count == 0 { 0 } else { (sum / f64::from(count)) as u64 }
    }

    /// Notes how long a statement took.
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
        self.slots + self.slots.div_ceil(SLOTS_PER_SPARE)
    }
}
