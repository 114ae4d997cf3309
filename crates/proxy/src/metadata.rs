//! The metadata store, as the engine sees it.

use std::{fmt, time::Duration};

use bytes::Bytes;

pub use crate::revision::{Era, Revision};

/// A lease, by the store's number for it. A store that was restored gives its numbers out again, so the number alone may
/// name somebody else's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// The era in which it was granted; it ends with it.
    pub era: Era,
    /// The store's number.
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

/// Items with the revision of the store as they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision when the first of them was read.
    pub revision: Revision,
}

/// A change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed, or its lease ran out.
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

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first; none when the wait was over.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub revision: Revision,
}

/// A change under conditions: all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revision that they must have; [`Revision::ABSENT`] means that the key must not exist.
    pub expected: Vec<(String, Revision)>,
    /// Keys to write, with the lease that they go with.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It was done at this revision.
    Done(Revision),
    /// A condition did not hold; nothing was done.
    Conflict,
    /// The lease is over; nothing was done.
    LeaseOver,
}

/// Whether a read may be answered from an older state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// It shows every change that was acknowledged before it was asked.
    Linearizable,
    /// It may be seconds old and costs a tenth.
    Stale,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MetadataError {
    /// The store said that nothing was done, or could not be reached at all.
    NotDone(String),
    /// No answer came; a write may have been done, or may be done later.
    NoAnswer(String),
    /// An answer began and did not end in time: the link is full or slow, not the store away. A write may have been done.
    Unfinished,
    /// The history that a watch asked for is gone.
    HistoryGone,
    /// What the call rests on is of another era of the store than its answer, or than answers before it. A write may have
    /// been done.
    EraChanged(Era),
    /// The store answered something that can't be understood.
    Malformed(String),
}

impl fmt::Display for MetadataError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MetadataError::NotDone(why) => write!(f, "the store did nothing: {why}"),
            MetadataError::NoAnswer(why) => write!(f, "the store's answer is missing: {why}"),
            MetadataError::Unfinished => {
                f.write_str("only part of the store's answer came in time")
            }
            MetadataError::HistoryGone => f.write_str("the store's history is gone"),
            MetadataError::EraChanged(era) => write!(f, "the store is in era {era}"),
            MetadataError::Malformed(why) => write!(f, "the store's answer is malformed: {why}"),
        }
    }
}

impl std::error::Error for MetadataError {}

/// How long a call may take. A store that says nothing is given up soon; an answer that has begun may be
/// large, and its link slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimeouts {
    /// Until the answer begins.
    pub answer: Duration,
    /// Until all of it is there.
    pub whole: Duration,
}

impl From<Duration> for ReadTimeouts {
    fn from(time: Duration) -> ReadTimeouts {
        ReadTimeouts { answer: time, whole: time }
    }
}

/// The store. Every call ends after the time it is given; none is repeated by the adapter.
#[allow(async_fn_in_trait, reason = "the engine uses it on one thread only")]
pub trait MetadataStore: 'static {
    /// Returns the latest era that an answer of the store told of, and that answers are taken from.
    fn era(&self) -> Era;
    /// Notes an era that another daemon heard of: answers of an earlier one are refused from then on.
    fn note_era(&self, era: Era);
    /// Reads a key; `None` when it does not exist.
    async fn get(&self, key: &str, timeout: Duration) -> Result<Option<Item>, MetadataError>;
    /// Reads every key below a prefix.
    async fn range(
        &self,
        prefix: &str,
        consistency: Consistency,
        patience: ReadTimeouts,
    ) -> Result<Snapshot, MetadataError>;
    /// Waits for changes after a revision, at most for `wait`.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, MetadataError>;
    /// Does a transaction.
    async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<TransactionOutcome, MetadataError>;
    /// Takes a lease.
    async fn grant(&self, lasts: Duration, timeout: Duration) -> Result<LeaseId, MetadataError>;
    /// Renews a lease; `false` when it is over.
    async fn renew(&self, lease: LeaseId, timeout: Duration) -> Result<bool, MetadataError>;
    /// Ends a lease with its keys.
    async fn revoke(&self, lease: LeaseId, timeout: Duration) -> Result<(), MetadataError>;
}
