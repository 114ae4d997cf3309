//! The narrow interface to the key-value service.

use std::{fmt, time::Duration};

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Changes with every write of the key and never returns to an earlier number.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// How a compare-and-swap ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written.
    Applied,
    /// The key had another version; nothing was written.
    Conflict,
}

/// A lease, by the service's name for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease(pub String);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The service could not be reached or refused the call; a write has not taken effect.
    Unreachable(String),
    /// The answer was lost; a write may have taken effect.
    AnswerLost(String),
    /// The service answered something that can't be understood.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unreachable(detail) => write!(f, "the store can't be reached: {detail}"),
            StoreError::AnswerLost(detail) => write!(f, "the store's answer was lost: {detail}"),
            StoreError::Malformed(detail) => write!(f, "the store's answer is malformed: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The key-value service. Calls block the thread; daemons call from a duty's own thread.
pub trait KeyValueStore: Send + Sync {
    /// Reads a key; `None` when it does not exist.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Writes a key if it still has the version; 0 means if it does not exist.
    fn compare_and_swap(
        &self,
        key: &str,
        expected_version: u64,
        value: &[u8],
    ) -> Result<CasOutcome, StoreError>;

    /// Removes a key; one that does not exist is no error.
    fn delete(&self, key: &str) -> Result<(), StoreError>;

    /// Waits until the key has another version than the one known, or the time is over.
    ///
    /// Returns the entry as it then is. One waiting call counts like any other call.
    fn watch(
        &self,
        key: &str,
        known_version: u64,
        wait: Duration,
    ) -> Result<Option<Entry>, StoreError>;

    /// Takes a lease that lapses unless it is renewed within `time_to_live`.
    fn create_lease(&self, name: &str, time_to_live: Duration) -> Result<Lease, StoreError>;

    /// Renews a lease; `false` when it has lapsed.
    fn renew_lease(&self, lease: &Lease) -> Result<bool, StoreError>;
}
