//! The status that a server reports about itself.

use serde::{Deserialize, Serialize};

use crate::{LogPoint, Position, Term};

/// The role that a server reports. It does not prove by itself that the role is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// It accepts writes.
    Primary,
    /// It replicates from a primary.
    Replica,
}

/// The point at which a term's history begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term that begins.
    pub term: Term,
    /// The last position of the earlier history that the term keeps.
    pub start: Position,
}

/// A server's answer to a status query.
///
/// Received from the endpoint over the caller protocol; see `docs/ENDPOINTS.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The highest term that the server was sealed at; it refuses writes and changes of lower terms.
    pub promised_term: Term,
    /// The term of the history that the server holds, once it matches the history of that term's primary.
    pub log_term: Term,
    /// The last position that the server holds and would keep if it was promoted.
    pub held_position: Position,
    /// The last position that is visible to reads on the server.
    pub applied_position: Position,
    /// The role that the server reports.
    pub role: ServerRole,
    /// How long ago a replica last heard from its primary, in milliseconds; `None` at a primary.
    pub leader_silence_ms: Option<u64>,
    /// The starts of the terms in its history, oldest first.
    pub term_starts: Vec<TermStart>,
}

impl ServerStatus {
    /// Returns the point up to which the history is visible to reads on this server.
    pub fn applied(&self) -> LogPoint {
        LogPoint { term: self.log_term, position: self.applied_position }
    }

    /// Returns the point up to which this server holds the history.
    pub fn held(&self) -> LogPoint {
        LogPoint { term: self.log_term, position: self.held_position }
    }

    /// Returns whether the server reports that it is primary and is not sealed above its own term.
    pub fn leads(&self) -> bool {
        self.role == ServerRole::Primary && self.promised_term == self.log_term
    }
}
