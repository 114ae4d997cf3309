//! The interface to the metadata store.

use std::{fmt, time::Duration};

use bytes::Bytes;

pub use crate::revision::{Era, Revision};

/// The identity of a lease. A restored store reuses its numbers, so the number alone may name another owner's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// The era in which it was granted; the lease ends with the era.
    pub era: Era,
    /// The number that the store assigned.
    pub number: u64,
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era::NONE => write!(f, "{}", self.number),
            era => write!(f, "{}@{era}", self.number),
        }
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: Revision,
    /// The revision at which it was created.
    pub created: Revision,
}

/// Items that were read from the store, with its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision when the first of them was read.
    pub revision: Revision,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed, or its lease expired.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Returns the key that changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put(item) => &item.key,
            Change::Removed { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(item) => item.revision,
            Change::Removed { revision, .. } => *revision,
        }
    }
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first; empty if the wait timed out.
    pub changes: Vec<Change>,
    /// The revision after which the next watch continues.
    pub revision: Revision,
}

/// An atomic change under conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revision that they must have; [`Revision::ABSENT`] means that the key must not exist.
    pub expected: Vec<(String, Revision)>,
    /// Keys to write with their values, and the leases that they are attached to.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction was committed at this revision.
    Done(Revision),
    /// A condition did not hold; nothing was changed.
    Conflict,
    /// A lease that a key is attached to has ended; nothing was changed.
    LeaseOver,
}

/// The consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The read shows every change that was acknowledged before it began.
    Linearizable,
    /// The result may be seconds old and costs the store less.
    Stale,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MetadataError {
    /// The store reported that nothing was done, or could not be reached.
    NotDone(String),
    /// No answer arrived; a write may have been applied, or may be applied later.
    NoAnswer(String),
    /// An answer began but was not complete in time: the network is slow, but the store is reachable. A write may have
    /// been applied.
    IncompleteAnswer,
    /// The store no longer has the history that a watch asked for.
    HistoryGone,
    /// The answer belongs to another era of the store than the call or earlier answers. A write may have been applied.
    EraChanged(Era),
    /// The store's answer can't be decoded.
    Malformed(String),
}

impl fmt::Display for MetadataError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MetadataError::NotDone(why) => write!(f, "the store did not run the call: {why}"),
            MetadataError::NoAnswer(why) => write!(f, "no answer from the store: {why}"),
            MetadataError::IncompleteAnswer => {
                f.write_str("the store's answer was not complete in time")
            }
            MetadataError::HistoryGone => {
                f.write_str("the store no longer has the requested history")
            }
            MetadataError::EraChanged(era) => write!(f, "the store is in era {era}"),
            MetadataError::Malformed(why) => write!(f, "the store's answer is malformed: {why}"),
        }
    }
}

impl std::error::Error for MetadataError {}

/// The timeouts of a read. A store that does not begin to answer fails the read early; an answer that has begun gets
/// more time, since it may be large or the network slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimeouts {
    /// The time until the answer begins.
    pub answer: Duration,
    /// The time until the answer is complete.
    pub complete: Duration,
}

impl From<Duration> for ReadTimeouts {
    fn from(timeout: Duration) -> ReadTimeouts {
        ReadTimeouts { answer: timeout, complete: timeout }
    }
}

/// The metadata store. Every call ends at its timeout, and the adapter does not retry calls.
#[allow(async_fn_in_trait, reason = "the engine uses it on one thread only")]
pub trait MetadataStore: 'static {
    /// Returns the latest known era of the store. Answers of earlier eras are refused.
    fn era(&self) -> Era;
    /// Records an era that another daemon reported. Answers of earlier eras are refused from then on.
    fn record_era(&self, era: Era);
    /// Reads a key; `None` when it does not exist.
    async fn get(&self, key: &str, timeout: Duration) -> Result<Option<Item>, MetadataError>;
    /// Reads every key below a prefix.
    async fn range(
        &self,
        prefix: &str,
        consistency: Consistency,
        timeouts: ReadTimeouts,
    ) -> Result<Snapshot, MetadataError>;
    /// Waits for changes after a revision, at most for `wait`.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, MetadataError>;
    /// Commits a transaction.
    async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<TransactionOutcome, MetadataError>;
    /// Acquires a lease that lasts for `time_to_live` unless it is renewed.
    async fn grant(
        &self,
        time_to_live: Duration,
        timeout: Duration,
    ) -> Result<LeaseId, MetadataError>;
    /// Renews a lease; `false` if it has ended.
    async fn renew(&self, lease: LeaseId, timeout: Duration) -> Result<bool, MetadataError>;
    /// Ends a lease and removes its keys.
    async fn revoke(&self, lease: LeaseId, timeout: Duration) -> Result<(), MetadataError>;
}
