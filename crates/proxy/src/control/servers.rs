//! The servers, as their entries in the store say.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;

use crate::catalog::{ServerEntry, ServerIncarnation};

struct Known {
    entry: Arc<ServerEntry>,
    /// When its entry disappeared. An entry can lapse while the store is out of the servers' reach, so
    /// the server is believed in for a while longer.
    lapsed_at: Option<Instant>,
}

/// Servers whose entries have stayed away.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lapsed {
    /// Those that are taken for leaving ones from now on.
    pub leaving: Vec<Name>,
    /// Those that are not listed any more.
    pub gone: Vec<Name>,
}

/// Servers by their service.
pub type ServersByService = HashMap<Name, Vec<Arc<ServerEntry>>>;

/// Every server that has an entry, or had one a moment ago.
#[derive(Default)]
pub struct ServerList {
    known: BTreeMap<String, Known>,
    /// How many of them have no entry.
    lapsed: usize,
    /// Made when it is asked for, and kept until something changes: whoever promotes looks at the servers of every
    /// group again and again, and with a thousand groups did little else while each look made the whole.
    by_service: Option<Arc<ServersByService>>,
}

impl ServerList {
    /// Drops a server at once: its entry says nothing that can be read, so it is none that may be used.
    pub fn discard(&mut self, key: &str) -> bool {
        let Some(known) = self.known.remove(key) else { return false };
        self.lapsed -= usize::from(known.lapsed_at.is_some());
        self.by_service = None;
        true
    }

    /// Returns the life of the server whose entry has this key, if it is known and tells of lives. It makes no list of all
    /// servers: a daemon that read the entries of three thousand and made that list for each did little else.
    pub fn incarnation_at(&self, key: &str) -> Option<ServerIncarnation> {
        self.known.get(key)?.entry.incarnation
    }

    /// Returns the life of a service's server that is listed now, if servers tell of lives.
    pub fn incarnation_of(&mut self, service: &str, server: &str) -> Option<ServerIncarnation> {
        let by_service = self.by_service();
        let entries = by_service.get(service)?;
        entries.iter().find(|entry| &*entry.server == server)?.incarnation
    }

    /// Whether a server that was known in the life `then` is listed in another one.
    pub fn is_restarted(
        &mut self,
        service: &str,
        server: &str,
        then: Option<ServerIncarnation>,
    ) -> bool {
        let Some(then) = then else { return false };
        self.incarnation_of(service, server).is_some_and(|now| now != then)
    }

    /// Takes over an entry; returns whether anything that matters changed.
    pub fn put(&mut self, key: &str, entry: ServerEntry) -> bool {
        match self.known.get_mut(key) {
            Some(known) if *known.entry == entry && known.lapsed_at.is_none() => return false,
            Some(known) => {
                self.lapsed -= usize::from(known.lapsed_at.is_some());
                known.entry = Arc::new(entry);
                known.lapsed_at = None;
            }
            None => {
                let known = Known { entry: Arc::new(entry), lapsed_at: None };
                self.known.insert(key.to_owned(), known);
            }
        }
        self.by_service = None;
        true
    }

    /// Notes that an entry disappeared. A server that was leaving is gone; any other may have lapsed.
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

    /// Notes that an entry is missing that its server did not take away, as in a store that was restored.
    pub fn lapse(&mut self, key: &str, now: Instant) {
        let Some(known) = self.known.get_mut(key) else { return };
        if known.lapsed_at.is_none() {
            known.lapsed_at = Some(now);
            self.lapsed += 1;
        }
    }

    /// Returns the server whose entry has this key, or had it a moment ago.
    pub fn at(&self, key: &str) -> Option<&ServerEntry> {
        self.known.get(key).map(|known| &*known.entry)
    }

    /// Takes servers whose entry has been gone for longer than `grace` for leaving ones, and drops them
    /// after as long again. Some servers never say that they leave and serve on for a while, so a primary
    /// among them leads until it is replaced.
    pub fn expire(&mut self, grace: Duration, now: Instant) -> Lapsed {
        if self.lapsed == 0 {
            return Lapsed::default();
        }
        let gone_for = |known: &Known| {
            known.lapsed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
        };
        let mut lapsed = Lapsed::default();
        for known in self.known.values_mut() {
            if gone_for(known) >= grace * 2 {
                lapsed.gone.push(known.entry.server.clone());
            } else if gone_for(known) >= grace && !known.entry.leaving {
                Arc::make_mut(&mut known.entry).leaving = true;
                lapsed.leaving.push(known.entry.server.clone());
            }
        }
        self.known.retain(|_, known| gone_for(known) < grace * 2);
        self.lapsed -= lapsed.gone.len();
        if lapsed != Lapsed::default() {
            self.by_service = None;
        }
        lapsed
    }

    /// Forgets how long entries have been missing, as after a time in which the store was away.
    pub fn restart_grace(&mut self, now: Instant) {
        for known in self.known.values_mut() {
            if known.lapsed_at.is_some() {
                known.lapsed_at = Some(now);
            }
        }
    }

    /// Returns the servers by service; the same value for as long as nothing changes.
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
