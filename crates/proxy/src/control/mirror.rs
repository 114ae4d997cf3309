//! A copy of what the store holds, kept by watches, whole readings and other daemons' words.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::metadata::{Change, Era, Item, Revision, Snapshot};

/// Removals that are remembered; who has heard of less than the oldest of them is told everything.
const MOST_REMOVED: usize = 1_024;

/// The keys of the store, as last heard, and what was removed lately.
#[derive(Default)]
pub struct Mirror {
    /// Only what was heard of this era of the store is taken over.
    era: Era,
    items: BTreeMap<String, Item>,
    /// Keys that were removed, so that an older reading can't bring them back.
    removed_at: BTreeMap<String, Revision>,
    /// The same keys and those of the items by the revision of their last change.
    by_revision: BTreeSet<(Revision, String)>,
    /// Removals up to here may be forgotten.
    forgotten_to: Revision,
    /// Every change up to here is known.
    applied_revision: Revision,
}

/// What another daemon has not heard of yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdates {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Whether these are all keys that there are, so that every other key is gone.
    pub is_whole: bool,
    /// Every change up to here is among them.
    pub applied_revision: Revision,
}

impl Mirror {
    /// Begins a later era: what is held stays until the whole reading that follows says what became of it, and whoever knows
    /// only of earlier eras is told everything from now on.
    pub fn enter(&mut self, era: Era) {
        self.era = self.era.max(era);
        for (key, revision) in std::mem::take(&mut self.removed_at) {
            self.by_revision.remove(&(revision, key));
        }
        self.forgotten_to = Revision::new(self.era, 0);
    }

    /// Returns the era of the store that this is a copy of.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Takes over a change, unless a later one of its key is known or it is of another era.
    pub fn apply(&mut self, change: Change) -> bool {
        if change.revision().era() != self.era {
            return false;
        }
        match change {
            Change::Put(item) => self.put(item),
            Change::Removed { key, revision } => self.remove(&key, revision),
        }
    }

    /// Returns the changes that turn the keys below `prefix` into those of a whole reading.
    pub fn changes_to(&self, prefix: &str, snapshot: Snapshot) -> Vec<Change> {
        let read: HashSet<&str> = snapshot.items.iter().map(|item| item.key.as_str()).collect();
        let missing = self
            .below(prefix)
            .filter(|item| item.revision <= snapshot.revision && !read.contains(&*item.key))
            .map(|item| Change::Removed { key: item.key.clone(), revision: snapshot.revision });
        let mut changes: Vec<Change> = missing.collect();
        changes.extend(snapshot.items.into_iter().map(Change::Put));
        changes
    }

    /// Notes that every change up to a revision is known.
    pub fn note_applied(&mut self, revision: Revision) {
        self.applied_revision = self.applied_revision.max(revision);
    }

    /// Returns the revision up to which every change is known; [`Revision::ABSENT`] before the first whole reading.
    pub fn applied_revision(&self) -> Revision {
        self.applied_revision
    }

    /// Returns the revision of the latest change that is known.
    pub fn last_revision(&self) -> Revision {
        self.by_revision.last().map_or(Revision::ABSENT, |(revision, _)| *revision)
    }

    /// Whether something was heard that somebody who knows everything up to `after` has not.
    pub fn has_updates(&self, after: Revision) -> bool {
        self.last_revision() > after
    }

    /// Returns what somebody has not heard who knows everything up to `after`.
    pub fn updates_since(&self, after: Revision) -> StoreUpdates {
        let is_whole = after < self.forgotten_to;
        let from = if is_whole { Revision::ABSENT } else { after.next() };
        let changes = self.by_revision.range((from, String::new())..).filter_map(
            |(revision, key)| match self.items.get(key) {
                Some(item) => Some(Change::Put(item.clone())),
                None if is_whole => None,
                None => Some(Change::Removed { key: key.clone(), revision: *revision }),
            },
        );
        StoreUpdates {
            changes: changes.collect(),
            is_whole,
            applied_revision: self.applied_revision,
        }
    }

    /// Returns an item.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the revision at which a key was removed, if that was lately.
    pub fn removed_at(&self, key: &str) -> Option<Revision> {
        self.removed_at.get(key).copied()
    }

    /// Returns the items below a prefix, by key.
    pub fn below<'a>(&'a self, prefix: &str) -> impl Iterator<Item = &'a Item> + use<'a> {
        let prefix = prefix.to_owned();
        let from = self.items.range(prefix.clone()..);
        from.map(|(_, item)| item).take_while(move |item| item.key.starts_with(&prefix))
    }

    fn put(&mut self, item: Item) -> bool {
        if item.revision <= self.last_change_of(&item.key) {
            return false;
        }
        self.forget_place_of(&item.key);
        self.removed_at.remove(&item.key);
        self.by_revision.insert((item.revision, item.key.clone()));
        self.items.insert(item.key.clone(), item);
        true
    }

    fn remove(&mut self, key: &str, revision: Revision) -> bool {
        if revision < self.last_change_of(key) {
            return false;
        }
        self.forget_place_of(key);
        self.by_revision.insert((revision, key.to_owned()));
        self.removed_at.insert(key.to_owned(), revision);
        let was_there = self.items.remove(key).is_some();
        if self.removed_at.len() > MOST_REMOVED {
            self.forget_oldest_removal();
        }
        was_there
    }

    fn last_change_of(&self, key: &str) -> Revision {
        let put = self.items.get(key).map_or(Revision::ABSENT, |item| item.revision);
        put.max(self.removed_at.get(key).copied().unwrap_or(Revision::ABSENT))
    }

    fn forget_place_of(&mut self, key: &str) {
        let revision = self.last_change_of(key);
        self.by_revision.remove(&(revision, key.to_owned()));
    }

    fn forget_oldest_removal(&mut self) {
        let oldest = self.removed_at.iter().min_by_key(|(_, revision)| **revision);
        let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision)) else {
            return;
        };
        self.removed_at.remove(&key);
        self.by_revision.remove(&(revision, key));
        self.forgotten_to = self.forgotten_to.max(revision);
    }
}
