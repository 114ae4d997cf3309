//! The duty to promote, and how a primary is changed.
//!
//! One daemon at a time holds the duty: a key under its lease, whose creation revision is the fencing
//! token. A change runs: record that it begins, so that daemons stop → stop the servers → wait until
//! no right can be left → record whom → order → verify → record the outcome. Every step can be taken
//! up by the next holder. `docs/PLATFORM.md`, "Who leads", has the argument and the table of faults.

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{Name, Term};
use rand::RngExt;
use tokio::sync::oneshot;

use crate::{
    catalog::{CatalogFormat, ServerEntry},
    control::{
        record::{
            ChosenServer, LeadershipRecord, PrimaryChange, RightBounds, StopProgress,
            StoppedServer, choose_successor, is_primary_lost, majority,
        },
        runner::{Ask, CommandAsk, Control, HeldLease, RENEWALS_PER_LEASE, join_all},
    },
    dialect::EndpointDialect,
    metadata::{MetadataError, MetadataStore, Revision, Transaction, TransactionOutcome},
    order::{OrderError, PromotionOrder, PromotionOrders},
    serve::connection::{ConnectionLost, EndpointConnection},
    statement::{EndpointCommand, EndpointStatus, EndpointText, ErrorCode},
};

/// How often the duty's holder looks at the groups if nothing wakes it.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Daemons that want the duty wait up to this long first, so that they rarely collide.
const TAKE_JITTER: Duration = Duration::from_millis(60);
/// How long a server may take to answer a command of a change that is made because of a failure.
const COMMAND_WITHIN: Duration = Duration::from_millis(150);
/// The same where nothing has failed: an overloaded primary takes its time, and what it holds counts.
const PLANNED_COMMAND_WITHIN: Duration = Duration::from_millis(1_000);
/// How long a replica may take to receive what a stepped-down primary still holds.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(800);
/// The pause between two questions to a server.
const ASK_EVERY: Duration = Duration::from_millis(30);
/// An order must leave within this time after the store confirmed the duty; a new holder waits longer
/// than this before its first order.
const ORDER_WITHIN: Duration = Duration::from_millis(400);
/// How long a change may look for a majority before it is called off.
const FENCE_WITHIN: Duration = Duration::from_secs(3);

/// How long a report that replicas are behind counts.
const BEHIND_LASTS: Duration = Duration::from_millis(600);
/// How long the lead stays where it was moved to because replicas were behind; a move costs a gap.
const MOVE_AGAIN_AFTER: Duration = Duration::from_secs(12);
/// How many entries a replica may lack that is to take over without need: it receives, and gets the rest
/// in a moment.
const NEARLY_LEVEL: u64 = 8;

/// Why a change ended without a new primary.
#[derive(Debug)]
enum ChangeEnd {
    /// The store did not do what was asked; the next look goes on from what it holds.
    Store(MetadataError),
    /// Another daemon changed the record, or holds the duty now.
    Superseded,
    /// Too few servers answered; the change was called off.
    NoMajority,
    /// No server can take over yet.
    NoSuccessor,
    /// The chosen server did not come to lead in time.
    NotSettled,
}

impl std::fmt::Display for ChangeEnd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ChangeEnd::Store(error) => error.fmt(f),
            ChangeEnd::Superseded => f.write_str("another daemon has taken over"),
            ChangeEnd::NoMajority => f.write_str("too few servers answered"),
            ChangeEnd::NoSuccessor => f.write_str("no server can take over yet"),
            ChangeEnd::NotSettled => f.write_str("the chosen server did not come to lead"),
        }
    }
}

/// The duty as this daemon holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldDuty {
    fencing_token: u64,
    revision: Revision,
}

/// A record with the revision at which it was read or written.
#[derive(Clone, Debug)]
struct VersionedRecord {
    record: LeadershipRecord,
    revision: Revision,
}

