//! What a server says of itself.

use serde::{Deserialize, Serialize};

use crate::{LogPoint, Position, Term};

/// What a server believes it is. It is a claim and proves nothing by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// The point at which a term's history begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term that begins.
    pub term: Term,
    /// The last position of the history before it, which the new term keeps.
    pub start: Position,
}

/// A server's answer to a status query.
///
/// Received from the endpoint over the caller protocol; see `docs/ENDPOINTS.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The highest term that this server was sealed at; it refuses writes and changes of lower ones.
    pub promised_term: Term,
    /// The term of the history that it holds, once it matches that term's primary.
    pub log_term: Term,
    /// The last position that it holds and would keep if promoted.
    pub held_position: Position,
    /// The last position that its reads can see.
    pub applied_position: Position,
    /// What it believes it is.
    pub role: ServerRole,
    /// How long ago a replica last heard from its primary, in milliseconds; `None` at a primary.
    pub leader_silence_ms: Option<u64>,
    /// The starts of the terms in its history, oldest first.
    pub term_starts: Vec<TermStart>,
}

impl ServerStatus {
    /// Returns the point up to which this server's reads see the history.
    pub fn applied(&self) -> LogPoint {
        LogPoint { term: self.log_term, position: self.applied_position }
    }

    /// Returns the point up to which this server holds the history.
    pub fn held(&self) -> LogPoint {
        LogPoint { term: self.log_term, position: self.held_position }
    }

    /// Whether the server takes writes of its own term: it believes it leads and is not sealed above.
    pub fn leads(&self) -> bool {
        self.role == ServerRole::Primary && self.promised_term == self.log_term
    }
}
