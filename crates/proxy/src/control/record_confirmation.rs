//! Confirms each group's primary after the store was restored, before daemons use it on the basis of the store.
//!
//! The promoter waits until earlier promotion orders can't take effect any more and the daemons have republished what
//! they know, then queries the servers. See `docs/design/store-restored.md`.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{Name, Term};

use crate::{
    catalog::{ServerEntry, ServerIncarnation},
    control::{
        adapter::Adapter,
        change::{ChangeFailure, ChangeReason, ChangeRun, VersionedRecord, has_taken_over},
        commands::Commands,
        evidence::{self, HeldPrimaryLease, LeaderByEvidence},
        record::{ChosenServer, LeadershipRecord},
        runner::Control,
        state::State,
    },
    metadata::{MetadataStore, Revision, Transaction, TransactionOutcome},
    statement::EndpointOperation,
};

/// How long the servers are queried before a group without agreement gets a new primary, in multiples of the time that
/// an order takes to settle. A promoter that failed may have left the servers paused.
const QUERY_ORDER_PERIODS: u32 = 2;

impl<P: Adapter> Control<P> {
    /// Confirms a record of an earlier era by querying the group's servers, or changes the primary if necessary.
    pub(crate) async fn confirm_record(&self, service: &Name) -> Result<(), ChangeFailure> {
        let known = self.known_record(service).ok_or(ChangeFailure::Superseded)?;
        if known.record.change.is_some() {
            return self.change_primary(service, ChangeReason::LeftUnfinished).await;
        }
        let Some(found) = self.query_leader(service, &known.record).await else {
            return self.resolve_without_agreement(service, &known).await;
        };
        let record =
            confirmed_record(&known.record, &found, self.incarnation_of(service, &found.server));
        self.write_record(service, &record, known.revision).await?;
        self.metrics.store_restores.with_label_values(&["confirmed"]).inc();
        log::info!(
            event = "record_confirmed", service = &**service, primary = &*found.server,
            term = found.term.0, known_term = known.record.term;
            "leadership record confirmed by the servers"
        );
        Ok(())
    }

    /// Returns the leader that the group's servers report. A majority suffices if this daemon holds a primary lease for
    /// that leader; otherwise all servers have to agree.
    async fn query_leader(
        &self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> Option<LeaderByEvidence> {
        let entries = self.entries(service);
        let held = self.held_primary_lease(service, Instant::now());
        let held = HeldPrimaryLease { known_term: held.known_term.max(Term(record.term)), ..held };
        let mut commands = Commands::new(self);
        let requests =
            entries.iter().map(|entry| (entry.clone(), EndpointOperation::Status)).collect();
        let answered = commands.send_all(requests).await;
        let statuses: Vec<_> =
            answered.into_iter().map(|(entry, status)| (entry.server.clone(), status)).collect();
        evidence::judge_statuses(&statuses, entries.len(), &held)
    }

    /// Handles answers that don't show a primary: replaces a failed primary immediately, and any other primary after
    /// [`QUERY_ORDER_PERIODS`].
    async fn resolve_without_agreement(
        &self,
        service: &Name,
        known: &Arc<VersionedRecord>,
    ) -> Result<(), ChangeFailure> {
        if let Some(reason) = self.primary_fault(service, known) {
            return self.change_primary(service, reason).await;
        }
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let era_age = self.state.borrow().restore.era_age(Instant::now());
        if era_age < settles * QUERY_ORDER_PERIODS {
            return Err(ChangeFailure::NoMajority);
        }
        self.change_primary(service, ChangeReason::Restored).await
    }

    /// Returns the term in which the chosen server leads, if the order took effect.
    pub(crate) async fn takeover_term(
        &self,
        entry: &Arc<ServerEntry>,
        run: &ChangeRun,
        chosen: &ChosenServer,
        commands: &mut Commands<'_, P>,
    ) -> Option<u64> {
        let status = commands.send(entry, EndpointOperation::Status).await.ok()?;
        has_taken_over(&run.record, chosen, &status).then_some(status.term.0)
    }

    /// Records the chosen server as primary, and resumes the other servers.
    pub(crate) async fn record_takeover(
        &self,
        service: &Name,
        run: &ChangeRun,
        chosen: &ChosenServer,
        term: u64,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        let incarnation = self.incarnation_of(service, &chosen.server);
        let record = run.record.with_new_primary(chosen, incarnation, term);
        self.write_record(service, &record, run.revision).await?;
        self.log_step("settled", service, run);
        let old = run.record.primary.as_str();
        self.resume_others(service, chosen, old, Term(term), commands).await;
        Ok(())
    }

    /// Returns the revision of the promoter key if it is of an earlier era, in which case no daemon is promoter.
    pub(crate) fn expired_promoter_key(&self, state: &State) -> Option<Revision> {
        let item = state.mirror.get(&self.promoter_key())?;
        let text = std::str::from_utf8(&item.value).ok()?;
        let era = text.rsplit_once('@').and_then(|(_, era)| era.parse().ok()).unwrap_or(0);
        (era < state.mirror.era().0).then_some(item.revision)
    }

    /// Removes the promoter key of an earlier era, so that the role can be acquired.
    pub(crate) async fn remove_expired_promoter_key(&self, revision: Revision) {
        let transaction = Transaction {
            expected: vec![(self.promoter_key(), revision)],
            removes: vec![self.promoter_key()],
            ..Transaction::default()
        };
        let removed = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &removed);
        match removed {
            Ok(TransactionOutcome::Done(_)) => log::info!(
                event = "duty_ended"; "removed the promoter key of an earlier store era"
            ),
            Ok(TransactionOutcome::Conflict | TransactionOutcome::LeaseOver) => {}
            Err(error) => log::info!(
                event = "duty_unclear", why = error.to_string().as_str();
                "the removal of the expired promoter key may not have been applied"
            ),
        }
    }
}

/// Returns the record with the primary that the servers reported. The term starts are unknown if the servers are in a
/// term that the record does not contain.
fn confirmed_record(
    record: &LeadershipRecord,
    found: &LeaderByEvidence,
    incarnation: Option<ServerIncarnation>,
) -> LeadershipRecord {
    if found.term.0 == record.term && *found.server == *record.primary {
        return record.clone();
    }
    let (term, primary) = (found.term.0, found.server.to_string());
    let starts = Vec::new();
    LeadershipRecord { term, primary, primary_incarnation: incarnation, starts, ..record.clone() }
}
