//! Primary leases that are based on store reads, by this daemon or shared by its upstream.

use std::{
    collections::HashSet,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    control::{
        adapter::Adapter,
        backoff::Backoff,
        control_view::Basis,
        peers::{ReadEffect, StoreRead, evaluate_read},
        runner::Control,
        state::State,
    },
    metadata::{Changes, Consistency, MetadataError, MetadataStore, Revision, Snapshot},
};
use model::{Name, Term};

/// How often a shared store read is checked for its age within one refresh interval.
const CHECKS_PER_REFRESH: u32 = 4;

/// The largest number of missing changes that a daemon of a large fleet with an upstream fetches from the store itself.
const MAX_MISSING_CHANGES_FETCHED: u64 = 500;

impl<P: Adapter> Control<P> {
    /// Renews the primary leases periodically, by this daemon's own store reads or by shared ones.
    pub(crate) async fn refresh_loop(self: Rc<Self>) {
        let interval = Duration::from_millis(self.settings.leadership.refresh_ms);
        let mut backoff = Backoff::default();
        // The initial load provides the servers and records that the leases refer to.
        while !self.state.borrow().store_loaded {
            self.initial_load_done.notified().await;
        }
        loop {
            // This loop sets the gauge because it also runs while no store update arrives.
            let age_ms = i64::try_from(self.store_data_age_ms()).unwrap_or(i64::MAX);
            self.metrics.gauges.with_label_values(&["knowledge_age_ms"]).set(age_ms);
            if let Some(until) = self.next_read_at(interval) {
                tokio::select! {
                    () = tokio::time::sleep_until(until.into()) => {}
                    () = self.refresh_now.notified() => {}
                }
            }
            if self.has_fresh_shared_read() {
                tokio::select! {
                    () = tokio::time::sleep(interval / CHECKS_PER_REFRESH) => {}
                    () = self.refresh_now.notified() => {}
                }
                continue;
            }
            let asked_at = Instant::now();
            match self.renew_primary_leases(asked_at).await {
                Ok(()) => {
                    backoff.reset();
                    self.drop_stale_upstream();
                    let pause = interval.saturating_sub(asked_at.elapsed());
                    tokio::select! {
                        () = tokio::time::sleep(pause) => {}
                        () = self.refresh_now.notified() => {}
                    }
                }
                Err(error) => {
                    log::info!(
                        event = "store_unreachable", call = "refresh",
                        why = error.to_string().as_str();
                        "the store did not answer"
                    );
                    match self.upstream() {
                        Some(_) => self.await_shared_read(&mut backoff).await,
                        None => backoff.wait().await,
                    }
                }
            }
        }
    }

    /// Waits for the next attempt to read the store, or until another daemon shares its read.
    async fn await_shared_read(&self, backoff: &mut Backoff) {
        let shared = async {
            while !self.has_fresh_shared_read() {
                self.updates_available.notified().await;
            }
        };
        tokio::select! {
            () = backoff.wait_as_follower(self.does_upstream_answer()) => {}
            () = shared => backoff.reset(),
        }
    }

    /// Returns when the next read is due, if the last own read is still recent enough.
    fn next_read_at(&self, interval: Duration) -> Option<Instant> {
        let state = self.state.borrow();
        let read_at =
            state.own_read_at.filter(|read_at| state.member_written_at < Some(*read_at))?;
        let until = read_at + interval;
        (Instant::now() < until).then_some(until)
    }

    /// Reads the store to extend the primary leases, counted from when the read was sent.
    ///
    /// A read of this daemon's member key suffices if every change up to its revision is known, which is the normal
    /// case and transfers little data. Otherwise the missing changes are fetched in a large fleet, and all daemon keys
    /// are read only as the last resort, since full reads by many daemons would saturate a slow link.
    pub(crate) async fn renew_primary_leases(
        &self,
        asked_at: Instant,
    ) -> Result<(), MetadataError> {
        let member_key = self.read_prefix(&self.member_key()).await?;
        if member_key.revision.era() > self.state.borrow().mirror.era() {
            return self
                .handle_newer_era(StoreRead { asked_at, revision: member_key.revision })
                .await;
        }
        if self.state.borrow().daemon_keys_revision >= member_key.revision {
            self.on_own_read(member_key.revision, asked_at);
            return Ok(());
        }
        if self.is_fleet_large() {
            if self.expects_changes_from_upstream(member_key.revision) {
                return Ok(());
            }
            match self.fetch_daemon_key_changes().await {
                Ok(()) | Err(MetadataError::HistoryGone) => {}
                Err(error) => return Err(error),
            }
            if self.state.borrow().daemon_keys_revision >= member_key.revision {
                self.on_own_read(member_key.revision, asked_at);
                return Ok(());
            }
        }
        let asked_at = Instant::now();
        let everything = self.read_prefix(&self.key("")).await?;
        if everything.revision.era() > self.state.borrow().mirror.era() {
            return self
                .handle_newer_era(StoreRead { asked_at, revision: everything.revision })
                .await;
        }
        self.on_daemon_keys_snapshot(everything, asked_at);
        Ok(())
    }

    /// Whether so many changes are missing up to a revision that the upstream's compressed update is awaited.
    fn expects_changes_from_upstream(&self, revision: Revision) -> bool {
        let known = self.state.borrow().daemon_keys_revision;
        let missing = revision.number().saturating_sub(known.number());
        missing > MAX_MISSING_CHANGES_FETCHED && self.upstream().is_some()
    }

