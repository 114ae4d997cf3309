//! Following what operators, servers and daemons write into the store.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;

use crate::{
    catalog::CatalogFormat,
    control::adapter::Adapter,
    control::backoff::Backoff,
    control::freshness::{BEHIND_FOR, catch_up_delay, must_read_store},
    control::runner::Control,
    metadata::{
        Change, Changes, Consistency, Item, MetadataError, MetadataStore, ReadTimeouts, Snapshot,
    },
};

/// A watch that is answered so soon is taken for one of a burst, as when many daemons join or say that
/// they have stopped.
const BURST_WITHIN: Duration = Duration::from_millis(50);
/// How often it is looked whether something is missing.
const LOOK_BEHIND_EVERY: Duration = Duration::from_millis(150);
/// How long nothing is watched then, so that one call brings many changes.
const BURST_REST: Duration = Duration::from_millis(20);
/// How long the first reading waits for this daemon to be a member: two calls to the store, which take some ten
/// milliseconds where it answers. A member's reading gives rights at once, where another daemon's would have to
/// be followed by a second one; with hundreds that start together each call counts hundreds of times.
const JOINED_WITHIN: Duration = Duration::from_millis(150);

impl<P: Adapter> Control<P> {
    /// Reads everything once, then follows the changes; starts over when a change may be missed.
    pub(crate) async fn watch_loop(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        // A store that does not let this daemon join may still let it read.
        let _ = tokio::time::timeout(JOINED_WITHIN, self.joined.notified()).await;
        loop {
            match self.load_store().await {
                Ok(()) => {
                    backoff.reset();
                    let error = self.follow(&mut backoff).await;
                    log::info!(
                        event = "watch_ended", why = error.to_string().as_str();
                        "the watch ended and everything is read again"
                    );
                }
                Err(error) => log::info!(
                    event = "store_unreachable", call = "read_everything",
                    why = error.to_string().as_str();
                    "the store did not answer"
                ),
            }
            backoff.wait().await;
        }
    }

    /// Reads all that the watch follows, at once: the watch must begin where the configuration, the
    /// servers and the daemons' own keys were all read.
    pub(crate) async fn load_from_store(&self) -> Result<(), MetadataError> {
        let asked_at = Instant::now();
        let timeouts =
            ReadTimeouts { answer: self.read_timeout(), whole: self.whole_read_timeout() };
        let read = self.store.range("", Consistency::Linearizable, timeouts).await;
        self.count_call("range", &read);
        let everything = read?;
        let revision = everything.revision;
        let own_prefix = self.key("");
        let own_items = everything.items.iter().filter(|item| item.key.starts_with(&own_prefix));
        let own = Snapshot { items: own_items.cloned().collect(), revision };
        self.enter_era(revision);
        let changes = self.state.borrow().mirror.changes_to("", everything);
        self.apply_changes(changes);
        self.state.borrow_mut().note_applied(revision);
        self.on_own_snapshot(own, asked_at);
        self.note_store_loaded();
        Ok(())
    }

    /// Follows the changes, through the zone's reader where there is one, until they can't be followed any more.
    async fn follow(&self, backoff: &mut Backoff) -> MetadataError {
        let wait = Duration::from_millis(self.settings.metadata.watch_wait_ms);
        let mut followed = None;
        loop {
            let reader = self.upstream();
            if reader != followed {
                self.log_upstream(followed, reader);
                followed = reader;
            }
            if let Some(reader) = reader {
                self.follow_upstream(reader).await;
                continue;
            }
            let asked_at = Instant::now();
            match self.watch_once(wait).await {
                Ok(()) => backoff.reset(),
                Err(error) if self.may_watch_on(&error) => {
                    log::info!(
                        event = "store_unreachable", call = "watch",
                        why = error.to_string().as_str();
                        "the store did not answer"
                    );
                    // Servers may have been unable to renew their entries in the same time.
                    self.state.borrow_mut().servers.restart_grace(Instant::now());
                    backoff.wait().await;
                    continue;
                }
                Err(error) => return error,
            }
            self.note_members(Instant::now());
            self.publish();
            if asked_at.elapsed() < BURST_WITHIN {
                tokio::time::sleep(BURST_REST).await;
            }
        }
    }

