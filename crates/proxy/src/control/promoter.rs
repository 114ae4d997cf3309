//! The promoter role.
//!
//! One daemon at a time is the promoter: it owns the promoter key, which it writes under a separate lease. The revision
//! at which the key is created is the fencing token. The promoter monitors the groups and changes their primaries
//! (`change`).

use std::{
    collections::HashSet,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::Name;
use rand::RngExt;

use crate::{
    catalog::{ServerEntry, ServerIncarnation},
    control::{
        adapter::Adapter,
        change::{ChangeFailure, ChangeReason, VersionedRecord},
        commands::MIN_LEASE_TO_RESUME,
        move_times::MoveTimes,
        record::is_primary_lost,
        runner::{Control, RENEWALS_PER_LEASE},
        state::{HeldLease, State},
        witnesses::witnesses_of,
    },
    metadata::{LeaseId, MetadataStore, Revision, Transaction, TransactionOutcome},
};

/// How often the promoter checks the groups if nothing wakes it.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The largest number of groups whose servers are queried concurrently for an unrecorded or unconfirmed primary, so
/// that a small host can read their answers within the command timeout. Each takes three connections and a write; with
/// 700 at once, an eighth of a core read no answer in time and most groups had no primary after 14 s.
const MAX_CONCURRENT_DISCOVERIES: usize = 32;
/// The shortest pause after a check of the groups.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// The pause after a check in multiples of its duration, so that checks take at most a fifth of the thread's time.
const PAUSE_PER_CHECK: f64 = 4.0;
/// The longest random delay before a daemon tries to become promoter, and the delay per member before it in the order
/// of names. Without it all daemons of a fleet that starts would request a lease and collide: a sixth of the store calls
/// of a quiet day of 295 daemons.
const ACQUIRE_JITTER: Duration = Duration::from_millis(60);
/// The largest number of preceding members that delay a daemon, since failed members stay listed for some seconds.
const MAX_MEMBERS_BEFORE: usize = 8;

/// The promoter lease that this daemon holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PromoterLease {
    pub(crate) fencing_token: u64,
    pub(crate) revision: Revision,
}

impl<P: Adapter> Control<P> {
    pub(crate) fn promoter_key(&self) -> String {
        self.key("duty")
    }

    pub(crate) fn record_key(&self, service: &Name) -> String {
        self.key(&format!("groups/{service}"))
    }

