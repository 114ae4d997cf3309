//! Applies changes of the daemon keys: the keys below this installation's prefix, through which the daemons share
//! state.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{Name, Term};
use session::TermHistory;

use crate::{
    control::{
        adapter::Adapter,
        change::VersionedRecord,
        control_view::{Basis, GroupLeader},
        record::{LeadershipRecord, PrimaryChange, RecordSource},
        republish::RETAINED_CONFIGURATION_KEY,
        runner::Control,
        state::{MemberValue, SeenMember, State},
    },
    metadata::{Revision, Transaction},
};

/// How long a daemon counts for the sharing of server connections after its key was last seen. A daemon that is
/// disconnected from the store keeps its connections.
const MEMBER_RETENTION: Duration = Duration::from_secs(20);

impl<P: Adapter> Control<P> {
    /// Updates when each member was last seen.
    pub(crate) fn update_seen_members(&self, now: Instant) {
        let own_zone = &*self.settings.availability_zone;
        let mut state = self.state.borrow_mut();
        state.drop_lost_members(&self.key("members/"), now);
        let State { members, members_seen, .. } = &mut *state;
        for (host, member) in members {
            let is_in_own_zone = member.availability_zone == own_zone;
            members_seen.insert(host.clone(), SeenMember { seen_at: now, is_in_own_zone });
        }
        members_seen.retain(|_, member| now.duration_since(member.seen_at) < MEMBER_RETENTION);
    }

    /// Applies a change of a daemon key. Returns the service if it is a leadership record, which
    /// [`Control::apply_records`] applies together with the other records that changed at the same time.
    pub(crate) fn on_daemon_key(&self, key: &str) -> Option<Name> {
        let rest = key.strip_prefix(&*self.settings.metadata.prefix)?;
        if let Some(service) = rest.strip_prefix("groups/") {
            return Some(Name::from(service));
        }
        if let Some(host) = rest.strip_prefix("members/") {
            self.on_member(key, host);
        } else if rest == RETAINED_CONFIGURATION_KEY {
            self.on_retained_configuration(key);
        } else if let Some(suspicion) = rest.strip_prefix("suspicions/") {
            self.on_own_suspicion(key);
            self.probe_suspected_server(key, suspicion);
        }
        None
    }

    /// Applies an added, changed or removed member key. A member whose value can't be read, such as one of a later
    /// version, counts as a member without a zone or peer address.
    fn on_member(&self, key: &str, host: &str) {
        let mut state = self.state.borrow_mut();
        state.members_version += 1;
        let Some(item) = state.mirror.get(key) else {
            if !state.is_lost_by_restore(key) {
                state.members.remove(host);
            }
            return;
        };
        let member = match serde_json::from_slice(&item.value) {
            Ok(member) => member,
            Err(error) => {
                log::warn!(
                    event = "member_unreadable", host = host, why = error.to_string().as_str();
                    "member value can't be read"
                );
                MemberValue::default()
            }
        };
        state.members.insert(Name::from(host), Arc::new(member));
    }

    /// Applies changed leadership records, and publishes the control view once for all of them.
    pub(crate) fn apply_records(&self, services: &[Name]) {
        let changed: Vec<(Name, Arc<VersionedRecord>)> = services
            .iter()
            .filter_map(|service| Some((service.clone(), self.resolve_record(service)?)))
            .collect();
        if changed.is_empty() {
            return;
        }
        for (service, known) in &changed {
            self.on_record(service.clone(), &known.record);
        }
        // The primary lease is dropped before the stop is acknowledged.
        self.publish();
        let mut is_settled = false;
        for (service, known) in changed {
            match &known.record.change {
                Some(change) => self.acknowledge_stop(service, change.id.clone()),
                None => is_settled = true,
            }
        }
        // A daemon with an upstream receives the upstream's next read within milliseconds.
        if is_settled && self.upstream().is_none() {
            self.refresh_now.notify_one();
        }
    }

