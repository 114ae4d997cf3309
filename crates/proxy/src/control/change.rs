//! How a primary is changed, step by step.
//!
//! Record that it begins, so that daemons stop → stop the servers → wait until no right can be left →
//! record whom → order → verify → record the outcome. Every step can be taken up by the next holder of
//! the duty. `docs/PLATFORM.md`, "Who leads", has the argument and the table of faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{Name, Term};

use crate::{
    catalog::ServerEntry,
    control::{
        adapter::Adapter,
        commands::{Commands, POLL_INTERVAL},
        promoter::CHECK_INTERVAL,
        record::{
            ChosenServer, LeadershipRecord, PrimaryChange, StoppedServer, SuccessorSelection,
            majority,
        },
        runner::Control,
    },
    metadata::{Item, MetadataError, MetadataStore, Revision, Transaction, TransactionOutcome},
    order::{OrderError, PromotionOrder, PromotionOrders},
    statement::{EndpointStatus, EndpointText},
};

/// How long a server may take to answer a command where nothing has failed: an overloaded primary takes
/// its time, and what it holds counts.
const PLANNED_COMMAND_WITHIN: Duration = Duration::from_millis(1_000);
/// An order must leave within this time after the store confirmed the duty; a new holder waits longer
/// than this before its first order.
const ORDER_WITHIN: Duration = Duration::from_millis(400);
/// How many entries a replica may lack that is to take over without need: it receives, and gets the rest
/// in a moment.
const NEARLY_LEVEL: u64 = 8;

/// Why a change ended without a new primary.
#[derive(Debug)]
pub(crate) enum ChangeFailure {
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

impl std::fmt::Display for ChangeFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ChangeFailure::Store(error) => error.fmt(f),
            ChangeFailure::Superseded => f.write_str("another daemon has taken over"),
            ChangeFailure::NoMajority => f.write_str("too few servers answered"),
            ChangeFailure::NoSuccessor => f.write_str("no server can take over yet"),
            ChangeFailure::NotSettled => f.write_str("the chosen server did not come to lead"),
        }
    }
}

/// A record with the revision at which it was read or written.
#[derive(Clone, Debug)]
pub(crate) struct VersionedRecord {
    pub(crate) record: LeadershipRecord,
    pub(crate) revision: Revision,
}

/// Why a primary is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeReason {
    /// Nobody knows yet who leads.
    Unknown,
    /// Another daemon began a change and did not finish it.
    LeftUnfinished,
    /// The store was restored, and its record may be older than what was done since.
    Restored,
    /// The primary's entry is gone.
    Gone,
    /// The primary started again and holds nothing of what it led with.
    Restarted,
    /// The primary is leaving.
    Leaving,
    /// Too many daemons can't reach the primary.
    Unreachable,
    /// Every replica shows too old data, and the primary can't run all reads alone. A replica that has
    /// received everything can lead at once, and the former primary then runs reads.
    ReplicasBehind,
}

impl ChangeReason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ChangeReason::Unknown => "unknown",
            ChangeReason::LeftUnfinished => "left_unfinished",
            ChangeReason::Restored => "restored",
            ChangeReason::Gone => "gone",
            ChangeReason::Restarted => "reborn",
            ChangeReason::Leaving => "leaving",
            ChangeReason::Unreachable => "unreachable",
            ChangeReason::ReplicasBehind => "replicas_behind",
        }
    }
}

impl PrimaryChange {
    /// Whether nothing has failed, so that the change takes a second and its end is sure.
    pub(crate) fn is_planned(&self) -> bool {
        [ChangeReason::Leaving, ChangeReason::ReplicasBehind]
            .iter()
            .any(|it| it.as_str() == self.reason)
    }
}

/// A change that this daemon carries out.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRun {
    pub(crate) record: LeadershipRecord,
    pub(crate) revision: Revision,
    pub(crate) recorded_at: Instant,
}

impl ChangeRun {
    pub(crate) fn id(&self) -> &str {
        self.record.change.as_ref().map_or("", |change| &change.id)
    }

    pub(crate) fn reason(&self) -> &str {
        self.record.change.as_ref().map_or("", |change| &change.reason)
    }

    /// Whether nothing has failed, so that the old primary can lead until the order.
    pub(crate) fn is_planned(&self) -> bool {
        self.record.change.as_ref().is_some_and(PrimaryChange::is_planned)
    }

    pub(crate) fn chosen(&self) -> Option<ChosenServer> {
        self.record.change.as_ref()?.chosen.clone()
    }

