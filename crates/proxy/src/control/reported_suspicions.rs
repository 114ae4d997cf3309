//! The suspicions that this daemon has reported to the store, and those that are still to be written.
//!
//! Each suspicion is a key in the store, and every daemon receives each write. Several suspicions are therefore written
//! in one transaction, and none is written again before the watch has had time to return it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// How long a committed write may take to arrive through the watch before the key is written again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest number of keys that one transaction writes, which is the store's limit.
const MAX_WRITES_PER_TRANSACTION: usize = 32;

/// The suspicion keys to write in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingSuspicionWrites {
    /// Suspicions to add.
    pub puts: Vec<String>,
    /// Suspicions to remove.
    pub removes: Vec<String>,
}

impl PendingSuspicionWrites {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.removes.is_empty()
    }

    fn is_full(&self) -> bool {
        self.puts.len() + self.removes.len() >= MAX_WRITES_PER_TRANSACTION
    }
}

/// The keys of this daemon's suspicions: those that the store holds, and recent writes to it.
#[derive(Debug, Default)]
pub struct ReportedSuspicions {
    stored: BTreeSet<String>,
    /// Recent writes that the watch has not returned yet: whether the key was put, and when.
    written: BTreeMap<String, (bool, Instant)>,
}

impl ReportedSuspicions {
    /// Records whether the store holds a key.
    pub fn on_store_change(&mut self, key: &str, is_present: bool) {
        match is_present {
            true => self.stored.insert(key.to_owned()),
            false => self.stored.remove(key),
        };
        if self.written.get(key).is_some_and(|(put, _)| *put == is_present) {
            self.written.remove(key);
        }
    }

    /// Records that the store committed these writes.
    pub fn on_written(&mut self, pending_writes: &PendingSuspicionWrites, now: Instant) {
        for key in &pending_writes.puts {
            self.written.insert(key.clone(), (true, now));
        }
        for key in &pending_writes.removes {
            self.written.insert(key.clone(), (false, now));
        }
    }

    /// Forgets writes under a lease that has expired.
    pub fn forget_written(&mut self) {
        self.written.clear();
    }

    /// Returns the writes after which the store holds the `wanted` keys, up to the limit of one transaction. A missing
    /// key is added only if `may_put` allows it.
    pub fn pending_writes(
        &mut self,
        wanted: &BTreeSet<String>,
        now: Instant,
        mut may_put: impl FnMut(&str) -> bool,
    ) -> PendingSuspicionWrites {
        self.written.retain(|_, (_, at)| now.duration_since(*at) < WATCH_TIMEOUT);
        let mut pending_writes = PendingSuspicionWrites::default();
        let recently_put = self.written.iter().filter(|(_, (put, _))| *put).map(|(key, _)| key);
        let known: BTreeSet<&String> = self.stored.iter().chain(recently_put).collect();
        for key in known.into_iter().filter(|key| !wanted.contains(*key)) {
            if pending_writes.is_full() {
                return pending_writes;
            }
            if self.written.get(key).is_none_or(|(put, _)| *put) {
                pending_writes.removes.push(key.clone());
            }
        }
        for key in wanted {
            if pending_writes.is_full() {
                return pending_writes;
            }
            let is_reported = match self.written.get(key) {
                Some((put, _)) => *put,
                None => self.stored.contains(key),
            };
            if !is_reported && may_put(key) {
                pending_writes.puts.push(key.clone());
            }
        }
        pending_writes
    }
}
