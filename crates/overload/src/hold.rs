//! Decides whether a statement is held until the end of an outage, such as a change of primary.
//!
//! A statement that is refused shortly before the end of an outage wastes one of its caller's few retries; one that
//! is held and then refused loses time in which another daemon could answer it. So a statement is held only if the
//! outage is expected, by the lengths of earlier ones, to end within the statement's limits.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::rank::Rank;

/// Number of past outages remembered per kind: enough for a median, and few enough to follow changes.
const HISTORY_LENGTH: usize = 16;
/// Maximum hold time, as a share of the timeout, while the primary is being replaced. Below one half, so that a
/// caller can still retry before its deadline.
const IN_PROGRESS_TIMEOUT_SHARE: f64 = 0.45;
/// Maximum hold time, as a share of the latency target, while the end of the outage is uncertain. Another daemon can
/// then still answer within the target.
const UNCERTAIN_TARGET_SHARE: f64 = 0.25;
/// The same as a share of the timeout; the shorter of the two applies.
const UNCERTAIN_TIMEOUT_SHARE: f64 = 0.1;
/// Maximum time since the last observation of an outage for its end to be known precisely.
const MAX_UNOBSERVED: Duration = Duration::from_millis(250);
/// Time without observations after which a further outage of the same kind counts as a new one.
const SAME_OUTAGE_WITHIN: Duration = Duration::from_secs(2);
/// Minimum wait before the remaining time is estimated again.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// The release of held statements is spread over this share of the latency target; the rest is left for the servers
/// to answer.
const RELEASE_TARGET_SHARE: f64 = 0.25;

/// The kind of an outage, which is why a statement can't run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// A working primary is being replaced.
    PlannedChange,
    /// A failed primary is being replaced.
    Failover,
    /// This daemon's lease on the primary has lapsed and was not renewed.
    LapsedLease,
    /// The primary does not answer this daemon, and is not being replaced.
    Unreachable,
}

impl Outage {
    const COUNT: usize = 4;

    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outage::PlannedChange => "planned_change",
            Outage::Failover => "failover",
            Outage::LapsedLease => "lapsed_right",
            Outage::Unreachable => "unreachable",
        }
    }

    /// Returns the typical length, which counts like one recorded outage.
    fn typical_length(self) -> Duration {
        Duration::from_millis(match self {
            Outage::PlannedChange => 800,
            Outage::Failover => 2_000,
            Outage::LapsedLease => 200,
            Outage::Unreachable => 500,
        })
    }

    /// Whether the primary is being replaced, so that the outage ends by itself.
    fn is_in_progress(self) -> bool {
        matches!(self, Outage::PlannedChange | Outage::Failover)
    }
}

/// The lengths of past outages, by kind.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    lengths: [VecDeque<Duration>; Outage::COUNT],
}

impl OutageHistory {
    /// Records the length of an outage that has ended.
    pub fn record(&mut self, outage: Outage, length: Duration) {
        let lengths = &mut self.lengths[outage as usize];
        if lengths.len() == HISTORY_LENGTH {
            lengths.pop_front();
        }
        lengths.push_back(length);
    }

    /// Returns the expected remaining time of an outage: the median of the past ones that lasted longer than it has
    /// so far, or its elapsed time if there are none.
    pub fn remaining(&self, outage: Outage, elapsed: Duration) -> Duration {
        let recorded = self.lengths[outage as usize].iter().copied();
        let mut longer: Vec<Duration> =
            recorded.chain([outage.typical_length()]).filter(|length| *length > elapsed).collect();
        longer.sort_unstable();
        match longer.get(longer.len() / 2) {
            Some(length) => *length - elapsed,
            None => elapsed,
        }
    }
}

/// An ongoing outage of one group, as seen by this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OngoingOutage {
    /// The kind of the outage.
    pub outage: Outage,
    /// When the outage began.
    pub began_at: Instant,
    observed_at: Instant,
}

impl OngoingOutage {
    /// Creates an outage that began at `began_at` and was detected at `now`.
    pub fn new(outage: Outage, began_at: Instant, now: Instant) -> OngoingOutage {
        OngoingOutage { outage, began_at: began_at.min(now), observed_at: now }
    }

    /// Records that the outage is still ongoing.
    pub fn observe(&mut self, now: Instant) {
        self.observed_at = now;
    }

    /// Whether an outage of this kind that is detected at `now` is the same outage.
    pub fn is_same(&self, outage: Outage, now: Instant) -> bool {
        let unobserved = now.saturating_duration_since(self.observed_at);
        self.outage == outage && unobserved < SAME_OUTAGE_WITHIN
    }

    /// Returns the elapsed time.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began_at)
    }

    /// Returns the length of the outage if it ended at `now`; `None` if it may have ended before, since it was not
    /// observed for too long.
    pub fn length(&self, now: Instant) -> Option<Duration> {
        let unobserved = now.saturating_duration_since(self.observed_at);
        (unobserved <= MAX_UNOBSERVED).then(|| self.elapsed(now))
    }
}

/// The limits that determine how long a statement may be held.
#[derive(Clone, Copy, Debug)]
pub struct HoldLimits {
    /// When the statement arrived.
    pub arrived: Instant,
    /// The route's latency target.
    pub target: Duration,
    /// The route's timeout.
    pub timeout: Duration,
}

impl HoldLimits {
    /// Returns the time until which the statement may be retried after a path failed.
    pub fn retry_deadline(&self) -> Instant {
        self.arrived + self.timeout.mul_f64(IN_PROGRESS_TIMEOUT_SHARE)
    }

    /// Returns the latest time at which the statement is released if the outage ended at `now`.
    pub fn release_deadline(&self, outage: Outage, now: Instant) -> Instant {
        self.hold_deadline(outage).min(now + self.target.mul_f64(RELEASE_TARGET_SHARE))
    }

    /// Returns the time until which the statement may wait for the end of an outage.
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

/// What to do with a statement that can't run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// Wait, and decide again at this time if the outage is still ongoing.
    Wait {
        /// The expected end of the outage.
        until: Instant,
    },
    /// Refuse the statement now.
    Refuse {
        /// The expected remaining time of the outage.
        remaining: Duration,
    },
}

/// Decides whether a statement waits for the end of an outage. `backlog` is the time that the statements queued
/// before it need.
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

/// Identifies a statement in a [`HoldQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: Rank,
    number: u64,
}

/// The statements of one group that wait for the end of an outage, the most urgent first. They are released one after
/// the other, at the rate at which the servers answer, so that urgent statements don't queue behind all others.
#[derive(Clone, Debug, Default)]
pub struct HoldQueue {
    next_number: u64,
    /// The waiting statements and their release times, if set.
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

    /// Removes a statement.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns the number of waiting statements.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no statement waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of statements ahead of a statement.
    pub fn ahead_of(&self, ticket: Ticket) -> usize {
        self.waiting.range(..ticket).count()
    }

    /// Returns when a statement is released after the end of the outage. Sets the release times of all waiting
    /// statements that have none, `interval` apart. The result is not later than `latest` unless that has passed.
    pub fn release_time(
        &mut self,
        ticket: Ticket,
        interval: Duration,
        latest: Instant,
        now: Instant,
    ) -> Instant {
        let mut release_at = now;
        for at in self.waiting.values_mut().filter(|at| at.is_none()) {
            *at = Some(release_at);
            release_at += interval;
        }
        self.waiting.get(&ticket).copied().flatten().unwrap_or(now).min(latest).max(now)
    }

    /// Clears the release times, because the group has an outage again.
    pub fn clear_release_times(&mut self) {
        self.waiting.values_mut().for_each(|at| *at = None);
    }
}
