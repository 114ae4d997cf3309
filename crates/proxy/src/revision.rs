//! Where the store stands: a revision within an era.
//!
//! A store that was restored from an older copy has lost writes that it had acknowledged, and gives their revisions out
//! again. It then begins a new era. Two revisions can only be compared together with their eras, so the number is not
//! to be had by itself but where it goes to the store. See `docs/design/store-restored.md`.

use std::fmt;

/// Bits of a fencing token that hold a revision's number: a store that makes a thousand changes a second fills them in 34
/// years. Together with [`Era::LAST`] a token stays below 2⁵³, so that it survives a reader that takes it for a float.
const TOKEN_NUMBER_BITS: u32 = 40;

/// How often the store was restored. A later era supersedes all that was known of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl Era {
    /// That of a store which does not tell of eras.
    pub const NONE: Era = Era(0);
    /// The last one that a fencing token has room for; a greater number is none that a store can have counted to.
    pub const LAST: Era = Era((1 << 13) - 1);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A revision of the store; each change anywhere in it raises it. Any revision of a later era is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    // The order of the fields is that of the comparison.
    era: Era,
    number: u64,
}

impl Revision {
    /// Before every change. As an expectation: the key does not exist.
    pub const ABSENT: Revision = Revision { era: Era::NONE, number: 0 };
    /// After every change.
    pub const MAX: Revision = Revision { era: Era(u64::MAX), number: u64::MAX };

    /// Makes a revision from the store's number in an era.
    pub const fn new(era: Era, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Returns the era.
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns the number by itself, for whatever tells the era beside it: the store, messages, the log.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns the fencing token that stands for what was created at this revision. It rises with the revision, and is the
    /// number itself where there are no eras: a token never falls although the store gives its numbers out again.
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
