//! The steps of a change of primary:
//!
//! 1. Record the change, so that daemons stop using the primary.
//! 2. Stop the servers: step the old primary down, and pause the replicas so that they receive no log entries. In a
//!    planned change the old primary leads until the daemons have stopped.
//! 3. Wait until no daemon can hold a primary lease.
//! 4. Verify that the servers are still stopped, record the successor and order its promotion.
//! 5. Verify that the successor is primary, and record the outcome.
//!
//! A new promoter can resume at every step. `docs/PLATFORM.md`, "Who leads", has the argument and the table of faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{Name, Term};

use crate::{
    control::{
        adapter::Adapter,
        commands::{Commands, POLL_INTERVAL},
        promoter::CHECK_INTERVAL,
        record::{ChosenServer, LeadershipRecord, PrimaryChange, has_stepped_down, majority},
        runner::Control,
    },
    metadata::{Item, MetadataError, MetadataStore, Revision, Transaction, TransactionOutcome},
    order::{OrderError, PromotionOrder, PromotionOrders},
    statement::{EndpointOperation, EndpointStatus},
};

/// The longest time between the store's confirmation of the promoter lease and the order. A new promoter waits longer
/// than this before its first order.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(400);
/// How long to wait for a promotion to take effect before it is ordered again.
const REORDER_AFTER: Duration = Duration::from_millis(1_200);
/// Why a change ended without a new primary.
#[derive(Debug)]
pub(crate) enum ChangeFailure {
    /// A call to the store failed; the next check resumes from what the store holds.
    Store(MetadataError),
    /// Another daemon changed the record or is the promoter now.
    Superseded,
    /// Too few servers answered; the change was cancelled.
    NoMajority,
    /// No server can take over yet.
    NoSuccessor,
    /// The chosen server did not become primary in time.
    NotSettled,
}

impl std::fmt::Display for ChangeFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ChangeFailure::Store(error) => error.fmt(f),
            ChangeFailure::Superseded => f.write_str("another daemon has taken over"),
            ChangeFailure::NoMajority => f.write_str("too few servers answered"),
            ChangeFailure::NoSuccessor => f.write_str("no server can take over yet"),
            ChangeFailure::NotSettled => f.write_str("the chosen server did not become primary"),
        }
    }
}

/// A leadership record with the store revision at which it was read or written.
#[derive(Clone, Debug)]
pub(crate) struct VersionedRecord {
    pub(crate) record: LeadershipRecord,
    pub(crate) revision: Revision,
}

/// Why a primary is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeReason {
    /// The group has no leadership record yet.
    Unknown,
    /// Another daemon started a change and did not finish it.
    LeftUnfinished,
    /// The store was restored from a backup, so its record may be outdated.
    Restored,
    /// Servers were added to a group with synchronous replicas, or took over the logs of others.
    MembersChanged,
    /// The primary is no longer listed.
    Unlisted,
    /// The primary process restarted and lost the state in which it was primary.
    Restarted,
    /// The primary is leaving.
    Leaving,
    /// Enough witnesses can't reach the primary.
    Unreachable,
    /// The data of every replica is too old for the reads, and the primary can't run all of them alone. A replica that
    /// has received everything can take over immediately, and the old primary then serves reads.
    ReplicasBehind,
}

/// The reasons for which a change is planned, not caused by a failure.
const PLANNED_REASONS: [ChangeReason; 2] = [ChangeReason::Leaving, ChangeReason::ReplicasBehind];

impl ChangeReason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ChangeReason::Unknown => "unknown",
            ChangeReason::LeftUnfinished => "left_unfinished",
            ChangeReason::Restored => "restored",
            ChangeReason::MembersChanged => "members_changed",
            ChangeReason::Unlisted => "gone",
            ChangeReason::Restarted => "reborn",
            ChangeReason::Leaving => "leaving",
            ChangeReason::Unreachable => "unreachable",
            ChangeReason::ReplicasBehind => "replicas_behind",
        }
    }

    /// Whether the change is not caused by a failure. Such a change takes about a second.
    pub(crate) fn is_planned(self) -> bool {
        PLANNED_REASONS.contains(&self)
    }
}

