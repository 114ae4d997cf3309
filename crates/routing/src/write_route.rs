//! Admission and routing of a write.

use config::{Acknowledge, WhenBehind};
use model::{Position, ServerId, Term};

/// What a daemon knows about a group's primary when a write is admitted.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryView {
    /// The primary of the newest known term; `None` if there is none.
    pub primary: Option<ServerId>,
    /// The newest known term.
    pub term: Term,
    /// Whether the primary answers, is not leaving, and is not paused for a planned change of primary.
    pub usable: bool,
    /// The last known position of the primary.
    pub primary_position: Position,
    /// The position that a majority of the group's servers is known to hold.
    pub majority_position: Position,
    /// The number of servers that answer in this term, including the primary.
    pub answering: usize,
    /// The number of servers that form a majority.
    pub majority: usize,
}

/// The operators' rules for writes of a service.
#[derive(Clone, Copy, Debug)]
pub struct WriteRules {
    /// The condition for acknowledging a write.
    pub acknowledge: Acknowledge,
    /// How writes are handled while the replicas are behind.
    pub when_behind: WhenBehind,
    /// The lag, in positions, above which the replicas are behind.
    pub behind_positions: u64,
}

/// The decision on a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRoute {
    /// The write runs on the primary and is acknowledged under the rule.
    Primary(ServerId, Acknowledge),
    /// The write waits for a primary until its deadline.
    AwaitPrimary,
    /// The write waits until its deadline: too few servers answer to acknowledge it.
    NoMajority,
    /// The write is refused: the replicas are too far behind to acknowledge it in time.
    ReplicasBehind,
}

/// Decides whether a write runs now.
///
/// If a write runs but can't be acknowledged, its caller does not know whether it took effect. So a write
/// does not run while too few servers answer to confirm it or, if operators configure this, while the
/// replicas are behind.
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
        WhenBehind::Refuse => WriteRoute::ReplicasBehind,
        WhenBehind::Term => WriteRoute::Primary(primary, Acknowledge::Term),
    }
}
