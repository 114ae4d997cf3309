//! The interface to the key-value service.

use std::{fmt, time::Duration};

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The version, which changes with every write of the key and is never reused.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written.
    Applied,
    /// The key had another version; nothing was written.
    Conflict,
}

/// The id that the service assigned to a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease(pub String);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The service could not be reached or refused the call; a write has not taken effect.
    Unreachable(String),
    /// The answer was lost; a write may have taken effect.
    AnswerLost(String),
    /// The service's answer can't be decoded.
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

/// The key-value service. Calls block the thread, so daemons make them on dedicated threads.
pub trait KeyValueStore: Send + Sync {
    /// Reads a key; `None` if it does not exist.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Writes a key if it still has the expected version; 0 means that the key must not exist.
    fn compare_and_swap(
        &self,
        key: &str,
        expected_version: u64,
        value: &[u8],
    ) -> Result<CasOutcome, StoreError>;

    /// Removes a key. A key that does not exist is not an error.
    fn delete(&self, key: &str) -> Result<(), StoreError>;

    /// Waits until the key has a version other than `known_version`, or until `wait` has passed.
    ///
    /// Returns the current entry. The service counts a waiting call as one call.
    fn watch(
        &self,
        key: &str,
        known_version: u64,
        wait: Duration,
    ) -> Result<Option<Entry>, StoreError>;

    /// Acquires a lease that expires unless it is renewed within `time_to_live`.
    fn create_lease(&self, name: &str, time_to_live: Duration) -> Result<Lease, StoreError>;

    /// Renews a lease; `false` if it has expired.
    fn renew_lease(&self, lease: &Lease) -> Result<bool, StoreError>;
}
