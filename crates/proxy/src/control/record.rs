//! What the store remembers of a group's leadership, and the decisions on it.
//!
//! A record changes only by compare-and-swap. While `change` stands, no daemon may use a primary of
//! the group by the store's word. `docs/PLATFORM.md`, "Who leads", gives the argument.

use std::time::{Duration, Instant};

use model::{Term, TermStart};
use serde::{Deserialize, Serialize};
use session::{TermHistory, WriteStatus};

use crate::{catalog::ServerIncarnation, metadata::Era, statement::EndpointStatus};

/// The record of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// The term in force, or the last one while a change is under way.
    pub term: u64,
    /// The server that leads in it.
    pub primary: String,
    /// The life of that server as it came to lead, where servers tell of lives: in another one it leads nothing.
    #[serde(rename = "primary_life", default, skip_serializing_if = "Option::is_none")]
    pub primary_incarnation: Option<ServerIncarnation>,
    /// Where terms began, oldest first, as far as promotions of this system made them.
    pub starts: Vec<TermStart>,
    /// A change of primary that is under way.
    pub change: Option<PrimaryChange>,
    /// The store's era in which it was written; 0 where the store tells of none. Nobody may use a primary by a record of an
    /// era that has ended: the store lost what was written after it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Rises with each write where there are eras, so that of two records of an ended era the later one can be told.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub edition: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Which of two records of a group counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The one that the store holds.
    Stored,
    /// The one that this daemon knows from before the store was restored.
    Known,
}

/// How a daemon came to the present era of the store.
#[derive(Clone, Copy, Debug)]
pub struct EraView {
    /// The era.
    pub era: Era,
    /// For how long this daemon has known of it.
    pub known_for: Duration,
    /// Whether it knew the store in an earlier one.
    pub knew_before: bool,
}

impl EraView {
    /// Whether a group's leadership is left as it is for now, if its record is this one: an order that was given before the
    /// restore may still take effect, though the store has lost all trace of it.
    pub fn must_wait(&self, record: Option<&LeadershipRecord>, order_settles: Duration) -> bool {
        if self.known_for >= order_settles {
            return false;
        }
        match record {
            Some(record) => record.era != self.era.0,
            // Before the first record there was nothing to lose, as far as a daemon can know that has just started.
            None => self.knew_before,
        }
    }
}

impl RecordSource {
    /// Decides between what a daemon knows and what the store holds in this era.
    ///
    /// Whoever writes a record in the present era has gathered what daemons know first, so it counts. One of an ended era
    /// came out of the copy, or was written by a call that was late: the latest of those counts.
    pub fn choose(
        known: Option<&LeadershipRecord>,
        stored: Option<&LeadershipRecord>,
        era: Era,
    ) -> RecordSource {
        match (known, stored) {
            (_, Some(stored)) if stored.era == era.0 => RecordSource::Stored,
            (Some(known), Some(stored)) if known.is_after(stored) => RecordSource::Known,
            (Some(_), None) if era > Era::NONE => RecordSource::Known,
            _ => RecordSource::Stored,
        }
    }
}

/// A change of primary that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryChange {
    /// Names this attempt; daemons answer with it that they have stopped.
    pub id: String,
    /// Why the change began, for operators.
    pub reason: String,
    /// The server that may have been ordered to lead; no other may be while it might still begin to.
    pub chosen: Option<ChosenServer>,
}

/// The server that is to lead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChosenServer {
    /// Its identity.
    pub server: String,
    /// The position up to which it keeps the history of the ended term.
    #[serde(rename = "keeps")]
    pub kept_position: u64,
}

/// Terms whose starts are kept; older ones matter only to sessions that have written nothing since.
const KEPT_STARTS: usize = 32;

impl LeadershipRecord {
    /// Whether this record was written after another one of the group, by all that both tell. Records from before the first
    /// era have no edition; of those the one that is further on in a change counts, since an order may have been given.
    pub fn is_after(&self, other: &LeadershipRecord) -> bool {
        let stage = |record: &LeadershipRecord| match &record.change {
            None => 0,
            Some(change) => 1 + u8::from(change.chosen.is_some()),
        };
        let place =
            |record: &LeadershipRecord| (record.era, record.edition, record.term, stage(record));
        place(self) > place(other)
    }

    /// Returns the record once the chosen server leads in `term`.
    pub fn settled(
        &self,
        chosen: &ChosenServer,
        incarnation: Option<ServerIncarnation>,
        term: u64,
    ) -> LeadershipRecord {
        let mut starts = self.starts.clone();
        // A primary that only started anew goes on in its term.
        if term > self.term {
            let start = model::Position(chosen.kept_position);
            starts.push(TermStart { term: model::Term(term), start });
        }
        let surplus = starts.len().saturating_sub(KEPT_STARTS);
        starts.drain(..surplus);
        let primary = chosen.server.clone();
        let change = None;
        LeadershipRecord {
            term,
            primary,
            primary_incarnation: incarnation,
            starts,
            change,
            ..self.clone()
        }
    }
}

