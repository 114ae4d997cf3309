//! The session token that callers keep.

use std::{collections::BTreeMap, fmt, str::FromStr};

use model::{LogPoint, Name};

/// The first part of every token, which identifies the version of the format.
const VERSION_TAG: &str = "w1";

/// The maximum number of entries that are parsed, to limit the memory for a text from a caller.
const MAX_ENTRIES: usize = 4_096;

/// The highest point that a session's acknowledged writes reached in each group of its service.
///
/// Its text is `w1;group@term:position;…`. The text is not secret and grants no permissions: a forged
/// token can only delay or fail the reads that use it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionToken {
    points: BTreeMap<Name, LogPoint>,
}

impl SessionToken {
    /// Returns the point that the session must see in a group; `None` if it has written nothing there.
    pub fn point(&self, group: &str) -> Option<LogPoint> {
        self.points.get(group).copied()
    }

    /// Records an acknowledged write. A point below the recorded one is ignored.
    pub fn advance(&mut self, group: &Name, point: LogPoint) {
        match self.points.get_mut(group) {
            Some(recorded) => *recorded = (*recorded).max(point),
            None => {
                self.points.insert(group.clone(), point);
            }
        }
    }

    /// Adds the writes of another connection of the same session.
    pub fn merge(&mut self, other: &SessionToken) {
        for (group, point) in &other.points {
            self.advance(group, *point);
        }
    }

    /// Returns whether the session has written nothing.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(VERSION_TAG)?;
        for (group, point) in &self.points {
            write!(f, ";{group}@{point}")?;
        }
        Ok(())
    }
}

/// The error for a text that is not a session token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidToken {
    /// The part that could not be parsed, shortened.
    pub part: String,
}

impl fmt::Display for InvalidToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a session token: expected `w1;group@term:position;…`, found `{}`", self.part)
    }
}

impl std::error::Error for InvalidToken {}

impl FromStr for SessionToken {
    type Err = InvalidToken;

    fn from_str(text: &str) -> Result<SessionToken, InvalidToken> {
        let mut token = SessionToken::default();
        if text.is_empty() {
            return Ok(token);
        }
        let mut parts = text.split(';');
        if parts.next() != Some(VERSION_TAG) {
            return Err(invalid(text));
        }
        for part in parts {
            let (group, point) = part.split_once('@').ok_or_else(|| invalid(part))?;
            let point = point.parse().map_err(|_| invalid(part))?;
            if group.is_empty() || token.points.len() == MAX_ENTRIES {
                return Err(invalid(part));
            }
            token.advance(&Name::from(group), point);
        }
        Ok(token)
    }
}

/// The maximum number of characters of the malformed text in an error.
const MAX_QUOTED_CHARS: usize = 60;

fn invalid(part: &str) -> InvalidToken {
    InvalidToken { part: part.chars().take(MAX_QUOTED_CHARS).collect() }
}
