//! The stored leadership record of a group, and the decisions that depend on it.
//!
//! A record changes only by compare-and-swap. While `change` is set, no daemon may use a primary of
//! the group on the basis of the store. `docs/PLATFORM.md`, "Who leads", gives the argument.

use std::time::{Duration, Instant};

use model::{Term, TermStart};
use serde::{Deserialize, Serialize};

use crate::{
    catalog::ServerIncarnation,
    control::{group_members::GroupMember, selection::StoppedServer},
    metadata::Era,
};

/// The leadership record of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// The current term, or the last one while a change is in progress.
    pub term: u64,
    /// The server that leads in this term.
    pub primary: String,
    /// The incarnation in which that server became primary, if servers report one; in a later one it is not.
    #[serde(rename = "primary_life", default, skip_serializing_if = "Option::is_none")]
    pub primary_incarnation: Option<ServerIncarnation>,
    /// The starts of the terms that promotions of this system began, oldest first.
    pub starts: Vec<TermStart>,
    /// The change of primary that is in progress.
    pub change: Option<PrimaryChange>,
    /// The servers that may hold acknowledged commits; empty without synchronous replicas.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<GroupMember>,
    /// The store's era in which the record was written; 0 if the store has no eras. A record of an earlier era grants
    /// no primary lease, because the store may have lost later writes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Incremented with each write if the store has eras, to order two records of an earlier era.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub edition: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Which of two records of a group is authoritative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The record that the store holds.
    Stored,
    /// The record that this daemon knows from before the store was restored.
    Known,
}

/// What a daemon knows of the store's current era.
#[derive(Clone, Copy, Debug)]
pub struct EraView {
    /// The era.
    pub era: Era,
    /// How long this daemon has known of it.
    pub known_for: Duration,
    /// Whether this daemon had read the store in an earlier era.
    pub knew_earlier_era: bool,
}

impl EraView {
    /// Whether the group with this record must not be changed yet, since a promotion that was ordered before the
    /// restore may still take effect although the store has lost its record.
    pub fn must_wait_for_orders(
        &self,
        record: Option<&LeadershipRecord>,
        order_settles: Duration,
    ) -> bool {
        if self.known_for >= order_settles {
            return false;
        }
        match record {
            Some(record) => record.era != self.era.0,
            // A daemon that has just started cannot know of a lost record.
            None => self.knew_earlier_era,
        }
    }
}

impl RecordSource {
    /// Decides between the record that a daemon knows and the one that the store holds in this era.
    ///
    /// A record of the current era is authoritative, since its writer first waited for the other daemons to republish
    /// theirs. A stored record of an earlier era comes from the backup or from a delayed call, so the later one wins.
    pub fn choose(
        known: Option<&LeadershipRecord>,
        stored: Option<&LeadershipRecord>,
        era: Era,
    ) -> RecordSource {
        match (known, stored) {
            (_, Some(stored)) if stored.era == era.0 => RecordSource::Stored,
            (Some(known), Some(stored)) if known.is_later_than(stored) => RecordSource::Known,
            (Some(_), None) if era > Era::NONE => RecordSource::Known,
            _ => RecordSource::Stored,
        }
    }
}

/// A change of primary that is in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryChange {
    /// Identifies this attempt; daemons acknowledge with it that they have stopped using the primary.
    pub id: String,
    /// Why the change began, for operators.
    pub reason: String,
    /// The server whose promotion may have been ordered. No other one may be ordered while this may still take effect.
    pub chosen: Option<ChosenServer>,
}

/// The server chosen as the new primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChosenServer {
    /// Its identity.
    pub server: String,
    /// The last log position of the previous term that it keeps.
    #[serde(rename = "keeps")]
    pub kept_position: u64,
}

/// Term starts that a record keeps; older ones matter only to sessions without later writes.
const MAX_TERM_STARTS: usize = 32;

impl LeadershipRecord {
    /// Whether this record was written after another one of the group. Records from before the first era have no
    /// edition; among those the one with the more advanced change is later, since a promotion may have been ordered.
    pub fn is_later_than(&self, other: &LeadershipRecord) -> bool {
        let stage = |record: &LeadershipRecord| match &record.change {
            None => 0,
            Some(change) => 1 + u8::from(change.chosen.is_some()),
        };
        let order =
            |record: &LeadershipRecord| (record.era, record.edition, record.term, stage(record));
        order(self) > order(other)
    }