    /// Returns the authoritative leadership record of a service; `None` if there is none that can be read. If the store
    /// was restored to an earlier record, the known one remains authoritative and is republished.
    fn resolve_record(&self, service: &Name) -> Option<Arc<VersionedRecord>> {
        let stored = self.stored_record(service);
        let mut state = self.state.borrow_mut();
        let known = state.records.remove(service);
        let (before, now) = (known.as_ref().map(|it| &it.record), stored.as_ref());
        let source = RecordSource::choose(before, now.map(|it| &it.record), state.mirror.era());
        let authoritative = match source {
            RecordSource::Stored => {
                if let (Some(known), Some(stored)) = (before, &stored) {
                    self.log_lost_term(service, known, &stored.record);
                }
                stored?
            }
            RecordSource::Known => {
                self.republish.notify_one();
                let item = state.mirror.get(&self.record_key(service));
                let revision = item.map_or(Revision::ABSENT, |item| item.revision);
                VersionedRecord { record: known?.record.clone(), revision }
            }
        };
        state.update_edition(service, &authoritative.record);
        let authoritative = Arc::new(authoritative);
        state.records.insert(service.clone(), authoritative.clone());
        Some(authoritative)
    }

    /// Logs that this daemon knows a later term than the record that was confirmed after a restore.
    fn log_lost_term(&self, service: &Name, known: &LeadershipRecord, stored: &LeadershipRecord) {
        if known.era >= stored.era || known.term <= stored.term {
            return;
        }
        self.metrics.store_restores.with_label_values(&["given_up"]).inc();
        log::warn!(
            event = "record_given_up", service = &**service, known_term = known.term,
            term = stored.term, primary = stored.primary.as_str();
            "a term that the store lost is missing in the confirmed leadership record"
        );
    }

    /// Returns a leadership record from the mirror, if it can be read.
    pub(crate) fn stored_record(&self, service: &Name) -> Option<VersionedRecord> {
        let state = self.state.borrow();
        let item = state.mirror.get(&self.record_key(service))?;
        match serde_json::from_slice(&item.value) {
            Ok(record) => Some(VersionedRecord { record, revision: item.revision }),
            Err(error) => {
                log::error!(
                    event = "record_unreadable", service = &**service,
                    why = error.to_string().as_str();
                    "leadership record can't be read"
                );
                None
            }
        }
    }

    /// Applies a changed leadership record. A lease on the basis of the store ends when the record shows a change.
    fn on_record(&self, service: Name, record: &LeadershipRecord) {
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            let known = state.leaders.get(&service);
            let unchanged = known.is_some_and(|leader| {
                *leader.server == *record.primary && leader.term.0 == record.term
            });
            // A lease on evidence may be of a later term than the record; it expires by itself.
            let ahead = known.is_some_and(|leader| leader.term.0 > record.term);
            if !ahead {
                let known = known.filter(|_| unchanged);
                let valid_until = known.map_or(now, |leader| leader.valid_until);
                // `planned` remains set after the change, until the first lease for the new primary is granted.
                let was_planned = state.leaders.get(&service).is_some_and(|leader| leader.planned);
                let planned = record.change.as_ref().map_or(was_planned, PrimaryChange::is_planned);
                let leader = GroupLeader {
                    server: Name::from(record.primary.as_str()),
                    term: Term(record.term),
                    valid_until,
                    basis: Basis::Store,
                    changing: record.change.is_some(),
                    planned,
                    history: Arc::new(TermHistory::new(record.starts.clone())),
                };
                Arc::make_mut(&mut state.leaders).insert(service.clone(), leader);
            }
        }
        log::info!(
            event = "leadership", service = &*service, primary = record.primary.as_str(),
            term = record.term, changing = record.change.is_some();
            "the leadership record changed"
        );
    }

    /// Acknowledges to the promoter that this daemon has stopped using the old primary.
    pub(crate) fn acknowledge_stop(&self, service: Name, change_id: String) {
        let lease = {
            let mut state = self.state.borrow_mut();
            if state.acknowledged.get(&service) == Some(&change_id) {
                return;
            }
            let Some(lease) = state.lease else { return };
            state.acknowledged.insert(service.clone(), change_id.clone());
            lease
        };
        let key = self.key(&format!("stopped/{service}/{}", self.settings.host));
        let transaction = Transaction {
            puts: vec![(key, Bytes::from(change_id), Some(lease.id))],
            ..Transaction::default()
        };
        self.queue_write(transaction, "acknowledge_stop");
    }
}
