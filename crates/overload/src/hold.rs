//! Whether a statement waits for something that is known to come, such as the next primary, and for how long.
//!
//! A caller has few tries. One that is refused while its server is about to be back spends a try on nothing; one that is held
//! although nothing comes loses time in which another daemon could answer it. So a statement waits only while the end, as
//! earlier outages suggest it, lies within what its caller bears, and is else refused at once.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::rank::Rank;

/// Outages of a kind that are remembered: enough for a median, few enough to follow a change of conditions.
const HISTORY_LENGTH: usize = 16;
/// The part of a route's time that a statement may wait while something is under way that ends by itself. Under half, so that a
/// caller whose own deadline is near can still be served after a refusal.
const IN_PROGRESS_TIMEOUT_SHARE: f64 = 0.45;
/// The part of its latency target that a statement waits for what may come or not: its caller can still be answered within the
/// target elsewhere.
const UNCERTAIN_TARGET_SHARE: f64 = 0.25;
/// The same as a part of its route's time, for routes with a target that is no shorter than that.
const UNCERTAIN_TIMEOUT_SHARE: f64 = 0.1;
/// How long an outage may go unobserved before its end: one that ended later by that much tells nothing of its length.
const MAX_UNOBSERVED: Duration = Duration::from_millis(250);
/// How long an outage may go unobserved until the next one that is found counts as another one: callers of a daemon ask for most
/// groups more often than that.
const SAME_OUTAGE_WITHIN: Duration = Duration::from_secs(2);
/// The shortest time after which an estimate is looked at again.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Over how much of their latency target those are released that waited; the rest is for the servers to answer in.
const RELEASE_TARGET_SHARE: f64 = 0.25;

/// Why a statement can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// A primary that works is being replaced.
    PlannedChange,
    /// A primary that failed is being replaced.
    Failover,
    /// The right to use the primary ended here and could not be renewed.
    LapsedLease,
    /// The primary does not answer here, and nobody has begun to replace it.
    Unreachable,
}

impl Outage {
    const COUNT: usize = 4;

    /// Returns the word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Outage::PlannedChange => "planned_change",
            Outage::Failover => "failover",
            Outage::LapsedLease => "lapsed_right",
            Outage::Unreachable => "unreachable",
        }
    }

    /// How long one takes, as far as can be said before any was seen: the steps of a change are some round trips to the store
    /// and to the servers, and a promotion; a lapsed right is mostly renewed with the next reading.
    fn default_length(self) -> Duration {
        Duration::from_millis(match self {
            Outage::PlannedChange => 800,
            Outage::Failover => 2_000,
            Outage::LapsedLease => 200,
            Outage::Unreachable => 500,
        })
    }

    /// Whether somebody works on its end, so that waiting has a prospect at this daemon.
    fn is_in_progress(self) -> bool {
        matches!(self, Outage::PlannedChange | Outage::Failover)
    }
}

/// How long outages took, by kind.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    lengths: [VecDeque<Duration>; Outage::COUNT],
}

impl OutageHistory {
    /// Counts an outage that has ended.
    pub fn record(&mut self, outage: Outage, length: Duration) {
        let lengths = &mut self.lengths[outage as usize];
        if lengths.len() == HISTORY_LENGTH {
            lengths.pop_front();
        }
        lengths.push_back(length);
    }

    /// Returns how much longer an outage is expected to last: the median of those that took longer than this one has so far, or
    /// as long again where none did.
    pub fn remaining(&self, outage: Outage, elapsed: Duration) -> Duration {
        let seen = self.lengths[outage as usize].iter().copied();
        let mut longer: Vec<Duration> =
            seen.chain([outage.default_length()]).filter(|length| *length > elapsed).collect();
        longer.sort_unstable();
        match longer.get(longer.len() / 2) {
            Some(length) => *length - elapsed,
            None => elapsed,
        }
    }
}

/// An outage that is under way, as one daemon sees it in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OngoingOutage {
    /// What is missing.
    pub outage: Outage,
    /// Since when.
    pub began_at: Instant,
    observed_at: Instant,
}

impl OngoingOutage {
    /// One that began at `began_at` and was found at `now`.
    pub fn new(outage: Outage, began_at: Instant, now: Instant) -> OngoingOutage {
        OngoingOutage { outage, began_at: began_at.min(now), observed_at: now }
    }

    /// Notes that it still lasts.
    pub fn observe(&mut self, now: Instant) {
        self.observed_at = now;
    }

