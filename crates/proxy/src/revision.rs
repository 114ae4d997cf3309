//! Revisions of the metadata store, and the eras that they belong to.
//!
//! A store that is restored from a backup loses acknowledged writes and reuses their revision numbers, so it begins a
//! new era. Numbers can only be compared together with their eras; a number without its era is for the store, messages
//! and logs. See `docs/design/store-restored.md`.

use std::fmt;

/// Number of bits of a fencing token that hold a revision's number. With [`Era::LAST`] a token stays below 2⁵³, so that
/// JSON readers that parse numbers as floats keep it exact.
const TOKEN_NUMBER_BITS: u32 = 40;

/// The number of times that the store was restored. A later era supersedes what was read in earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl Era {
    /// The era of a store that does not report eras.
    pub const NONE: Era = Era(0);
    /// The last era that fits into a fencing token; greater numbers are invalid.
    pub const LAST: Era = Era((1 << 13) - 1);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A revision of the store, which increases with every change of any key. A revision of a later era is always greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    // The derived ordering compares the fields in this order.
    era: Era,
    number: u64,
}

impl Revision {
    /// The revision before every change. As an expected revision it means that the key does not exist.
    pub const ABSENT: Revision = Revision { era: Era::NONE, number: 0 };
    /// The revision after every change.
    pub const MAX: Revision = Revision { era: Era(u64::MAX), number: u64::MAX };

    /// Creates a revision from the store's number in an era.
    pub const fn new(era: Era, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Returns the era.
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns the number without the era, for the store, messages and logs that carry the era separately.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns the fencing token of a key that was created at this revision. Tokens increase with the revision, even
    /// when a restored store reuses its numbers. Without eras the token is the number itself.
    pub fn fencing_token(self) -> u64 {
        (self.era.0 << TOKEN_NUMBER_BITS) + self.number
    }

    /// Returns the revision right after this one.
    pub fn next(self) -> Revision {
        Revision { number: self.number.saturating_add(1), ..self }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era::NONE => write!(f, "{}", self.number),
            era => write!(f, "{era}:{}", self.number),
        }
    }
}
