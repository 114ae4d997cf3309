//! Terms and log positions, which identify a point in a group's history.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The number of a group's period under one primary; each promotion increases it by at least one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// Returns the next higher term, for a promotion.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in a group's log, in the endpoint's own unit; it never decreases within a term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position(pub u64);

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position together with the term in which it was written.
///
/// Points are ordered by term first. A promotion uses this order to choose between servers: a shorter
/// log of a newer term is preferred to a longer log of an older one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPoint {
    /// The term in which the position was written.
    pub term: Term,
    /// The position in the log.
    pub position: Position,
}

impl LogPoint {
    /// Creates a point from plain numbers.
    pub fn new(term: u64, position: u64) -> LogPoint {
        LogPoint { term: Term(term), position: Position(position) }
    }
}

impl fmt::Display for LogPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.position)
    }
}

/// The error for a text that does not have the form `term:position`.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidLogPoint;

impl fmt::Display for InvalidLogPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected term:position, two whole numbers joined by a colon")
    }
}

impl std::error::Error for InvalidLogPoint {}

impl FromStr for LogPoint {
    type Err = InvalidLogPoint;

    fn from_str(text: &str) -> Result<LogPoint, InvalidLogPoint> {
        let (term, position) = text.split_once(':').ok_or(InvalidLogPoint)?;
        Ok(LogPoint::new(parse_number(term)?, parse_number(position)?))
    }
}

fn parse_number(text: &str) -> Result<u64, InvalidLogPoint> {
    // `u64::from_str` accepts a leading plus sign, which would allow two spellings of one point.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidLogPoint);
    }
    text.parse().map_err(|_| InvalidLogPoint)
}
