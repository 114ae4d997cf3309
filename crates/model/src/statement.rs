//! What a statement may do, as far as its text shows.

/// The effect of one request, of the strongest of its statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StatementClass {
    /// Shown to change nothing; it may run on a replica and may be repeated.
    Read,
    /// May change data; runs on the primary, at most once.
    Write,
}

/// The order in which waiting requests get connections; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Writes and transactions, which may not be late.
    Urgent,
    /// Reads that have to see the session's own writes.
    Normal,
    /// Reads of a kind that accepts stated staleness.
    Relaxed,
}

impl Priority {
    /// Every priority, first served first.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Relaxed];

    /// Returns the place in [`Priority::ALL`].
    pub fn index(self) -> usize {
        match self {
            Priority::Urgent => 0,
            Priority::Normal => 1,
            Priority::Relaxed => 2,
        }
    }
}
