//! Watches the keys that operators, servers and daemons write into the store.

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
    control::freshness::{MAX_BEHIND, catch_up_delay, must_read_store},
    control::runner::Control,
    metadata::{
        Change, Changes, Consistency, Item, MetadataError, MetadataStore, ReadTimeouts, Snapshot,
    },
};

/// A watch that is answered within this time is taken as part of a burst, such as many daemons starting or stopping.
const BURST_WITHIN: Duration = Duration::from_millis(50);
/// Interval between checks for missing changes.
const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Pause after a burst, so that the next watch returns several changes at once.
const BURST_PAUSE: Duration = Duration::from_millis(20);
/// How long the initial load waits for this daemon to become a member, which takes two calls to the store. A read made as
/// a member grants primary leases at once; otherwise a second read is needed, by each of the daemons that start together.
const JOIN_TIMEOUT: Duration = Duration::from_millis(150);

impl<P: Adapter> Control<P> {
    /// Loads the store, then follows its changes; starts over if a change may have been missed.
    pub(crate) async fn watch_loop(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        // A store that refuses the lease may still answer reads.
        let _ = tokio::time::timeout(JOIN_TIMEOUT, self.joined.notified()).await;
        loop {
            match self.load_store().await {
                Ok(()) => {
                    backoff.reset();
                    let error = self.follow(&mut backoff).await;
                    log::info!(
                        event = "watch_ended", why = error.to_string().as_str();
                        "the watch ended; loading the store again"
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

    /// Reads the whole store in one call, because the watch has to begin at a revision at which the configuration,
    /// the servers and the daemon keys were all read.
    pub(crate) async fn load_from_store(&self) -> Result<(), MetadataError> {
        let asked_at = Instant::now();
        let timeouts =
            ReadTimeouts { answer: self.read_timeout(), complete: self.whole_read_timeout() };
        let read = self.store.range("", Consistency::Linearizable, timeouts).await;
        self.count_call("range", &read);
        let everything = read?;
        let revision = everything.revision;
        let prefix = self.key("");
        let daemon_items = everything.items.iter().filter(|item| item.key.starts_with(&prefix));
        let daemon_keys = Snapshot { items: daemon_items.cloned().collect(), revision };
        self.enter_era(revision);
        let changes = self.state.borrow().mirror.changes_to("", everything);
        self.apply_changes(changes);
        self.state.borrow_mut().on_applied(revision);
        self.on_daemon_keys_snapshot(daemon_keys, asked_at);
        self.on_store_loaded();
        Ok(())
    }

    /// Follows the changes, through the upstream if there is one, until a change may have been missed.
    async fn follow(&self, backoff: &mut Backoff) -> MetadataError {
        let wait = Duration::from_millis(self.settings.metadata.watch_wait_ms);
        let mut previous = None;
        loop {
            let upstream = self.upstream();
            if upstream != previous {
                self.log_upstream(previous, upstream);
                previous = upstream;
            }
            if let Some(upstream) = upstream {
                self.follow_upstream(upstream).await;
                continue;
            }
            let asked_at = Instant::now();
            match self.watch_once(wait).await {
                Ok(()) => backoff.reset(),
                Err(error) if self.can_resume_watch(&error) => {
                    log::info!(
                        event = "store_unreachable", call = "watch",
                        why = error.to_string().as_str();
                        "the store did not answer"
                    );
                    // The servers may have been unable to renew their entries as well.
                    self.state.borrow_mut().servers.restart_grace(Instant::now());
                    backoff.wait().await;
                    continue;
                }
                Err(error) => return error,
            }
            self.update_seen_members(Instant::now());
            self.publish();
            if asked_at.elapsed() < BURST_WITHIN {
                tokio::time::sleep(BURST_PAUSE).await;
            }
        }
    }

    /// Whether a failed watch is repeated from the same revision instead of loading the store again. No change is
    /// missed that way. This is done only in a large fleet, where loading the store would congest the link further.
    fn can_resume_watch(&self, error: &MetadataError) -> bool {
        let must_reload = match error {
            MetadataError::NotDone(_)
            | MetadataError::NoAnswer(_)
            | MetadataError::IncompleteAnswer => false,
            MetadataError::HistoryGone
            | MetadataError::EraChanged(_)
            | MetadataError::Malformed(_) => true,
        };
        !must_reload && self.is_fleet_large()
    }

    /// Watches the store once from the last applied revision and applies the changes.
    pub(crate) async fn watch_once(&self, wait: Duration) -> Result<(), MetadataError> {
        let after = self.state.borrow().mirror.applied_revision();
        // One watch over all keys costs one call instead of one per prefix.
        let changes = self.store.watch("", after, wait).await;
        self.count_call("watch", &changes);
        let Changes { changes, revision } = changes?;
        self.apply_changes(changes);
        let mut state = self.state.borrow_mut();
        state.on_applied(revision);
        state.daemon_keys_revision = state.daemon_keys_revision.max(revision);
        Ok(())
    }

    /// Reads missing changes from the store if neither the upstream nor the watch has delivered them in time.
    ///
    /// While the store answers, the configuration is at most this old: 0.7 of `right_ms` until a read is requested,
    /// plus [`FOLLOWER_MAX_BEHIND`](super::freshness), plus one check interval; 2.3 s by default. Primary leases are
    /// renewed independently. See `docs/CONFIGURATION-SPREAD.md`.
    pub(crate) async fn catch_up_loop(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            tokio::time::sleep(CATCH_UP_CHECK_INTERVAL).await;
            if !self.is_behind() {
                backoff.reset();
                continue;
            }
            let age_ms = self.store_data_age_ms();
            match self.catch_up().await {
                Ok(()) => log::info!(
                    event = "caught_up", knowledge_age_ms = age_ms, is_behind = self.is_behind();
                    "read changes from the store that the upstream or the watch had not delivered"
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

    /// Whether changes have been missing for too long to wait for the upstream.
    fn is_behind(&self) -> bool {
        let now = Instant::now();
        let behind_for = self.state.borrow().freshness.behind_for(now);
        let Some(behind_for) = behind_for.filter(|time| *time > MAX_BEHIND) else { return false };
        let behind_for = behind_for.saturating_sub(self.catch_up_delay());
        let follows = self.upstream().is_some();
        must_read_store(behind_for, follows, self.requester.receiving_for(now))
    }

    /// The delay of this daemon's catch-up after that of the first daemon of its zone.
    fn catch_up_delay(&self) -> Duration {
        if !self.is_fleet_large() {
            return Duration::ZERO;
        }
        let (host, zone) = (&self.settings.host, &self.settings.availability_zone);
        let state = self.state.borrow();
        let before = state.members.range::<Name, _>(..host);
        catch_up_delay(before.filter(|(_, member)| member.availability_zone == **zone).count())
    }

    /// Requests the missing changes, or the whole store if changes are still missing, because a watch may return late.
    ///
    /// If an answer was received only in part, the changes are requested again: the whole store is larger and would use
    /// the same link.
    async fn catch_up(&self) -> Result<(), MetadataError> {
        let before = self.state.borrow().mirror.applied_revision();
        let outcome = self.watch_once(Duration::ZERO).await;
        let has_progressed = self.state.borrow().mirror.applied_revision() > before;
        match outcome {
            // In a large fleet, the store may change while a long answer arrives; the next catch-up requests the rest.
            Ok(()) if !self.is_behind() || (has_progressed && self.is_fleet_large()) => {
                self.publish();
                Ok(())
            }
            Err(error @ (MetadataError::NotDone(_) | MetadataError::IncompleteAnswer)) => {
                Err(error)
            }
            // The link is probably congested, and loading the whole store would make that worse.
            Err(error @ MetadataError::NoAnswer(_)) if self.is_fleet_large() => Err(error),
            Ok(()) | Err(_) => self.load_from_store().await,
        }
    }

    /// Applies changes from the store or another daemon, and wakes the tasks that wait for them.
    pub(crate) fn apply_changes(&self, changes: Vec<Change>) {
        let mut has_daemon_key_changed = false;
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
                has_daemon_key_changed = true;
                records.extend(self.on_daemon_key(&key));
            } else {
                self.on_operator_or_server_change(change);
            }
        }
        self.apply_records(&records);
        if has_daemon_key_changed {
            self.mirror_changed.notify_waiters();
        }
        self.updates_available.notify_waiters();
    }

    /// Whether a change of this key is sent to followers immediately. Changes that occur in bulk, as when many daemons
    /// start, are sent with the next answer.
    fn is_urgent(&self, key: &str) -> bool {
        let bulk_prefixes = [self.key("members/"), self.key("stopped/")];
        !bulk_prefixes.iter().any(|prefix| key.starts_with(prefix))
    }

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

    /// Applies a configuration, unless it can't be decoded or a later one is in force.
    pub(crate) fn on_configuration(&self, item: &Item) {
        let catalog = match self.format.decode_configuration(&item.value) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(
                    event = "configuration_unreadable", revision = item.revision.number(),
                    why = error.to_string().as_str();
                    "a configuration can't be decoded; the current one stays in force"
                );
                return;
            }
        };
        let mut state = self.state.borrow_mut();
        let is_operators = self.is_operators_configuration(&item.key);
        if state.configurations.update(catalog.version, &item.value, is_operators) {
            self.republish.notify_one();
        }
        if catalog.version <= state.catalog.version {
            return;
        }
        log::info!(
            event = "configuration", version = catalog.version, before = state.catalog.version,
            routes = catalog.routes.len(), services = catalog.services.len();
            "a new configuration is in force"
        );
        state.catalog = Arc::new(catalog);
    }

    pub(crate) fn on_server(&self, item: &Item) {
        match self.format.decode_server(&item.key, &item.value) {
            Ok(entry) => {
                let mut state = self.state.borrow_mut();
                if state.contradicts_known_server(item, &entry, self.lapse_grace()) {
                    return;
                }
                let (server, leaving, claims_primary) =
                    (entry.server.clone(), entry.leaving, entry.claims_primary);
                let (service, incarnation) = (entry.service.clone(), entry.incarnation);
                let before = state.servers.incarnation_at(&item.key);
                if state.servers.put(&item.key, entry) {
                    log::info!(
                        event = "server", server = &*server, leaving = leaving,
                        claims_lead = claims_primary, revision = item.revision.number();
                        "a server's entry changed"
                    );
                }
                if before.is_some() && before != incarnation {
                    state.forget_incarnation(&service, &server);
                    log::info!(
                        event = "server_reborn", service = &*service, server = &*server,
                        revision = item.revision.number();
                        "a server restarted; state of its former process is discarded"
                    );
                }
            }
            Err(error) => {
                self.state.borrow_mut().servers.discard(&item.key);
                log::warn!(
                    event = "server_unreadable", key = item.key.as_str(),
                    why = error.to_string().as_str();
                    "a server's entry can't be decoded and is ignored"
                );
            }
        }
    }
}
