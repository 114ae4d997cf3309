//! Whether and where a write may run.

use config::Acknowledge;
use model::{Position, ServerId, Term};

/// What a daemon knows of a group's primary when a write is admitted.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryView {
    /// The primary of the newest known term; `None` while there is none.
    pub primary: Option<ServerId>,
    /// That term.
    pub term: Term,
    /// Whether it may get new work: it answers, it is not leaving, no switch holds it.
    pub usable: bool,
    /// The last known position of the primary.
    pub primary_position: Position,
    /// The position that a majority of the group's servers is known to hold.
    pub majority_position: Position,
    /// How many servers, the primary among them, answer in this term.
    pub answering: usize,
    /// How many are a majority.
    pub majority: usize,
}

/// Where a write goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRoute {
    /// To the primary.
    Primary(ServerId),
    /// It waits for a primary, up to its deadline.
    AwaitPrimary,
    /// It is refused: too few servers answer to ever acknowledge it.
    NoMajority,
}

/// Admits a write.
///
/// A write that could not be acknowledged is better not begun, since its outcome would be unknown to
/// the caller; so it is refused, as not run, while too few servers answer to give evidence.
pub fn route_write(rule: Acknowledge, view: &PrimaryView) -> WriteRoute {
    let Some(primary) = view.primary else { return WriteRoute::AwaitPrimary };
    if !view.usable {
        return WriteRoute::AwaitPrimary;
    }
    if view.answering < view.majority {
        return WriteRoute::NoMajority;
    }
    match rule {
        Acknowledge::Term | Acknowledge::Majority => WriteRoute::Primary(primary),
    }
}
