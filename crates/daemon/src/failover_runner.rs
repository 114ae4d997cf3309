//! Runs the steps of a failover.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use failover::{
    FailoverDriver, FailoverEvent, FailoverGroup, FailoverOutcome, FailoverStep, LeadershipRecord,
    RecordStage,
};
use futures::{StreamExt, stream::FuturesUnordered};
use model::{ServerId, ServerStatus, Term};
use peer::{Body, TermNotice};
use store::{CasOutcome, KeyValueStore, StoreError};

use crate::{
    context::Context,
    dialect::{Dialect, ServerDialect},
    group_state::GroupState,
    peers::Peers,
};

/// Why the primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailoverReason {
    /// The primary has failed.
    Failure,
    /// Operators or the platform take the primary out of service.
    Switch {
        /// The server to promote.
        target: ServerId,
    },
}

/// How long the remaining servers may take to answer once a majority is sealed.
const SEAL_GRACE: Duration = Duration::from_millis(20);

/// Maximum number of steps of one failover, in case the driver does not terminate.
const MAX_STEPS: usize = 64;

/// Runs the failovers of one group that this daemon drives.
pub(crate) struct FailoverRunner<P> {
    context: Arc<Context>,
    store: Arc<P>,
    group: Arc<GroupState>,
    peers: Arc<Peers>,
    /// The record last read and when it was first seen, to detect a stalled driver.
    last_record: Option<(LeadershipRecord, Instant)>,
    warned_at: Option<Instant>,
}

/// Minimum time between two warnings.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