impl<M, O, F, E> Control<M, O, F, E>
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    fn duty_key(&self) -> String {
        self.key("duty")
    }

    fn record_key(&self, service: &Name) -> String {
        self.key(&format!("groups/{service}"))
    }

    /// Takes the duty when nobody has it, and looks after the groups while this daemon holds it.
    pub(crate) async fn duty_loop(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(LOOK_EVERY) => {}
                () = self.changed.notified() => {}
            }
            let stopping = self.stopping.borrow().is_some();
            match self.held_duty() {
                Some(duty) if stopping => self.leave_duty(duty).await,
                Some(_) => self.look_after_groups(),
                None if stopping => {}
                None => self.take_duty().await,
            }
            // A burst of changes is looked at once.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the duty if this daemon holds it by what it knows.
    pub(crate) fn held_duty(&self) -> Option<HeldDuty> {
        let state = self.state.borrow();
        let item = state.mirror.get(&self.duty_key())?;
        let lease = state.duty_lease?;
        let ours = item.value == self.duty_value(lease.id.0) && Instant::now() < lease.valid_until;
        ours.then_some(HeldDuty { fencing_token: item.created, revision: item.revision })
    }

    /// The value names the lease too, so that a restarted daemon does not take over its former life's.
    fn duty_value(&self, lease: u64) -> Bytes {
        Bytes::from(format!("{} {lease}", self.settings.host))
    }

    async fn take_duty(&self) {
        let is_free = |control: &Self| {
            let state = control.state.borrow();
            let fresh = state.last_read_at.is_some_and(|at| at.elapsed() < control.right());
            fresh && state.lease.is_some() && state.mirror.get(&control.duty_key()).is_none()
        };
        if !is_free(self) {
            return;
        }
        let part: f64 = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(TAKE_JITTER.mul_f64(part)).await;
        if !is_free(self) {
            return;
        }
        let Some(lease) = self.duty_lease().await else { return };
        let transaction = Transaction {
            expected: vec![(self.duty_key(), 0)],
            puts: vec![(self.duty_key(), self.duty_value(lease.id.0), Some(lease.id))],
            removes: Vec::new(),
        };
        let taken = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &taken);
        match taken {
            Ok(TransactionOutcome::Done(token)) => log::info!(
                event = "duty_taken", fencing_token = token;
                "this daemon promotes from now on"
            ),
            Ok(TransactionOutcome::Conflict) => {}
            Ok(TransactionOutcome::LeaseOver) => self.state.borrow_mut().duty_lease = None,
            // If it was done after all, the next reading shows it.
            Err(error) => log::info!(
                event = "duty_unclear", why = error.to_string().as_str();
                "whether the duty was taken is not known yet"
            ),
        }
    }

    /// Returns the lease that the duty stands under, shorter than a member's: while it lasts after its
    /// holder's death, nobody promotes.
    async fn duty_lease(&self) -> Option<HeldLease> {
        let now = Instant::now();
        if let Some(lease) = self.state.borrow().duty_lease.filter(|lease| now < lease.valid_until)
        {
            return Some(lease);
        }
        let lasts = Duration::from_millis(self.settings.metadata.duty_lease_ms);
        let granted = self.store.grant(lasts, self.write_timeout()).await;
        self.count_call("grant", &granted);
        match granted {
            Ok(id) => {
                let lease = HeldLease { id, valid_until: now + lasts };
                self.state.borrow_mut().duty_lease = Some(lease);
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
    pub(crate) async fn duty_lease_loop(self: Rc<Self>) {
        let lasts = Duration::from_millis(self.settings.metadata.duty_lease_ms);
        loop {
            tokio::time::sleep(lasts / RENEWALS_PER_LEASE).await;
            let lease = self.state.borrow().duty_lease;
            let Some(lease) = lease.filter(|_| self.held_duty().is_some()) else { continue };
            let sent_at = Instant::now();
            let renewed = self.store.renew(lease.id, self.read_timeout()).await;
            self.count_call("renew", &renewed);
            let mut state = self.state.borrow_mut();
            match renewed {
                Ok(true) => {
                    let valid_until = sent_at + lasts;
                    state.duty_lease = Some(HeldLease { valid_until, ..lease });
                }
                Ok(false) => {
                    log::info!(event = "duty_lost"; "the duty's lease was over");
                    state.duty_lease = None;
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
    async fn leave_duty(&self, duty: HeldDuty) {
        if !self.changes_running.borrow().is_empty() {
            return;
        }
        let transaction = Transaction {
            expected: vec![(self.duty_key(), duty.revision)],
            puts: Vec::new(),
            removes: vec![self.duty_key()],
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
        tokio::time::sleep(LOOK_EVERY).await;
    }

    /// Starts a change for each group that needs one.
    fn look_after_groups(self: &Rc<Self>) {
        let services: Vec<Name> = self.state.borrow().catalog.services.keys().cloned().collect();
        for service in services {
            let Some(reason) = self.reason_to_change(&service) else { continue };
            if !self.changes_running.borrow_mut().insert(service.clone()) {
                continue;
            }
            let control = self.clone();
            tokio::task::spawn_local(async move {
                control.change_and_log(&service, reason).await;
                control.changes_running.borrow_mut().remove(&service);
                control.changed.notify_waiters();
            });
        }
    }

    async fn change_and_log(&self, service: &Name, reason: Reason) {
        let began = Instant::now();
        let ended = match reason {
            Reason::Unknown => self.find_first_primary(service).await,
            _ => self.change_primary(service, reason).await,
        };
        let took_ms = began.elapsed().as_millis() as u64;
        match ended {
            Ok(()) => log::info!(
                event = "change_done", service = &**service, reason = reason.as_str(),
                took_ms = took_ms;
                "a group's leadership is settled"
            ),
            Err(end) => {
                log::info!(
                    event = "change_ended", service = &**service, reason = reason.as_str(),
                    took_ms = took_ms, why = end.to_string().as_str();
                    "a change of primary ended without one"
                );
                tokio::time::sleep(LOOK_EVERY).await;
            }
        }
    }

    fn reason_to_change(&self, service: &Name) -> Option<Reason> {
        let Some(known) = self.known_record(service) else {
            return (!self.entries(service).is_empty()).then_some(Reason::Unknown);
        };
        if known.record.change.is_some() {
            return Some(Reason::LeftUnfinished);
        }
        let entries = self.entries(service);
        let Some(primary) = entries.iter().find(|entry| *entry.server == *known.record.primary)
        else {
            let is_gone = !entries.is_empty() && self.is_missing_for_long(service);
            return is_gone.then_some(Reason::Gone);
        };
        self.state.borrow_mut().primary_missing_since.remove(service);
        if primary.leaving {
            let other = entries.iter().any(|entry| !entry.leaving);
            return other.then_some(Reason::Leaving);
        }
        let state = self.state.borrow();
        let prefix = self.key(&format!("suspicions/{service}/{}/", known.record.primary));
        let suspecting = state.mirror.below(&prefix).count();
        let members = state.mirror.below(&self.key("members/")).count();
        if is_primary_lost(suspecting, members) {
            return Some(Reason::Unreachable);
        }
        let now = Instant::now();
        let within = |at: Option<&Instant>, time| {
            at.is_some_and(|at| now.saturating_duration_since(*at) < time)
        };
        let behind = within(state.replicas_behind.get(service), BEHIND_LASTS);
        let moved = within(state.lead_moved.get(service), MOVE_AGAIN_AFTER);
        (behind && !moved).then_some(Reason::ReplicasBehind)
    }

    /// Whether the primary's entry has been missing for so long, in readings of a store that answered
    /// all the while, that it did not just lapse while the store was away.
    fn is_missing_for_long(&self, service: &Name) -> bool {
        let now = Instant::now();
        let grace = Duration::from_millis(self.settings.leadership.lapse_grace_ms);
        let mut state = self.state.borrow_mut();
        let Some(watching_since) = state.watching_since.filter(|_| state.servers_known) else {
            return false;
        };
        let since = *state.primary_missing_since.entry(service.clone()).or_insert(now);
        now.saturating_duration_since(since.max(watching_since)) >= grace
    }

    fn known_record(&self, service: &Name) -> Option<VersionedRecord> {
        let state = self.state.borrow();
        let item = state.mirror.get(&self.record_key(service))?;
        // A record that can't be read was logged when it came.
        let record = serde_json::from_slice(&item.value).ok()?;
        Some(VersionedRecord { record, revision: item.revision })
    }

    fn entries(&self, service: &Name) -> Vec<Arc<ServerEntry>> {
        self.state.borrow().servers.by_service().remove(service).unwrap_or_default()
    }

    /// Writes the record of a group that has none: whoever leads leads.
    async fn find_first_primary(&self, service: &Name) -> Result<(), ChangeEnd> {
        let entries = self.entries(service);
        let mut commands = Commands::new(self);
        let asks = entries.iter().map(|entry| (entry.clone(), EndpointText::Status)).collect();
        let statuses = commands.ask_all(asks).await;
        if statuses.len() < majority(entries.len()) {
            return Err(ChangeEnd::NoMajority);
        }
        let leading = statuses.iter().filter(|(_, status)| status.leads);
        let (entry, status) =
            leading.max_by_key(|(_, status)| status.term).ok_or(ChangeEnd::NoSuccessor)?;
        let highest = statuses.iter().map(|(_, status)| status.term).max();
        if highest > Some(status.term) {
            return Err(ChangeEnd::NoSuccessor);
        }
        let record = LeadershipRecord {
            term: status.term.0,
            primary: entry.server.to_string(),
            ..LeadershipRecord::default()
        };
        self.write_record(service, &record, 0).await?;
        Ok(())
    }

    /// Writes a record if it still stands at `expected`, and the duty is still this daemon's.
    async fn write_record(
        &self,
        service: &Name,
        record: &LeadershipRecord,
        expected: Revision,
    ) -> Result<Revision, ChangeEnd> {
        let duty = self.held_duty().ok_or(ChangeEnd::Superseded)?;
        let value = serde_json::to_vec(record).expect("a record is plain data");
        let value = Bytes::from(value);
        let key = self.record_key(service);
        let transaction = Transaction {
            expected: vec![(self.duty_key(), duty.revision), (key.clone(), expected)],
            puts: vec![(key.clone(), value.clone(), None)],
            removes: Vec::new(),
        };
        let written = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &written);
        match written {
            Ok(TransactionOutcome::Done(revision)) => Ok(revision),
            Ok(TransactionOutcome::Conflict) | Err(MetadataError::NoAnswer(_)) => {
                // The answer to an earlier attempt may have been lost: what stands there decides.
                let read = self.store.get(&key, self.read_timeout()).await;
                self.count_call("get", &read);
                match read.map_err(ChangeEnd::Store)? {
                    Some(item) if item.value == value => Ok(item.revision),
                    _ => Err(ChangeEnd::Superseded),
                }
            }
            Ok(TransactionOutcome::LeaseOver) => Err(ChangeEnd::Superseded),
            Err(error) => Err(ChangeEnd::Store(error)),
        }
    }

    async fn change_primary(&self, service: &Name, reason: Reason) -> Result<(), ChangeEnd> {
        let known = self.known_record(service).ok_or(ChangeEnd::Superseded)?;
        if reason == Reason::ReplicasBehind {
            self.state.borrow_mut().lead_moved.insert(service.clone(), Instant::now());
            self.check_level_replica(service, &known.record).await?;
        }
        let mut run = self.begin_change(service, known, reason).await?;
        self.step("begun", service, &run);
        let mut commands = Commands::new(self);
        if matches!(reason, Reason::Leaving | Reason::ReplicasBehind) {
            commands.within = PLANNED_COMMAND_WITHIN;
        }
        if let Some(chosen) = run.chosen() {
            // An order may have been given before; it is repeated, and no other server is named.
            self.await_stop(service, &mut run, &mut commands).await?;
            return self.order_and_settle(service, run, chosen, &mut commands).await;
        }
        let stopped = self.await_stop(service, &mut run, &mut commands).await?;
        let servers = self.entries(service).len();
        let synchronous = self.synchronous_replicas(service);
        let may_stay = run.reason() == Reason::ReplicasBehind.as_str();
        let Some(chosen) = choose_successor(&stopped, servers, synchronous, may_stay) else {
            self.call_off(service, run, &mut commands).await?;
            return Err(ChangeEnd::NoSuccessor);
        };
        self.order_and_settle(service, run, chosen, &mut commands).await
    }

    /// Whether some replica has received nearly all that the primary holds.
    async fn check_level_replica(
        &self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> Result<(), ChangeEnd> {
        let entries = self.entries(service);
        let asks =
            entries.iter().filter(|entry| !entry.leaving || *entry.server == *record.primary);
        let asks = asks.map(|entry| (entry.clone(), EndpointText::Status)).collect();
        let mut commands = Commands::new(self);
        commands.within = PLANNED_COMMAND_WITHIN;
        let statuses = commands.ask_all(asks).await;
        let leads = |entry: &Arc<ServerEntry>| *entry.server == *record.primary;
        let primary = statuses.iter().find(|(entry, status)| leads(entry) && status.leads);
        let (_, primary) = primary.ok_or(ChangeEnd::NoSuccessor)?;
        let is_level = |status: &EndpointStatus| {
            status.received.term == primary.received.term
                && status.received.position.0 + NEARLY_LEVEL >= primary.received.position.0
        };
        let level = statuses.iter().any(|(entry, status)| !leads(entry) && is_level(status));
        level.then_some(()).ok_or(ChangeEnd::NoSuccessor)
    }

    fn synchronous_replicas(&self, service: &Name) -> u32 {
        let state = self.state.borrow();
        state.catalog.services.get(service).map_or(0, |rule| rule.synchronous_replicas)
    }

    /// Records that the group changes its primary, from when on no daemon renews its right to it.
    async fn begin_change(
        &self,
        service: &Name,
        known: VersionedRecord,
        reason: Reason,
    ) -> Result<ChangeRun, ChangeEnd> {
        self.change_count.set(self.change_count.get() + 1);
        let duty = self.held_duty().ok_or(ChangeEnd::Superseded)?;
        let id = format!("{}.{}", duty.fencing_token, self.change_count.get());
        let chosen = known.record.change.as_ref().and_then(|change| change.chosen.clone());
        let reason = match known.record.change.as_ref() {
            Some(change) => change.reason.clone(),
            None => reason.as_str().to_owned(),
        };
        let change = PrimaryChange { id, reason, chosen };
        let record = LeadershipRecord { change: Some(change), ..known.record };
        let revision = self.write_record(service, &record, known.revision).await?;
        Ok(ChangeRun { record, revision, recorded_at: Instant::now() })
    }

    fn step(&self, step: &'static str, service: &Name, run: &ChangeRun) {
        self.metrics.promotion_steps.with_label_values(&[step]).inc();
        log::info!(
            event = "change_step", step = step, service = &**service, term = run.record.term,
            primary = run.record.primary.as_str(), change = run.id(),
            since_begun_ms = run.recorded_at.elapsed().as_millis() as u64;
            "a step of a change of primary"
        );
    }

    /// Stops the servers, and waits until no daemon can hold a right to the old primary.
    async fn await_stop(
        &self,
        service: &Name,
        run: &mut ChangeRun,
        commands: &mut Commands<'_, M, O, F, E>,
    ) -> Result<Vec<StoppedServer>, ChangeEnd> {
        let give_up_at = Instant::now() + FENCE_WITHIN;
        loop {
            let entries = self.entries(service);
            let stopped = self.stop_servers(&entries, run, commands).await;
            if stopped.len() >= majority(entries.len()) {
                self.step("fenced", service, run);
                self.await_daemons(service, run, Instant::now()).await;
                self.step("stopped", service, run);
                return Ok(stopped);
            }
            if Instant::now() >= give_up_at {
                if run.chosen().is_none() {
                    self.call_off(service, run.clone(), commands).await?;
                }
                return Err(ChangeEnd::NoMajority);
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }

    async fn stop_servers(
        &self,
        entries: &[Arc<ServerEntry>],
        run: &ChangeRun,
        commands: &mut Commands<'_, M, O, F, E>,
    ) -> Vec<StoppedServer> {
        let term = Term(run.record.term + 1);
        let (old, replicas): (Vec<_>, Vec<_>) =
            entries.iter().cloned().partition(|entry| *entry.server == *run.record.primary);
        let step_down = |entry| (entry, EndpointText::StepDown { term });
        let stepped_down = commands.ask_all(old.into_iter().map(step_down).collect()).await;
        if let Some((_, status)) = stepped_down.first() {
            // What it still holds was acknowledged to callers: a replica gets the time to receive it.
            commands.await_catch_up(&replicas, status).await;
        }
        let pause = |entry| (entry, EndpointText::Pause { term });
        let paused = commands.ask_all(replicas.into_iter().map(pause).collect()).await;
        let stopped = |replaced: bool| {
            move |(entry, status): (Arc<ServerEntry>, EndpointStatus)| StoppedServer {
                server: entry.server.to_string(),
                status,
                leaving: entry.leaving,
                replaced,
            }
        };
        let stepped_down = stepped_down.into_iter().map(stopped(true));
        stepped_down.chain(paused.into_iter().map(stopped(false))).collect()
    }

    /// Waits until every daemon that may hold a right has said that it stopped, or the rights ended.
    async fn await_daemons(&self, service: &Name, run: &ChangeRun, fenced_at: Instant) {
        let bounds = RightBounds { store: self.right(), evidence: self.evidence() };
        loop {
            let progress = StopProgress {
                recorded_at: run.recorded_at,
                fenced_at: Some(fenced_at),
                all_answered: self.all_answered(service, run),
            };
            let Some(complete_at) = progress.complete_at(bounds) else { return };
            if Instant::now() >= complete_at {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(complete_at.into()) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn all_answered(&self, service: &Name, run: &ChangeRun) -> bool {
        let state = self.state.borrow();
        // A daemon that vanished before this one began to watch may still hold a right.
        let lasting = self.right().mul_f64(1.1);
        let watched = state
            .watching_since
            .is_some_and(|since| run.recorded_at.saturating_duration_since(since) > lasting);
        let within =
            |seen: &Instant| run.recorded_at.checked_sub(lasting).is_none_or(|from| *seen >= from);
        watched
            && state.members_seen.iter().filter(|(_, seen)| within(seen)).all(|(host, _)| {
                let key = self.key(&format!("stopped/{service}/{host}"));
                state.mirror.get(&key).is_some_and(|item| item.value == run.id().as_bytes())
            })
    }

    /// Leaves the old primary in place, as nothing was ordered.
    async fn call_off(
        &self,
        service: &Name,
        run: ChangeRun,
        commands: &mut Commands<'_, M, O, F, E>,
    ) -> Result<(), ChangeEnd> {
        let entries = self.entries(service);
        commands
            .ask_all(entries.into_iter().map(|entry| (entry, EndpointText::Resume)).collect())
            .await;
        let record = LeadershipRecord { change: None, ..run.record.clone() };
        self.write_record(service, &record, run.revision).await?;
        self.step("called_off", service, &run);
        Ok(())
    }

    /// Orders that the chosen server lead, and records it once it does.
    async fn order_and_settle(
        &self,
        service: &Name,
        mut run: ChangeRun,
        chosen: ChosenServer,
        commands: &mut Commands<'_, M, O, F, E>,
    ) -> Result<(), ChangeEnd> {
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let give_up_at = Instant::now() + settles;
        let mut running = true;
        while running && Instant::now() < give_up_at {
            running = self.order(service, &mut run, &chosen).await?;
            self.step("ordered", service, &run);
            if let Some(term) = self.await_lead(service, &run, &chosen, commands).await {
                let record = run.record.settled(&chosen, term);
                self.write_record(service, &record, run.revision).await?;
                self.step("settled", service, &run);
                self.resume_others(service, &chosen, commands).await;
                return Ok(());
            }
        }
        // It will not lead any more: the next look may choose another.
        let change =
            run.record.change.clone().map(|change| PrimaryChange { chosen: None, ..change });
        let record = LeadershipRecord { change, ..run.record.clone() };
        self.write_record(service, &record, run.revision).await?;
        Err(ChangeEnd::NotSettled)
    }

    /// Gives the order, right after the store confirmed the duty; `false` if the server is not running.
    async fn order(
        &self,
        service: &Name,
        run: &mut ChangeRun,
        chosen: &ChosenServer,
    ) -> Result<bool, ChangeEnd> {
        let confirmed_at = Instant::now();
        run.set_chosen(chosen.clone());
        run.revision = self.write_record(service, &run.record, run.revision).await?;
        let duty = self.held_duty().ok_or(ChangeEnd::Superseded)?;
        if confirmed_at.elapsed() > ORDER_WITHIN {
            // Another daemon may have taken the duty meanwhile; it is confirmed anew.
            return Ok(true);
        }
        let order = PromotionOrder {
            service: service.clone(),
            server: Name::from(chosen.server.as_str()),
            holder: self.settings.host.clone(),
            fencing_token: duty.fencing_token,
        };
        let timeout = Duration::from_millis(self.settings.leadership.order_timeout_ms);
        match self.orders.promote(&order, timeout).await {
            Ok(()) => Ok(true),
            Err(error) => {
                log::info!(
                    event = "order_failed", service = &**service, server = chosen.server.as_str(),
                    fencing_token = duty.fencing_token, why = error.to_string().as_str();
                    "a promotion's order was not answered with success"
                );
                Ok(error != OrderError::NotRunning)
            }
        }
    }

    /// Waits for the chosen server to lead; returns its term.
    async fn await_lead(
        &self,
        service: &Name,
        run: &ChangeRun,
        chosen: &ChosenServer,
        commands: &mut Commands<'_, M, O, F, E>,
    ) -> Option<u64> {
        let again_at = Instant::now() + Duration::from_millis(1_200);
        while Instant::now() < again_at {
            let entries = self.entries(service);
            let entry = entries.into_iter().find(|entry| *entry.server == *chosen.server)?;
            let status = commands.ask(&entry, EndpointText::Status).await;
            if let Ok(status) = status
                && status.leads
                && status.term.0 > run.record.term
            {
                return Some(status.term.0);
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
        None
    }

    async fn resume_others(
        &self,
        service: &Name,
        chosen: &ChosenServer,
        commands: &mut Commands<'_, M, O, F, E>,
    ) {
        let others = self.entries(service).into_iter();
        let others = others.filter(|entry| *entry.server != *chosen.server);
        commands.ask_all(others.map(|entry| (entry, EndpointText::Resume)).collect()).await;
    }
}

/// Why a primary is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Nobody knows yet who leads.
    Unknown,
    /// Another daemon began a change and did not finish it.
    LeftUnfinished,
    /// The primary's entry is gone.
    Gone,
    /// The primary is leaving.
    Leaving,
    /// Too many daemons can't reach the primary.
    Unreachable,
    /// Every replica shows too old data, and the primary can't run all reads alone. A replica that has
    /// received everything can lead at once, and the former primary then runs reads.
    ReplicasBehind,
}

impl Reason {
    fn as_str(self) -> &'static str {
        match self {
            Reason::Unknown => "unknown",
            Reason::LeftUnfinished => "left_unfinished",
            Reason::Gone => "gone",
            Reason::Leaving => "leaving",
            Reason::Unreachable => "unreachable",
            Reason::ReplicasBehind => "replicas_behind",
        }
    }
}

/// A change that this daemon carries out.
#[derive(Clone, Debug)]
struct ChangeRun {
    record: LeadershipRecord,
    revision: Revision,
    recorded_at: Instant,
}

impl ChangeRun {
    fn id(&self) -> &str {
        self.record.change.as_ref().map_or("", |change| &change.id)
    }

    fn reason(&self) -> &str {
        self.record.change.as_ref().map_or("", |change| &change.reason)
    }

    fn chosen(&self) -> Option<ChosenServer> {
        self.record.change.as_ref()?.chosen.clone()
    }

    fn set_chosen(&mut self, chosen: ChosenServer) {
        if let Some(change) = &mut self.record.change {
            change.chosen = Some(chosen);
        }
    }
}

/// Connections of the control thread's own, for the commands of one change.
struct Commands<'a, M, O, F, E> {
    control: &'a Control<M, O, F, E>,
    open: HashMap<Name, EndpointConnection<E>>,
    /// How long a server may take to answer.
    within: Duration,
}

impl<'a, M, O, F, E: EndpointDialect> Commands<'a, M, O, F, E> {
    fn new(control: &'a Control<M, O, F, E>) -> Commands<'a, M, O, F, E> {
        Commands { control, open: HashMap::new(), within: COMMAND_WITHIN }
    }

    /// Gives a server a command and returns its status after it.
    async fn ask(
        &mut self,
        entry: &Arc<ServerEntry>,
        text: EndpointText,
    ) -> Result<EndpointStatus, ConnectionLost> {
        let open = self.open.remove(&entry.server);
        let (connection, status) =
            self.control.command(open, entry.clone(), text, self.within).await?;
        if let Some(connection) = connection {
            self.open.insert(entry.server.clone(), connection);
        }
        Ok(status)
    }

    /// Gives several servers their commands at once; returns those that answered.
    async fn ask_all(
        &mut self,
        asks: Vec<(Arc<ServerEntry>, EndpointText)>,
    ) -> Vec<(Arc<ServerEntry>, EndpointStatus)> {
        let (control, within) = (self.control, self.within);
        let running = asks.into_iter().map(|(entry, text)| {
            let open = self.open.remove(&entry.server);
            async move {
                let answered = control.command(open, entry.clone(), text, within).await;
                (entry, answered)
            }
        });
        let answered = join_all(running.collect::<Vec<_>>()).await;
        let mut statuses = Vec::new();
        for (entry, answer) in answered {
            match answer {
                Ok((connection, status)) => {
                    if let Some(connection) = connection {
                        self.open.insert(entry.server.clone(), connection);
                    }
                    statuses.push((entry, status));
                }
                Err(lost) => log::info!(
                    event = "server_silent", server = &*entry.server,
                    why = lost.to_string().as_str();
                    "a server did not answer a command"
                ),
            }
        }
        statuses
    }

    /// Waits until some replica has received what the old primary holds.
    async fn await_catch_up(&mut self, replicas: &[Arc<ServerEntry>], old: &EndpointStatus) {
        let give_up_at = Instant::now() + CATCH_UP_WITHIN;
        loop {
            let asks = replicas.iter().map(|entry| (entry.clone(), EndpointText::Status));
            let statuses = self.ask_all(asks.collect()).await;
            if statuses.iter().any(|(_, status)| status.received >= old.received) {
                return;
            }
            if Instant::now() >= give_up_at {
                return;
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }
}

/// A server's status, with the connection that it came over if that is the control thread's own.
type Commanded<E> = (Option<EndpointConnection<E>>, EndpointStatus);

impl<M, O, F, E: EndpointDialect> Control<M, O, F, E> {
    /// Gives a server a command over a connection of the control thread's own; where the server
    /// grants no more of them, over those that sessions share.
    async fn command(
        &self,
        open: Option<EndpointConnection<E>>,
        entry: Arc<ServerEntry>,
        text: EndpointText,
        within: Duration,
    ) -> Result<Commanded<E>, ConnectionLost> {
        match self.ask_over(open, entry.clone(), text.clone(), within).await {
            Ok((connection, status)) => Ok((Some(connection), status)),
            Err(ConnectionLost::Refused(ErrorCode::TooManyConnections)) => {
                let (answer, answered) = oneshot::channel();
                let deadline = Instant::now() + within;
                let ask = CommandAsk {
                    service: entry.service.clone(),
                    server: entry.server.clone(),
                    text,
                    deadline,
                    answer,
                };
                // A full ring means that the serving thread is behind; the command is given again.
                let _ = self.asks.try_send(Ask::Command(ask));
                match tokio::time::timeout_at(deadline.into(), answered).await {
                    Ok(Ok(status)) => Ok((None, status)),
                    Ok(Err(_)) | Err(_) => {
                        Err(ConnectionLost::Refused(ErrorCode::TooManyConnections))
                    }
                }
            }
            Err(lost) => Err(lost),
        }
    }

    async fn ask_over(
        &self,
        open: Option<EndpointConnection<E>>,
        entry: Arc<ServerEntry>,
        mut text: EndpointText,
        within: Duration,
    ) -> Result<(EndpointConnection<E>, EndpointStatus), ConnectionLost> {
        let deadline = Instant::now() + within;
        let mut connection = match open {
            Some(connection) if connection.is_quiet() => connection,
            _ => {
                let host = &self.settings.host;
                EndpointConnection::open(&self.dialect, &entry, host, within).await?
            }
        };
        loop {
            let answer = connection.ask(&EndpointCommand::own(text.clone()), deadline).await?;
            if let Some(code) = answer.error_code() {
                if code.was_not_run() && Instant::now() + ASK_EVERY < deadline {
                    tokio::time::sleep(ASK_EVERY).await;
                    continue;
                }
                return Err(ConnectionLost::Refused(code));
            }
            if text == EndpointText::Resume {
                // Its answer holds no status.
                text = EndpointText::Status;
                continue;
            }
            let row = answer.rows.first().map_or(&[][..], |row| row);
            let status = self
                .dialect
                .decode_status(row)
                .ok_or_else(|| ConnectionLost::Garbled("a status that can't be read".to_owned()))?;
            return Ok((connection, status));
        }
    }
}
