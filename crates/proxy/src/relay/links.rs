//! The links of a daemon to the owners that it uses.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::relay::link::RelayLink;

/// How long an owner that did not answer, or is not willing, is passed over; as long as a daemon takes to start
/// anew and to be known again.
const PASSED_OVER_FOR: Duration = Duration::from_millis(1_000);

/// The links, by the address of the owner.
#[derive(Default)]
pub struct RelayLinks {
    open: RefCell<HashMap<SocketAddr, Rc<RelayLink>>>,
    passed_over_until: RefCell<HashMap<SocketAddr, Instant>>,
}

impl RelayLinks {
    /// Returns the link to the first of these owners that is not passed over; `None` if all of them are.
    pub fn to_first(&self, owners: &[SocketAddr], now: Instant) -> Option<Rc<RelayLink>> {
        owners.iter().find_map(|owner| self.to(*owner, now))
    }

    /// Passes the owner at the other end of a link over for a while.
    pub fn pass_over(&self, link: &Rc<RelayLink>, now: Instant) {
        let open = self.open.borrow();
        if let Some((owner, _)) = open.iter().find(|(_, open)| Rc::ptr_eq(open, link)) {
            self.passed_over_until.borrow_mut().insert(*owner, now + PASSED_OVER_FOR);
        }
    }

    fn to(&self, owner: SocketAddr, now: Instant) -> Option<Rc<RelayLink>> {
        let mut passed_over = self.passed_over_until.borrow_mut();
        let mut open = self.open.borrow_mut();
        if open.get(&owner).is_some_and(|link| link.is_down()) {
            open.remove(&owner);
            passed_over.insert(owner, now + PASSED_OVER_FOR);
        }
        match passed_over.get(&owner) {
            Some(until) if now < *until => return None,
            Some(_) => {
                passed_over.remove(&owner);
            }
            None => {}
        }
        Some(open.entry(owner).or_insert_with(|| RelayLink::start(owner)).clone())
    }
}
