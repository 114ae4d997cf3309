//! The list of servers, maintained from their entries in the store.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;

use crate::catalog::{ServerEntry, ServerIncarnation};

struct KnownServer {
    entry: Arc<ServerEntry>,
    /// When its entry disappeared. An entry can lapse while the servers can't reach the store, so the server stays
    /// listed for a grace time.
    lapsed_at: Option<Instant>,
}

/// Servers whose entries have been missing for the grace time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lapsed {
    /// Servers that are treated as leaving from now on.
    pub leaving: Vec<Name>,
    /// Servers that are no longer listed.
    pub removed: Vec<Name>,
}

/// Servers by their service.
pub type ServersByService = HashMap<Name, Vec<Arc<ServerEntry>>>;

/// Every server that has an entry, or had one within the grace time.
#[derive(Default)]
pub struct ServerList {
    known: BTreeMap<String, KnownServer>,
    /// The number of servers without an entry.
    lapsed: usize,
    /// Built on demand and cached until a server changes, since the promoter reads the servers of every group often.
    by_service: Option<Arc<ServersByService>>,
}

impl ServerList {
    /// Removes a server immediately because its entry can't be read. Returns whether it was listed.
    pub fn discard(&mut self, key: &str) -> bool {
        let Some(known) = self.known.remove(key) else { return false };
        self.lapsed -= usize::from(known.lapsed_at.is_some());
        self.by_service = None;
        true
    }

    /// Returns the incarnation of the server whose entry has this key, if it is known and reports one. Does not build
    /// the list by service, which would be slow when many entries are read in sequence.
    pub fn incarnation_at(&self, key: &str) -> Option<ServerIncarnation> {
        self.known.get(key)?.entry.incarnation
    }

    /// Returns the incarnation of a listed server of a service, if it reports one.
    pub fn incarnation_of(&mut self, service: &str, server: &str) -> Option<ServerIncarnation> {
        let by_service = self.by_service();
        let entries = by_service.get(service)?;
        entries.iter().find(|entry| &*entry.server == server)?.incarnation
    }

    /// Whether a server that was known in the incarnation `earlier` is now listed in another one.
    pub fn is_restarted(
        &mut self,
        service: &str,
        server: &str,
        earlier: Option<ServerIncarnation>,
    ) -> bool {
        let Some(earlier) = earlier else { return false };
        self.incarnation_of(service, server).is_some_and(|current| current != earlier)
    }

    /// Applies an entry; returns whether it changed the list.
    pub fn put(&mut self, key: &str, entry: ServerEntry) -> bool {
        match self.known.get_mut(key) {
            Some(known) if *known.entry == entry && known.lapsed_at.is_none() => return false,
            Some(known) => {
                self.lapsed -= usize::from(known.lapsed_at.is_some());
                known.entry = Arc::new(entry);
                known.lapsed_at = None;
            }
            None => {
                let known = KnownServer { entry: Arc::new(entry), lapsed_at: None };
                self.known.insert(key.to_owned(), known);
            }
        }
        self.by_service = None;
        true
    }

    /// Handles a removed entry. A leaving server is removed; the entry of any other one may have lapsed. Returns
    /// whether the list changed.
    pub fn remove(&mut self, key: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(key) else { return false };
        if known.entry.leaving {
            self.lapsed -= usize::from(known.lapsed_at.is_some());
            self.known.remove(key);
            self.by_service = None;
            return true;
        }
        self.lapse(key, now);
        false
    }

    /// Marks an entry as missing that its server did not remove, as in a restored store.
    pub fn lapse(&mut self, key: &str, now: Instant) {
        let Some(known) = self.known.get_mut(key) else { return };
        if known.lapsed_at.is_none() {
            known.lapsed_at = Some(now);
            self.lapsed += 1;
        }
    }

    /// Returns the server entry with this key, or the one that was removed within the grace time.
    pub fn entry_at(&self, key: &str) -> Option<&ServerEntry> {
        self.known.get(key).map(|known| &*known.entry)
    }

    /// Treats servers whose entry has been missing for `grace` as leaving, and removes them after twice that time. Some
    /// servers leave without announcing it and serve for a while, so a primary among them leads until it is replaced.
    pub fn expire(&mut self, grace: Duration, now: Instant) -> Lapsed {
        if self.lapsed == 0 {
            return Lapsed::default();
        }
        let missing_for = |known: &KnownServer| {
            known.lapsed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
        };
        let mut lapsed = Lapsed::default();
        for known in self.known.values_mut() {
            if missing_for(known) >= grace * 2 {
                lapsed.removed.push(known.entry.server.clone());
            } else if missing_for(known) >= grace && !known.entry.leaving {
                Arc::make_mut(&mut known.entry).leaving = true;
                lapsed.leaving.push(known.entry.server.clone());
            }
        }
        self.known.retain(|_, known| missing_for(known) < grace * 2);
        self.lapsed -= lapsed.removed.len();
        if lapsed != Lapsed::default() {
            self.by_service = None;
        }
        lapsed
    }

    /// Restarts the grace time of all missing entries, as after an outage of the store.
    pub fn restart_grace(&mut self, now: Instant) {
        for known in self.known.values_mut() {
            if known.lapsed_at.is_some() {
                known.lapsed_at = Some(now);
            }
        }
    }

    /// Returns the servers by service; the cached value as long as no server changes.
    pub fn by_service(&mut self) -> Arc<ServersByService> {
        let known = &self.known;
        let by_service = self.by_service.get_or_insert_with(|| {
            let mut services = ServersByService::new();
            for known in known.values() {
                services.entry(known.entry.service.clone()).or_default().push(known.entry.clone());
            }
            Arc::new(services)
        });
        by_service.clone()
    }
}
