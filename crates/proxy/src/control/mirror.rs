//! A copy of the keys that daemons share, kept by watches and whole readings.

use std::collections::BTreeMap;

use crate::metadata::{Change, Item, Revision, Snapshot};

/// The keys below one prefix, as last heard.
#[derive(Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    /// Keys that were removed, so that an older reading can't bring them back.
    removed_at: BTreeMap<String, Revision>,
}

/// Removals that are remembered; a whole reading forgets the older ones.
const MOST_REMOVED: usize = 1_024;

impl Mirror {
    /// Takes over a change, unless a later one of its key is known.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Put(item) => self.put(item),
            Change::Removed { key, revision } => self.remove(&key, revision),
        }
    }

    /// Takes over a whole reading; returns the keys that changed.
    pub fn replace(&mut self, snapshot: Snapshot) -> Vec<String> {
        let mut changed = Vec::new();
        let missing: Vec<String> = self
            .items
            .values()
            .filter(|item| item.revision <= snapshot.revision)
            .filter(|item| !snapshot.items.iter().any(|read| read.key == item.key))
            .map(|item| item.key.clone())
            .collect();
        for key in missing {
            if self.remove(&key, snapshot.revision) {
                changed.push(key);
            }
        }
        self.removed_at.retain(|_, revision| *revision > snapshot.revision);
        for item in snapshot.items {
            let key = item.key.clone();
            if self.put(item) {
                changed.push(key);
            }
        }
        changed
    }

    /// Returns an item.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the items below a prefix, by key.
    pub fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        let from = self.items.range(prefix.to_owned()..);
        from.map(|(_, item)| item).take_while(move |item| item.key.starts_with(prefix))
    }

    fn put(&mut self, item: Item) -> bool {
        let known = self.items.get(&item.key).map_or(0, |known| known.revision);
        let removed = self.removed_at.get(&item.key).copied().unwrap_or(0);
        if item.revision <= known.max(removed) {
            return false;
        }
        self.removed_at.remove(&item.key);
        self.items.insert(item.key.clone(), item);
        true
    }

    fn remove(&mut self, key: &str, revision: Revision) -> bool {
        if self.items.get(key).is_some_and(|item| item.revision > revision) {
            return false;
        }
        if self.removed_at.len() < MOST_REMOVED {
            self.removed_at.insert(key.to_owned(), revision);
        }
        self.items.remove(key).is_some()
    }
}
