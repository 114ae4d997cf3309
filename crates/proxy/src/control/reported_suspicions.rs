//! What this daemon has told the store of its suspicions, and what is still to be told.
//!
//! Each suspicion is a key, and each write goes to every daemon. So they are told many at a time, with a rest between, and
//! nothing is told twice while the first word of it is on its way back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// How long a write that the store did may take to come back by the watch, before the key is written again.
const SHOWN_WITHIN: Duration = Duration::from_secs(1);
/// Keys that one transaction writes at the most; the store takes no more entries than this in one.
const MOST_AT_ONCE: usize = 32;

/// What is to be written, by one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingSuspicionWrites {
    /// Suspicions to be put.
    pub puts: Vec<String>,
    /// Suspicions to be taken back.
    pub removes: Vec<String>,
}

impl PendingSuspicionWrites {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.removes.is_empty()
    }

    fn is_full(&self) -> bool {
        self.puts.len() + self.removes.len() >= MOST_AT_ONCE
    }
}

/// The keys of this daemon's suspicions, as the store shows them and as they were told since.
#[derive(Debug, Default)]
pub struct ReportedSuspicions {
    shown: BTreeSet<String>,
    /// What was written a moment ago: whether the key was put, and when.
    written: BTreeMap<String, (bool, Instant)>,
}

impl ReportedSuspicions {
    /// Notes whether the store shows a key.
    pub fn on_shown(&mut self, key: &str, is_there: bool) {
        match is_there {
            true => self.shown.insert(key.to_owned()),
            false => self.shown.remove(key),
        };
        if self.written.get(key).is_some_and(|(put, _)| *put == is_there) {
            self.written.remove(key);
        }
    }

    /// Notes that the store did a write.
    pub fn on_written(&mut self, untold: &PendingSuspicionWrites, now: Instant) {
        for key in &untold.puts {
            self.written.insert(key.clone(), (true, now));
        }
        for key in &untold.removes {
            self.written.insert(key.clone(), (false, now));
        }
    }

    /// Forgets what was written under a lease that has ended.
    pub fn forget_written(&mut self) {
        self.written.clear();
    }

    /// Returns what has to be written so that the store shows these keys, or as much of it as goes into one
    /// transaction. Of a key that is not there `may_put` says whether it is worth telling.
    pub fn untold(
        &mut self,
        wanted: &BTreeSet<String>,
        now: Instant,
        mut may_put: impl FnMut(&str) -> bool,
    ) -> PendingSuspicionWrites {
        self.written.retain(|_, (_, at)| now.duration_since(*at) < SHOWN_WITHIN);
        let mut untold = PendingSuspicionWrites::default();
        let put_lately = self.written.iter().filter(|(_, (put, _))| *put).map(|(key, _)| key);
        let known: BTreeSet<&String> = self.shown.iter().chain(put_lately).collect();
        for key in known.into_iter().filter(|key| !wanted.contains(*key)) {
            if untold.is_full() {
                return untold;
            }
            if self.written.get(key).is_none_or(|(put, _)| *put) {
                untold.removes.push(key.clone());
            }
        }
        for key in wanted {
            if untold.is_full() {
                return untold;
            }
            let is_told = match self.written.get(key) {
                Some((put, _)) => *put,
                None => self.shown.contains(key),
            };
            if !is_told && may_put(key) {
                untold.puts.push(key.clone());
            }
        }
        untold
    }
}