    /// Acquires the promoter role when it is free, and checks the groups while this daemon is the promoter.
    pub(crate) async fn promoter_loop(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.mirror_changed.notified() => {}
            }
            let stopping = self.stopping.borrow().is_some();
            let checked_at = Instant::now();
            match self.held_promoter_lease() {
                Some(lease) if stopping => self.release_promoter_lease(lease).await,
                Some(_) => self.check_groups(),
                None if stopping => {}
                None => self.acquire_promoter_lease().await,
            }
            // Handles a burst of changes with one check, and leaves time for the thread's other tasks: with a thousand
            // groups a check takes several milliseconds.
            let pause = checked_at.elapsed().mul_f64(PAUSE_PER_CHECK);
            tokio::time::sleep(pause.clamp(MIN_PAUSE, CHECK_INTERVAL)).await;
        }
    }

    /// Returns the promoter lease if this daemon holds it, as far as it knows.
    pub(crate) fn held_promoter_lease(&self) -> Option<PromoterLease> {
        let state = self.state.borrow();
        let item = state.mirror.get(&self.promoter_key())?;
        let lease = state.promoter_lease?;
        let ours =
            item.value == self.promoter_value(lease.id) && Instant::now() < lease.valid_until;
        ours.then_some(PromoterLease {
            fencing_token: item.created.fencing_token(),
            revision: item.revision,
        })
    }

    /// Returns the remaining promoter lease by this daemon's own clock; zero if it is not the promoter.
    pub(crate) fn promoter_lease_left(&self, now: Instant) -> Duration {
        let held = self.held_promoter_lease();
        let lease = self.state.borrow().promoter_lease.filter(|_| held.is_some());
        lease.map_or(Duration::ZERO, |lease| lease.valid_until.saturating_duration_since(now))
    }

    /// Confirms by the store that this daemon is the promoter. The store must answer while enough of the lease is left
    /// to undo a change.
    pub(crate) async fn confirm_promoter_lease(&self) -> Result<(), ChangeFailure> {
        let lease = self.held_promoter_lease().ok_or(ChangeFailure::Superseded)?;
        let left = self.promoter_lease_left(Instant::now()).saturating_sub(MIN_LEASE_TO_RESUME);
        let read = self.store.get(&self.promoter_key(), self.read_timeout().min(left)).await;
        self.count_call("get", &read);
        match read.map_err(ChangeFailure::Store)? {
            Some(item) if item.revision == lease.revision => Ok(()),
            _ => Err(ChangeFailure::Superseded),
        }
    }

    /// Returns the value of the promoter key. It contains the lease, so that a restarted daemon does not mistake the
    /// key of its previous process for its own.
    pub(crate) fn promoter_value(&self, lease: LeaseId) -> Bytes {
        Bytes::from(format!("{} {lease}", self.settings.host))
    }

    /// Acquires the promoter role if it is free.
    pub(crate) async fn acquire_promoter_lease(&self) {
        let is_free = |control: &Self| {
            let state = control.state.borrow();
            let fresh = state
                .last_read_at
                .is_some_and(|at| at.elapsed() < control.primary_lease_duration());
            let is_member = state.lease.is_some_and(|lease| lease.id.era == state.mirror.era());
            let is_held = state.mirror.get(&control.promoter_key()).is_some();
            fresh && is_member && (!is_held || control.expired_promoter_key(&state).is_some())
        };
        if !is_free(self) {
            return;
        }
        let part: f64 = rand::rng().random_range(0.0..1.0);
        let before = self.members_before().min(MAX_MEMBERS_BEFORE) as f64;
        tokio::time::sleep(ACQUIRE_JITTER.mul_f64(before + part)).await;
        if !is_free(self) {
            return;
        }
        let expired = self.expired_promoter_key(&self.state.borrow());
        if let Some(revision) = expired {
            // The expired key is removed first, since the fencing token is the revision at which the key is created.
            return self.remove_expired_promoter_key(revision).await;
        }
        let Some(lease) = self.obtain_promoter_lease().await else { return };
        let transaction = Transaction {
            expected: vec![(self.promoter_key(), Revision::ABSENT)],
            puts: vec![(self.promoter_key(), self.promoter_value(lease.id), Some(lease.id))],
            removes: Vec::new(),
        };
        let acquired = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &acquired);
        match acquired {
            Ok(TransactionOutcome::Done(revision)) => log::info!(
                event = "duty_taken", fencing_token = revision.fencing_token();
                "acquired the promoter role"
            ),
            Ok(TransactionOutcome::Conflict) => {}
            Ok(TransactionOutcome::LeaseOver) => self.state.borrow_mut().promoter_lease = None,
            // If the commit was applied, the next store read shows it.
            Err(error) => log::info!(
                event = "duty_unclear", why = error.to_string().as_str();
                "the acquisition of the promoter role may not have been applied"
            ),
        }
    }

    /// Returns the number of members that precede this daemon in the order of names.
    pub(crate) fn members_before(&self) -> usize {
        let state = self.state.borrow();
        state.members.keys().take_while(|host| **host < self.settings.host).count()
    }

    /// Returns the lease for the promoter key. It is shorter than a member's lease, since no daemon can promote between
    /// a promoter's failure and the end of its lease.
    pub(crate) async fn obtain_promoter_lease(&self) -> Option<HeldLease> {
        let now = Instant::now();
        if let Some(lease) =
            self.state.borrow().promoter_lease.filter(|lease| now < lease.valid_until)
        {
            return Some(lease);
        }
        let duration = Duration::from_millis(self.settings.metadata.duty_lease_ms);
        let granted = self.store.grant(duration, self.write_timeout()).await;
        self.count_call("grant", &granted);
        match granted {
            Ok(id) => {
                let lease = HeldLease { id, valid_until: now + duration };
                self.state.borrow_mut().promoter_lease = Some(lease);
                Some(lease)
            }
            Err(error) => {
                log::info!(
                    event = "store_unreachable", call = "duty_lease",
                    why = error.to_string().as_str();
                    "no promoter lease was granted"
                );
                None
            }
        }
    }

    /// Renews the promoter lease while this daemon is the promoter.
    pub(crate) async fn promoter_lease_loop(self: Rc<Self>) {
        let duration = Duration::from_millis(self.settings.metadata.duty_lease_ms);
        loop {
            tokio::time::sleep(duration / RENEWALS_PER_LEASE).await;
            let lease = self.state.borrow().promoter_lease;
            let Some(lease) = lease.filter(|_| self.held_promoter_lease().is_some()) else {
                continue;
            };
            let sent_at = Instant::now();
            let renewed = self.store.renew(lease.id, self.read_timeout()).await;
            self.count_call("renew", &renewed);
            let mut state = self.state.borrow_mut();
            match renewed {
                Ok(true) => {
                    let valid_until = sent_at + duration;
                    state.promoter_lease = Some(HeldLease { valid_until, ..lease });
                }
                Ok(false) => {
                    log::info!(event = "duty_lost"; "the promoter lease had expired");
                    state.promoter_lease = None;
                }
                Err(error) => log::info!(
                    event = "store_unreachable", call = "duty_lease",
                    why = error.to_string().as_str();
                    "the promoter lease was not renewed"
                ),
            }
        }
    }

    /// Releases the promoter role before this daemon stops, once no change is running.
    pub(crate) async fn release_promoter_lease(&self, lease: PromoterLease) {
        if !self.changes_running.borrow().is_empty() {
            return;
        }
        let transaction = Transaction {
            expected: vec![(self.promoter_key(), lease.revision)],
            puts: Vec::new(),
            removes: vec![self.promoter_key()],
        };
        let released = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &released);
        match released {
            Ok(_) => log::info!(event = "duty_left"; "released the promoter role before stopping"),
            Err(error) => log::info!(
                event = "duty_not_left", why = error.to_string().as_str();
                "the promoter role may remain taken until the lease expires"
            ),
        }
        // Waits for the watch to remove the promoter key from the mirror.
        tokio::time::sleep(CHECK_INTERVAL).await;
    }

    /// Starts a change for each group that needs one.
    pub(crate) fn check_groups(self: &Rc<Self>) {
        let services: Vec<Name> = self.state.borrow().catalog.services.keys().cloned().collect();
        for service in services {
            if self.changes_running.borrow().contains_key(&service) {
                continue;
            }
            if self.must_wait_for_orders(&service, Instant::now()) {
                continue;
            }
            let Some(reason) = self.change_reason(&service) else { continue };
            if !self.may_start_change(reason) {
                continue;
            }
            self.changes_running.borrow_mut().insert(service.clone(), reason);
            let control = self.clone();
            tokio::task::spawn_local(async move {
                control.change_and_log(&service, reason).await;
                control.changes_running.borrow_mut().remove(&service);
                control.mirror_changed.notify_waiters();
            });
        }
    }

    /// Whether another change for this reason may start while others are running.
    fn may_start_change(&self, reason: ChangeReason) -> bool {
        let queries_all_servers = |reason: &ChangeReason| {
            matches!(reason, ChangeReason::Unknown | ChangeReason::Restored)
        };
        if !queries_all_servers(&reason) {
            return true;
        }
        let running = self.changes_running.borrow();
        running.values().filter(|reason| queries_all_servers(reason)).count()
            < MAX_CONCURRENT_DISCOVERIES
    }

    /// Returns why a group's primary has to be changed; `None` if it has not.
    pub(crate) fn change_reason(&self, service: &Name) -> Option<ChangeReason> {
        let Some(known) = self.known_record(service) else {
            return (!self.entries(service).is_empty()).then_some(ChangeReason::Unknown);
        };
        if !self.state.borrow().is_confirmed(&known.record) {
            return Some(ChangeReason::Restored);
        }
        if known.record.change.is_some() {
            return Some(ChangeReason::LeftUnfinished);
        }
        if let Some(fault) = self.primary_fault(service, &known) {
            return Some(fault);
        }
        self.have_members_changed(service, &known.record).then_some(ChangeReason::MembersChanged)
    }

    /// Returns the fault for which a group's recorded primary has to be replaced, if any.
    pub(crate) fn primary_fault(
        &self,
        service: &Name,
        known: &VersionedRecord,
    ) -> Option<ChangeReason> {
        let entries = self.entries(service);
        let Some(primary) = entries.iter().find(|entry| *entry.server == *known.record.primary)
        else {
            let is_unlisted = !entries.is_empty() && self.is_missing_beyond_grace(service);
            return is_unlisted.then_some(ChangeReason::Unlisted);
        };
        self.state.borrow_mut().primary_missing_since.remove(service);
        if self.state.borrow_mut().has_primary_restarted(service, &known.record) {
            return Some(ChangeReason::Restarted);
        }
        if primary.leaving {
            let other = entries.iter().any(|entry| !entry.leaving);
            return other.then_some(ChangeReason::Leaving);
        }
        let state = self.state.borrow();
        if self.is_unreachable_for_witnesses(&state, service, &known.record.primary) {
            return Some(ChangeReason::Unreachable);
        }
        let times = MoveTimes {
            behind_at: state.replicas_behind_at.get(service).copied(),
            moved_at: state.leader_moved_at.get(service).copied(),
            checked_at: state.leader_move_checked_at.get(service).copied(),
        };
        times.allow_move(Instant::now()).then_some(ChangeReason::ReplicasBehind)
    }

    /// Whether enough of a primary's witnesses can't reach it to replace it.
    fn is_unreachable_for_witnesses(&self, state: &State, service: &Name, primary: &str) -> bool {
        let prefix = self.key(&format!("suspicions/{service}/{primary}/"));
        let suspecting: HashSet<&str> =
            state.mirror.below(&prefix).filter_map(|item| item.key.strip_prefix(&prefix)).collect();
        // Most primaries are not suspected, and ranking the members is expensive.
        if suspecting.is_empty() {
            return false;
        }
        let witnesses = witnesses_of(primary, state.members.keys().map(|host| &**host));
        let agreeing = witnesses.iter().filter(|host| suspecting.contains(**host)).count();
        is_primary_lost(agreeing, witnesses.len())
    }

    /// Returns the incarnation of a service's server from its entry.
    pub(crate) fn incarnation_of(&self, service: &Name, server: &str) -> Option<ServerIncarnation> {
        self.state.borrow_mut().servers.incarnation_of(service, server)
    }

    /// Whether the primary's entry has been missing for the grace time while the store answered, so that it did not
    /// merely lapse during an outage of the store.
    pub(crate) fn is_missing_beyond_grace(&self, service: &Name) -> bool {
        let now = Instant::now();
        let grace = Duration::from_millis(self.settings.leadership.lapse_grace_ms);
        let mut state = self.state.borrow_mut();
        let Some(watching_since) = state.watching_since.filter(|_| state.store_loaded) else {
            return false;
        };
        let since = *state.primary_missing_since.entry(service.clone()).or_insert(now);
        now.saturating_duration_since(since.max(watching_since)) >= grace
    }

    /// Returns a group's leadership record as this daemon knows it.
    pub(crate) fn known_record(&self, service: &Name) -> Option<Arc<VersionedRecord>> {
        self.state.borrow().records.get(service).cloned()
    }

    /// Returns a listed server of a group.
    pub(crate) fn entry_of(&self, service: &Name, server: &str) -> Option<Arc<ServerEntry>> {
        self.entries(service).into_iter().find(|entry| *entry.server == *server)
    }

    /// Returns a group's listed servers.
    pub(crate) fn entries(&self, service: &Name) -> Vec<Arc<ServerEntry>> {
        self.state.borrow_mut().servers.by_service().get(service).cloned().unwrap_or_default()
    }
}
