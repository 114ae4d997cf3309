//! What the platform's store remembers of a group's leadership.

use model::{Position, Term};
use serde::{Deserialize, Serialize};

/// How far the change of primary that a record describes has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "stage", rename_all = "snake_case")]
pub enum RecordStage {
    /// A driver has claimed the term and is sealing servers.
    Claimed,
    /// The new primary is chosen. From here on any daemon may open it, as often as it likes.
    Chosen {
        /// The name of the server.
        server: String,
        /// The last position of the history that the new term keeps.
        start: Position,
    },
}

/// The value stored for a group; moved by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// The term that is being opened, or was opened last.
    pub term: Term,
    /// Made up by the driver, so that a lost answer can be resolved by reading the record back.
    pub claim_id: String,
    /// The host whose daemon drives.
    pub driver: String,
    /// How far it has come.
    #[serde(flatten)]
    pub stage: RecordStage,
}

impl LeadershipRecord {
    /// Returns the key under which a group's record is stored.
    pub fn key(prefix: &str, service: &str, group: &str) -> String {
        format!("{prefix}/leadership/{service}/{group}")
    }
}
