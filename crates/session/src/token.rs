//! The session token that callers carry.

use std::{collections::BTreeMap, fmt, str::FromStr};

use model::{LogPoint, Name};

/// The first word of every token; a later form of the token would change it.
const FORM: &str = "w1";

/// No caller has this many groups; a longer text is not a token of ours.
const MOST_ENTRIES: usize = 4_096;

/// The highest point that a session's acknowledged writes reached in each group of its service.
///
/// Its text is `w1;group@term:position;…`. The text is not secret and grants nothing: a made-up
/// token can only make its own reads wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionToken {
    points: BTreeMap<Name, LogPoint>,
}

impl SessionToken {
    /// Returns what the session has to see in a group; `None` when it has written nothing there.
    pub fn point(&self, group: &str) -> Option<LogPoint> {
        self.points.get(group).copied()
    }

    /// Notes an acknowledged write. A point below the noted one changes nothing.
    pub fn advance(&mut self, group: &Name, point: LogPoint) {
        match self.points.get_mut(group) {
            Some(noted) => *noted = (*noted).max(point),
            None => {
                self.points.insert(group.clone(), point);
            }
        }
    }

    /// Joins what another connection of the same session has written.
    pub fn merge(&mut self, other: &SessionToken) {
        for (group, point) in &other.points {
            self.advance(group, *point);
        }
    }

    /// Whether the session has written nothing.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(FORM)?;
        for (group, point) in &self.points {
            write!(f, ";{group}@{point}")?;
        }
        Ok(())
    }
}

/// The text is not a session token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidToken {
    /// The part that could not be read.
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
        if parts.next() != Some(FORM) {
            return Err(invalid(text));
        }
        for part in parts {
            let (group, point) = part.split_once('@').ok_or_else(|| invalid(part))?;
            let point = point.parse().map_err(|_| invalid(part))?;
            if group.is_empty() || token.points.len() == MOST_ENTRIES {
                return Err(invalid(part));
            }
            token.advance(&Name::from(group), point);
        }
        Ok(token)
    }
}

/// How much of an unreadable text is quoted back.
const QUOTED_CHARACTERS: usize = 60;

fn invalid(part: &str) -> InvalidToken {
    InvalidToken { part: part.chars().take(QUOTED_CHARACTERS).collect() }
}
