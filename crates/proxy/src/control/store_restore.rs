//! What a daemon does when the store comes back from an older copy of itself, in a new era.
//!
//! What it believed because the store said so is not believed because of that any more: leases are taken anew, records of
//! leadership give no right before somebody has confirmed them, and what the copy says against what is known waits until
//! those who wrote it had time to write again. See `docs/design/store-restored.md`.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;
use rand::RngExt;

use crate::{
    catalog::{CatalogFormat, ServerEntry},
    control::{
        adapter::Adapter,
        change::VersionedRecord,
        peers::StoreRead,
        record::{EraView, LeadershipRecord},
        runner::Control,
        state::State,
    },
    metadata::{Era, Item, MetadataError, MetadataStore, Revision},
};

/// For how long members that the copy does not have are still counted: about the lease of a member, within which every one
/// that reaches the store has joined again.
const MEMBERS_RETURN_WITHIN: Duration = Duration::from_secs(9);
/// The time between two members that join again, so that all of them together ask the store for a fifth of the writes that
/// a small store takes in a second.
const JOIN_EVERY: Duration = Duration::from_millis(10);
/// The longest that a member waits for its turn to join; within a third of a lease others don't miss it.
const JOIN_WITHIN: Duration = Duration::from_secs(3);

/// The store's last restore, as this daemon saw it.
#[derive(Default)]
pub(crate) struct Restore {
    /// When this daemon entered the present era; `None` where the store tells of none.
    entered_at: Option<Instant>,
    /// Whether it knew the store before, so that it can tell what was lost.
    knew_earlier_era: bool,
    /// The store's revision as it was first read in this era: what stands there or below came out of the copy.
    copied_to: Revision,
    /// Servers' entries in the copy that go against what is known.
    deferred: BTreeSet<String>,
}

impl Restore {
    /// Returns for how long this daemon has known of the present era.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.entered_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}

impl State {
    /// Whether a record was written in the present era, so that it may give rights.
    pub(crate) fn is_confirmed(&self, record: &LeadershipRecord) -> bool {
        record.era == self.mirror.era().0
    }

    /// Returns a record as it is to be written next.
    pub(crate) fn next_edition(
        &mut self,
        service: &Name,
        record: &LeadershipRecord,
    ) -> LeadershipRecord {
        let era = self.mirror.era();
        if era == Era::NONE {
            return record.clone();
        }
        let latest = self.editions.entry(service.clone()).or_default();
        *latest = record.edition.max(*latest) + 1;
        LeadershipRecord { era: era.0, edition: *latest, ..record.clone() }
    }

    /// Counts what this daemon wrote and the watch did not tell of before the era ended as known, so that it is put back:
    /// nobody else may have heard of it, and an order may have followed.
    fn keep_unheard_records(&mut self, received_revision: Revision) {
        for (service, written) in std::mem::take(&mut self.written_records) {
            let known = self.records.get(&service);
            let is_later = known.is_none_or(|known| written.record.is_later_than(&known.record));
            if written.revision > received_revision && is_later {
                self.records.insert(service, Arc::new(written));
            }
        }
    }

    /// Notes the edition of a record that was heard of.
    pub(crate) fn note_edition(&mut self, service: &Name, record: &LeadershipRecord) {
        if record.edition > 0 {
            let latest = self.editions.entry(service.clone()).or_default();
            *latest = record.edition.max(*latest);
        }
    }

    /// Whether a key that is not there was missing in the copy already, and its writer may be about to write it again.
    pub(crate) fn is_lost_by_restore(&self, key: &str) -> bool {
        let restore = &self.restore;
        let now = Instant::now();
        restore.knew_earlier_era
            && restore.age(now) < MEMBERS_RETURN_WITHIN
            && self.mirror.removed_at(key) == Some(restore.copied_to)
    }

    /// Drops members that were missing in the copy and have not joined again in time.
    pub(crate) fn drop_lost_members(&mut self, prefix: &str, now: Instant) {
        if !self.restore.knew_earlier_era || self.restore.age(now) < MEMBERS_RETURN_WITHIN {
            return;
        }
        let State { members, mirror, .. } = self;
        let before = members.len();
        members.retain(|host, _| mirror.get(&format!("{prefix}{host}")).is_some());
        let dropped = before - members.len();
        self.restore.knew_earlier_era = false;
        if dropped > 0 {
            self.members_version += 1;
            log::info!(
                event = "members_lost", members = dropped;
                "members did not join again after the store was restored"
            );
        }
    }

