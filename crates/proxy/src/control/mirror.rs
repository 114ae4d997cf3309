//! A local copy of the store's keys, kept up to date by watches, full reads and other daemons' updates.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::metadata::{Change, Era, Item, Revision, Snapshot};

/// Removed keys that are remembered; a follower that lacks an older removal is sent a full snapshot.
const MAX_REMEMBERED_REMOVALS: usize = 1_024;

/// The store's keys as last received, and the recent removals.
#[derive(Default)]
pub struct Mirror {
    /// Only changes of this era are applied.
    era: Era,
    items: BTreeMap<String, Item>,
    /// Removed keys, so that an older read can't restore them.
    removed_at: BTreeMap<String, Revision>,
    /// Present and removed keys by the revision of their last change.
    by_revision: BTreeSet<(Revision, String)>,
    /// Removals up to this revision may have been forgotten.
    forgotten_revision: Revision,
    /// Every change up to this revision has been applied.
    applied_revision: Revision,
}

/// The changes that another daemon has not received yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdates {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Whether the changes are a full snapshot, so that every other key has been removed.
    pub is_whole: bool,
    /// The changes include every change up to this revision.
    pub applied_revision: Revision,
}

impl Mirror {
    /// Enters a later era. The items stay until the next full read replaces them; followers of earlier eras are sent
    /// a full snapshot from now on.
    pub fn enter_era(&mut self, era: Era) {
        self.era = self.era.max(era);
        for (key, revision) in std::mem::take(&mut self.removed_at) {
            self.by_revision.remove(&(revision, key));
        }
        self.forgotten_revision = Revision::new(self.era, 0);
    }

    /// Returns the era of the copied store.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Applies a change and returns whether it took effect; ignores changes of other eras and those older than the
    /// key's last change.
    pub fn apply(&mut self, change: Change) -> bool {
        if change.revision().era() != self.era {
            return false;
        }
        match change {
            Change::Put(item) => self.put(item),
            Change::Removed { key, revision } => self.remove(&key, revision),
        }
    }

    /// Returns the changes that turn the keys below `prefix` into those of a full read.
    pub fn changes_to(&self, prefix: &str, snapshot: Snapshot) -> Vec<Change> {
        let read_keys: HashSet<&str> =
            snapshot.items.iter().map(|item| item.key.as_str()).collect();
        let removed = self
            .below(prefix)
            .filter(|item| item.revision <= snapshot.revision && !read_keys.contains(&*item.key))
            .map(|item| Change::Removed { key: item.key.clone(), revision: snapshot.revision });
        let mut changes: Vec<Change> = removed.collect();
        changes.extend(snapshot.items.into_iter().map(Change::Put));
        changes
    }

    /// Records that every change up to a revision has been applied.
    pub fn on_applied(&mut self, revision: Revision) {
        self.applied_revision = self.applied_revision.max(revision);
    }

    /// Returns the revision up to which every change has been applied; [`Revision::ABSENT`] before the first full
    /// read.
    pub fn applied_revision(&self) -> Revision {
        self.applied_revision
    }

    /// Returns the revision of the latest change.
    pub fn last_revision(&self) -> Revision {
        self.by_revision.last().map_or(Revision::ABSENT, |(revision, _)| *revision)
    }

    /// Whether there are changes after a revision.
    pub fn has_updates(&self, after: Revision) -> bool {
        self.last_revision() > after
    }

    /// Returns the changes after a revision, or a full snapshot if removals since then have been forgotten.
    pub fn updates_since(&self, after: Revision) -> StoreUpdates {
        let is_whole = after < self.forgotten_revision;
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

    /// Returns the item of a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the revision at which a key was removed, if the removal is still remembered.
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
        if item.revision <= self.last_change_revision(&item.key) {
            return false;
        }
        self.remove_from_index(&item.key);
        self.removed_at.remove(&item.key);
        self.by_revision.insert((item.revision, item.key.clone()));
        self.items.insert(item.key.clone(), item);
        true
    }

    fn remove(&mut self, key: &str, revision: Revision) -> bool {
        if revision < self.last_change_revision(key) {
            return false;
        }
        self.remove_from_index(key);
        self.by_revision.insert((revision, key.to_owned()));
        self.removed_at.insert(key.to_owned(), revision);
        let was_there = self.items.remove(key).is_some();
        if self.removed_at.len() > MAX_REMEMBERED_REMOVALS {
            self.forget_oldest_removal();
        }
        was_there
    }

    fn last_change_revision(&self, key: &str) -> Revision {
        let put = self.items.get(key).map_or(Revision::ABSENT, |item| item.revision);
        put.max(self.removed_at.get(key).copied().unwrap_or(Revision::ABSENT))
    }

    fn remove_from_index(&mut self, key: &str) {
        let revision = self.last_change_revision(key);
        self.by_revision.remove(&(revision, key.to_owned()));
    }

    fn forget_oldest_removal(&mut self) {
        let oldest = self.removed_at.iter().min_by_key(|(_, revision)| **revision);
        let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision)) else {
            return;
        };
        self.removed_at.remove(&key);
        self.by_revision.remove(&(revision, key));
        self.forgotten_revision = self.forgotten_revision.max(revision);
    }
}
