//! Handles a store that was restored from a backup and therefore starts a new era.
//!
//! Leases are requested again, leadership records grant no primary lease until they are confirmed, and server
//! entries of the backup that contradict known entries are deferred until the servers had time to write again. See
//! `docs/design/store-restored.md`.

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

/// How long members that are missing in the backup remain members. Every daemon that reaches the store rejoins within
/// this time, which is about the lease of a member.
const MEMBER_REJOIN_TIMEOUT: Duration = Duration::from_secs(9);
/// The average interval between two rejoining members, which limits the load on the store.
const JOIN_INTERVAL: Duration = Duration::from_millis(10);
/// The longest delay before a member rejoins: a third of a member's lease, an absence that other members don't notice.
const MAX_JOIN_DELAY: Duration = Duration::from_secs(3);

/// The last restore of the store that this daemon observed.
#[derive(Default)]
pub(crate) struct StoreRestore {
    /// When this daemon entered the current era; `None` if the store has no eras.
    entered_at: Option<Instant>,
    /// Whether it had read the store in an earlier era, so that it can determine what was lost.
    knew_earlier_era: bool,
    /// The store's revision at the first read in this era. Items up to it come from the backup.
    backup_revision: Revision,
    /// Keys of server entries in the backup that contradict known entries.
    deferred: BTreeSet<String>,
}

impl StoreRestore {
    /// Returns how long this daemon has known of the current era.
    pub(crate) fn era_age(&self, now: Instant) -> Duration {
        self.entered_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}

impl State {
    /// Whether a record was written in the current era, so that it may grant a primary lease.
    pub(crate) fn is_confirmed(&self, record: &LeadershipRecord) -> bool {
        record.era == self.mirror.era().0
    }

    /// Returns a record with the current era and its next edition, to be written.
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

    /// Keeps the leadership records that this daemon wrote but that the watch did not return before the era ended, so
    /// that they are republished. Perhaps no other daemon knows them although a promotion was ordered.
    fn keep_unconfirmed_writes(&mut self, received_revision: Revision) {
        for (service, written) in std::mem::take(&mut self.written_records) {
            let known = self.records.get(&service);
            let is_later = known.is_none_or(|known| written.record.is_later_than(&known.record));
            if written.revision > received_revision && is_later {
                self.records.insert(service, Arc::new(written));
            }
        }
    }

    /// Records the edition of a record that was received.
    pub(crate) fn update_edition(&mut self, service: &Name, record: &LeadershipRecord) {
        if record.edition > 0 {
            let latest = self.editions.entry(service.clone()).or_default();
            *latest = record.edition.max(*latest);
        }
    }

    /// Whether a missing key was already missing in the backup, so that its writer may still write it again.
    pub(crate) fn is_lost_by_restore(&self, key: &str) -> bool {
        let restore = &self.restore;
        let now = Instant::now();
        restore.knew_earlier_era
            && restore.era_age(now) < MEMBER_REJOIN_TIMEOUT
            && self.mirror.removed_at(key) == Some(restore.backup_revision)
    }

    /// Removes members that were missing in the backup and have not rejoined in time.
    pub(crate) fn drop_lost_members(&mut self, prefix: &str, now: Instant) {
        if !self.restore.knew_earlier_era || self.restore.era_age(now) < MEMBER_REJOIN_TIMEOUT {
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
                "members did not rejoin after the store was restored"
            );
        }
    }

    /// Whether an entry of the backup contradicts what is known of its server: that it was removed, is leaving, or has
    /// restarted since. Such an entry is deferred until its server had time to write again.
    pub(crate) fn contradicts_known_server(
        &mut self,
        item: &Item,
        entry: &ServerEntry,
        grace: Duration,
    ) -> bool {
        let restore = &self.restore;
        let is_from_backup = restore.knew_earlier_era && item.revision <= restore.backup_revision;
        if !is_from_backup || restore.era_age(Instant::now()) >= grace {
            return false;
        }
        let is_contradiction = match self.servers.entry_at(&item.key) {
            None => true,
            Some(known) if known.incarnation != entry.incarnation => {
                known.incarnation > entry.incarnation
            }
            Some(known) => known.leaving && !entry.leaving,
        };
        if is_contradiction {
            self.restore.deferred.insert(item.key.clone());
        }
        is_contradiction
    }
}