    /// Whether an entry of the copy goes against what is known of its server: that it is gone, leaves, or has started again
    /// since. It counts once its server had time to write again, if it then still stands there.
    pub(crate) fn contradicts_known_server(
        &mut self,
        item: &Item,
        entry: &ServerEntry,
        grace: Duration,
    ) -> bool {
        let restore = &self.restore;
        let is_copied = restore.knew_earlier_era && item.revision <= restore.copied_to;
        if !is_copied || restore.age(Instant::now()) >= grace {
            return false;
        }
        let is_against = match self.servers.at(&item.key) {
            None => true,
            Some(known) if known.incarnation != entry.incarnation => {
                known.incarnation > entry.incarnation
            }
            Some(known) => known.leaving && !entry.leaving,
        };
        if is_against {
            self.restore.deferred.insert(item.key.clone());
        }
        is_against
    }
}

impl<P: Adapter> Control<P> {
    /// Begins the era of a whole reading that stands at this revision, if it is a later one.
    pub(crate) fn enter_era(&self, revision: Revision) {
        let era = revision.era();
        let mut state = self.state.borrow_mut();
        let before = state.mirror.era();
        if era <= before {
            return;
        }
        let knew_earlier_era = state.mirror.applied_revision() != Revision::ABSENT;
        let lost_from = state.mirror.applied_revision();
        state.mirror.enter_era(era);
        state.keep_unheard_records(lost_from);
        let now = Instant::now();
        state.restore = Restore {
            entered_at: Some(now),
            knew_earlier_era,
            copied_to: revision,
            deferred: BTreeSet::new(),
        };
        // The duty ended with its lease, and what was missing while nothing was heard can't be known.
        state.promoter_lease = None;
        state.watching_since = Some(now);
        state.latest_read = None;
        state.acknowledged.clear();
        drop(state);
        self.metrics.now.with_label_values(&["store_era"]).set(era.0 as i64);
        if !knew_earlier_era {
            log::info!(event = "store_era", era = era.0; "the store tells its era");
            return;
        }
        self.metrics.restores.with_label_values(&["seen"]).inc();
        log::warn!(
            event = "store_restored", era = era.0, before = before.0,
            revision = revision.number(), known_to = lost_from.number();
            "the store came back from an older copy; what it lost is put back"
        );
        self.rejoin.notify_one();
        self.republish.notify_one();
    }

    /// Does what follows from a reading of this daemon's own that is of a later era than what is known. Whoever follows
    /// nobody reads everything; the others hear it from whom they follow, or ask once that takes too long.
    pub(crate) async fn handle_newer_era(&self, reading: StoreRead) -> Result<(), MetadataError> {
        if self.upstream().is_none() {
            return self.load_from_store().await;
        }
        self.state.borrow_mut().note_observed_revision(&reading);
        Ok(())
    }

    /// Notes a record that the store took from this daemon.
    pub(crate) fn note_written(&self, service: &Name, written: VersionedRecord) {
        self.state.borrow_mut().written_records.insert(service.clone(), written);
    }

    /// Notes a record that was to be written as the store was restored. One without a change says what the group's servers
    /// showed, which is so whether the store took it or not; a change that it may not have taken was never begun.
    pub(crate) fn note_unwritten(&self, service: &Name, record: LeadershipRecord) {
        if record.change.is_some() {
            return;
        }
        self.note_written(service, VersionedRecord { record, revision: Revision::MAX });
        let has_entered = {
            let mut state = self.state.borrow_mut();
            let has_entered = state.mirror.era() >= self.store.era();
            if has_entered {
                state.keep_unheard_records(Revision::ABSENT);
            }
            has_entered
        };
        if has_entered {
            self.apply_records(std::slice::from_ref(service));
        }
    }

    /// Waits for this daemon's turn to join again: all daemons of the fleet have lost their leases at the same moment.
    pub(crate) async fn await_join_slot(&self) {
        let members = self.state.borrow().members.len() as u32;
        let longest = (JOIN_EVERY * members).min(JOIN_WITHIN);
        let part: f64 = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(longest.mul_f64(part)).await;
    }

    /// Whether a group's leadership is left as it is for now.
    pub(crate) fn must_wait_for_orders(&self, service: &Name, now: Instant) -> bool {
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let state = self.state.borrow();
        let seen = EraView {
            era: state.mirror.era(),
            known_for: state.restore.age(now),
            knew_earlier_era: state.restore.knew_earlier_era,
        };
        seen.must_wait_for_orders(state.records.get(service).map(|known| &known.record), settles)
    }

    /// Takes over that a server's entry is not there any more.
    pub(crate) fn on_server_removed(&self, key: &str) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        match state.is_lost_by_restore(key) {
            true => state.servers.lapse(key, now),
            false => {
                state.servers.remove(key, now);
            }
        }
    }

    /// Takes over what the copy said of servers against what was known, where they did not write again in time.
    pub(crate) fn apply_deferred_entries(&self, now: Instant) {
        let deferred: Vec<Item> = {
            let mut state = self.state.borrow_mut();
            if state.restore.deferred.is_empty() || state.restore.age(now) < self.lapse_grace() {
                return;
            }
            let keys = std::mem::take(&mut state.restore.deferred);
            keys.iter().filter_map(|key| state.mirror.get(key).cloned()).collect()
        };
        for item in deferred {
            log::info!(
                event = "entry_taken_back", key = item.key.as_str();
                "a server's entry of before the restore counts again, as nothing else was written"
            );
            self.on_server(&item);
        }
    }

    /// How long a server's entry may be missing before its server counts as leaving.
    pub(crate) fn lapse_grace(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.lapse_grace_ms)
    }

    /// Whether a key is where the operators' configuration lies.
    pub(crate) fn is_operators_configuration(&self, key: &str) -> bool {
        key == self.format.configuration_key()
    }
}
