//! The choice of a successor among the servers that answered after their group was stopped.
//!
//! `docs/PLATFORM.md`, "Who leads" and "Which log has every acknowledged commit", gives the argument.

use model::Term;
use session::{TermHistory, WriteStatus};

use crate::{
    control::record::{ChosenServer, LeadershipRecord},
    statement::EndpointStatus,
};

/// How many log entries a replica may lack to take over from a primary that still leads; it receives the rest during the
/// change.
const MAX_SUCCESSOR_LAG_ENTRIES: u64 = 8;

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
    /// The number of servers of the group.
    pub servers: usize,
    /// The number of replicas that receive a write before it is acknowledged.
    pub synchronous_replicas: u32,
    /// Whether the old primary may remain primary if it holds the most entries.
    pub may_keep_primary: bool,
    /// Whether the old primary is still listed; an unlisted server is assumed not to return.
    pub is_primary_listed: bool,
    /// Whether the old primary has restarted since it became primary, and has lost its log.
    pub has_primary_restarted: bool,
}

impl SuccessorSelection<'_> {
    /// Chooses the server with the longest log; among equals one that is not leaving. With synchronous replicas its log
    /// contains every acknowledged commit, or none is chosen. All servers must have been stopped before they answered.
    ///
    /// The old primary is chosen in two cases: if `may_keep_primary` is set and it holds more than any other server, so
    /// that an optional change loses nothing; and if it has stepped down and no other server can take over, since the
    /// group would have no primary otherwise.
    pub fn choose(&self, stopped: &[StoppedServer]) -> Option<ChosenServer> {
        let is_preferred =
            |server: &&StoppedServer| self.may_keep_primary || !server.is_old_primary;
        let is_complete = |server: &&StoppedServer| self.has_every_commit(server, stopped);
        let kept = || self.with_kept_history(stopped);
        let best = self
            .most_advanced(kept().filter(is_preferred))
            .filter(is_complete)
            .or_else(|| {
                let following = kept().filter(|server| !server.status.leads);
                self.most_advanced(following).filter(is_complete)
            })
            .or_else(|| self.most_advanced_of_lost_history(stopped))?;
        Some(ChosenServer {
            server: best.server.clone(),
            kept_position: best.status.received.position.0,
        })
    }

    /// Whether a server that was chosen by an earlier attempt can be promoted: with synchronous replicas, whether its log
    /// still contains every acknowledged commit.
    pub fn may_promote(&self, chosen: &ChosenServer, stopped: &[StoppedServer]) -> bool {
        let has_every_commit = || {
            let mut kept = self.with_kept_history(stopped);
            kept.any(|it| it.server == chosen.server && self.has_every_commit(it, stopped))
        };
        self.synchronous_replicas == 0 || has_every_commit()
    }

    /// Whether another server can take over from a primary that still leads. It may lack what the primary committed last,
    /// since it receives that once the primary has stepped down.
    pub fn has_successor(&self, answered: &[StoppedServer]) -> bool {
        let Some(best) = self.most_advanced(self.kept_replicas(answered)) else { return false };
        self.synchronous_replicas == 0
            || self.enough_replicas_answered(answered)
            || self
                .primary_with_every_commit(answered)
                .is_some_and(|primary| lacks_few_entries(&best.status, &primary.status))
    }

    /// Whether the log of a server contains every acknowledged commit. `docs/PLATFORM.md`, "Which log has every
    /// acknowledged commit", gives the argument.
    fn has_every_commit(&self, server: &StoppedServer, stopped: &[StoppedServer]) -> bool {
        let holds_as_much = |other: &StoppedServer| {
            server.status.received.position >= other.status.received.position
        };
        let primary = self.primary_with_every_commit(stopped).filter(|it| !it.status.leads);
        self.synchronous_replicas == 0
            || primary.is_some_and(holds_as_much)
            || (self.enough_replicas_answered(stopped)
                && self.kept_replicas(stopped).all(holds_as_much))
    }

    /// Returns the old primary if its log contains every commit of its term.
    pub(crate) fn primary_with_every_commit<'s>(
        &self,
        answered: &'s [StoppedServer],
    ) -> Option<&'s StoppedServer> {
        let has_log = |server: &&StoppedServer| {
            server.is_old_primary
                && !self.has_primary_restarted
                && server.status.term.0 >= self.record.term
        };
        answered.iter().find(has_log)
    }

    /// Whether so many replicas answered that one of them has received each acknowledged commit. The old primary does not
    /// count, since its log may not be among those that are compared.
    pub(crate) fn enough_replicas_answered(&self, answered: &[StoppedServer]) -> bool {
        let needed = self.servers.saturating_sub(self.synchronous_replicas as usize);
        self.kept_replicas(answered).count() >= needed
    }

    /// Returns the servers besides the old primary whose logs are prefixes of the recorded history.
    fn kept_replicas<'s>(
        &self,
        servers: &'s [StoppedServer],
    ) -> impl Iterator<Item = &'s StoppedServer> {
        self.with_kept_history(servers).filter(|server| !server.is_old_primary)
    }

    /// Returns the servers whose logs are prefixes of the recorded history.
    fn with_kept_history<'s>(
        &self,
        servers: &'s [StoppedServer],
    ) -> impl Iterator<Item = &'s StoppedServer> {
        let record = self.record;
        servers.iter().filter(move |server| server.is_prefix_of_history(record))
    }

    /// Returns the most advanced server if the history of the current term is lost: its primary is no longer listed, and
    /// every listed server has answered. Continuing from an earlier history is then better than having no primary, but
    /// not if commits are promised to survive.
    fn most_advanced_of_lost_history<'s>(
        &self,
        stopped: &'s [StoppedServer],
    ) -> Option<&'s StoppedServer> {
        let is_lost = !self.is_primary_listed && stopped.len() >= self.servers;
        let may_lose_commits = self.synchronous_replicas == 0;
        let candidates = stopped.iter().filter(|_| is_lost && may_lose_commits);
        candidates.max_by_key(|server| (server.status.received, preference(server)))
    }

    /// Returns the server with the longest log. All logs are prefixes of one history, so their lengths decide and not the
    /// terms that their servers are in: one that has heard of the latest term may not have received its history yet.
    fn most_advanced<'s>(
        &self,
        candidates: impl Iterator<Item = &'s StoppedServer>,
    ) -> Option<&'s StoppedServer> {
        candidates.max_by_key(|server| {
            // A server in a later term than the recorded one has a history of its own.
            let term = server.status.term.max(Term(self.record.term));
            (term, server.status.received.position, preference(server))
        })
    }
}

/// Returns which of several servers with equal logs is preferred; the highest one.
fn preference(server: &StoppedServer) -> (bool, bool, std::cmp::Reverse<&str>) {
    (!server.is_old_primary, !server.leaving, std::cmp::Reverse(&server.server))
}

/// Whether a replica has received nearly everything that the primary holds.
pub fn lacks_few_entries(replica: &EndpointStatus, primary: &EndpointStatus) -> bool {
    let (replica, primary) = (replica.received, primary.received);
    replica.term == primary.term
        && replica.position.0 + MAX_SUCCESSOR_LAG_ENTRIES >= primary.position.0
}