    /// Fetches the changes of the daemon keys from the store once, and applies them.
    ///
    /// Other keys, such as a large configuration, are omitted because primary leases don't depend on them. Otherwise a
    /// region of 150 daemons that is half a second behind loads it once for each of them over one link, and stays behind.
    async fn fetch_daemon_key_changes(&self) -> Result<(), MetadataError> {
        let after = self.state.borrow().daemon_keys_revision;
        let changes = self.store.watch(&self.key(""), after, Duration::ZERO).await;
        self.count_call("watch", &changes);
        let Changes { changes, revision } = changes?;
        self.apply_changes(changes);
        let mut state = self.state.borrow_mut();
        state.daemon_keys_revision = state.daemon_keys_revision.max(revision);
        Ok(())
    }

    async fn read_prefix(&self, prefix: &str) -> Result<Snapshot, MetadataError> {
        let timeout = self.read_timeout().min(self.primary_lease_duration());
        let read = self.store.range(prefix, Consistency::Linearizable, timeout.into()).await;
        self.count_call("range", &read);
        read
    }

    /// Applies a store read at a revision up to which every change of the daemon keys is known.
    fn on_own_read(&self, revision: Revision, asked_at: Instant) {
        let store_read = StoreRead { asked_at, revision };
        let now = Instant::now();
        self.record_own_read(store_read, now);
        match evaluate_read(&store_read, now, self.primary_lease_duration(), &self.daemon_keys()) {
            ReadEffect::Renews(services) => self.grant_primary_leases(asked_at, Some(&services)),
            ReadEffect::RenewsNothing if self.is_member_key_missing() => self.rejoin.notify_one(),
            ReadEffect::RenewsNothing => {}
        }
        self.finish_read(now);
    }

    /// Records a store read that this daemon made itself.
    fn record_own_read(&self, store_read: StoreRead, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.on_observed_revision(&store_read);
        let before = state.own_read_at.replace(store_read.asked_at);
        if before.is_none_or(|before| now.duration_since(before) > self.primary_lease_duration()) {
            // Members that joined and left since the last own read were not seen; shared reads don't contain them.
            state.watching_since = Some(now);
        }
        let is_back = state.on_store_read(now, self.store_silence_timeout());
        state.daemon_keys_revision = state.daemon_keys_revision.max(store_read.revision);
        state.keep_latest_read(store_read);
        drop(state);
        if is_back {
            self.reprobe_suspected_servers();
        }
    }

    /// Updates and publishes the state that depends on store reads.
    fn finish_read(&self, now: Instant) {
        self.update_seen_members(now);
        self.report_and_probe_suspicions();
        self.publish();
        self.updates_available.notify_waiters();
    }

    /// Applies a snapshot of the daemon keys whose read was sent at `asked_at`.
    pub(crate) fn on_daemon_keys_snapshot(&self, snapshot: Snapshot, asked_at: Instant) {
        let now = Instant::now();
        let revision = snapshot.revision;
        let is_member = snapshot.items.iter().any(|item| item.key == self.member_key());
        let changes = self.state.borrow().mirror.changes_to(&self.key(""), snapshot);
        self.apply_changes(changes);
        self.record_own_read(StoreRead { asked_at, revision }, now);
        if is_member {
            self.grant_primary_leases(asked_at, None);
        } else if self.is_member_key_missing() {
            self.rejoin.notify_one();
        }
        self.finish_read(now);
    }

    /// Drops a primary lease that a server's answer contradicts, with the samples of that primary, and refreshes from
    /// the store.
    pub(crate) fn drop_primary_lease(&self, service: &Name, term: Term) {
        {
            let mut state = self.state.borrow_mut();
            let leaders = Arc::make_mut(&mut state.leaders);
            if let Some(leader) = leaders.get_mut(service).filter(|leader| leader.term == term) {
                leader.valid_until = Instant::now();
            }
            state.evidence.retain(|evidence| evidence.service != *service);
            Arc::make_mut(&mut state.samples).remove(service);
        }
        self.publish();
        self.refresh_now.notify_one();
    }

    /// Grants the primary leases that a store read allows. Requires that this daemon is a member, since a promoter
    /// waits only for members. `services` are those that the read covers; `None` for all.
    pub(crate) fn grant_primary_leases(&self, asked_at: Instant, services: Option<&[Name]>) {
        let valid_until = asked_at + self.primary_lease_duration();
        let covered: Option<HashSet<&Name>> = services.map(|services| services.iter().collect());
        let mut state = self.state.borrow_mut();
        let State { leaders, records, servers, mirror, .. } = &mut *state;
        let leaders = Arc::make_mut(leaders);
        for (service, known) in records {
            let record = &known.record;
            if covered.as_ref().is_some_and(|covered| !covered.contains(service)) {
                continue;
            }
            // Checked in the record, since evidence that was accepted during the change may have cleared
            // `leader.changing`. A record from before a restore may be older than a later change.
            if record.change.is_some()
                || record.era != mirror.era().0
                || servers.is_restarted(service, &record.primary, record.primary_incarnation)
            {
                continue;
            }
            let Some(leader) = leaders.get_mut(service) else { continue };
            if *leader.server == *record.primary && leader.term.0 == record.term && !leader.changing
            {
                if leader.valid_until < asked_at {
                    log::info!(
                        event = "right_gained", service = &**service, server = &*leader.server,
                        term = leader.term.0, basis = Basis::Store.as_str();
                        "primary lease granted"
                    );
                }
                leader.valid_until = leader.valid_until.max(valid_until);
                leader.basis = Basis::Store;
                leader.planned = false;
            }
        }
    }
}
