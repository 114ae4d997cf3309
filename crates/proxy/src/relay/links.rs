//! The links of a daemon to the owners that it uses.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::relay::link::RelayLink;

/// How long an owner that is not willing is passed over; as long as a daemon takes to start anew and to be known again. An
/// owner whose link was lost as well, where links are not tried apart from requests.
const PASSED_OVER_FOR: Duration = Duration::from_millis(1_000);
/// How long after its link was lost an owner is tried again, at first; it doubles with each try in vain.
const FIRST_RETRY_AFTER: Duration = Duration::from_millis(125);
/// The longest time between two tries: one of them costs a packet, and callers try again within a second.
const LONGEST_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The links, by the address of the owner.
///
/// Requests wait for a link that is opened for the first time. Once one was lost, the next is opened with nothing on it: an
/// owner that can't be reached costs no request more than its first ones.
pub struct RelayLinks {
    owners: RefCell<HashMap<SocketAddr, OwnerLink>>,
    tries_apart: bool,
}

/// What is known of the way to one owner.
#[derive(Default)]
struct OwnerLink {
    link: Option<Rc<RelayLink>>,
    /// Tries in vain since a link last stood.
    failures: u32,
    not_before: Option<Instant>,
}

impl RelayLinks {
    /// Makes links of which none stands yet; `tries_apart` says whether a lost one is opened again without requests.
    pub fn new(tries_apart: bool) -> RelayLinks {
        RelayLinks { owners: RefCell::default(), tries_apart }
    }

    /// Returns the link to the first of these owners that may be used, one that has been silent for a moment only where
    /// there is no other; `None` if none of them may.
    pub fn to_first(
        &self,
        owners: impl IntoIterator<Item = SocketAddr>,
        now: Instant,
    ) -> Option<Rc<RelayLink>> {
        let mut silent = None;
        for link in owners.into_iter().filter_map(|owner| self.to(owner, now)) {
            if !self.tries_apart || !link.is_silent(now) {
                return Some(link);
            }
            silent.get_or_insert(link);
        }
        silent
    }

    /// Passes the owner at the other end of a link over for a while.
    pub fn pass_over(&self, link: &Rc<RelayLink>, now: Instant) {
        if let Some(owner) = self.owners.borrow_mut().get_mut(&link.owner()) {
            owner.not_before = Some(now + PASSED_OVER_FOR);
        }
    }

    /// Returns the link to a member that is asked for something which nobody else can answer, such as its vote. Nothing is
    /// passed over: after a partition the keeper of the limits needs the word of more than half of the members at once.
    pub fn to_member(&self, member: SocketAddr, now: Instant) -> Rc<RelayLink> {
        let mut owners = self.owners.borrow_mut();
        let known = owners.entry(member).or_default();
        self.drop_lost(known, now);
        known.link.get_or_insert_with(|| RelayLink::start(member)).clone()
    }

    fn drop_lost(&self, known: &mut OwnerLink, now: Instant) {
        if known.link.take_if(|link| link.is_down()).is_some() {
            known.not_before = Some(now + self.retry_after(known.failures));
            known.failures += 1;
        }
    }

    fn to(&self, owner: SocketAddr, now: Instant) -> Option<Rc<RelayLink>> {
        let mut owners = self.owners.borrow_mut();
        let known = owners.entry(owner).or_default();
        self.drop_lost(known, now);
        if known.not_before.is_some_and(|at| now < at) {
            return None;
        }
        known.not_before = None;
        let link = known.link.get_or_insert_with(|| RelayLink::start(owner));
        if link.is_connected() {
            known.failures = 0;
        }
        let may_carry = !self.tries_apart || known.failures == 0;
        may_carry.then(|| link.clone())
    }

    fn retry_after(&self, failures: u32) -> Duration {
        if !self.tries_apart {
            return PASSED_OVER_FOR;
        }
        FIRST_RETRY_AFTER.saturating_mul(1 << failures.min(8)).min(LONGEST_RETRY_AFTER)
    }
}
