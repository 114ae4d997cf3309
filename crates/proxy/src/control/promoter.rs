//! The duty to promote.
//!
//! One daemon at a time holds the duty: a key under a lease of its own, whose creation revision is the
//! fencing token. Its holder looks after the groups and changes their primaries (`change`).

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
        change::{ChangeReason, VersionedRecord},
        move_times::MoveTimes,
        record::is_primary_lost,
        runner::{Control, RENEWALS_PER_LEASE},
        state::{HeldLease, State},
        witnesses::witnesses_of,
    },
    metadata::{LeaseId, MetadataStore, Revision, Transaction, TransactionOutcome},
};

/// How often the duty's holder looks at the groups if nothing wakes it.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Groups in which whoever leads is looked for at a time, before there are records. Each takes three connections and a
/// write; 700 groups at once left a daemon with an eighth of a core no time to read a single answer within a command's
/// 150 ms, so that most had no primary after 14 s.
const MOST_FIRST_AT_ONCE: usize = 32;
/// How long the holder rests at the least after a look.
const SHORTEST_REST: Duration = Duration::from_millis(5);
/// How much longer it rests than the look took, so that looks take a fifth of its time at the most.
const RESTS_PER_LOOK: f64 = 4.0;
/// Daemons that want the duty wait up to this long first, so that they rarely collide, and as long again for each
/// member that comes before them: hundreds that start together would else take a lease each and try in vain, a
/// sixth of all calls to the store on a quiet day of 295 daemons.
const TAKE_JITTER: Duration = Duration::from_millis(60);
/// Members before a daemon that it waits for at the most; who are dead are still listed for some seconds.
const MOST_BEFORE: usize = 8;

/// The duty as this daemon holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PromoterLease {
    pub(crate) fencing_token: u64,
    pub(crate) revision: Revision,
}

impl<P: Adapter> Control<P> {
    /// Returns the key of the duty.
    pub(crate) fn promoter_key(&self) -> String {
        self.key("duty")
    }

    /// Returns the key of a group's record.
    pub(crate) fn record_key(&self, service: &Name) -> String {
        self.key(&format!("groups/{service}"))
    }

