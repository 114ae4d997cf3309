//! The servers, as their entries in the store say.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;

use crate::catalog::ServerEntry;

struct Known {
    entry: Arc<ServerEntry>,
    /// When its entry disappeared. An entry can lapse while the store is out of the servers' reach, so
    /// the server is believed in for a while longer.
    lapsed_at: Option<Instant>,
}

/// Every server that has an entry, or had one a moment ago.
#[derive(Default)]
pub struct ServerList {
    known: BTreeMap<String, Known>,
}

impl ServerList {
    /// Takes over an entry; returns whether anything that matters changed.
    pub fn put(&mut self, key: &str, entry: ServerEntry) -> bool {
        match self.known.get_mut(key) {
            Some(known) if *known.entry == entry && known.lapsed_at.is_none() => false,
            Some(known) => {
                known.entry = Arc::new(entry);
                known.lapsed_at = None;
                true
            }
            None => {
                let known = Known { entry: Arc::new(entry), lapsed_at: None };
                self.known.insert(key.to_owned(), known);
                true
            }
        }
    }

    /// Notes that an entry disappeared. A server that was leaving is gone; any other may have lapsed.
    pub fn remove(&mut self, key: &str, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(key) else { return false };
        if known.entry.leaving {
            self.known.remove(key);
            return true;
        }
        if known.lapsed_at.is_none() {
            known.lapsed_at = Some(now);
        }
        false
    }

    /// Drops servers whose entry has been gone for longer than `grace`; returns those dropped.
    pub fn expire(&mut self, grace: Duration, now: Instant) -> Vec<Name> {
        let over = |known: &Known| {
            known.lapsed_at.is_some_and(|at| now.saturating_duration_since(at) >= grace)
        };
        let gone: Vec<Name> = self
            .known
            .values()
            .filter(|known| over(known))
            .map(|known| known.entry.server.clone())
            .collect();
        self.known.retain(|_, known| !over(known));
        gone
    }

    /// Forgets how long entries have been missing, as after a time in which the store was away.
    pub fn restart_grace(&mut self, now: Instant) {
        for known in self.known.values_mut() {
            if known.lapsed_at.is_some() {
                known.lapsed_at = Some(now);
            }
        }
    }

    /// Returns the servers by service.
    pub fn by_service(&self) -> HashMap<Name, Vec<Arc<ServerEntry>>> {
        let mut services: HashMap<Name, Vec<Arc<ServerEntry>>> = HashMap::new();
        for known in self.known.values() {
            services.entry(known.entry.service.clone()).or_default().push(known.entry.clone());
        }
        services
    }
}