    /// Whether a watch that failed is asked for again from where it was. No change is missed by that; in a large fleet
    /// everything in place of the changes would keep the link full whose fullness made it fail.
    fn may_watch_on(&self, error: &MetadataError) -> bool {
        let is_gone = match error {
            MetadataError::NotDone(_) | MetadataError::NoAnswer(_) | MetadataError::Unfinished => {
                false
            }
            MetadataError::HistoryGone
            | MetadataError::EraChanged(_)
            | MetadataError::Malformed(_) => true,
        };
        !is_gone && self.is_fleet_large()
    }

    /// Asks the store once what has changed since the last change that is known, and takes that over.
    pub(crate) async fn watch_once(&self, wait: Duration) -> Result<(), MetadataError> {
        let after = self.state.borrow().mirror.applied_revision();
        // One watch over all keys costs one call where three prefixes would cost three.
        let changes = self.store.watch("", after, wait).await;
        self.count_call("watch", &changes);
        let Changes { changes, revision } = changes?;
        self.apply_changes(changes);
        let mut state = self.state.borrow_mut();
        state.note_applied(revision);
        state.own_applied_revision = state.own_applied_revision.max(revision);
        Ok(())
    }

    /// Asks the store for what is missing once whoever is followed, or the watch, has told nothing of it for too long.
    ///
    /// This is what bounds the age of a configuration wherever the store answers: by the time until a reading is asked
    /// for (0.7 of `right_ms`), [`FOLLOWER_BEHIND_FOR`](super::freshness) and a look, 2.3 s in all by default. Without it twelve daemons that reached the
    /// store served by a former configuration for as long as those that they followed were cut off, seven seconds. It
    /// takes no time of the rights, which are renewed beside it. See `docs/CONFIGURATION-SPREAD.md`.
    pub(crate) async fn catch_up_loop(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            tokio::time::sleep(LOOK_BEHIND_EVERY).await;
            if !self.is_behind() {
                backoff.reset();
                continue;
            }
            let age_ms = self.knowledge_age_ms();
            match self.catch_up().await {
                Ok(()) => log::info!(
                    event = "caught_up", knowledge_age_ms = age_ms, is_behind = self.is_behind();
                    "whoever is followed told nothing of changes that the store has"
                ),
                Err(error) => {
                    log::info!(
                        event = "store_unreachable", call = "catch_up",
                        why = error.to_string().as_str();
                        "the store did not answer"
                    );
                    self.await_store(&mut backoff).await;
                }
            }
        }
    }

    /// Whether something has been missing for so long that whoever is followed can't be waited for.
    fn is_behind(&self) -> bool {
        let now = Instant::now();
        let behind_for = self.state.borrow().freshness.behind_for(now);
        let Some(behind_for) = behind_for.filter(|time| *time > BEHIND_FOR) else { return false };
        let behind_for = behind_for.saturating_sub(self.catch_up_delay());
        let follows = self.upstream().is_some();
        must_read_store(behind_for, follows, self.requester.receives_for(now))
    }

    /// How much later this daemon asks than the first of its zone.
    fn catch_up_delay(&self) -> Duration {
        if !self.is_fleet_large() {
            return Duration::ZERO;
        }
        let (host, zone) = (&self.settings.host, &self.settings.availability_zone);
        let state = self.state.borrow();
        let before = state.members.range::<Name, _>(..host);
        catch_up_delay(before.filter(|(_, member)| member.availability_zone == **zone).count())
    }

    /// Asks for the changes, and for everything where that brings nothing: watches may be deaf for a while.
    ///
    /// An answer that has begun is waited for, and asked for again if it does not end: everything is more than the changes,
    /// and would come over the same link.
    async fn catch_up(&self) -> Result<(), MetadataError> {
        let before = self.state.borrow().mirror.applied_revision();
        let asked = self.watch_once(Duration::ZERO).await;
        let has_moved = self.state.borrow().mirror.applied_revision() > before;
        match asked {
            // In a large fleet readings overtake an answer that takes long; more of them follows it.
            Ok(()) if !self.is_behind() || (has_moved && self.is_fleet_large()) => {
                self.publish();
                Ok(())
            }
            Err(error @ (MetadataError::NotDone(_) | MetadataError::Unfinished)) => Err(error),
            // A full link more likely than a deaf watch, and everything would fill it for longer.
            Err(error @ MetadataError::NoAnswer(_)) if self.is_fleet_large() => Err(error),
            Ok(()) | Err(_) => self.load_from_store().await,
        }
    }

    /// Takes over changes, from wherever they were heard, and wakes whoever waits for them.
    pub(crate) fn apply_changes(&self, changes: Vec<Change>) {
        let mut own_changed = false;
        let mut records = Vec::new();
        for change in changes {
            let key = change.key().to_owned();
            {
                let mut state = self.state.borrow_mut();
                if !state.mirror.apply(change.clone()) {
                    continue;
                }
                if self.is_urgent(&key) {
                    state.urgent_revision = state.urgent_revision.max(change.revision());
                }
            }
            if key.starts_with(&*self.settings.metadata.prefix) {
                own_changed = true;
                records.extend(self.on_shared_key(&key));
            } else {
                self.on_operator_or_server_change(change);
            }
        }
        self.apply_records(&records);
        if own_changed {
            self.mirror_changed.notify_waiters();
        }
        self.updates_available.notify_waiters();
    }

    /// Whether others should hear of a change of this key at once; what comes in numbers, as when many
    /// daemons start, goes along with the next answer.
    fn is_urgent(&self, key: &str) -> bool {
        let in_numbers = [self.key("members/"), self.key("stopped/")];
        !in_numbers.iter().any(|prefix| key.starts_with(prefix))
    }

    /// Takes over a change of what operators and servers write.
    fn on_operator_or_server_change(&self, change: Change) {
        match change {
            Change::Put(item) if self.is_operators_configuration(&item.key) => {
                self.on_configuration(&item);
            }
            Change::Put(item) if item.key.starts_with(self.format.servers_prefix()) => {
                self.on_server(&item);
            }
            Change::Removed { key, .. } if key.starts_with(self.format.servers_prefix()) => {
                self.on_server_removed(&key);
            }
            Change::Removed { key, .. } if self.is_operators_configuration(&key) => {
                self.state.borrow_mut().configurations.operators = 0;
                self.republish.notify_one();
            }
            Change::Put(_) | Change::Removed { .. } => {}
        }
    }

    /// Puts a configuration in force, unless a later one is or it can't be read.
    pub(crate) fn on_configuration(&self, item: &Item) {
        let catalog = match self.format.decode_configuration(&item.value) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(
                    event = "configuration_unreadable", revision = item.revision.number(),
                    why = error.to_string().as_str();
                    "a configuration can't be read; the present one stays in force"
                );
                return;
            }
        };
        let mut state = self.state.borrow_mut();
        let is_operators = self.is_operators_configuration(&item.key);
        if state.configurations.note(catalog.version, &item.value, is_operators) {
            self.republish.notify_one();
        }
        if catalog.version <= state.catalog.version {
            return;
        }
        log::info!(
            event = "configuration", version = catalog.version, before = state.catalog.version,
            routes = catalog.routes.len(), services = catalog.services.len();
            "a configuration is in force"
        );
        state.catalog = Arc::new(catalog);
    }

    /// Takes over a server's entry.
    pub(crate) fn on_server(&self, item: &Item) {
        match self.format.decode_server(&item.key, &item.value) {
            Ok(entry) => {
                let mut state = self.state.borrow_mut();
                if state.contradicts_known_server(item, &entry, self.lapse_grace()) {
                    return;
                }
                let (server, leaving, leads) =
                    (entry.server.clone(), entry.leaving, entry.claims_lead);
                let (service, incarnation) = (entry.service.clone(), entry.incarnation);
                let before = state.servers.incarnation_at(&item.key);
                if state.servers.put(&item.key, entry) {
                    log::info!(
                        event = "server", server = &*server, leaving = leaving,
                        claims_lead = leads, revision = item.revision.number();
                        "a server's entry changed"
                    );
                }
                if before.is_some() && before != incarnation {
                    state.forget_incarnation(&service, &server);
                    log::info!(
                        event = "server_reborn", service = &*service, server = &*server,
                        revision = item.revision.number();
                        "a server started again and knows nothing of before"
                    );
                }
            }
            Err(error) => {
                self.state.borrow_mut().servers.discard(&item.key);
                log::warn!(
                    event = "server_unreadable", key = item.key.as_str(),
                    why = error.to_string().as_str();
                    "a server's entry can't be read and names none that may be used"
                );
            }
        }
    }
}
