//! What changes of the daemons' shared keys mean to this daemon.

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
        republish::BACKUP_CONFIGURATION_KEY,
        runner::Control,
        state::{MemberValue, SeenMember, State},
    },
    metadata::{Revision, Transaction},
};

/// How long a daemon counts among those that share the servers' connections after its key was last
/// seen: one that is cut off from the store keeps its connections, and a cut may last this long.
const MEMBER_LASTS: Duration = Duration::from_secs(20);

impl<P: Adapter> Control<P> {
    /// Notes when each member was last seen.
    pub(crate) fn note_members(&self, now: Instant) {
        let own_zone = &*self.settings.availability_zone;
        let mut state = self.state.borrow_mut();
        state.drop_lost_members(&self.key("members/"), now);
        let State { members, members_seen, .. } = &mut *state;
        for (host, member) in members {
            let is_near = member.availability_zone == own_zone;
            members_seen.insert(host.clone(), SeenMember { seen_at: now, is_near });
        }
        members_seen.retain(|_, member| now.duration_since(member.seen_at) < MEMBER_LASTS);
    }

    /// Takes over a change of a key that daemons share; returns the service if it is a leadership record, which
    /// [`Control::apply_records`] takes over with the others that changed at the same time.
    pub(crate) fn on_shared_key(&self, key: &str) -> Option<Name> {
        let rest = key.strip_prefix(&*self.settings.metadata.prefix)?;
        if let Some(service) = rest.strip_prefix("groups/") {
            return Some(Name::from(service));
        }
        if let Some(host) = rest.strip_prefix("members/") {
            self.on_member(key, host);
        } else if rest == BACKUP_CONFIGURATION_KEY {
            self.on_backup_configuration(key);
        } else if let Some(suspicion) = rest.strip_prefix("suspicions/") {
            self.note_own_suspicion(key);
            self.probe_suspected_server(key, suspicion);
        }
        None
    }

    /// Takes over that a member's key came, changed or went. One whose value can't be read, as of a later version,
    /// counts as a member of no zone and is not asked for anything.
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
                    "what a member says of itself can't be read"
                );
                MemberValue::default()
            }
        };
        state.members.insert(Name::from(host), Arc::new(member));
    }

    /// Takes over leadership records that changed, all of them before anything is published: a daemon that reads the
    /// records of a thousand groups would else make and publish its beliefs a thousand times.
    pub(crate) fn apply_records(&self, services: &[Name]) {
        let changed: Vec<(Name, Arc<VersionedRecord>)> = services
            .iter()
            .filter_map(|service| Some((service.clone(), self.read_record(service)?)))
            .collect();
        if changed.is_empty() {
            return;
        }
        for (service, known) in &changed {
            self.on_record(service.clone(), &known.record);
        }
        // The right is given up before the answer says so.
        self.publish();
        let mut is_settled = false;
        for (service, known) in changed {
            match &known.record.change {
                Some(change) => self.acknowledge_stop(service, change.id.clone()),
                None => is_settled = true,
            }
        }
        // Whoever is followed reads the store now and passes that on within milliseconds.
        if is_settled && self.upstream().is_none() {
            self.refresh_now.notify_one();
        }
    }

    /// Reads a leadership record as it lies in the mirror; `None` if there is none, or none that can be read. Where the
    /// store was restored to an earlier one, the one that is known goes on, to be written over what stands there.
    fn read_record(&self, service: &Name) -> Option<Arc<VersionedRecord>> {
        let stored = self.stored_record(service);
        let mut state = self.state.borrow_mut();
        let known = state.records.remove(service);
        let (before, now) = (known.as_ref().map(|it| &it.record), stored.as_ref());
        let counting = RecordSource::choose(before, now.map(|it| &it.record), state.mirror.era());
        let counts = match counting {
            RecordSource::Stored => {
                if let (Some(known), Some(stored)) = (before, &stored) {
                    self.tell_given_up(service, known, &stored.record);
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
        state.note_edition(service, &counts.record);
        let counts = Arc::new(counts);
        state.records.insert(service.clone(), counts.clone());
        Some(counts)
    }

    /// Tells the log where a daemon that was away knows of a later term than those knew who confirmed the record meanwhile.
    fn tell_given_up(&self, service: &Name, known: &LeadershipRecord, stored: &LeadershipRecord) {
        if known.era >= stored.era || known.term <= stored.term {
            return;
        }
        self.metrics.restores.with_label_values(&["given_up"]).inc();
        log::warn!(
            event = "record_given_up", service = &**service, known_term = known.term,
            term = stored.term, primary = stored.primary.as_str();
            "a term that the store lost was not known to those who confirmed who leads"
        );
    }

    /// Returns a leadership record as it lies in the mirror, if it can be read.
    pub(crate) fn stored_record(&self, service: &Name) -> Option<VersionedRecord> {
        let state = self.state.borrow();
        let item = state.mirror.get(&self.record_key(service))?;
        match serde_json::from_slice(&item.value) {
            Ok(record) => Some(VersionedRecord { record, revision: item.revision }),
            Err(error) => {
                log::error!(
                    event = "record_unreadable", service = &**service,
                    why = error.to_string().as_str();
                    "a leadership record can't be read"
                );
                None
            }
        }
    }

    /// Takes over a changed leadership record; the right by the store ends with the change it tells of.
    fn on_record(&self, service: Name, record: &LeadershipRecord) {
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            let known = state.leaders.get(&service);
            let unchanged = known
                .is_some_and(|lead| *lead.server == *record.primary && lead.term.0 == record.term);
            // A right by evidence may be of a later term than the record; it ends by itself.
            let ahead = known.is_some_and(|lead| lead.term.0 > record.term);
            if !ahead {
                let known = known.filter(|_| unchanged);
                let valid_until = known.map_or(now, |lead| lead.valid_until);
                // Once the change is over, the first right to the new primary ends the gap.
                let was_planned = state.leaders.get(&service).is_some_and(|lead| lead.planned);
                let planned = record.change.as_ref().map_or(was_planned, PrimaryChange::is_planned);
                let lead = GroupLeader {
                    server: Name::from(record.primary.as_str()),
                    term: Term(record.term),
                    valid_until,
                    basis: Basis::Store,
                    changing: record.change.is_some(),
                    planned,
                    history: Arc::new(TermHistory::new(record.starts.clone())),
                };
                Arc::make_mut(&mut state.leaders).insert(service.clone(), lead);
            }
        }
        log::info!(
            event = "leadership", service = &*service, primary = record.primary.as_str(),
            term = record.term, changing = record.change.is_some();
            "the leadership record changed"
        );
    }

    /// Tells whoever changes the primary that this daemon has stopped using the old one.
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
