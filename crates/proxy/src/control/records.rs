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
        beliefs::{Basis, Lead},
        outside::Outside,
        record::{LeadershipRecord, PrimaryChange},
        runner::{Ask, Control, MemberValue, SeenMember},
    },
    metadata::Transaction,
};

/// How long a daemon counts among those that share the servers' connections after its key was last
/// seen: one that is cut off from the store keeps its connections, and a cut may last this long.
const MEMBER_LASTS: Duration = Duration::from_secs(20);

impl<P: Outside> Control<P> {
    /// Notes when each member was last seen.
    pub(crate) fn note_members(&self, now: Instant) {
        let prefix = self.key("members/");
        let mut state = self.state.borrow_mut();
        let own_zone = &*self.settings.availability_zone;
        let members: Vec<(String, SeenMember)> = state
            .mirror
            .below(&prefix)
            .map(|item| {
                let host = item.key[prefix.len()..].to_owned();
                // A value that can't be read still counts as a member, of whatever zone.
                let value = serde_json::from_slice::<MemberValue>(&item.value).ok();
                let is_near = value.is_some_and(|value| value.availability_zone == own_zone);
                (host, SeenMember { seen_at: now, is_near })
            })
            .collect();
        state.members_seen.extend(members);
        state.members_seen.retain(|_, member| now.duration_since(member.seen_at) < MEMBER_LASTS);
    }

    /// Returns every leadership record that can be read.
    pub(crate) fn records(&self) -> Vec<(Name, LeadershipRecord)> {
        let prefix = self.key("groups/");
        let state = self.state.borrow();
        let items = state.mirror.below(&prefix);
        items
            .filter_map(|item| {
                let service = Name::from(&item.key[prefix.len()..]);
                match serde_json::from_slice(&item.value) {
                    Ok(record) => Some((service, record)),
                    Err(error) => {
                        log::error!(
                            event = "record_unreadable", service = &*service,
                            why = error.to_string().as_str();
                            "a leadership record can't be read"
                        );
                        None
                    }
                }
            })
            .collect()
    }

    /// Takes over a change of a key that daemons share.
    pub(crate) fn on_own_key(&self, key: &str) {
        if let Some(service) = key.strip_prefix(&*self.key("groups/")) {
            let service = Name::from(service);
            if let Some(known) = self.known_record(&service) {
                self.on_record(service, &known.record);
            }
        } else if let Some(suspicion) = key.strip_prefix(&*self.key("suspicions/")) {
            self.look_at_suspicion(key, suspicion);
        }
    }

    /// Takes over a changed leadership record; the right by the store ends with the change it tells of.
    pub(crate) fn on_record(&self, service: Name, record: &LeadershipRecord) {
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            let known = state.leads.get(&service);
            let unchanged = known
                .is_some_and(|lead| *lead.server == *record.primary && lead.term.0 == record.term);
            // A right by evidence may be of a later term than the record; it ends by itself.
            let ahead = known.is_some_and(|lead| lead.term.0 > record.term);
            if !ahead {
                let known = known.filter(|_| unchanged);
                let valid_until = known.map_or(now, |lead| lead.valid_until);
                // Once the change is over, the first right to the new primary ends the gap.
                let was_planned = state.leads.get(&service).is_some_and(|lead| lead.planned);
                let planned = record.change.as_ref().map_or(was_planned, PrimaryChange::is_planned);
                let lead = Lead {
                    server: Name::from(record.primary.as_str()),
                    term: Term(record.term),
                    valid_until,
                    basis: Basis::Store,
                    changing: record.change.is_some(),
                    planned,
                    history: Arc::new(TermHistory::new(record.starts.clone())),
                };
                state.leads.insert(service.clone(), lead);
            }
        }
        log::info!(
            event = "leadership", service = &*service, primary = record.primary.as_str(),
            term = record.term, changing = record.change.is_some();
            "the leadership record changed"
        );
        // The right is given up before the answer says so.
        self.publish();
        match &record.change {
            Some(change) => self.acknowledge_stop(service, change.id.clone()),
            // Whoever is followed reads the store now and passes that on within milliseconds.
            None if self.zone_reader().is_some() => {}
            None => self.refresh_now.notify_one(),
        }
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
        self.write_soon(transaction, "acknowledge_stop");
    }

    /// Has a server looked at that another daemon suspects: one daemon alone may be wrong, and the
    /// others may have no reason of their own to notice.
    pub(crate) fn look_at_suspicion(&self, key: &str, suspicion: &str) {
        if self.state.borrow().mirror.get(key).is_none() {
            return;
        }
        let mut parts = suspicion.split('/');
        let (Some(service), Some(server)) = (parts.next(), parts.next()) else { return };
        let ask = Ask::Probe { service: Name::from(service), server: Name::from(server) };
        // A full ring means that the serving thread is behind; its own traffic will show it.
        let _ = self.asks.try_send(ask);
    }
}
