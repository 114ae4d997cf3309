//! How urgent a statement is, in the few steps that queues tell apart.

/// The steps that are told apart.
pub const RANKS: usize = 4;

/// How urgent a statement is; the most urgent is 0. Less urgent priorities than [`RANKS`] has room for count as the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// Every rank, the most urgent first.
    pub const ALL: [Rank; RANKS] = [Rank(0), Rank(1), Rank(2), Rank(3)];

    /// Returns the rank of a route's priority, 0 for the most urgent.
    pub fn of_priority(priority: u8) -> Rank {
        Rank(priority.min(RANKS as u8 - 1))
    }

    /// Returns its place in an array that has one for each rank.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
