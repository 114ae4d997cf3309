//! The outage of one group, as this daemon sees it, and who waits for its end.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use overload::{
    Rank,
    come_back::ComeBack,
    hold::{OngoingOutage, Outage, OutageHistory, Ticket, WaitingLine},
};

use crate::control::control_view::ControlView;

/// The outage of one group, and who waits for its end.
#[derive(Default)]
pub(crate) struct GroupOutage {
    pub(crate) ongoing: Cell<Option<OngoingOutage>>,
    /// How long it was expected to take when it was found.
    pub(crate) expected: Cell<Duration>,
    pub(crate) line: RefCell<WaitingLine>,
}

/// A place in a group's line, which is left when this is dropped.
pub(crate) struct Place<'a> {
    outage: &'a GroupOutage,
    ticket: Ticket,
}

impl GroupOutage {
    /// Adds a statement to those that wait.
    pub(crate) fn join(&self, rank: Rank) -> Place<'_> {
        Place { outage: self, ticket: self.line.borrow_mut().join(rank) }
    }

    /// Notes that an outage of this kind lasts, since `began_at` if it is new.
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
        self.line.borrow_mut().close();
        ongoing
    }
}

impl Place<'_> {
    /// Returns how many go before.
    pub(crate) fn ahead(&self) -> u32 {
        self.outage.line.borrow().ahead_of(self.ticket) as u32
    }

    /// Returns when it goes on, now that there is a primary.
    pub(crate) fn turn(&self, pace: Duration, latest: Instant, now: Instant) -> Instant {
        self.outage.line.borrow_mut().turn(self.ticket, pace, latest, now)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.outage.line.borrow_mut().leave(self.ticket);
    }
}

/// Says why no primary may be used, and since when as far as that is known.
pub(crate) fn outage_of(beliefs: &ControlView, service: &str, now: Instant) -> (Outage, Instant) {
    match beliefs.leaders.get(service) {
        Some(lead) if lead.is_valid(now) => (Outage::Unreachable, now),
        Some(lead) if lead.planned => (Outage::PlannedChange, now),
        Some(lead) if lead.changing => (Outage::Failover, now),
        Some(lead) => (Outage::LapsedRight, lead.valid_until),
        None => (Outage::LapsedRight, now),
    }
}

/// What is expected of an outage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outlook {
    pub(crate) outage: Outage,
    pub(crate) elapsed: Duration,
    pub(crate) remaining: Duration,
}

impl Outlook {
    /// What a refused caller is told: when the outage is expected to be over, or when to try another daemon.
    pub(crate) fn come_back(
        &self,
        route: ComeBack,
        history: &OutageHistory,
        primary_lease: Duration,
    ) -> Duration {
        let draw = rand::random();
        if self.outage != Outage::LapsedRight {
            return route.after(self.remaining, draw);
        }
        // The daemons that can still reach the store and the servers replace the primary once every right has ended.
        let replaced_after = primary_lease + history.remaining(Outage::Failover, Duration::ZERO);
        let until_replaced = replaced_after.saturating_sub(self.elapsed);
        match self.remaining.min(until_replaced) {
            expected if expected > route.target => route.after(expected, draw),
            _ => route.elsewhere(draw),
        }
    }
}
