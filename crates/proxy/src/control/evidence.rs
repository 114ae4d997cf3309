//! The right to use a primary while the store is out of reach, by what the servers themselves say.
//!
//! Whoever promotes stops a majority of the servers first and then waits for as long as this right
//! lasts. So a majority that is not stopped, when asked, shows that no later term has begun and that
//! none will for that long. See `docs/PLATFORM.md`, "Who leads".

use model::{Name, Term};

use crate::{control::record::majority, statement::EndpointStatus};

/// Who leads by the word of a majority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderByEvidence {
    /// The server.
    pub server: Name,
    /// Its term.
    pub term: Term,
}

/// What a daemon knows of a group when evidence reaches it, its own or another daemon's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLeader {
    /// The latest term that it knows of.
    pub term: Term,
    /// Whether the record that it knows shows a change under way.
    pub changing: bool,
    /// Whether its own knowledge of the store is old.
    pub is_store_silent: bool,
}

/// Whether evidence may give a right where so much is known.
///
/// Another daemon that is cut off from the store may have asked the servers before they were stopped. A daemon
/// that knows from the store of the change has told whoever drives it that it stopped, and must not begin again:
/// a write would be acknowledged at a primary whose replicas receive nothing any more, and be rolled back.
pub fn may_grant_primary_lease(found: Term, known: KnownLeader) -> bool {
    found >= known.term && (!known.changing || known.is_store_silent)
}

/// What a daemon holds of a group at the moment at which it asks the group's servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldPrimaryLease {
    /// The latest term that it knows of: an earlier one is never taken up again.
    pub known_term: Term,
    /// The primary that it may use at that moment, if any.
    pub in_force: Option<LeaderByEvidence>,
}

/// Judges the statuses of a group's servers; `servers` counts those that did not answer too.
///
/// A majority is enough to go on with a right that was in force when it was asked: a change of primary waits
/// for such a right to end, so none has been completed. Once the right has ended one may have been, and then
/// the former primary and a replica that has heard of nothing since are a majority too; only all servers
/// together show that none of them leads a later term.
pub fn judge(
    statuses: &[(Name, EndpointStatus)],
    servers: usize,
    held: &HeldPrimaryLease,
) -> Option<LeaderByEvidence> {
    let term = statuses.iter().map(|(_, status)| status.term).max()?;
    if term < held.known_term {
        return None;
    }
    let agreeing: Vec<_> = statuses
        .iter()
        .filter(|(_, status)| status.term == term && status.paused_for == Term(0))
        .collect();
    let mut leading = agreeing.iter().filter(|(_, status)| status.leads);
    let (server, _) = leading.next()?;
    if leading.next().is_some() {
        return None;
    }
    let found = LeaderByEvidence { server: server.clone(), term };
    let needed = match held.in_force == Some(found.clone()) {
        true => majority(servers),
        false => servers,
    };
    (agreeing.len() >= needed).then_some(found)
}
