//! The right to use primaries, by readings of the store: this daemon's own and those of its zone's reader.

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
        peers::{SharedRead, StoreRead, evaluate_read},
        runner::Control,
        state::State,
    },
    metadata::{Changes, Consistency, MetadataError, MetadataStore, Revision, Snapshot},
};
use model::{Name, Term};

/// How often it is looked whether another daemon's reading has become too old, within the time between
/// two readings.
const LOOKS_PER_READING: u32 = 4;

/// Changes that a daemon of a large fleet may miss and still ask the store for to renew its rights: of some hundred bytes
/// each they are a tenth of a megabyte.
const MOST_MISSING_ASKED: u64 = 500;

impl<P: Adapter> Control<P> {
    /// Renews the rights again and again, by a reading of the store or of another daemon.
    pub(crate) async fn refresh_loop(self: Rc<Self>) {
        let every = Duration::from_millis(self.settings.leadership.refresh_ms);
        let mut backoff = Backoff::default();
        // The first reading is that of everything, which brings what the rights are about.
        while !self.state.borrow().servers_known {
            self.initial_load_done.notified().await;
        }
        loop {
            // Here, since this loop turns also while nothing is heard.
            let age_ms = i64::try_from(self.store_data_age_ms()).unwrap_or(i64::MAX);
            self.metrics.now.with_label_values(&["knowledge_age_ms"]).set(age_ms);
            if let Some(until) = self.rests_until(every) {
                tokio::select! {
                    () = tokio::time::sleep_until(until.into()) => {}
                    () = self.refresh_now.notified() => {}
                }
            }
            if self.has_fresh_shared_read() {
                tokio::select! {
                    () = tokio::time::sleep(every / LOOKS_PER_READING) => {}
                    () = self.refresh_now.notified() => {}
                }
                continue;
            }
            let asked_at = Instant::now();
            match self.renew_primary_leases(asked_at).await {
                Ok(()) => {
                    backoff.reset();
                    self.drop_stale_upstream();
                    let rest = every.saturating_sub(asked_at.elapsed());
                    tokio::select! {
                        () = tokio::time::sleep(rest) => {}
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
                        Some(_) => self.await_shared_reading(&mut backoff).await,
                        None => backoff.wait().await,
                    }
                }
            }
        }
    }

