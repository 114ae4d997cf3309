//! Whether and where a write may run.

use config::{Acknowledge, WhenBehind};
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

/// The operators' rules for writes of a service.
#[derive(Clone, Copy, Debug)]
pub struct WriteRules {
    /// What an acknowledgement waits for.
    pub acknowledge: Acknowledge,
    /// What becomes of writes while the replicas are far behind.
    pub when_behind: WhenBehind,
    /// How many positions that is.
    pub behind_positions: u64,
}

/// Where a write goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRoute {
    /// To the primary, to be acknowledged under the rule.
    Primary(ServerId, Acknowledge),
    /// It waits for a primary, up to its deadline.
    AwaitPrimary,
    /// It waits, up to its deadline: too few servers answer to ever acknowledge it.
    NoMajority,
    /// It is refused: the replicas are so far behind that it would not be acknowledged in time.
    TooFarBehind,
}

/// Admits a write.
///
/// A write that could not be acknowledged is better not begun, since its outcome would be unknown to
/// the caller; so it does not run while too few servers answer to give evidence, or, where operators
/// say so, while replicas are far behind.
pub fn route_write(rules: WriteRules, view: &PrimaryView) -> WriteRoute {
    let Some(primary) = view.primary else { return WriteRoute::AwaitPrimary };
    if !view.usable {
        return WriteRoute::AwaitPrimary;
    }
    if view.answering < view.majority {
        return WriteRoute::NoMajority;
    }
    let behind = view.primary_position.0.saturating_sub(view.majority_position.0);
    if rules.acknowledge == Acknowledge::Term || behind <= rules.behind_positions {
        return WriteRoute::Primary(primary, rules.acknowledge);
    }
    match rules.when_behind {
        WhenBehind::Wait => WriteRoute::Primary(primary, rules.acknowledge),
        WhenBehind::Refuse => WriteRoute::TooFarBehind,
        WhenBehind::Term => WriteRoute::Primary(primary, Acknowledge::Term),
    }
}