    /// Takes the duty when nobody has it, and looks after the groups while this daemon holds it.
    pub(crate) async fn promoter_loop(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.mirror_changed.notified() => {}
            }
            let stopping = self.stopping.borrow().is_some();
            let looks_at = Instant::now();
            match self.held_promoter_lease() {
                Some(lease) if stopping => self.release_promoter_lease(lease).await,
                Some(_) => self.check_groups(),
                None if stopping => {}
                None => self.acquire_promoter_lease().await,
            }
            // A burst of changes is looked at once, and looks leave time for everything else that this thread does:
            // where there are a thousand groups, a look takes some milliseconds.
            let rest = looks_at.elapsed().mul_f64(RESTS_PER_LOOK);
            tokio::time::sleep(rest.clamp(SHORTEST_REST, CHECK_INTERVAL)).await;
        }
    }

    /// Returns the duty if this daemon holds it by what it knows.
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

    /// Returns how much is left of the duty's lease by this daemon's own clock; nothing if it does not hold the duty.
    pub(crate) fn promoter_lease_left(&self, now: Instant) -> Duration {
        let held = self.held_promoter_lease();
        let lease = self.state.borrow().promoter_lease.filter(|_| held.is_some());
        lease.map_or(Duration::ZERO, |lease| lease.valid_until.saturating_duration_since(now))
    }

    /// The value names the lease too, so that a restarted daemon does not take over its former life's.
    pub(crate) fn promoter_value(&self, lease: LeaseId) -> Bytes {
        Bytes::from(format!("{} {lease}", self.settings.host))
    }

    /// Takes the duty if nobody has it.
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
        let before = self.members_before().min(MOST_BEFORE) as f64;
        tokio::time::sleep(TAKE_JITTER.mul_f64(before + part)).await;
        if !is_free(self) {
            return;
        }
        let ended = self.expired_promoter_key(&self.state.borrow());
        if let Some(revision) = ended {
            // Its key goes first, so that whoever takes the duty creates it: that is what makes the fencing token.
            return self.remove_expired_promoter_key(revision).await;
        }
        let Some(lease) = self.obtain_promoter_lease().await else { return };
        let transaction = Transaction {
            expected: vec![(self.promoter_key(), Revision::ABSENT)],
            puts: vec![(self.promoter_key(), self.promoter_value(lease.id), Some(lease.id))],
            removes: Vec::new(),
        };
        let taken = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &taken);
        match taken {
            Ok(TransactionOutcome::Done(revision)) => log::info!(
                event = "duty_taken", fencing_token = revision.fencing_token();
                "this daemon promotes from now on"
            ),
            Ok(TransactionOutcome::Conflict) => {}
            Ok(TransactionOutcome::LeaseOver) => self.state.borrow_mut().promoter_lease = None,
            // If it was done after all, the next reading shows it.
            Err(error) => log::info!(
                event = "duty_unclear", why = error.to_string().as_str();
                "whether the duty was taken is not known yet"
            ),
        }
    }

    /// Returns how many members come before this daemon by name.
    pub(crate) fn members_before(&self) -> usize {
        let state = self.state.borrow();
        state.members.keys().take_while(|host| **host < self.settings.host).count()
    }

    /// Returns the lease that the duty stands under, shorter than a member's: while it lasts after its
    /// holder's death, nobody promotes.
    pub(crate) async fn obtain_promoter_lease(&self) -> Option<HeldLease> {
        let now = Instant::now();
        if let Some(lease) =
            self.state.borrow().promoter_lease.filter(|lease| now < lease.valid_until)
        {
            return Some(lease);
        }
        let lasts = Duration::from_millis(self.settings.metadata.duty_lease_ms);
        let granted = self.store.grant(lasts, self.write_timeout()).await;
        self.count_call("grant", &granted);
        match granted {
            Ok(id) => {
                let lease = HeldLease { id, valid_until: now + lasts };
                self.state.borrow_mut().promoter_lease = Some(lease);
                Some(lease)
            }
            Err(error) => {
                log::info!(
                    event = "store_unreachable", call = "duty_lease",
                    why = error.to_string().as_str();
                    "no lease was granted for the duty"
                );
                None
            }
        }
    }

    /// Renews the duty's lease while this daemon holds the duty.
    pub(crate) async fn promoter_lease_loop(self: Rc<Self>) {
        let lasts = Duration::from_millis(self.settings.metadata.duty_lease_ms);
        loop {
            tokio::time::sleep(lasts / RENEWALS_PER_LEASE).await;
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
                    let valid_until = sent_at + lasts;
                    state.promoter_lease = Some(HeldLease { valid_until, ..lease });
                }
                Ok(false) => {
                    log::info!(event = "duty_lost"; "the duty's lease was over");
                    state.promoter_lease = None;
                }
                Err(error) => log::info!(
                    event = "store_unreachable", call = "duty_lease",
                    why = error.to_string().as_str();
                    "the duty's lease was not renewed"
                ),
            }
        }
    }

    /// Leaves the duty to another daemon before this one stops; a change under way is finished first.
    pub(crate) async fn release_promoter_lease(&self, lease: PromoterLease) {
        if !self.changes_running.borrow().is_empty() {
            return;
        }
        let transaction = Transaction {
            expected: vec![(self.promoter_key(), lease.revision)],
            puts: Vec::new(),
            removes: vec![self.promoter_key()],
        };
        let left = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &left);
        match left {
            Ok(_) => log::info!(event = "duty_left"; "this daemon stops and promotes no more"),
            Err(error) => log::info!(
                event = "duty_not_left", why = error.to_string().as_str();
                "the duty may end only with this daemon's lease"
            ),
        }
        // The mirror hears of it by the watch; until then nothing more is to be done.
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
            let Some(reason) = self.reason_to_change(&service) else { continue };
            if !self.may_begin(reason) {
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

    /// Whether one more change for this reason may begin beside those that run.
    fn may_begin(&self, reason: ChangeReason) -> bool {
        let asks_all = |reason: &ChangeReason| {
            matches!(reason, ChangeReason::Unknown | ChangeReason::Restored)
        };
        if !asks_all(&reason) {
            return true;
        }
        let running = self.changes_running.borrow();
        running.values().filter(|reason| asks_all(reason)).count() < MOST_FIRST_AT_ONCE
    }

    /// Says why a group's primary has to be changed; `None` if it need not be.
    pub(crate) fn reason_to_change(&self, service: &Name) -> Option<ChangeReason> {
        let Some(known) = self.known_record(service) else {
            return (!self.entries(service).is_empty()).then_some(ChangeReason::Unknown);
        };
        if !self.state.borrow().is_confirmed(&known.record) {
            return Some(ChangeReason::Restored);
        }
        if known.record.change.is_some() {
            return Some(ChangeReason::LeftUnfinished);
        }
        self.fault_of_primary(service, &known)
    }

    /// Says what is wrong with a group's recorded primary; `None` if nothing is.
    pub(crate) fn fault_of_primary(
        &self,
        service: &Name,
        known: &VersionedRecord,
    ) -> Option<ChangeReason> {
        let entries = self.entries(service);
        let Some(primary) = entries.iter().find(|entry| *entry.server == *known.record.primary)
        else {
            let is_gone = !entries.is_empty() && self.is_missing_for_long(service);
            return is_gone.then_some(ChangeReason::Gone);
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
        if self.is_lost_to_witnesses(&state, service, &known.record.primary) {
            return Some(ChangeReason::Unreachable);
        }
        let times = MoveTimes {
            behind_at: state.replicas_behind_at.get(service).copied(),
            moved_at: state.leader_moved_at.get(service).copied(),
            checked_at: state.leader_move_checked_at.get(service).copied(),
        };
        times.allow_move(Instant::now()).then_some(ChangeReason::ReplicasBehind)
    }

    /// Whether so many of a primary's witnesses can't reach it that it is to be replaced.
    fn is_lost_to_witnesses(&self, state: &State, service: &Name, primary: &str) -> bool {
        let prefix = self.key(&format!("suspicions/{service}/{primary}/"));
        let suspecting: HashSet<&str> =
            state.mirror.below(&prefix).filter_map(|item| item.key.strip_prefix(&prefix)).collect();
        // Most groups are suspected by nobody, and ranking the members takes its time.
        if suspecting.is_empty() {
            return false;
        }
        let witnesses = witnesses_of(primary, state.members.keys().map(|host| &**host));
        let agreeing = witnesses.iter().filter(|host| suspecting.contains(**host)).count();
        is_primary_lost(agreeing, witnesses.len())
    }

    /// Returns the life of a service's server as its entry tells it.
    pub(crate) fn incarnation_of(&self, service: &Name, server: &str) -> Option<ServerIncarnation> {
        self.state.borrow_mut().servers.incarnation_of(service, server)
    }

    /// Whether the primary's entry has been missing for so long, in readings of a store that answered
    /// all the while, that it did not just lapse while the store was away.
    pub(crate) fn is_missing_for_long(&self, service: &Name) -> bool {
        let now = Instant::now();
        let grace = Duration::from_millis(self.settings.leadership.lapse_grace_ms);
        let mut state = self.state.borrow_mut();
        let Some(watching_since) = state.watching_since.filter(|_| state.servers_known) else {
            return false;
        };
        let since = *state.primary_missing_since.entry(service.clone()).or_insert(now);
        now.saturating_duration_since(since.max(watching_since)) >= grace
    }

    /// Returns a group's record as this daemon knows it.
    pub(crate) fn known_record(&self, service: &Name) -> Option<Arc<VersionedRecord>> {
        self.state.borrow().records.get(service).cloned()
    }

    /// Returns a server of a group, if it is listed.
    pub(crate) fn entry_of(&self, service: &Name, server: &str) -> Option<Arc<ServerEntry>> {
        self.entries(service).into_iter().find(|entry| *entry.server == *server)
    }

    /// Returns a group's servers.
    pub(crate) fn entries(&self, service: &Name) -> Vec<Arc<ServerEntry>> {
        self.state.borrow_mut().servers.by_service().get(service).cloned().unwrap_or_default()
    }
}
