//! Statement classes and request priorities.

/// The effect of a request, judged by its text; a request with a write among its statements is a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StatementClass {
    /// It provably changes nothing, so it may run on a replica and may be repeated.
    Read,
    /// It may change data, so it runs on the primary at most once.
    Write,
}

/// The order in which waiting requests get connections; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Writes and transactions.
    Urgent,
    /// Reads that must see the session's own writes.
    Normal,
    /// Reads of a kind with a configured staleness bound.
    Relaxed,
}

impl Priority {
    /// Every priority, highest first.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Relaxed];

    /// Returns the index in [`Priority::ALL`].
    pub fn index(self) -> usize {
        match self {
            Priority::Urgent => 0,
            Priority::Normal => 1,
            Priority::Relaxed => 2,
        }
    }
}
