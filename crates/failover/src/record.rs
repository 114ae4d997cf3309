//! The record of a group's leadership in the platform's store.

use model::{Position, Term};
use serde::{Deserialize, Serialize};

/// The progress of the change of primary that a record describes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "stage", rename_all = "snake_case")]
pub enum RecordStage {
    /// A driver has claimed the term and is sealing servers.
    Claimed,
    /// The new primary is chosen. Any daemon may promote it, any number of times.
    Chosen {
        /// The name of the chosen server.
        server: String,
        /// The last position of the earlier history that the new term keeps.
        start: Position,
    },
}

/// The value stored for a group; it is changed by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// The term that is being started, or was started last.
    pub term: Term,
    /// Unique to each attempt; after a lost answer, it shows whether the driver's write took effect.
    pub claim_id: String,
    /// The host whose daemon drives the change.
    pub driver: String,
    /// The progress of the change.
    #[serde(flatten)]
    pub stage: RecordStage,
}

impl LeadershipRecord {
    /// Returns the key under which a group's record is stored.
    pub fn key(prefix: &str, service: &str, group: &str) -> String {
        format!("{prefix}/leadership/{service}/{group}")
    }
}
