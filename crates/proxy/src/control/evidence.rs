//! Primary leases that are based on the statuses of the servers while the store is unreachable.
//!
//! A promoter steps the old primary down, or pauses a majority of the servers if it does not answer, and then waits for the
//! duration of such a lease. A primary that leads in the latest term of servers that are not paused therefore shows that no
//! later term has started and that none will start within that duration. The pauses alone would not show that, since any
//! resume ends them. See `docs/PLATFORM.md`, "Commands to servers".

use model::{Name, Term};

use crate::{control::record::majority, statement::EndpointStatus};

/// The primary that the servers' statuses show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderByEvidence {
    /// The server.
    pub server: Name,
    /// Its term.
    pub term: Term,
}

/// What a daemon knows of a group when it receives evidence, its own or another daemon's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLeader {
    /// The latest known term.
    pub term: Term,
    /// Whether the known record shows a change in progress.
    pub changing: bool,
    /// Whether the daemon has not read the store recently.
    pub is_store_silent: bool,
}

/// Whether evidence of the term `found` may grant a primary lease to a daemon with this knowledge.
///
/// The evidence may come from a daemon without a connection to the store that queried the servers before they were
/// stopped. A daemon that knows of the change from the store has acknowledged the stop and must not resume: a write
/// would be acknowledged by a primary whose replicas no longer receive log entries, and then be discarded.
pub fn may_grant_primary_lease(found: Term, known: KnownLeader) -> bool {
    found >= known.term && (!known.changing || known.is_store_silent)
}

/// The primary lease of a group that a daemon holds when it queries the group's servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldPrimaryLease {
    /// The latest known term; statuses of earlier terms are ignored.
    pub known_term: Term,
    /// The primary that the daemon may use at that moment.
    pub usable_leader: Option<LeaderByEvidence>,
}

/// Judges the statuses of a group's servers; `servers` includes those that did not answer.
///
/// A majority suffices to extend a lease that was valid when the servers were queried: a change of primary waits for
/// such a lease to expire, so none has completed. After the lease has expired, a change may have completed, and the old
/// primary and a replica that has not learned of the new term may still form a majority. Then only the statuses of all
/// servers show that none of them leads a later term.
pub fn judge_statuses(
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
    let needed = match held.usable_leader == Some(found.clone()) {
        true => majority(servers),
        false => servers,
    };
    (agreeing.len() >= needed).then_some(found)
}