    pub(crate) fn set_chosen(&mut self, chosen: ChosenServer) {
        if let Some(change) = &mut self.record.change {
            change.chosen = Some(chosen);
        }
    }
}

impl<P: Adapter> Control<P> {
    /// Changes a group's primary and tells the log how that ended.
    pub(crate) async fn change_and_log(&self, service: &Name, reason: ChangeReason) {
        let began = Instant::now();
        let ended = match reason {
            ChangeReason::Unknown => self.find_first_primary(service).await,
            ChangeReason::Restored => self.confirm_record(service).await,
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
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Writes a record if it still stands at `expected`, and the duty is still this daemon's.
    pub(crate) async fn write_record(
        &self,
        service: &Name,
        record: &LeadershipRecord,
        expected: Revision,
    ) -> Result<Revision, ChangeFailure> {
        let lease = self.held_promoter_lease().ok_or(ChangeFailure::Superseded)?;
        let record = self.state.borrow_mut().next_edition(service, record);
        let value = serde_json::to_vec(&record).expect("a record is plain data");
        let value = Bytes::from(value);
        let key = self.record_key(service);
        let transaction = Transaction {
            expected: vec![(self.promoter_key(), lease.revision), (key.clone(), expected)],
            puts: vec![(key.clone(), value.clone(), None)],
            removes: Vec::new(),
        };
        let written = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &written);
        match written {
            Ok(TransactionOutcome::Done(revision)) => {
                self.note_written(service, VersionedRecord { record, revision });
                Ok(revision)
            }
            Ok(TransactionOutcome::Conflict)
            | Err(MetadataError::NoAnswer(_) | MetadataError::Unfinished) => {
                // The answer to an earlier attempt may have been lost: what stands there decides.
                let read = self.store.get(&key, self.read_timeout()).await;
                self.count_call("get", &read);
                let in_era = |item: &Item| item.revision.era() == lease.revision.era();
                match read.map_err(ChangeFailure::Store)? {
                    Some(item) if item.value == value && in_era(&item) => Ok(item.revision),
                    _ => Err(ChangeFailure::Superseded),
                }
            }
            // Where the store was restored meanwhile, whatever was done was done under a duty that has ended.
            Err(MetadataError::EraChanged(_)) => {
                self.note_unwritten(service, record);
                Err(ChangeFailure::Superseded)
            }
            Ok(TransactionOutcome::LeaseOver) => Err(ChangeFailure::Superseded),
            Err(error) => Err(ChangeFailure::Store(error)),
        }
    }

    /// Carries a change out, or goes on with one that another daemon left.
    pub(crate) async fn change_primary(
        &self,
        service: &Name,
        reason: ChangeReason,
    ) -> Result<(), ChangeFailure> {
        let known = self.known_record(service).ok_or(ChangeFailure::Superseded)?;
        if reason == ChangeReason::ReplicasBehind {
            self.state.borrow_mut().leader_move_checked_at.insert(service.clone(), Instant::now());
            self.check_level_replica(service, &known.record).await?;
            self.state.borrow_mut().leader_moved_at.insert(service.clone(), Instant::now());
        }
        let run = self.begin_change(service, known, reason).await?;
        self.step("begun", service, &run);
        let mut commands = Commands::new(self);
        if matches!(reason, ChangeReason::Leaving | ChangeReason::ReplicasBehind) {
            commands.within = PLANNED_COMMAND_WITHIN;
        }
        let ended = self.carry_out(service, run, &mut commands).await;
        if let Err(ChangeFailure::Store(_)) = &ended {
            // Nobody can go on without the store; until it is back the old primary is used by evidence,
            // which takes servers that are not paused. Whoever goes on stops them again.
            let entries = self.entries(service).into_iter();
            commands.ask_all(entries.map(|entry| (entry, EndpointText::Resume)).collect()).await;
        }
        ended
    }

    async fn carry_out(
        &self,
        service: &Name,
        mut run: ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        // The order of an earlier attempt may have taken effect, and only the record of that be missing. The servers are in the
        // new term then and take no pause for it any more.
        if let Some(chosen) = run.chosen()
            && let Some(entry) = self.entry_of(service, &chosen.server)
            && let Some(term) = self.term_led(&entry, &run, &chosen, commands).await
        {
            return self.settle(service, &run, &chosen, term, commands).await;
        }
        let stopped = self.await_stop(service, &mut run, commands).await?;
        if let Some(mut chosen) = run.chosen() {
            // An order may have been given before; it is repeated, and no other server is named. If it
            // does not lead yet, it may have received more since it was chosen.
            let now = stopped.iter().find(|server| server.server == chosen.server);
            if let Some(now) = now.filter(|now| now.status.term.0 == run.record.term) {
                chosen.kept_position = now.status.received.position.0;
            }
            return self.order_and_settle(service, run, chosen, commands).await;
        }
        let entries = self.entries(service);
        let succession = SuccessorSelection {
            record: &run.record,
            servers: entries.len(),
            synchronous: self.synchronous_replicas(service),
            may_stay: run.reason() == ChangeReason::ReplicasBehind.as_str(),
            is_primary_listed: entries.iter().any(|it| *it.server == *run.record.primary),
        };
        let chosen = succession.choose(&stopped);
        match chosen.filter(|chosen| chosen.server != run.record.primary || !leads_on(&stopped)) {
            Some(chosen) => self.order_and_settle(service, run, chosen, commands).await,
            None => {
                self.call_off(service, run, commands).await?;
                Err(ChangeFailure::NoSuccessor)
            }
        }
    }

    /// Whether some replica has received nearly all that the primary holds.
    pub(crate) async fn check_level_replica(
        &self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> Result<(), ChangeFailure> {
        let entries = self.entries(service);
        let asks =
            entries.iter().filter(|entry| !entry.leaving || *entry.server == *record.primary);
        let asks = asks.map(|entry| (entry.clone(), EndpointText::Status)).collect();
        let mut commands = Commands::new(self);
        commands.within = PLANNED_COMMAND_WITHIN;
        let statuses = commands.ask_all(asks).await;
        let leads = |entry: &Arc<ServerEntry>| *entry.server == *record.primary;
        let primary = statuses.iter().find(|(entry, status)| leads(entry) && status.leads);
        let (_, primary) = primary.ok_or(ChangeFailure::NoSuccessor)?;
        let is_level = |status: &EndpointStatus| {
            status.received.term == primary.received.term
                && status.received.position.0 + NEARLY_LEVEL >= primary.received.position.0
        };
        let level = statuses.iter().any(|(entry, status)| !leads(entry) && is_level(status));
        level.then_some(()).ok_or(ChangeFailure::NoSuccessor)
    }

    /// Returns how many replicas receive a write before it is acknowledged.
    pub(crate) fn synchronous_replicas(&self, service: &Name) -> u32 {
        let state = self.state.borrow();
        state.catalog.services.get(service).map_or(0, |rule| rule.synchronous_replicas)
    }

    /// Records that the group changes its primary, from when on no daemon renews its right to it.
    pub(crate) async fn begin_change(
        &self,
        service: &Name,
        known: Arc<VersionedRecord>,
        reason: ChangeReason,
    ) -> Result<ChangeRun, ChangeFailure> {
        self.change_count.set(self.change_count.get() + 1);
        let lease = self.held_promoter_lease().ok_or(ChangeFailure::Superseded)?;
        let id = format!("{}.{}", lease.fencing_token, self.change_count.get());
        let chosen = known.record.change.as_ref().and_then(|change| change.chosen.clone());
        let reason = match known.record.change.as_ref() {
            Some(change) => change.reason.clone(),
            None => reason.as_str().to_owned(),
        };
        let change = PrimaryChange { id, reason, chosen };
        let record = LeadershipRecord { change: Some(change), ..known.record.clone() };
        let revision = self.write_record(service, &record, known.revision).await?;
        Ok(ChangeRun { record, revision, recorded_at: Instant::now() })
    }

    /// Tells the log and the metrics of a step.
    pub(crate) fn step(&self, step: &'static str, service: &Name, run: &ChangeRun) {
        self.metrics.promotion_steps.with_label_values(&[step]).inc();
        log::info!(
            event = "change_step", step = step, service = &**service, term = run.record.term,
            primary = run.record.primary.as_str(), change = run.id(),
            since_begun_ms = run.recorded_at.elapsed().as_millis() as u64;
            "a step of a change of primary"
        );
    }

    /// Orders that the chosen server lead, and records it once it does.
    pub(crate) async fn order_and_settle(
        &self,
        service: &Name,
        mut run: ChangeRun,
        chosen: ChosenServer,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let give_up_at = Instant::now() + settles;
        let mut running = true;
        while running && Instant::now() < give_up_at {
            running = self.order(service, &mut run, &chosen).await?;
            self.step("ordered", service, &run);
            if let Some(term) = self.await_lead(service, &run, &chosen, commands).await {
                return self.settle(service, &run, &chosen, term, commands).await;
            }
        }
        // It will not lead any more: the next look may choose another.
        let change =
            run.record.change.clone().map(|change| PrimaryChange { chosen: None, ..change });
        let record = LeadershipRecord { change, ..run.record.clone() };
        self.write_record(service, &record, run.revision).await?;
        Err(ChangeFailure::NotSettled)
    }

    /// Gives the order, right after the store confirmed the duty; `false` if the server is not running.
    pub(crate) async fn order(
        &self,
        service: &Name,
        run: &mut ChangeRun,
        chosen: &ChosenServer,
    ) -> Result<bool, ChangeFailure> {
        let confirmed_at = Instant::now();
        run.set_chosen(chosen.clone());
        run.revision = self.write_record(service, &run.record, run.revision).await?;
        let lease = self.held_promoter_lease().ok_or(ChangeFailure::Superseded)?;
        if confirmed_at.elapsed() > ORDER_WITHIN {
            // Another daemon may have taken the duty meanwhile; it is confirmed anew.
            return Ok(true);
        }
        let order = PromotionOrder {
            service: service.clone(),
            server: Name::from(chosen.server.as_str()),
            holder: self.settings.host.clone(),
            fencing_token: lease.fencing_token,
        };
        let timeout = Duration::from_millis(self.settings.leadership.order_timeout_ms);
        match self.orders.promote(&order, timeout).await {
            Ok(()) => Ok(true),
            Err(error) => {
                log::info!(
                    event = "order_failed", service = &**service, server = chosen.server.as_str(),
                    fencing_token = lease.fencing_token, why = error.to_string().as_str();
                    "a promotion's order was not answered with success"
                );
                Ok(error != OrderError::NotRunning)
            }
        }
    }

    /// Waits for the chosen server to lead; returns its term.
    pub(crate) async fn await_lead(
        &self,
        service: &Name,
        run: &ChangeRun,
        chosen: &ChosenServer,
        commands: &mut Commands<'_, P>,
    ) -> Option<u64> {
        let again_at = Instant::now() + Duration::from_millis(1_200);
        while Instant::now() < again_at {
            let entry = self.entry_of(service, &chosen.server)?;
            if let Some(term) = self.term_led(&entry, run, chosen, commands).await {
                return Some(term);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Lets the other servers receive again.
    pub(crate) async fn resume_others(
        &self,
        service: &Name,
        chosen: &ChosenServer,
        old_primary: &str,
        term: Term,
        commands: &mut Commands<'_, P>,
    ) {
        let others = self.entries(service).into_iter();
        let others = others.filter(|entry| *entry.server != *chosen.server);
        let asks = others.map(|entry| match *entry.server == *old_primary {
            // It becomes a replica at once instead of when it hears of the new primary.
            true => (entry, EndpointText::StepDown { term }),
            false => (entry, EndpointText::Resume),
        });
        commands.ask_all(asks.collect()).await;
    }

    /// Writes the record of a group that has none: whoever leads leads.
    pub(crate) async fn find_first_primary(&self, service: &Name) -> Result<(), ChangeFailure> {
        let entries = self.entries(service);
        let mut commands = Commands::new(self);
        let asks = entries.iter().map(|entry| (entry.clone(), EndpointText::Status)).collect();
        let statuses = commands.ask_all(asks).await;
        if statuses.len() < majority(entries.len()) {
            return Err(ChangeFailure::NoMajority);
        }
        let leading = statuses.iter().filter(|(_, status)| status.leads);
        let (entry, status) =
            leading.max_by_key(|(_, status)| status.term).ok_or(ChangeFailure::NoSuccessor)?;
        let highest = statuses.iter().map(|(_, status)| status.term).max();
        if highest > Some(status.term) {
            return Err(ChangeFailure::NoSuccessor);
        }
        let record = LeadershipRecord {
            term: status.term.0,
            primary: entry.server.to_string(),
            primary_incarnation: entry.incarnation,
            ..LeadershipRecord::default()
        };
        self.write_record(service, &record, Revision::ABSENT).await?;
        Ok(())
    }
}

/// Whether the old primary was left to lead.
fn leads_on(stopped: &[StoppedServer]) -> bool {
    stopped.iter().any(|server| server.replaced && server.status.leads)
}

/// Whether the chosen server leads, and not just still. One that leads in the term that was in force
/// is the former primary, started anew under another identity: nobody else has led since.
pub(crate) fn has_taken_over(
    record: &LeadershipRecord,
    chosen: &ChosenServer,
    status: &EndpointStatus,
) -> bool {
    let is_another = chosen.server != record.primary;
    status.leads && (status.term.0 > record.term || (is_another && status.term.0 == record.term))
}