    /// Waits until the store is to be tried again, unless another daemon's reading comes first.
    async fn await_shared_reading(&self, backoff: &mut Backoff) {
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

    /// Until when the last reading of everything, if there was one just now, is enough.
    fn rests_until(&self, every: Duration) -> Option<Instant> {
        let state = self.state.borrow();
        let read_at =
            state.own_read_at.filter(|read_at| state.member_written_at < Some(*read_at))?;
        let until = read_at + every;
        (Instant::now() < until).then_some(until)
    }

    /// Reads the store, so that the rights last from when that was asked.
    ///
    /// A reading of this daemon's own key is enough where every change up to its revision is known, as it
    /// is nearly always: then it is known what a reading of everything would show. That is a few hundred
    /// bytes instead of some hundred for each daemon of the fleet; the whole is read only by who is behind, in a large
    /// fleet only where the changes that are missing can't be had by themselves. There hundreds are behind together as
    /// soon as a link is full, and all that they would read would keep it so.
    pub(crate) async fn renew_primary_leases(
        &self,
        asked_at: Instant,
    ) -> Result<(), MetadataError> {
        let own = self.read_below(&self.member_key()).await?;
        if own.revision.era() > self.state.borrow().mirror.era() {
            return self.handle_newer_era(StoreRead { asked_at, revision: own.revision }).await;
        }
        if self.state.borrow().own_applied_revision >= own.revision {
            self.on_own_reading(own.revision, asked_at);
            return Ok(());
        }
        if self.is_fleet_large() {
            if self.is_told_soon(own.revision) {
                return Ok(());
            }
            match self.hear_own_changes().await {
                Ok(()) | Err(MetadataError::HistoryGone) => {}
                Err(error) => return Err(error),
            }
            if self.state.borrow().own_applied_revision >= own.revision {
                self.on_own_reading(own.revision, asked_at);
                return Ok(());
            }
        }
        let asked_at = Instant::now();
        let everything = self.read_below(&self.key("")).await?;
        if everything.revision.era() > self.state.borrow().mirror.era() {
            return self
                .handle_newer_era(StoreRead { asked_at, revision: everything.revision })
                .await;
        }
        self.on_own_snapshot(everything, asked_at);
        Ok(())
    }

    /// Whether so much is missing up to a revision that whoever is followed is waited for: that one sends it packed, and once.
    fn is_told_soon(&self, revision: Revision) -> bool {
        let known = self.state.borrow().own_applied_revision;
        let missing = revision.number().saturating_sub(known.number());
        missing > MOST_MISSING_ASKED && self.upstream().is_some()
    }

    /// Asks the store once what has changed of the daemons' own keys, and takes that over.
    ///
    /// Rights need no more than that. Asked for all changes, a region of 150 daemons that was half a second behind drew a
    /// configuration of a megabyte for each of them over one link, and was behind for as long as that lasted.
    async fn hear_own_changes(&self) -> Result<(), MetadataError> {
        let after = self.state.borrow().own_applied_revision;
        let changes = self.store.watch(&self.key(""), after, Duration::ZERO).await;
        self.count_call("watch", &changes);
        let Changes { changes, revision } = changes?;
        self.apply_changes(changes);
        let mut state = self.state.borrow_mut();
        state.own_applied_revision = state.own_applied_revision.max(revision);
        Ok(())
    }

    async fn read_below(&self, prefix: &str) -> Result<Snapshot, MetadataError> {
        let timeout = self.read_timeout().min(self.primary_lease_duration());
        let read = self.store.range(prefix, Consistency::Linearizable, timeout.into()).await;
        self.count_call("range", &read);
        read
    }

    /// Takes over a reading at a revision up to which every change of the daemons' own keys is known.
    fn on_own_reading(&self, revision: Revision, asked_at: Instant) {
        let reading = StoreRead { asked_at, revision };
        let now = Instant::now();
        self.note_own_reading(reading, now);
        match evaluate_read(&reading, now, self.primary_lease_duration(), &self.own_keys()) {
            SharedRead::Renews(services) => self.grant_primary_leases(asked_at, Some(&services)),
            SharedRead::Useless if self.is_member_key_missing() => self.rejoin.notify_one(),
            SharedRead::Useless => {}
        }
        self.finish_reading(now);
    }

    /// Notes a reading that this daemon asked for itself.
    fn note_own_reading(&self, reading: StoreRead, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.note_observed_revision(&reading);
        let before = state.own_read_at.replace(reading.asked_at);
        if before.is_none_or(|before| now.duration_since(before) > self.primary_lease_duration()) {
            // Members that came and went meanwhile were not seen; another's reading does not tell of
            // them.
            state.watching_since = Some(now);
        }
        let is_back = state.note_read(now, self.store_silence_timeout());
        state.own_applied_revision = state.own_applied_revision.max(reading.revision);
        state.keep_latest_read(reading);
        drop(state);
        if is_back {
            self.reprobe_suspected_servers();
        }
    }

    /// Does what follows from any reading.
    fn finish_reading(&self, now: Instant) {
        self.note_members(now);
        self.report_and_probe_suspicions();
        self.publish();
        self.updates_available.notify_waiters();
    }

    /// Takes over a reading of the daemons' own keys that was asked for at `asked_at`.
    pub(crate) fn on_own_snapshot(&self, snapshot: Snapshot, asked_at: Instant) {
        let now = Instant::now();
        let revision = snapshot.revision;
        let is_member = snapshot.items.iter().any(|item| item.key == self.member_key());
        let changes = self.state.borrow().mirror.changes_to(&self.key(""), snapshot);
        self.apply_changes(changes);
        self.note_own_reading(StoreRead { asked_at, revision }, now);
        if is_member {
            self.grant_primary_leases(asked_at, None);
        } else if self.is_member_key_missing() {
            self.rejoin.notify_one();
        }
        self.finish_reading(now);
    }

    /// Gives up a right that an answer contradicts, with the samples that came by it; the store is read anew.
    pub(crate) fn drop_primary_lease(&self, service: &Name, term: Term) {
        {
            let mut state = self.state.borrow_mut();
            let leaders = Arc::make_mut(&mut state.leaders);
            if let Some(lead) = leaders.get_mut(service).filter(|lead| lead.term == term) {
                lead.valid_until = Instant::now();
            }
            state.evidence.retain(|evidence| evidence.service != *service);
            Arc::make_mut(&mut state.samples).remove(service);
        }
        self.publish();
        self.refresh_now.notify_one();
    }

    /// Whoever promotes waits for every member, so only a member's reading gives a right. `services`
    /// are those that the reading speaks of; `None` for all.
    pub(crate) fn grant_primary_leases(&self, asked_at: Instant, services: Option<&[Name]>) {
        let valid_until = asked_at + self.primary_lease_duration();
        let shown: Option<HashSet<&Name>> = services.map(|services| services.iter().collect());
        let mut state = self.state.borrow_mut();
        let State { leaders, records, servers, mirror, .. } = &mut *state;
        let leaders = Arc::make_mut(leaders);
        for (service, known) in records {
            let record = &known.record;
            if shown.as_ref().is_some_and(|shown| !shown.contains(service)) {
                continue;
            }
            // The lead may not say so any more: evidence from before the change overrules it. A record from before a restore
            // may be older than the change that followed it.
            if record.change.is_some()
                || record.era != mirror.era().0
                || servers.is_restarted(service, &record.primary, record.primary_incarnation)
            {
                continue;
            }
            let Some(lead) = leaders.get_mut(service) else { continue };
            if *lead.server == *record.primary && lead.term.0 == record.term && !lead.changing {
                if lead.valid_until < asked_at {
                    log::info!(
                        event = "right_gained", service = &**service, server = &*lead.server,
                        term = lead.term.0, basis = Basis::Store.as_str();
                        "a primary may be used"
                    );
                }
                lead.valid_until = lead.valid_until.max(valid_until);
                lead.basis = Basis::Store;
                lead.planned = false;
            }
        }
    }
}