impl PrimaryChange {
    /// Whether the change was not caused by a failure.
    pub(crate) fn is_planned(&self) -> bool {
        PLANNED_REASONS.iter().any(|reason| reason.as_str() == self.reason)
    }
}

/// A change that this daemon drives.
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

    /// Whether the change was not caused by a failure, so that the old primary can lead until the daemons have stopped.
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
    /// Records, confirms or changes a group's primary, and logs the outcome.
    pub(crate) async fn change_and_log(&self, service: &Name, reason: ChangeReason) {
        let began = Instant::now();
        let ended = match reason {
            ChangeReason::Unknown => self.record_first_primary(service).await,
            ChangeReason::Restored => self.confirm_record(service).await,
            ChangeReason::MembersChanged => self.record_members(service).await,
            _ => self.change_primary(service, reason).await,
        };
        let took_ms = began.elapsed().as_millis() as u64;
        match ended {
            Ok(()) => log::info!(
                event = "change_done", service = &**service, reason = reason.as_str(),
                took_ms = took_ms;
                "group leadership settled"
            ),
            Err(end) => {
                log::info!(
                    event = "change_ended", service = &**service, reason = reason.as_str(),
                    took_ms = took_ms, why = end.to_string().as_str();
                    "change of primary ended without a new primary"
                );
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Writes a record if the stored one is still at `expected` and this daemon is still the promoter.
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
                self.on_record_written(service, VersionedRecord { record, revision });
                Ok(revision)
            }
            Ok(TransactionOutcome::Conflict)
            | Err(MetadataError::NoAnswer(_) | MetadataError::IncompleteAnswer) => {
                // The answer to an earlier attempt may have been lost, so the stored value decides.
                let read = self.store.get(&key, self.read_timeout()).await;
                self.count_call("get", &read);
                let in_era = |item: &Item| item.revision.era() == lease.revision.era();
                match read.map_err(ChangeFailure::Store)? {
                    Some(item) if item.value == value && in_era(&item) => Ok(item.revision),
                    _ => Err(ChangeFailure::Superseded),
                }
            }
            // If the store was restored meanwhile, the write used a promoter lease of an earlier era.
            Err(MetadataError::EraChanged(_)) => {
                self.on_unconfirmed_write(service, record);
                Err(ChangeFailure::Superseded)
            }
            Ok(TransactionOutcome::LeaseOver) => Err(ChangeFailure::Superseded),
            Err(error) => Err(ChangeFailure::Store(error)),
        }
    }

    /// Changes the primary, or resumes a change that another daemon left unfinished.
    pub(crate) async fn change_primary(
        &self,
        service: &Name,
        reason: ChangeReason,
    ) -> Result<(), ChangeFailure> {
        let known = self.known_record(service).ok_or(ChangeFailure::Superseded)?;
        if reason == ChangeReason::ReplicasBehind {
            self.state.borrow_mut().leader_move_checked_at.insert(service.clone(), Instant::now());
            self.check_caught_up_replica(service, &known.record).await?;
            self.state.borrow_mut().leader_moved_at.insert(service.clone(), Instant::now());
        }
        if known.record.change.is_none() {
            self.check_commits_are_kept(service, &known.record, reason).await?;
        }
        let run = self.begin_change(service, known, reason).await?;
        self.log_step("begun", service, &run);
        let mut commands = Commands::for_change(self, reason.is_planned());
        let ended = self.complete_change(service, run, &mut commands).await;
        if let Err(ChangeFailure::Store(_)) = &ended {
            // The change can't continue without the store. Until it is back, daemons use the old primary on evidence,
            // which requires servers that are not paused. Once the promoter lease has ended, another daemon may have
            // paused them, so nothing is sent then.
            let entries = self.entries(service).into_iter();
            commands
                .send_all(entries.map(|entry| (entry, EndpointOperation::Resume)).collect())
                .await;
        }
        ended
    }

    /// Fences the old primary and promotes a successor, or resumes where an earlier attempt stopped.
    async fn complete_change(
        &self,
        service: &Name,
        mut run: ChangeRun,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        // The order of an earlier attempt may have taken effect without being recorded. The servers are then in the new
        // term and refuse to be paused for it.
        if let Some(chosen) = run.chosen()
            && let Some(entry) = self.entry_of(service, &chosen.server)
            && let Some(term) = self.takeover_term(&entry, &run, &chosen, commands).await
        {
            return self.record_takeover(service, &run, &chosen, term, commands).await;
        }
        let stopped = self.fence_old_primary(service, &mut run, commands).await?;
        if let Some(mut chosen) = run.chosen() {
            // A promotion may have been ordered before, so it is repeated for the same server. If that server is not
            // primary yet, it may have received more entries since it was chosen.
            let current = stopped.iter().find(|server| server.server == chosen.server);
            if let Some(current) = current.filter(|it| it.status.term.0 == run.record.term) {
                chosen.kept_position = current.status.received.position.0;
            }
            return match self.succession(service, &run).may_promote(&chosen, &stopped) {
                true => self.promote_and_record(service, run, chosen, commands).await,
                false => self.await_earlier_order(service, run, chosen, commands).await,
            };
        }
        match self.select_successor(service, &run, &stopped) {
            Some(chosen) => self.promote_and_record(service, run, chosen, commands).await,
            None => {
                // A primary that has stepped down can't remain in place, so the change goes on with the next check.
                if !has_stepped_down(&stopped) {
                    self.cancel_change(service, run, commands).await?;
                }
                Err(ChangeFailure::NoSuccessor)
            }
        }
    }

    /// Records that the group's primary is being changed; daemons that know of it no longer renew their primary leases.
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
        let record = self.with_members(service, &known.record);
        let record = LeadershipRecord { change: Some(change), ..record };
        let revision = self.write_record(service, &record, known.revision).await?;
        Ok(ChangeRun { record, revision, recorded_at: Instant::now() })
    }

    /// Logs and counts a step of a change.
    pub(crate) fn log_step(&self, step: &'static str, service: &Name, run: &ChangeRun) {
        self.metrics.promotion_steps.with_label_values(&[step]).inc();
        log::info!(
            event = "change_step", step = step, service = &**service, term = run.record.term,
            primary = run.record.primary.as_str(), change = run.id(),
            since_begun_ms = run.recorded_at.elapsed().as_millis() as u64;
            "change of primary reached a step"
        );
    }

    /// Orders the promotion of the chosen server, and records it once that server is primary.
    pub(crate) async fn promote_and_record(
        &self,
        service: &Name,
        mut run: ChangeRun,
        chosen: ChosenServer,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let give_up_at = Instant::now() + settles;
        let mut is_running = true;
        while is_running && Instant::now() < give_up_at {
            is_running = self.order_promotion(service, &mut run, &chosen).await?;
            self.log_step("ordered", service, &run);
            if let Some(term) = self.await_takeover(service, &run, &chosen, commands).await {
                return self.record_takeover(service, &run, &chosen, term, commands).await;
            }
        }
        self.discard_chosen(service, &run).await
    }

    /// Waits until an order that an earlier attempt may have given has taken effect or no longer can. It is not given
    /// again, because commits have been acknowledged that the chosen server lacks.
    async fn await_earlier_order(
        &self,
        service: &Name,
        run: ChangeRun,
        chosen: ChosenServer,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let settled_at = run.recorded_at + settles;
        self.log_step("chosen_lacks_commits", service, &run);
        while Instant::now() < settled_at {
            if let Some(term) = self.await_takeover(service, &run, &chosen, commands).await {
                return self.record_takeover(service, &run, &chosen, term, commands).await;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.discard_chosen(service, &run).await
    }

    /// Records that the order for the chosen server can no longer take effect, so that the next attempt may choose another
    /// one.
    async fn discard_chosen(&self, service: &Name, run: &ChangeRun) -> Result<(), ChangeFailure> {
        let change =
            run.record.change.clone().map(|change| PrimaryChange { chosen: None, ..change });
        let record = LeadershipRecord { change, ..run.record.clone() };
        self.write_record(service, &record, run.revision).await?;
        Err(ChangeFailure::NotSettled)
    }

    /// Orders the promotion after the store confirmed the promoter lease. Returns `false` if the server is not running,
    /// so that it can't be promoted.
    pub(crate) async fn order_promotion(
        &self,
        service: &Name,
        run: &mut ChangeRun,
        chosen: &ChosenServer,
    ) -> Result<bool, ChangeFailure> {
        let confirmed_at = Instant::now();
        run.set_chosen(chosen.clone());
        run.revision = self.write_record(service, &run.record, run.revision).await?;
        let lease = self.held_promoter_lease().ok_or(ChangeFailure::Superseded)?;
        if confirmed_at.elapsed() > MAX_ORDER_DELAY {
            // Another daemon may have become promoter meanwhile, so the lease is confirmed again.
            return Ok(true);
        }
        let order = PromotionOrder {
            service: service.clone(),
            server: Name::from(chosen.server.as_str()),
            promoter: self.settings.host.clone(),
            fencing_token: lease.fencing_token,
        };
        let timeout = Duration::from_millis(self.settings.leadership.order_timeout_ms);
        match self.orders.promote(&order, timeout).await {
            Ok(()) => Ok(true),
            Err(error) => {
                log::info!(
                    event = "order_failed", service = &**service, server = chosen.server.as_str(),
                    fencing_token = lease.fencing_token, why = error.to_string().as_str();
                    "promotion order failed"
                );
                Ok(error != OrderError::NotRunning)
            }
        }
    }

    /// Waits for the chosen server to become primary; returns its term.
    pub(crate) async fn await_takeover(
        &self,
        service: &Name,
        run: &ChangeRun,
        chosen: &ChosenServer,
        commands: &mut Commands<'_, P>,
    ) -> Option<u64> {
        let give_up_at = Instant::now() + REORDER_AFTER;
        while Instant::now() < give_up_at {
            let entry = self.entry_of(service, &chosen.server)?;
            if let Some(term) = self.takeover_term(&entry, run, chosen, commands).await {
                return Some(term);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Lets the other servers receive log entries again, and makes the old primary a replica.
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
        let requests = others.map(|entry| match *entry.server == *old_primary {
            // The old primary becomes a replica immediately instead of when it learns of the new primary.
            true => (entry, EndpointOperation::StepDown { term }),
            false => (entry, EndpointOperation::Resume),
        });
        commands.send_all(requests.collect()).await;
    }

    /// Writes the first record of a group, which names the server that already leads.
    pub(crate) async fn record_first_primary(&self, service: &Name) -> Result<(), ChangeFailure> {
        let entries = self.entries(service);
        let mut commands = Commands::new(self);
        let requests =
            entries.iter().map(|entry| (entry.clone(), EndpointOperation::Status)).collect();
        let statuses = commands.send_all(requests).await;
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
        let record = self.with_members(service, &record);
        self.write_record(service, &record, Revision::ABSENT).await?;
        Ok(())
    }
}

/// Whether the chosen server was promoted, rather than still leading from before the change. A server that leads in the
/// recorded term under another identity is the old primary after a restart.
pub(crate) fn has_taken_over(
    record: &LeadershipRecord,
    chosen: &ChosenServer,
    status: &EndpointStatus,
) -> bool {
    let is_another = chosen.server != record.primary;
    status.leads && (status.term.0 > record.term || (is_another && status.term.0 == record.term))
}