/// A server that answered while the group was stopped.
#[derive(Clone, Debug)]
pub struct StoppedServer {
    /// Its identity.
    pub server: String,
    /// What it said after it was stopped.
    pub status: EndpointStatus,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is the primary that is to be replaced.
    pub replaced: bool,
}

impl StoppedServer {
    /// Whether its log is a beginning of the history that the record tells, so that whatever it leads with
    /// was never taken back.
    ///
    /// A former primary that was out of reach through a promotion comes back with writes that the promotion
    /// took back, and gives them up only once it has reached the new primary. If it led before that, those
    /// writes would come back to life although reads have been run without them, and everything that was
    /// acknowledged since the promotion would be lost.
    fn is_on_branch(&self, record: &LeadershipRecord) -> bool {
        if self.status.term.0 >= record.term {
            return true;
        }
        let history = TermHistory::new(record.starts.clone());
        history.latest() == Some(Term(record.term))
            && history.write_status(self.status.received) == WriteStatus::Kept
    }
}

/// What a successor is chosen by, beside what the stopped servers hold.
#[derive(Clone, Copy, Debug)]
pub struct SuccessorSelection<'a> {
    /// The record of the group, from before the successor leads.
    pub record: &'a LeadershipRecord,
    /// Servers that are listed.
    pub servers: usize,
    /// Replicas that receive a write before it is acknowledged.
    pub synchronous: u32,
    /// Whether the primary that is to be replaced may lead on if it holds the most.
    pub may_stay: bool,
    /// Whether that primary is still listed; one that is not will never be back.
    pub is_primary_listed: bool,
}

impl SuccessorSelection<'_> {
    /// Chooses the server that holds the most; among equals one that stays.
    ///
    /// The primary that is to be replaced is chosen where it `may_stay` and holds more than any other, so
    /// that a change that nothing forces loses nothing; and where it has stepped down and nobody else can take
    /// over, since the group would be left without any primary, and no replica could catch up with one.
    pub fn choose(&self, stopped: &[StoppedServer]) -> Option<ChosenServer> {
        // Every acknowledged write stands on the primary and `synchronous` others, so it is held by one of
        // any `servers - synchronous` servers.
        let needed = self.servers.saturating_sub(self.synchronous as usize);
        if self.synchronous > 0 && stopped.len() < needed {
            return None;
        }
        let is_first_choice = |server: &&StoppedServer| self.may_stay || !server.replaced;
        let on_branch = || stopped.iter().filter(|server| server.is_on_branch(self.record));
        let best = holds_most(on_branch().filter(is_first_choice))
            .or_else(|| holds_most(on_branch().filter(|server| !server.status.leads)))
            .or_else(|| holds_most(stopped.iter().filter(|_| self.is_history_lost(stopped))))?;
        Some(ChosenServer {
            server: best.server.clone(),
            kept_position: best.status.received.position.0,
        })
    }

    /// Whether nobody can have the history of the term in force any more: its primary is gone for good, and
    /// every server that is left was asked. What is left of an earlier history is better than no group.
    fn is_history_lost(&self, stopped: &[StoppedServer]) -> bool {
        !self.is_primary_listed && stopped.len() >= self.servers
    }
}

fn holds_most<'a>(
    candidates: impl Iterator<Item = &'a StoppedServer>,
) -> Option<&'a StoppedServer> {
    candidates.max_by_key(|server| {
        let name = std::cmp::Reverse(server.server.clone());
        (server.status.received, !server.replaced, !server.leaving, name)
    })
}

/// Returns how many servers of a group are a majority of it.
pub fn majority(servers: usize) -> usize {
    servers / 2 + 1
}

/// Whether a stop is complete: enough servers have been stopped for long enough, and every daemon has
/// said that it stopped or its right has run out.
#[derive(Clone, Copy, Debug)]
pub struct StopProgress {
    /// When the change stood in the store.
    pub recorded_at: Instant,
    /// When a majority of the servers had been stopped.
    pub fenced_at: Option<Instant>,
    /// Whether every daemon that may hold a right has answered.
    pub all_answered: bool,
}

/// The bounds that rights are given for.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryLeaseDurations {
    /// How long a read of the records gives the right.
    pub store: Duration,
    /// How long the statuses of a majority give it.
    pub evidence: Duration,
}

/// Clocks of hosts may run at rates that differ by this part at the most.
const CLOCK_RATE_MARGIN: f64 = 1.05;

impl StopProgress {
    /// Returns when the stop is complete if nothing else is heard; `None` without a majority.
    pub fn complete_at(&self, bounds: PrimaryLeaseDurations) -> Option<Instant> {
        let fenced = self.fenced_at? + bounds.evidence.mul_f64(CLOCK_RATE_MARGIN);
        if self.all_answered {
            return Some(fenced);
        }
        Some(fenced.max(self.recorded_at + bounds.store.mul_f64(CLOCK_RATE_MARGIN)))
    }
}

/// Whether so many daemons say that the primary is out of their reach that it is to be replaced.
///
/// One daemon alone may be cut off itself; a third of them, two at the least, can't all be.
pub fn is_primary_lost(suspecting: usize, members: usize) -> bool {
    let needed = members.div_ceil(3).max(2).min(members.max(1));
    suspecting >= needed
}