impl<P: Adapter> Control<P> {
    /// Enters the era of a complete store read at this revision, if it is later than the current era.
    pub(crate) fn enter_era(&self, revision: Revision) {
        let era = revision.era();
        let mut state = self.state.borrow_mut();
        let before = state.mirror.era();
        if era <= before {
            return;
        }
        let knew_earlier_era = state.mirror.applied_revision() != Revision::ABSENT;
        let last_known = state.mirror.applied_revision();
        state.mirror.enter_era(era);
        state.keep_unconfirmed_writes(last_known);
        let now = Instant::now();
        state.restore = StoreRestore {
            entered_at: Some(now),
            knew_earlier_era,
            backup_revision: revision,
            deferred: BTreeSet::new(),
        };
        // The promoter role ended with its lease, and changes of members may have been missed.
        state.promoter_lease = None;
        state.watching_since = Some(now);
        state.latest_read = None;
        state.acknowledged.clear();
        drop(state);
        self.metrics.gauges.with_label_values(&["store_era"]).set(era.0 as i64);
        if !knew_earlier_era {
            log::info!(event = "store_era", era = era.0; "the store reports its era");
            return;
        }
        self.metrics.store_restores.with_label_values(&["seen"]).inc();
        log::warn!(
            event = "store_restored", era = era.0, before = before.0,
            revision = revision.number(), known_to = last_known.number();
            "the store was restored from a backup; republishing what it lost"
        );
        self.rejoin.notify_one();
        self.republish.notify_one();
    }

    /// Handles an own store read of a later era. A daemon without an upstream loads the store; the others wait for
    /// their upstream, and read the store themselves if that takes too long.
    pub(crate) async fn handle_newer_era(&self, read: StoreRead) -> Result<(), MetadataError> {
        if self.upstream().is_none() {
            return self.load_from_store().await;
        }
        self.state.borrow_mut().on_observed_revision(&read);
        Ok(())
    }

    /// Records a leadership record of this daemon that the store committed.
    pub(crate) fn on_record_written(&self, service: &Name, written: VersionedRecord) {
        self.state.borrow_mut().written_records.insert(service.clone(), written);
    }

    /// Keeps a record whose write was in progress when the store was restored. A record without a change states what
    /// the servers reported, so it is valid even if it was not stored. One with a change is ignored, as it had no
    /// effect.
    pub(crate) fn on_unconfirmed_write(&self, service: &Name, record: LeadershipRecord) {
        if record.change.is_some() {
            return;
        }
        self.on_record_written(service, VersionedRecord { record, revision: Revision::MAX });
        let has_entered = {
            let mut state = self.state.borrow_mut();
            let has_entered = state.mirror.era() >= self.store.era();
            if has_entered {
                state.keep_unconfirmed_writes(Revision::ABSENT);
            }
            has_entered
        };
        if has_entered {
            self.apply_records(std::slice::from_ref(service));
        }
    }

    /// Waits for a random delay before rejoining, since all daemons have lost their leases at the same time.
    pub(crate) async fn await_join_slot(&self) {
        let members = self.state.borrow().members.len() as u32;
        let longest = (JOIN_INTERVAL * members).min(MAX_JOIN_DELAY);
        let part: f64 = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(longest.mul_f64(part)).await;
    }

    /// Whether a group must not be changed yet because of orders from before the restore.
    pub(crate) fn must_wait_for_orders(&self, service: &Name, now: Instant) -> bool {
        let settles = Duration::from_millis(self.settings.leadership.order_settles_ms);
        let state = self.state.borrow();
        let era_view = EraView {
            era: state.mirror.era(),
            known_for: state.restore.era_age(now),
            knew_earlier_era: state.restore.knew_earlier_era,
        };
        era_view
            .must_wait_for_orders(state.records.get(service).map(|known| &known.record), settles)
    }

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

    /// Applies the deferred server entries whose servers did not write again in time.
    pub(crate) fn apply_deferred_entries(&self, now: Instant) {
        let deferred: Vec<Item> = {
            let mut state = self.state.borrow_mut();
            if state.restore.deferred.is_empty() || state.restore.era_age(now) < self.lapse_grace()
            {
                return;
            }
            let keys = std::mem::take(&mut state.restore.deferred);
            keys.iter().filter_map(|key| state.mirror.get(key).cloned()).collect()
        };
        for item in deferred {
            log::info!(
                event = "entry_taken_back", key = item.key.as_str();
                "applied a server's entry from the backup, as its server wrote no newer one"
            );
            self.on_server(&item);
        }
    }

    /// Returns how long a server's entry may be missing before its server counts as leaving.
    pub(crate) fn lapse_grace(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.lapse_grace_ms)
    }

    pub(crate) fn is_operators_configuration(&self, key: &str) -> bool {
        key == self.format.configuration_key()
    }
}