    /// Whether what is found now is still the same one.
    pub fn is_same(&self, outage: Outage, now: Instant) -> bool {
        let unobserved = now.saturating_duration_since(self.observed_at);
        self.outage == outage && unobserved < SAME_OUTAGE_WITHIN
    }

    /// Returns how long it has lasted.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began_at)
    }

    /// Returns how long it took if it ended at `now`; `None` if nobody looked for so long that it may have ended before.
    pub fn length(&self, now: Instant) -> Option<Duration> {
        let unobserved = now.saturating_duration_since(self.observed_at);
        (unobserved <= MAX_UNOBSERVED).then(|| self.elapsed(now))
    }
}

/// What a statement bears.
#[derive(Clone, Copy, Debug)]
pub struct HoldLimits {
    /// When it arrived.
    pub arrived: Instant,
    /// The latency that its route aims at.
    pub target: Duration,
    /// How long its answer is of use.
    pub timeout: Duration,
}

impl HoldLimits {
    /// Returns until when the statement may be sent once more after a path failed: another one may be free at once.
    pub fn retry_deadline(&self) -> Instant {
        self.arrived + self.timeout.mul_f64(IN_PROGRESS_TIMEOUT_SHARE)
    }

    /// Returns until when the statement may wait for its turn, once the outage ended at `now`.
    pub fn release_deadline(&self, outage: Outage, now: Instant) -> Instant {
        self.hold_deadline(outage).min(now + self.target.mul_f64(RELEASE_TARGET_SHARE))
    }

    /// Returns until when the statement may wait for the end of an outage.
    pub fn hold_deadline(&self, outage: Outage) -> Instant {
        let max_wait = match outage.is_in_progress() {
            true => self.timeout.mul_f64(IN_PROGRESS_TIMEOUT_SHARE),
            false => {
                let of_target = self.target.mul_f64(UNCERTAIN_TARGET_SHARE);
                of_target.min(self.timeout.mul_f64(UNCERTAIN_TIMEOUT_SHARE))
            }
        };
        self.arrived + max_wait
    }
}

/// What to do with a statement that can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// Wait, and ask again at this time if nothing has come.
    Wait {
        /// When the outage is expected to be over.
        until: Instant,
    },
    /// Refuse it now.
    Refuse {
        /// How much longer the outage is expected to last.
        remaining: Duration,
    },
}

/// Decides whether a statement waits for the end of an outage. `backlog` is how long those take that waited before it.
pub fn decide(
    history: &OutageHistory,
    ongoing: &OngoingOutage,
    limits: &HoldLimits,
    backlog: Duration,
    now: Instant,
) -> HoldDecision {
    let remaining = history.remaining(ongoing.outage, ongoing.elapsed(now));
    let deadline = limits.hold_deadline(ongoing.outage);
    if now + remaining + backlog > deadline {
        return HoldDecision::Refuse { remaining };
    }
    HoldDecision::Wait { until: (now + remaining.max(MIN_WAIT)).min(deadline) }
}

/// A place in a [`HoldQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: Rank,
    number: u64,
}

/// Statements of one group that wait for the same thing, the most urgent first. When it comes they go one after the other, as
/// fast as the servers answer, so that the most urgent ones don't meet a queue of all others.
#[derive(Clone, Debug, Default)]
pub struct HoldQueue {
    next_number: u64,
    /// Who waits, and when those go that may go.
    waiting: BTreeMap<Ticket, Option<Instant>>,
}

impl HoldQueue {
    /// Adds a statement.
    pub fn enqueue(&mut self, rank: Rank) -> Ticket {
        let ticket = Ticket { rank, number: self.next_number };
        self.next_number += 1;
        self.waiting.insert(ticket, None);
        ticket
    }

    /// Takes a statement out, whether it goes on or not.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many wait that go before a statement.
    pub fn ahead_of(&self, ticket: Ticket) -> usize {
        self.waiting.range(..ticket).count()
    }

    /// Returns when a statement goes, now that what all wait for has come. All that wait at this time get their turns with the
    /// first that asks, `pace` apart; none goes later than at `latest`.
    pub fn release_time(
        &mut self,
        ticket: Ticket,
        pace: Duration,
        latest: Instant,
        now: Instant,
    ) -> Instant {
        let mut turn = now;
        for at in self.waiting.values_mut().filter(|at| at.is_none()) {
            *at = Some(turn);
            turn += pace;
        }
        self.waiting.get(&ticket).copied().flatten().unwrap_or(now).min(latest).max(now)
    }

    /// What all wait for has gone again: who still waits has no turn any more.
    pub fn clear_release_times(&mut self) {
        self.waiting.values_mut().for_each(|at| *at = None);
    }
}
