//! Terms and log positions: where in a group's history a change stands.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The number of a group's period under one primary; each promotion raises it by at least one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term that a promotion out of this one would open.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in a group's log, in whatever unit the endpoint counts; it only ever grows.
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
/// Points order by term first, which is the order that decides between two servers at a promotion:
/// a longer log of an older term loses against a shorter log of a newer one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPoint {
    /// The term in which the position was written.
    pub term: Term,
    /// The position itself.
    pub position: Position,
}

impl LogPoint {
    /// Joins a term and a position given as plain numbers.
    pub fn new(term: u64, position: u64) -> LogPoint {
        LogPoint { term: Term(term), position: Position(position) }
    }
}

impl fmt::Display for LogPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.position)
    }
}

/// The text was not of the form `term:position`.
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
    // `u64::from_str` takes a leading plus sign, which would give one point two spellings.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidLogPoint);
    }
    text.parse().map_err(|_| InvalidLogPoint)
}
