//! The urgency of statements.

/// Number of ranks.
pub const RANKS: usize = 4;

/// The urgency of a statement; 0 is the most urgent. Priorities beyond the last rank map to the last rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Rank; RANKS] = [Rank(0), Rank(1), Rank(2), Rank(3)];

    /// Returns the rank of a route's priority; 0 is the most urgent.
    pub fn of_priority(priority: u8) -> Rank {
        Rank(priority.min(RANKS as u8 - 1))
    }

    /// Returns the index of the rank in an array with one element per rank.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
