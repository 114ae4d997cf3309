//! The links of a daemon to the owners of connections that it uses.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::relay::link::RelayLink;

/// How long an owner that refuses requests is avoided: about as long as a daemon takes to restart and rejoin.
/// Without `reconnects_first` it also applies to an owner whose link was lost.
const AVOID_FOR: Duration = Duration::from_millis(1_000);
/// Delay of the first reconnect after a link was lost. Doubles with each failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(125);
/// Maximum delay between two reconnects. An attempt costs one packet, and callers retry within a second.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The links, by the owner's address.
///
/// Requests wait for the first connection of a link. With `reconnects_first` a lost link is reconnected before it gets
/// requests again, so that an unreachable owner delays only the first requests.
pub struct RelayLinks {
    owners: RefCell<HashMap<SocketAddr, OwnerLink>>,
    reconnects_first: bool,
}

/// The state of the link to one owner.
#[derive(Default)]
struct OwnerLink {
    link: Option<Rc<RelayLink>>,
    /// Failed attempts since the link was last connected.
    failures: u32,
    avoid_until: Option<Instant>,
}

impl RelayLinks {
    /// Creates a set without links; `reconnects_first` says whether a lost link must be connected before it gets
    /// requests.
    pub fn new(reconnects_first: bool) -> RelayLinks {
        RelayLinks { owners: RefCell::default(), reconnects_first }
    }

    /// Returns the link to the first usable owner; prefers owners whose answer to a ping is not overdue. `None` if
    /// no owner is usable.
    pub fn first_usable(
        &self,
        owners: impl IntoIterator<Item = SocketAddr>,
        now: Instant,
    ) -> Option<Rc<RelayLink>> {
        let mut silent = None;
        for link in owners.into_iter().filter_map(|owner| self.usable_link(owner, now)) {
            if !self.reconnects_first || !link.is_silent(now) {
                return Some(link);
            }
            silent.get_or_insert(link);
        }
        silent
    }

    /// Avoids the owner at the other end of a link for a while.
    pub fn avoid(&self, link: &Rc<RelayLink>, now: Instant) {
        if let Some(owner) = self.owners.borrow_mut().get_mut(&link.owner()) {
            owner.avoid_until = Some(now + AVOID_FOR);
        }
    }

    /// Returns the link to a member for a request that no other member can answer, such as a vote request. Such links
    /// are never avoided: after a partition the limit coordinator needs the votes of a majority at once.
    pub fn member_link(&self, member: SocketAddr, now: Instant) -> Rc<RelayLink> {
        let mut owners = self.owners.borrow_mut();
        let state = owners.entry(member).or_default();
        self.drop_lost(state, now);
        state.link.get_or_insert_with(|| RelayLink::start(member)).clone()
    }

    fn drop_lost(&self, state: &mut OwnerLink, now: Instant) {
        if state.link.take_if(|link| link.is_down()).is_some() {
            state.avoid_until = Some(now + self.retry_delay(state.failures));
            state.failures += 1;
        }
    }

    fn usable_link(&self, owner: SocketAddr, now: Instant) -> Option<Rc<RelayLink>> {
        let mut owners = self.owners.borrow_mut();
        let state = owners.entry(owner).or_default();
        self.drop_lost(state, now);
        if state.avoid_until.is_some_and(|at| now < at) {
            return None;
        }
        state.avoid_until = None;
        let link = state.link.get_or_insert_with(|| RelayLink::start(owner));
        if link.is_connected() {
            state.failures = 0;
        }
        let is_usable = !self.reconnects_first || state.failures == 0;
        is_usable.then(|| link.clone())
    }

    fn retry_delay(&self, failures: u32) -> Duration {
        if !self.reconnects_first {
            return AVOID_FOR;
        }
        FIRST_RETRY_DELAY.saturating_mul(1 << failures.min(8)).min(MAX_RETRY_DELAY)
    }
}
