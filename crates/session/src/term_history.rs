//! Where each term of a group began, which decides what survived the promotions.

use model::{LogPoint, Position, Term, TermStart};

/// How a write stands to a group's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// The history keeps it, so a server that has reached its position shows it.
    Kept,
    /// A later term began below it: the write did not survive.
    Lost,
    /// It is of a term that the history does not know yet.
    UnknownTerm,
}

/// The starts of a group's terms, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TermHistory {
    starts: Vec<TermStart>,
}

/// Older starts are forgotten; a session that has written nothing for so many promotions is rare,
/// and its old token is then judged against the oldest start that is kept.
const KEPT_TERMS: usize = 64;

impl TermHistory {
    /// Takes the starts as a server reports them.
    pub fn new(mut starts: Vec<TermStart>) -> TermHistory {
        starts.sort_by_key(|start| start.term);
        starts.dedup_by_key(|start| start.term);
        let surplus = starts.len().saturating_sub(KEPT_TERMS);
        starts.drain(..surplus);
        TermHistory { starts }
    }

    /// Returns the newest term that the history knows.
    pub fn latest(&self) -> Option<Term> {
        self.starts.last().map(|start| start.term)
    }

    /// Says whether a write at `point` is part of this history.
    ///
    /// The write survives exactly when no term after its own began below its position.
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

    /// Returns a point moved down to where its own term's history ended, if a later term began below
    /// it. Whatever was kept of what stood at or before the point stands at or before the result.
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

    /// Takes over a longer history; returns whether anything changed.
    pub fn learn(&mut self, other: &TermHistory) -> bool {
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
