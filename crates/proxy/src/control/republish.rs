//! Writing again what the store lost when it was restored: records of leadership and the newest configuration, by whoever
//! knows later ones than it holds.
//!
//! Each write expects what it found, so the latest of what daemons know stands there in the end, in whatever order they
//! come. A daemon that was away and knows more does the same when it is back. See `docs/design/store-restored.md`.

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

/// Where the newest configuration is kept while the operators' own key holds an older one: daemons may not write that.
pub(crate) const BACKUP_CONFIGURATION_KEY: &str = "configuration";
/// Records in one transaction, of a condition and a value each; the store takes 32 of both together.
const RECORDS_AT_ONCE: usize = 16;
/// The time between the turns of two daemons: a write, and its news on the way through the fleet.
const TURN_LASTS: Duration = Duration::from_millis(100);
/// Daemons that have a turn of their own; the others come after them, spread over [`LAST_TURN_LASTS`].
const TURNS: usize = 5;
/// How long the turn of all others lasts.
const LAST_TURN_LASTS: Duration = Duration::from_millis(500);

/// Which configurations the store holds, by their versions, and the newest that was seen.
#[derive(Default)]
pub(crate) struct ConfigurationVersions {
    /// The version of the operators'; 0 for none that can be read.
    pub(crate) operators: u64,
    /// That of the one that daemons keep for them.
    kept: u64,
    newest: u64,
    newest_value: Bytes,
}

impl ConfigurationVersions {
    /// Notes a configuration of the store; returns whether something is to be written because of it.
    pub(crate) fn note(&mut self, version: u64, value: &Bytes, is_operators: bool) -> bool {
        match is_operators {
            true => self.operators = version,
            false => self.kept = version,
        }
        if version > self.newest {
            self.newest = version;
            self.newest_value = value.clone();
        }
        self.due() != BackupAction::Keep
    }

    fn due(&self) -> BackupAction {
        if self.newest > self.operators.max(self.kept) {
            return BackupAction::Write;
        }
        if self.kept > 0 && self.operators >= self.kept {
            return BackupAction::Remove;
        }
        BackupAction::Keep
    }
}

/// What is to become of the configuration that daemons keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackupAction {
    Keep,
    Write,
    /// The operators have written one that is as new.
    Remove,
}

/// A write that is due, and what it is for.
struct DueWrite {
    transaction: Transaction,
    what: &'static str,
    count: usize,
}

impl<P: Adapter> Control<P> {
    /// Writes what the store lost, whenever something was found missing, until nothing is.
    pub(crate) async fn republish_loop(self: Rc<Self>) {
        loop {
            self.republish.notified().await;
            let mut backoff = Backoff::default();
            loop {
                self.await_turn_to_write().await;
                let Some(due) = self.due_write() else { break };
                let written = self.store.commit(&due.transaction, self.write_timeout()).await;
                self.count_call("commit", &written);
                self.log_republish(&due, &written);
                if matches!(written, Ok(TransactionOutcome::Done(_))) {
                    backoff.reset();
                }
                // The mirror hears of it by the watch; others may have been first.
                backoff.wait().await;
            }
        }
    }

    /// Waits so that daemons write one after the other, and nearly always the first one's writes are heard by the others
    /// in time.
    async fn await_turn_to_write(&self) {
        let part: f64 = rand::rng().random_range(0.0..1.0);
        let before = self.members_before();
        let lasts = if before < TURNS { TURN_LASTS / 2 } else { LAST_TURN_LASTS };
        let begins = TURN_LASTS * before.min(TURNS) as u32;
        tokio::time::sleep(begins + lasts.mul_f64(part)).await;
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
            let counts =
                RecordSource::choose(Some(&known.record), stored_record, state.mirror.era());
            if counts == RecordSource::Stored {
                continue;
            }
            let key = self.record_key(service);
            let value = serde_json::to_vec(&known.record).expect("a record is plain data");
            transaction.expected.push((key.clone(), expected_of(state.mirror.get(&key))));
            transaction.puts.push((key, Bytes::from(value), None));
            if transaction.puts.len() == RECORDS_AT_ONCE {
                break;
            }
        }
        let count = transaction.puts.len();
        (count > 0).then_some(DueWrite { transaction, what: "records", count })
    }

    fn due_configuration(&self, state: &State) -> Option<DueWrite> {
        let heard = &state.configurations;
        let key = self.key(BACKUP_CONFIGURATION_KEY);
        let expected = vec![(key.clone(), expected_of(state.mirror.get(&key)))];
        let (puts, removes) = match heard.due() {
            BackupAction::Keep => return None,
            BackupAction::Write => (vec![(key, heard.newest_value.clone(), None)], Vec::new()),
            BackupAction::Remove => (Vec::new(), vec![key]),
        };
        let what = if puts.is_empty() { "configuration_removed" } else { "configuration" };
        let transaction = Transaction { expected, puts, removes };
        Some(DueWrite { transaction, what, count: 1 })
    }

    fn log_republish(&self, due: &DueWrite, written: &Result<TransactionOutcome, MetadataError>) {
        match written {
            Ok(TransactionOutcome::Done(_)) => {
                let count = due.count as u64;
                self.metrics.restores.with_label_values(&[due.what]).inc_by(count);
                log::info!(
                    event = "put_back", what = due.what, count = count;
                    "what the store lost when it was restored was written again"
                );
            }
            // Another daemon was first.
            Ok(TransactionOutcome::Conflict | TransactionOutcome::LeaseOver) => {}
            Err(error) => log::info!(
                event = "write_failed", what = due.what, why = error.to_string().as_str();
                "a write to the store may not have been done"
            ),
        }
    }

    /// Takes over the configuration that daemons keep: it counts as the operators' would.
    pub(crate) fn on_backup_configuration(&self, key: &str) {
        let item = self.state.borrow().mirror.get(key).cloned();
        match item {
            Some(item) => self.on_configuration(&item),
            None => self.state.borrow_mut().configurations.kept = 0,
        }
    }
}

fn expected_of(item: Option<&Item>) -> Revision {
    item.map_or(Revision::ABSENT, |item| item.revision)
}
