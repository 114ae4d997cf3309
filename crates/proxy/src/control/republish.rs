//! Republishes what the store lost in a restore: leadership records and the newest configuration, by any daemon that
//! knows later versions than the store holds.
//!
//! Each write is conditional on the revision that was read, so the latest known value remains, independent of the order
//! of the writes. A daemon that was disconnected does the same after it reconnects. See
//! `docs/design/store-restored.md`.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use rand::RngExt;

use crate::{
    control::{
        adapter::Adapter, backoff::Backoff, record::RecordSource, runner::Control, state::State,
    },
    metadata::{
        Era, Item, MetadataError, MetadataStore, Revision, Transaction, TransactionOutcome,
    },
};

/// The key of the newest configuration while the operators' key, which daemons must not write, holds an older one.
pub(crate) const RETAINED_CONFIGURATION_KEY: &str = "configuration";
/// The largest number of records in one transaction: each needs a condition and a value, of which the store takes 32.
const MAX_RECORDS_PER_TRANSACTION: usize = 16;
/// The offset between the write slots of two daemons: the time for a write to reach the whole fleet.
const SLOT_DURATION: Duration = Duration::from_millis(100);
/// The number of daemons with a slot of their own; all others share a last one of [`LAST_SLOT_DURATION`].
const SLOTS: usize = 5;
const LAST_SLOT_DURATION: Duration = Duration::from_millis(500);

/// The versions of the configurations that the store holds, and the newest known configuration.
#[derive(Default)]
pub(crate) struct ConfigurationVersions {
    /// The version of the operators' configuration; 0 if there is none that can be read.
    pub(crate) operators: u64,
    /// The version of the configuration that daemons retain; 0 if there is none.
    retained: u64,
    newest: u64,
    newest_value: Bytes,
}

impl ConfigurationVersions {
    /// Records a configuration from the store; returns whether the retained one has to be written or removed.
    pub(crate) fn update(&mut self, version: u64, value: &Bytes, is_operators: bool) -> bool {
        match is_operators {
            true => self.operators = version,
            false => self.retained = version,
        }
        if version > self.newest {
            self.newest = version;
            self.newest_value = value.clone();
        }
        self.due_action() != RetainedAction::Keep
    }

    fn due_action(&self) -> RetainedAction {
        if self.newest > self.operators.max(self.retained) {
            return RetainedAction::Write;
        }
        if self.retained > 0 && self.operators >= self.retained {
            return RetainedAction::Remove;
        }
        RetainedAction::Keep
    }
}

/// What has to be done with the retained configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetainedAction {
    Keep,
    Write,
    /// The operators have written a configuration that is at least as new.
    Remove,
}

/// A write that is due, with the label of its purpose.
struct DueWrite {
    transaction: Transaction,
    what: &'static str,
    count: usize,
}

impl<P: Adapter> Control<P> {
    /// Writes the records and the configuration that the store lost, until it holds them again.
    pub(crate) async fn republish_loop(self: Rc<Self>) {
        loop {
            self.republish.notified().await;
            let mut backoff = Backoff::default();
            loop {
                self.await_write_slot().await;
                let Some(due) = self.due_write() else { break };
                let written = self.store.commit(&due.transaction, self.write_timeout()).await;
                self.count_call("commit", &written);
                self.log_republish(&due, &written);
                if matches!(written, Ok(TransactionOutcome::Done(_))) {
                    backoff.reset();
                }
                // The watch updates the mirror, also with the writes of other daemons.
                backoff.wait().await;
            }
        }
    }

    /// Waits for this daemon's write slot, so that the other daemons usually receive the first one's writes before they
    /// write themselves.
    async fn await_write_slot(&self) {
        let part: f64 = rand::rng().random_range(0.0..1.0);
        let before = self.members_before();
        let slot_duration = if before < SLOTS { SLOT_DURATION / 2 } else { LAST_SLOT_DURATION };
        let slot_start = SLOT_DURATION * before.min(SLOTS) as u32;
        tokio::time::sleep(slot_start + slot_duration.mul_f64(part)).await;
    }

    fn due_write(&self) -> Option<DueWrite> {
        let state = self.state.borrow();
        if state.mirror.era() == Era::NONE {
            return None;
        }
        self.due_records(&state).or_else(|| self.due_configuration(&state))
    }

    fn due_records(&self, state: &State) -> Option<DueWrite> {
        let mut transaction = Transaction::default();
        for (service, known) in &state.records {
            let stored = self.stored_record(service);
            let stored_record = stored.as_ref().map(|stored| &stored.record);
            let source =
                RecordSource::choose(Some(&known.record), stored_record, state.mirror.era());
            if source == RecordSource::Stored {
                continue;
            }
            let key = self.record_key(service);
            let value = serde_json::to_vec(&known.record).expect("a record is plain data");
            transaction.expected.push((key.clone(), expected_revision(state.mirror.get(&key))));
            transaction.puts.push((key, Bytes::from(value), None));
            if transaction.puts.len() == MAX_RECORDS_PER_TRANSACTION {
                break;
            }
        }
        let count = transaction.puts.len();
        (count > 0).then_some(DueWrite { transaction, what: "records", count })
    }

    fn due_configuration(&self, state: &State) -> Option<DueWrite> {
        let configurations = &state.configurations;
        let key = self.key(RETAINED_CONFIGURATION_KEY);
        let expected = vec![(key.clone(), expected_revision(state.mirror.get(&key)))];
        let (puts, removes) = match configurations.due_action() {
            RetainedAction::Keep => return None,
            RetainedAction::Write => {
                (vec![(key, configurations.newest_value.clone(), None)], Vec::new())
            }
            RetainedAction::Remove => (Vec::new(), vec![key]),
        };
        let what = if puts.is_empty() { "configuration_removed" } else { "configuration" };
        let transaction = Transaction { expected, puts, removes };
        Some(DueWrite { transaction, what, count: 1 })
    }

    fn log_republish(&self, due: &DueWrite, written: &Result<TransactionOutcome, MetadataError>) {
        match written {
            Ok(TransactionOutcome::Done(_)) => {
                let count = due.count as u64;
                self.metrics.store_restores.with_label_values(&[due.what]).inc_by(count);
                log::info!(
                    event = "put_back", what = due.what, count = count;
                    "republished what the store lost in a restore"
                );
            }
            // Another daemon was first.
            Ok(TransactionOutcome::Conflict | TransactionOutcome::LeaseOver) => {}
            Err(error) => log::info!(
                event = "write_failed", what = due.what, why = error.to_string().as_str();
                "a write to the store may not have been applied"
            ),
        }
    }

    /// Applies the retained configuration in the same way as the operators' configuration.
    pub(crate) fn on_retained_configuration(&self, key: &str) {
        let item = self.state.borrow().mirror.get(key).cloned();
        match item {
            Some(item) => self.on_configuration(&item),
            None => self.state.borrow_mut().configurations.retained = 0,
        }
    }
}

fn expected_revision(item: Option<&Item>) -> Revision {
    item.map_or(Revision::ABSENT, |item| item.revision)
}
