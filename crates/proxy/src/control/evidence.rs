//! The right to use a primary while the store is out of reach, by what the servers themselves say.
//!
//! Whoever promotes stops a majority of the servers first and then waits for as long as this right
//! lasts. So a majority that is not stopped, when asked, shows that no later term has begun and that
//! none will for that long. See `docs/PLATFORM.md`, "Who leads".

use model::{Name, Term};

use crate::{control::record::majority, statement::EndpointStatus};

/// Who leads by the word of a majority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeadByEvidence {
    /// The server.
    pub server: Name,
    /// Its term.
    pub term: Term,
}

/// Judges the statuses of a group's servers; `servers` counts those that did not answer too.
///
/// `known_term` is the latest term that this daemon knows of: an earlier one is never taken up again.
pub fn judge(
    statuses: &[(Name, EndpointStatus)],
    servers: usize,
    known_term: Term,
) -> Option<LeadByEvidence> {
    let term = statuses.iter().map(|(_, status)| status.term).max()?;
    if term < known_term {
        return None;
    }
    let agreeing: Vec<_> = statuses
        .iter()
        .filter(|(_, status)| status.term == term && status.paused_for == Term(0))
        .collect();
    if agreeing.len() < majority(servers) {
        return None;
    }
    let mut leading = agreeing.iter().filter(|(_, status)| status.leads);
    let (server, _) = leading.next()?;
    if leading.next().is_some() {
        return None;
    }
    Some(LeadByEvidence { server: server.clone(), term })
}