impl<P: KeyValueStore + 'static> FailoverRunner<P> {
    pub(crate) fn new(
        context: Arc<Context>,
        store: Arc<P>,
        group: Arc<GroupState>,
        peers: Arc<Peers>,
    ) -> FailoverRunner<P> {
        FailoverRunner { context, store, group, peers, last_record: None, warned_at: None }
    }

    /// Logs that no server can be promoted, at most once per `WARNING_INTERVAL`.
    pub(crate) fn warn_no_majority(&mut self) {
        self.warn_throttled("too few servers answer to choose a new primary");
    }

    fn warn_throttled(&mut self, message: &str) {
        let due = self.warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL);
        if due {
            self.warned_at = Some(Instant::now());
            log::warn!(group = self.group.id.to_string().as_str(); "{message}");
        }
    }

    /// Runs a failover to its end.
    pub(crate) async fn run(&mut self, reason: FailoverReason) -> FailoverOutcome {
        let claim_id = format!("{}-{:016x}", self.context.host(), rand::random::<u64>());
        let host = self.context.host().to_string();
        let mut driver =
            FailoverDriver::new(self.failover_group(reason), host, claim_id, self.highest_term());
        let began = Instant::now();
        let mut outcome = FailoverOutcome::PromotionFailed;
        for _ in 0..MAX_STEPS {
            let stage = driver.stage();
            let step = driver.step().clone();
            if let FailoverStep::Done(result) = step {
                outcome = result;
                break;
            }
            let step_began = Instant::now();
            let event = self.run_step(step).await;
            let seconds = step_began.elapsed().as_secs_f64();
            let metrics = &self.context.metrics;
            metrics.failover_seconds.with_label_values(&[stage.as_str()]).observe(seconds);
            log::info!(
                group = self.group.id.to_string().as_str(), step = stage.as_str(),
                took_us = step_began.elapsed().as_micros() as u64;
                "failover step finished"
            );
            driver.on_event(event);
        }
        self.report(outcome, began);
        outcome
    }

    fn report(&mut self, outcome: FailoverOutcome, began: Instant) {
        let label = match outcome {
            FailoverOutcome::Promoted { .. } => "opened",
            FailoverOutcome::DrivenElsewhere => "left_to_other",
            FailoverOutcome::StoreUnreachable => "store_unreachable",
            FailoverOutcome::NoMajority => "no_majority",
            FailoverOutcome::PromotionFailed => "promotion_failed",
        };
        self.context.metrics.promotions.with_label_values(&[label]).inc();
        match outcome {
            FailoverOutcome::Promoted { primary, term } => log::warn!(
                group = self.group.id.to_string().as_str(), server = primary.0, term = term.0,
                took_ms = began.elapsed().as_millis() as u64;
                "promoted a new primary"
            ),
            FailoverOutcome::DrivenElsewhere => {}
            _ => self.warn_throttled(&format!("the primary could not be changed: {label}")),
        }
    }

    fn failover_group(&self, reason: FailoverReason) -> FailoverGroup {
        let in_force = self.group.in_force.load();
        let servers = &in_force.group.servers;
        let mut avoid: Vec<ServerId> = servers
            .iter()
            .enumerate()
            .filter(|(_, server)| {
                !self.context.may_get_new_work(&server.address, &in_force.configuration)
            })
            .map(|(index, _)| ServerId::from_index(index))
            .collect();
        let primary = self.group.view.read().primary;
        let (preferred, failed) = match reason {
            FailoverReason::Failure => (None, primary),
            FailoverReason::Switch { target } => {
                avoid.extend(primary);
                (Some(target), None)
            }
        };
        FailoverGroup {
            servers: servers.iter().map(|server| server.name.to_string()).collect(),
            avoid,
            preferred,
            failed,
        }
    }

    fn highest_term(&self) -> Term {
        let view = self.group.view.read();
        let promised = view.statuses().map(|(_, status)| status.promised_term).max();
        view.term.max(promised.unwrap_or_default())
    }

    async fn run_step(&mut self, step: FailoverStep) -> FailoverEvent {
        match step {
            FailoverStep::ReadRecord => self.read_record().await,
            FailoverStep::WriteRecord { expected_version, record } => {
                self.write_record(expected_version, &record).await
            }
            FailoverStep::Seal { term } => {
                FailoverEvent::Sealed { statuses: self.seal(term).await }
            }
            FailoverStep::Promote { server, term } => {
                match self.group.run_statement(server, Dialect::promote(term)).await {
                    Ok(answer) if answer.status.leads() => {
                        self.notify_owners(term);
                        FailoverEvent::Promoted
                    }
                    _ => FailoverEvent::PromotionFailed,
                }
            }
            FailoverStep::Follow { primary, term } => {
                self.follow(primary, term).await;
                FailoverEvent::Followed
            }
            FailoverStep::Done(_) => FailoverEvent::Followed,
        }
    }

    fn key(&self) -> String {
        let id = &self.group.id;
        LeadershipRecord::key(&self.context.settings.platform.prefix, &id.service, &id.group)
    }

    async fn read_record(&mut self) -> FailoverEvent {
        let (store, key) = (self.store.clone(), self.key());
        let found = tokio::task::spawn_blocking(move || store.get(&key)).await;
        self.context.metrics.store_calls.with_label_values(&["leadership"]).inc();
        let Ok(Ok(entry)) = found else { return FailoverEvent::StoreUnreachable };
        let Some(entry) = entry else {
            return FailoverEvent::Record { record: None, version: 0, stalled: false };
        };
        let Ok(record) = serde_json::from_slice::<LeadershipRecord>(&entry.value) else {
            log::error!(key = self.key().as_str(); "a leadership record is malformed");
            return FailoverEvent::StoreUnreachable;
        };
        let stalled = self.has_stalled(&record);
        FailoverEvent::Record { record: Some(record), version: entry.version, stalled }
    }

    /// Whether the failover of a record has finished, or its record has not changed for
    /// `takeover_after_ms`.
    fn has_stalled(&mut self, record: &LeadershipRecord) -> bool {
        let finished =
            record.stage != RecordStage::Claimed && self.group.view.read().term >= record.term;
        if finished {
            return true;
        }
        let takeover_ms = self.group.in_force.load().configuration.failover.takeover_after_ms;
        match &self.last_record {
            Some((seen, since)) if seen == record => {
                since.elapsed() >= Duration::from_millis(takeover_ms)
            }
            _ => {
                self.last_record = Some((record.clone(), Instant::now()));
                false
            }
        }
    }

    async fn write_record(
        &self,
        expected_version: u64,
        record: &LeadershipRecord,
    ) -> FailoverEvent {
        let Ok(value) = serde_json::to_vec(record) else { return FailoverEvent::StoreUnreachable };
        let (store, key) = (self.store.clone(), self.key());
        let claim_id = record.claim_id.clone();
        self.context.metrics.store_calls.with_label_values(&["leadership"]).inc();
        let written = tokio::task::spawn_blocking(move || {
            match store.compare_and_swap(&key, expected_version, &value)? {
                CasOutcome::Conflict => Ok(None),
                // The next step needs the version, which only a read returns.
                CasOutcome::Applied => {
                    let entry = store.get(&key)?;
                    Ok(entry.filter(|entry| entry.value == value).map(|entry| entry.version))
                }
            }
        })
        .await;
        match written {
            Ok(Ok(Some(version))) => FailoverEvent::Written { version },
            Ok(Ok(None) | Err(StoreError::AnswerLost(_) | StoreError::Malformed(_))) => {
                log::info!(
                    claim = claim_id.as_str();
                    "the write of a leadership record is uncertain; reading it back"
                );
                FailoverEvent::WriteUncertain
            }
            Ok(Err(StoreError::Unreachable(_))) | Err(_) => FailoverEvent::StoreUnreachable,
        }
    }

    /// Seals all servers that answer. Once a majority is sealed, the others have `SEAL_GRACE` left to
    /// answer.
    async fn seal(&self, term: Term) -> Vec<(ServerId, ServerStatus)> {
        let step_timeout_ms = self.group.in_force.load().configuration.failover.step_timeout_ms;
        let mut until = tokio::time::Instant::now() + Duration::from_millis(step_timeout_ms);
        let majority = self.group.links.len() / 2 + 1;
        let mut sealing: FuturesUnordered<_> = (0..self.group.links.len())
            .map(ServerId::from_index)
            .map(|server| async move {
                (server, self.group.run_statement(server, Dialect::seal(term)).await)
            })
            .collect();
        let mut sealed = Vec::new();
        while let Ok(Some((server, answer))) = tokio::time::timeout_at(until, sealing.next()).await
        {
            let Ok(answer) = answer else { continue };
            sealed.push((server, (*answer.status).clone()));
            if sealed.len() == majority {
                until = until.min(tokio::time::Instant::now() + SEAL_GRACE);
            }
        }
        sealed
    }

    /// Notifies the other owners of a new primary, so that they learn of it before their next heartbeat.
    fn notify_owners(&self, term: Term) {
        let notice = TermNotice {
            service: self.group.id.service.to_string(),
            group: self.group.id.group.to_string(),
            term: term.0,
        };
        let owners = self.context.owners_of(&self.group.in_force.load().group);
        for owner in owners.iter().filter(|owner| owner.key != self.context.key) {
            let (peers, address) = (self.peers.clone(), owner.peer_address);
            let notice = Body::TermNotice(notice.clone());
            tokio::spawn(async move {
                // An owner that can't be reached learns of the new primary by its own heartbeat.
                if let Ok(client) = peers.get(address).await {
                    let _ = client.notify(notice).await;
                }
            });
        }
    }

    /// Makes the other servers follow the primary. For a server that fails, the group watch repeats
    /// this.
    async fn follow(&self, primary: ServerId, term: Term) {
        let address = self.group.in_force.load().group.servers[primary.index()].address;
        for server in (0..self.group.links.len()).map(ServerId::from_index) {
            if server == primary {
                continue;
            }
            let group = self.group.clone();
            tokio::spawn(async move {
                group.run_statement(server, Dialect::follow(term, address)).await
            });
        }
    }
}
