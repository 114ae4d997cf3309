//! Confirming, after the store was restored, who leads each group, before anybody uses a primary by the store's word again.
//!
//! The holder of the duty waits until an order from before can't take effect any more and daemons have put back what they
//! know, then asks the servers. See `docs/design/store-restored.md`.

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
    statement::EndpointText,
};

/// How many times as long as an order takes to settle the servers are asked who leads before a group whose servers don't
/// agree gets a new primary: a driver that died may have left them paused, and nobody know of it.
const ASKS_FOR_SETTLES: u32 = 2;

impl<P: Adapter> Control<P> {
    /// Confirms a record of an era that has ended, by what the group's servers say; changes the primary where it has to be.
    pub(crate) async fn confirm_record(&self, service: &Name) -> Result<(), ChangeFailure> {
        let known = self.known_record(service).ok_or(ChangeFailure::Superseded)?;
        if known.record.change.is_some() {
            return self.change_primary(service, ChangeReason::LeftUnfinished).await;
        }
        let Some(found) = self.ask_who_leads(service, &known.record).await else {
            return self.settle_without_word(service, &known).await;
        };
        let record = confirmed(&known.record, &found, self.incarnation_of(service, &found.server));
        self.write_record(service, &record, known.revision).await?;
        self.metrics.restores.with_label_values(&["confirmed"]).inc();
        log::info!(
            event = "record_confirmed", service = &**service, primary = &*found.server,
            term = found.term.0, known_term = known.record.term;
            "the servers say who leads, and the record counts again"
        );
        Ok(())
    }

    /// Asks the group's servers; a majority is enough for the primary that this daemon may use at the moment, else all.
    async fn ask_who_leads(
        &self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> Option<LeaderByEvidence> {
        let entries = self.entries(service);
        let held = self.held_primary_lease(service, Instant::now());
        let held = HeldPrimaryLease { known_term: held.known_term.max(Term(record.term)), ..held };
        let mut commands = Commands::new(self);
        let asks = entries.iter().map(|entry| (entry.clone(), EndpointText::Status)).collect();
        let answered = commands.ask_all(asks).await;
        let statuses: Vec<_> =
            answered.into_iter().map(|(entry, status)| (entry.server.clone(), status)).collect();
        evidence::judge(&statuses, entries.len(), &held)
    }

    /// Goes on where the servers' answers don't show who leads: replaces a primary that has failed, and any after a while.
    async fn settle_without_word(
        &self,
        service: &Name,
        known: &Arc<VersionedRecord>,
    ) -> Result<(), ChangeFailure> {
        if let Some(reason) = self.fault_of_primary(service, known) {
            return self.change_primary(service, reason).await;
        }
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let asked_for = self.state.borrow().restore.age(Instant::now());
        if asked_for < settles * ASKS_FOR_SETTLES {
            return Err(ChangeFailure::NoMajority);
        }
        self.change_primary(service, ChangeReason::Restored).await
    }

    /// Returns the term in which the chosen server leads, if its order took effect.
    pub(crate) async fn term_led(
        &self,
        entry: &Arc<ServerEntry>,
        run: &ChangeRun,
        chosen: &ChosenServer,
        commands: &mut Commands<'_, P>,
    ) -> Option<u64> {
        let status = commands.ask(entry, EndpointText::Status).await.ok()?;
        has_taken_over(&run.record, chosen, &status).then_some(status.term.0)
    }

    /// Records that the chosen server leads, and lets the others go on.
    pub(crate) async fn settle(
        &self,
        service: &Name,
        run: &ChangeRun,
        chosen: &ChosenServer,
        term: u64,
        commands: &mut Commands<'_, P>,
    ) -> Result<(), ChangeFailure> {
        let incarnation = self.incarnation_of(service, &chosen.server);
        let record = run.record.settled(chosen, incarnation, term);
        self.write_record(service, &record, run.revision).await?;
        self.step("settled", service, run);
        let old = run.record.primary.as_str();
        self.resume_others(service, chosen, old, Term(term), commands).await;
        Ok(())
    }

    /// Returns where the duty's key stands if it is of an era that has ended: nobody holds the duty by it.
    pub(crate) fn expired_promoter_key(&self, state: &State) -> Option<Revision> {
        let item = state.mirror.get(&self.promoter_key())?;
        let text = std::str::from_utf8(&item.value).ok()?;
        let era = text.rsplit_once('@').and_then(|(_, era)| era.parse().ok()).unwrap_or(0);
        (era < state.mirror.era().0).then_some(item.revision)
    }

    /// Takes the key of a duty away whose era has ended; the duty is free once that is heard of.
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
                event = "duty_ended"; "the duty of before the store's restore was taken away"
            ),
            Ok(TransactionOutcome::Conflict | TransactionOutcome::LeaseOver) => {}
            Err(error) => log::info!(
                event = "duty_unclear", why = error.to_string().as_str();
                "whether the duty's key was taken away is not known yet"
            ),
        }
    }
}

/// Returns a record that says what the servers showed. Where they are in a later term than it knows, where that began is lost.
fn confirmed(
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
