//! The start of each term of a group, which shows which writes survived its promotions.

use model::{LogPoint, Position, Term, TermStart};

/// The state of a write in a group's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// The history contains it, so a server that has reached its position has it.
    Kept,
    /// A later term began below its position, so the write was lost in a promotion.
    Lost,
    /// Its term is newer than the history.
    UnknownTerm,
}

/// The starts of a group's terms, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TermHistory {
    starts: Vec<TermStart>,
}

/// The maximum number of starts that are kept, the newest ones. A write of an older term is checked
/// against these only.
const MAX_TERMS: usize = 64;

impl TermHistory {
    /// Creates a history from the starts that a server reports, in any order.
    pub fn new(mut starts: Vec<TermStart>) -> TermHistory {
        starts.sort_by_key(|start| start.term);
        starts.dedup_by_key(|start| start.term);
        let surplus = starts.len().saturating_sub(MAX_TERMS);
        starts.drain(..surplus);
        TermHistory { starts }
    }

    /// Returns the newest term of the history; `None` if the history is empty.
    pub fn latest(&self) -> Option<Term> {
        self.starts.last().map(|start| start.term)
    }

    /// Returns whether a write at `point` is part of this history.
    ///
    /// The history keeps the write if and only if no later term began below its position.
    pub fn write_status(&self, point: LogPoint) -> WriteStatus {
        if self.latest().is_none_or(|latest| point.term > latest) {
            return WriteStatus::UnknownTerm;
        }
        let kept_until = self.end_of(point.term);
        if kept_until.is_some_and(|end| point.position > end) {
            WriteStatus::Lost
        } else {
            WriteStatus::Kept
        }
    }

    /// Returns the point, limited to the end of its term if a later term began below it. Every write up
    /// to `point` that the history kept is at or before the result.
    pub fn clamp(&self, point: LogPoint) -> LogPoint {
        match self.end_of(point.term) {
            Some(end) if point.position > end => LogPoint { position: end, ..point },
            _ => point,
        }
    }

    /// Returns the lowest position at which a later term began; `None` for the latest term.
    fn end_of(&self, term: Term) -> Option<Position> {
        let later = self.starts.iter().rev().take_while(|start| start.term > term);
        later.map(|start| start.start).min()
    }

    /// Replaces this history if the other one has a newer term; returns whether it did.
    pub fn replace_if_newer(&mut self, other: &TermHistory) -> bool {
        if other.latest() <= self.latest() {
            return false;
        }
        self.starts.clone_from(&other.starts);
        true
    }

    /// Returns the starts, oldest first.
    pub fn starts(&self) -> &[TermStart] {
        &self.starts
    }
}
