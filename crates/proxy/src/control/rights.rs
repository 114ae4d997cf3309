//! The right to use primaries, by readings of the store: this daemon's own and those of its zone's reader.

use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use model::Name;
use tokio::net::TcpListener;

use crate::{
    catalog::CatalogFormat,
    control::{
        beliefs::Basis,
        peers::{OwnReading, ReadingAnswer, SharedReading, answer_askers, judge_answer},
        runner::{Control, MemberValue, Pause},
    },
    dialect::EndpointDialect,
    metadata::{Consistency, Item, MetadataStore, Revision, Snapshot},
    order::PromotionOrders,
};

/// How often another daemon is asked within the time between two readings of its own; an answer tells
/// of a reading that may be that old already.
const ASKS_PER_READING: u32 = 2;

impl<M, O, F, E> Control<M, O, F, E>
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    /// Renews the rights again and again, by a reading of the store or of another daemon.
    pub(crate) async fn refresh_loop(self: Rc<Self>) {
        let every = Duration::from_millis(self.settings.leadership.refresh_ms);
        let mut pause = Pause::default();
        loop {
            if self.refresh_by_peer().await {
                tokio::select! {
                    () = tokio::time::sleep(every / ASKS_PER_READING) => {}
                    () = self.refresh_now.notified() => {}
                }
                continue;
            }
            let asked_at = Instant::now();
            let prefix = self.key("");
            let timeout = self.read_timeout().min(self.right());
            let read = self.store.range(&prefix, Consistency::Linearizable, timeout).await;
            self.count_call("range", &read);
            match read {
                Ok(snapshot) => {
                    pause.reset();
                    self.on_own_snapshot(snapshot, asked_at);
                    let rest = every.saturating_sub(asked_at.elapsed());
                    tokio::select! {
                        () = tokio::time::sleep(rest) => {}
                        () = self.refresh_now.notified() => {}
                    }
                }
                Err(error) => {
                    log::info!(
                        event = "store_unreachable", call = "refresh",
                        why = error.to_string().as_str();
                        "the store did not answer"
                    );
                    pause.wait().await;
                }
            }
        }
    }

    /// Asks the daemon that reads the store for this zone; `false` if the store has to be read.
    pub(crate) async fn refresh_by_peer(&self) -> bool {
        let Some(reader) = self.zone_reader() else { return false };
        let sent_at = Instant::now();
        let Some(answer) = self.asker.ask(reader, &self.settings.host).await else {
            log::info!(
                event = "peer_silent", peer = reader.to_string().as_str();
                "the zone's reader did not answer and the store is read"
            );
            return false;
        };
        let known = self.record_revisions();
        match judge_answer(&answer, sent_at, self.right() / 2, &known) {
            SharedReading::Renews { asked_at, services } => {
                self.state.borrow_mut().last_read_at = Some(Instant::now());
                self.grant_rights(asked_at, Some(&services));
                self.publish();
                true
            }
            SharedReading::Useless => false,
        }
    }

    /// Returns the daemon of this zone that reads the store for the others; `None` if it is this one,
    /// which it also is while it holds the duty to promote.
    pub(crate) fn zone_reader(&self) -> Option<SocketAddr> {
        if self.held_duty().is_some() {
            return None;
        }
        let now = Instant::now();
        let prefix = self.key("members/");
        let state = self.state.borrow();
        let members = state.mirror.below(&prefix);
        let mut readers = members.filter_map(|item| {
            let value: MemberValue = serde_json::from_slice(&item.value).ok()?;
            let same_zone = value.availability_zone == *self.settings.availability_zone;
            let address = value.peer_address.filter(|_| same_zone)?;
            let host = &item.key[prefix.len()..];
            (!self.asker.is_silent(address, now)).then(|| (host.to_owned(), address))
        });
        // Members come in the order of their names, so that all choose the same one.
        let (host, address) = readers.next()?;
        (host != *self.settings.host).then_some(address)
    }

    /// Returns the leadership records that this daemon knows, by revision.
    pub(crate) fn record_revisions(&self) -> HashMap<Name, Revision> {
        let prefix = self.key("groups/");
        let state = self.state.borrow();
        let items = state.mirror.below(&prefix);
        items.map(|item| (Name::from(&item.key[prefix.len()..]), item.revision)).collect()
    }

    /// Returns what another daemon is told of this one's last reading.
    pub(crate) fn answer_peer(&self, host: &str) -> ReadingAnswer {
        let state = self.state.borrow();
        let reading = state.own_reading.as_ref();
        reading.map(|reading| reading.answer_to(host, Instant::now())).unwrap_or_default()
    }

    /// Takes over a reading of the daemons' own keys that was asked for at `asked_at`.
    pub(crate) fn on_own_snapshot(&self, snapshot: Snapshot, asked_at: Instant) {
        let reading = self.own_reading(&snapshot, asked_at);
        let before = self.state.borrow_mut().own_reading.replace(reading);
        let now = Instant::now();
        let is_member = snapshot.items.iter().any(|item| item.key == self.member_key());
        let changed = {
            let mut state = self.state.borrow_mut();
            let gap = before.is_none_or(|it| now.duration_since(it.asked_at) > self.right());
            if gap {
                // Members that came and went meanwhile were not seen; another's reading does not
                // tell of them.
                state.watching_since = Some(now);
            }
            state.last_read_at = Some(now);
            state.mirror.replace(snapshot)
        };
        self.on_own_keys(changed.iter().map(String::as_str));
        if is_member {
            self.grant_rights(asked_at, None);
        } else if self.is_key_gone() {
            self.rejoin.notify_one();
        }
        self.note_members(now);
        self.publish();
    }

    /// Returns the part of a reading that other daemons are told of.
    pub(crate) fn own_reading(&self, snapshot: &Snapshot, asked_at: Instant) -> OwnReading {
        let (members, groups) = (self.key("members/"), self.key("groups/"));
        let keys = snapshot.items.iter();
        let below = |prefix: &str, item: &Item| item.key.strip_prefix(prefix).map(str::to_owned);
        OwnReading {
            asked_at,
            members: keys.clone().filter_map(|item| below(&members, item)).collect(),
            records: keys
                .filter_map(|item| Some((Name::from(below(&groups, item)?), item.revision)))
                .collect(),
        }
    }

    /// Whoever promotes waits for every member, so only a member's reading gives a right. `services`
    /// are those that the reading speaks of; `None` for all.
    pub(crate) fn grant_rights(&self, asked_at: Instant, services: Option<&[Name]>) {
        let valid_until = asked_at + self.right();
        for (service, record) in self.records() {
            if services.is_some_and(|services| !services.contains(&service)) {
                continue;
            }
            let mut state = self.state.borrow_mut();
            let Some(lead) = state.leads.get_mut(&service) else { continue };
            if *lead.server == *record.primary && lead.term.0 == record.term && !lead.changing {
                if lead.valid_until < asked_at {
                    log::info!(
                        event = "right_gained", service = &*service, server = &*lead.server,
                        term = lead.term.0, basis = Basis::Store.as_str();
                        "a primary may be used"
                    );
                }
                lead.valid_until = lead.valid_until.max(valid_until);
                lead.basis = Basis::Store;
            }
        }
    }

    /// Tells other daemons of this one's readings.
    pub(crate) async fn peer_loop(self: Rc<Self>, listener: Option<std::net::TcpListener>) {
        let Some(listener) = listener else { return };
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                let control = self.clone();
                answer_askers(listener, move |host: &str| control.answer_peer(host)).await;
            }
            Err(error) => log::error!(
                event = "listen_failed", why = error.to_string().as_str();
                "other daemons can't be answered"
            ),
        }
    }
}
