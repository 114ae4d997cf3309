//! The outage of one group as seen by this daemon, and the statements held until its end.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use overload::{
    Rank,
    hold::{HoldQueue, OngoingOutage, Outage, OutageHistory, Ticket},
    retry_delay::RetryDelay,
};

use crate::control::control_view::ControlView;

#[derive(Default)]
pub(crate) struct GroupOutage {
    pub(crate) ongoing: Cell<Option<OngoingOutage>>,
    /// The expected total length of the outage, estimated when it was detected.
    pub(crate) expected: Cell<Duration>,
    pub(crate) queue: RefCell<HoldQueue>,
}

/// A held statement in the queue of a group; dropping it removes the statement from the queue.
pub(crate) struct QueuedStatement<'a> {
    outage: &'a GroupOutage,
    ticket: Ticket,
}

impl GroupOutage {
    pub(crate) fn enqueue(&self, rank: Rank) -> QueuedStatement<'_> {
        QueuedStatement { outage: self, ticket: self.queue.borrow_mut().enqueue(rank) }
    }

    /// Records that an outage of this kind is ongoing. If it was not known before, it began at `began_at`.
    pub(crate) fn observe(
        &self,
        outage: Outage,
        began_at: Instant,
        history: &OutageHistory,
        now: Instant,
    ) -> OngoingOutage {
        let known = self.ongoing.get().filter(|known| known.is_same(outage, now));
        let mut ongoing = known.unwrap_or_else(|| {
            let new = OngoingOutage::new(outage, began_at, now);
            let elapsed = new.elapsed(now);
            self.expected.set(elapsed + history.remaining(outage, elapsed));
            new
        });
        ongoing.observe(now);
        self.ongoing.set(Some(ongoing));
        self.queue.borrow_mut().clear_release_times();
        ongoing
    }
}

impl QueuedStatement<'_> {
    /// Returns how many held statements continue before this one.
    pub(crate) fn ahead(&self) -> u32 {
        self.outage.queue.borrow().ahead_of(self.ticket) as u32
    }

    /// Returns when the statement may continue after a primary has become usable.
    pub(crate) fn resume_at(&self, interval: Duration, latest: Instant, now: Instant) -> Instant {
        self.outage.queue.borrow_mut().release_time(self.ticket, interval, latest, now)
    }
}

impl Drop for QueuedStatement<'_> {
    fn drop(&mut self) {
        self.outage.queue.borrow_mut().remove(self.ticket);
    }
}

/// Returns why no primary is usable, and since when; `now` if the start is unknown.
pub(crate) fn outage_of(view: &ControlView, service: &str, now: Instant) -> (Outage, Instant) {
    match view.leaders.get(service) {
        Some(leader) if leader.is_valid(now) => (Outage::Unreachable, now),
        Some(leader) if leader.planned => (Outage::PlannedChange, now),
        Some(leader) if leader.changing => (Outage::Failover, now),
        Some(leader) => (Outage::LapsedLease, leader.valid_until),
        None => (Outage::LapsedLease, now),
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct OutageForecast {
    pub(crate) outage: Outage,
    pub(crate) elapsed: Duration,
    pub(crate) remaining: Duration,
}

impl OutageForecast {
    /// Returns the retry delay for a refused caller: until the expected end of the outage, or until it should
    /// try another daemon.
    pub(crate) fn retry_delay(
        &self,
        route: RetryDelay,
        history: &OutageHistory,
        primary_lease: Duration,
    ) -> Duration {
        let draw = rand::random();
        if self.outage != Outage::LapsedLease {
            return route.for_wait(self.remaining, draw);
        }
        // The daemons that still reach the store and the servers replace the primary once every lease has expired.
        let replaced_after = primary_lease + history.remaining(Outage::Failover, Duration::ZERO);
        let until_replaced = replaced_after.saturating_sub(self.elapsed);
        match self.remaining.min(until_replaced) {
            expected if expected > route.target => route.for_wait(expected, draw),
            _ => route.for_other_daemon(draw),
        }
    }
}
