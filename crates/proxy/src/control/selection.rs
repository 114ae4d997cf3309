//! The choice of a successor among the servers that answered after their group was stopped.
//!
//! `docs/PLATFORM.md`, "Who leads", gives the argument.

use model::Term;
use session::{TermHistory, WriteStatus};

use crate::{
    control::record::{ChosenServer, LeadershipRecord},
    statement::EndpointStatus,
};

/// A server that answered after the group was stopped for a change of primary.
#[derive(Clone, Debug)]
pub struct StoppedServer {
    /// Its identity.
    pub server: String,
    /// Its status after it was stopped.
    pub status: EndpointStatus,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is the primary that is being replaced.
    pub is_old_primary: bool,
}

impl StoppedServer {
    /// Whether this server keeps queries from granting a primary lease: it is the old primary and has stepped down, or
    /// it is paused for this term or a later one.
    pub(crate) fn is_stopped(&self, term: Term) -> bool {
        (self.is_old_primary && !self.status.leads) || self.status.paused_for >= term
    }

    /// Whether its log is a prefix of the recorded history, so that it holds no discarded writes.
    ///
    /// A former primary that was unreachable during a promotion still holds the writes that the promotion discarded,
    /// until it reaches the new primary. Promoting it earlier would restore those writes and lose later acknowledged
    /// ones.
    fn is_prefix_of_history(&self, record: &LeadershipRecord) -> bool {
        if self.status.term.0 >= record.term {
            return true;
        }
        let history = TermHistory::new(record.starts.clone());
        history.latest() == Some(Term(record.term))
            && history.write_status(self.status.received) == WriteStatus::Kept
    }
}

/// The inputs for choosing a successor, besides the stopped servers.
#[derive(Clone, Copy, Debug)]
pub struct SuccessorSelection<'a> {
    /// The group's record from before the change completes.
    pub record: &'a LeadershipRecord,
    /// The number of listed servers.
    pub servers: usize,
    /// The number of replicas that receive a write before it is acknowledged.
    pub synchronous_replicas: u32,
    /// Whether the old primary may remain primary if it holds the most entries.
    pub may_keep_primary: bool,
    /// Whether the old primary is still listed; an unlisted server is assumed not to return.
    pub is_primary_listed: bool,
}

impl SuccessorSelection<'_> {
    /// Chooses the server with the longest log; among equals one that is not leaving.
    ///
    /// The old primary is chosen in two cases: if `may_keep_primary` is set and it holds more than any other server, so
    /// that an optional change loses nothing; and if it has stepped down and no other server can take over, since the
    /// group would have no primary otherwise.
    pub fn choose(&self, stopped: &[StoppedServer]) -> Option<ChosenServer> {
        // Every acknowledged write is on the primary and `synchronous_replicas` others, so any
        // `servers - synchronous_replicas` servers include one that holds it.
        let needed = self.servers.saturating_sub(self.synchronous_replicas as usize);
        if self.synchronous_replicas > 0 && stopped.len() < needed {
            return None;
        }
        let is_preferred =
            |server: &&StoppedServer| self.may_keep_primary || !server.is_old_primary;
        let with_kept_history =
            || stopped.iter().filter(|server| server.is_prefix_of_history(self.record));
        let best = most_advanced(with_kept_history().filter(is_preferred))
            .or_else(|| most_advanced(with_kept_history().filter(|server| !server.status.leads)))
            .or_else(|| most_advanced(stopped.iter().filter(|_| self.is_history_lost(stopped))))?;
        Some(ChosenServer {
            server: best.server.clone(),
            kept_position: best.status.received.position.0,
        })
    }

    /// Whether another server can take over from a primary that still leads. It may lack what the primary committed last,
    /// since it receives that once the primary has stepped down.
    pub fn has_successor(&self, answered: &[StoppedServer]) -> bool {
        SuccessorSelection { may_keep_primary: false, ..*self }.choose(answered).is_some()
    }

    /// Whether the history of the current term is lost: its primary is no longer listed, and every listed server has
    /// answered. Continuing from an earlier history is then better than having no primary.
    fn is_history_lost(&self, stopped: &[StoppedServer]) -> bool {
        !self.is_primary_listed && stopped.len() >= self.servers
    }
}

fn most_advanced<'a>(
    candidates: impl Iterator<Item = &'a StoppedServer>,
) -> Option<&'a StoppedServer> {
    candidates.max_by_key(|server| {
        let name = std::cmp::Reverse(server.server.clone());
        (server.status.received, !server.is_old_primary, !server.leaving, name)
    })
}