    /// Returns the record after the chosen server has become primary in `term`.
    pub fn with_new_primary(
        &self,
        chosen: &ChosenServer,
        incarnation: Option<ServerIncarnation>,
        term: u64,
    ) -> LeadershipRecord {
        let mut starts = self.starts.clone();
        // A primary that only restarted stays in its term.
        if term > self.term {
            let start = model::Position(chosen.kept_position);
            starts.push(TermStart { term: model::Term(term), start });
        }
        let surplus = starts.len().saturating_sub(MAX_TERM_STARTS);
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

/// Returns the size of a majority of a group with this many servers.
pub fn majority(servers: usize) -> usize {
    servers / 2 + 1
}

/// Whether a group is fenced: a majority of its servers is stopped, so that queries of the servers can't grant a primary
/// lease. The statuses must be those of now; `term` is the term for which the servers were paused.
///
/// A pause ends with any resume, and the resume of a former promoter may arrive late. A primary that has stepped down
/// does not lead its term again without a restart.
pub fn is_fenced(answered: &[StoppedServer], term: Term, servers: usize) -> bool {
    answered.iter().filter(|server| server.is_stopped(term)).count() >= majority(servers)
}

/// Whether the old primary answered that it does not lead.
pub fn has_stepped_down(answered: &[StoppedServer]) -> bool {
    answered.iter().any(|server| server.is_old_primary && !server.status.leads)
}

/// The progress of fencing a primary. It is complete once the group has been fenced for the evidence duration, and every
/// daemon has acknowledged the stop or its primary lease has expired.
#[derive(Clone, Copy, Debug)]
pub struct FencingProgress {
    /// When the change was stored.
    pub recorded_at: Instant,
    /// When the group was fenced.
    pub fenced_at: Option<Instant>,
    /// Whether every daemon that may hold a primary lease has acknowledged the stop.
    pub all_acknowledged: bool,
}

/// How long primary leases last.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryLeaseDurations {
    /// Lease duration after a read of the leadership records.
    pub store: Duration,
    /// Lease duration after statuses of a majority of the servers.
    pub evidence: Duration,
}

/// The ratio by which the clock rates of two hosts may differ.
const CLOCK_RATE_MARGIN: f64 = 1.05;

impl FencingProgress {
    /// Returns when the stop is complete if no further answer arrives; `None` if the group is not fenced.
    pub fn complete_at(&self, bounds: PrimaryLeaseDurations) -> Option<Instant> {
        let fenced = self.fenced_at? + bounds.evidence.mul_f64(CLOCK_RATE_MARGIN);
        Some(fenced.max(self.daemons_stopped_at(bounds)))
    }

    /// Returns when the old primary of a planned change is stepped down if no further answer arrives: as late as possible
    /// without delaying the completion.
    pub fn step_down_at(&self, bounds: PrimaryLeaseDurations) -> Instant {
        match self.all_acknowledged {
            true => self.recorded_at,
            false => {
                let lead = bounds.store.saturating_sub(bounds.evidence);
                self.recorded_at + lead.mul_f64(CLOCK_RATE_MARGIN)
            }
        }
    }

    /// Returns when no daemon holds a primary lease on the basis of the store if no further answer arrives.
    fn daemons_stopped_at(&self, bounds: PrimaryLeaseDurations) -> Instant {
        match self.all_acknowledged {
            true => self.recorded_at,
            false => self.recorded_at + bounds.store.mul_f64(CLOCK_RATE_MARGIN),
        }
    }
}

/// Whether enough witnesses report the primary as unreachable to replace it.
///
/// A single daemon may itself be disconnected, so a third of the witnesses must agree, and at least two of them if
/// there are more than one.
pub fn is_primary_lost(suspecting: usize, witnesses: usize) -> bool {
    let needed = witnesses.div_ceil(3).max(2).min(witnesses.max(1));
    suspecting >= needed
}
