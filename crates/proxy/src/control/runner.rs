//! The control thread: it watches the store, keeps this daemon's lease, renews the right to use
//! primaries and publishes what is believed.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use config::{LeadershipSettings, MetadataSettings};
use model::{Name, Term};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use session::TermHistory;
use tokio::{
    net::TcpListener,
    sync::{Notify, oneshot, watch},
};

use crate::{
    catalog::{Catalog, CatalogFormat},
    control::{
        beliefs::{Basis, Beliefs, Lead, Observation},
        evidence,
        mirror::Mirror,
        peers::{Asker, OwnReading, ReadingAnswer, SharedReading, answer_askers, judge_answer},
        record::LeadershipRecord,
        servers::ServerList,
    },
    dialect::EndpointDialect,
    events::ProxyMetrics,
    metadata::{
        Change, Consistency, Item, LeaseId, MetadataError, MetadataStore, Revision, Snapshot,
        Transaction, TransactionOutcome,
    },
    order::PromotionOrders,
    statement::{EndpointStatus, EndpointText},
};

/// The pause after a failed call, at first; it doubles with each failure, with jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// The longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How often another daemon is asked within the time between two readings of its own; an answer tells
/// of a reading that may be that old already.
const ASKS_PER_READING: u32 = 2;
/// Renewals of a lease within the time that it lasts, so that one may fail.
pub(crate) const RENEWALS_PER_LEASE: u32 = 3;
/// Askings for evidence within the time that it holds.
const EVIDENCE_PER_TERM: u32 = 2;

/// How long a daemon counts among those that share the servers' connections after its key was last
/// seen: one that is cut off from the store keeps its connections, and a cut may last this long.
const MEMBER_LASTS: Duration = Duration::from_secs(20);

/// What the control thread asks of the serving thread.
#[derive(Debug)]
pub enum Ask {
    /// Give a server a command, over the connections that sessions share.
    Command(CommandAsk),
    /// Find out whether a server that another daemon suspects can be reached from here.
    Probe {
        /// The service.
        service: Name,
        /// The server.
        server: Name,
    },
}

/// A command that is answered with the server's status.
#[derive(Debug)]
pub struct CommandAsk {
    /// The service.
    pub service: Name,
    /// The server.
    pub server: Name,
    /// The command.
    pub text: EndpointText,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Where the answer goes; dropped when there is none.
    pub answer: oneshot::Sender<EndpointStatus>,
}

/// What a member says of itself in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct MemberValue {
    availability_zone: String,
    /// Where other daemons ask it.
    peer_address: Option<SocketAddr>,
}

/// The lease of this daemon, under which its keys stand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    pub(crate) id: LeaseId,
    /// Counted from when the last renewal was sent, so it ends here before it ends in the store.
    pub(crate) valid_until: Instant,
}

/// What the tasks of the control thread share.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) mirror: Mirror,
    pub(crate) servers: ServerList,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) servers_known: bool,
    pub(crate) leads: HashMap<Name, Lead>,
    pub(crate) lease: Option<HeldLease>,
    /// The lease of the duty to promote, while this daemon holds the duty or tries to.
    pub(crate) duty_lease: Option<HeldLease>,
    /// This daemon's last reading of the store, for others.
    own_reading: Option<OwnReading>,
    /// When each other daemon was last known to be a member.
    pub(crate) members_seen: HashMap<String, Instant>,
    /// Since when members have been watched, which bounds what may have been missed.
    pub(crate) watching_since: Option<Instant>,
    pub(crate) last_read_at: Option<Instant>,
    member_put_at: Option<Instant>,
    /// Since when the recorded primary of a service has had no entry.
    pub(crate) primary_missing_since: HashMap<Name, Instant>,
    /// When the replicas of a service were last found too far behind for the reads there are.
    pub(crate) replicas_behind: HashMap<Name, Instant>,
    /// When this daemon last moved the lead of a service for that reason, or tried to.
    pub(crate) lead_moved: HashMap<Name, Instant>,
    acknowledged: HashMap<Name, String>,
    suspected: HashSet<(Name, Name)>,
    published_servers: Arc<HashMap<Name, Vec<Arc<crate::catalog::ServerEntry>>>>,
    servers_dirty: bool,
}

/// The settings of the control thread.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This daemon's host.
    pub host: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Where other daemons ask it; `None` if it shares nothing.
    pub peer_address: Option<SocketAddr>,
    /// The store.
    pub metadata: MetadataSettings,
    /// Who leads.
    pub leadership: LeadershipSettings,
}

/// The pieces from which the control thread is made.
pub struct ControlParts<M, O, F, E> {
    /// The settings.
    pub settings: ControlSettings,
    /// The store.
    pub store: M,
    /// Where promotions are ordered.
    pub orders: O,
    /// How the catalog is written.
    pub format: F,
    /// How servers speak.
    pub dialect: E,
    /// Where beliefs go.
    pub beliefs: watch::Sender<Arc<Beliefs>>,
    /// What the serving thread observes.
    pub observations: flume::Receiver<Observation>,
    /// Questions that the serving thread asks.
    pub asks: flume::Sender<Ask>,
    /// When the stop began: from then on the duty is left to others.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// Whether every caller has left: from then on nothing is needed any more.
    pub ended: watch::Receiver<bool>,
    /// Where other daemons connect.
    pub peer_listener: Option<std::net::TcpListener>,
    /// What is counted.
    pub metrics: ProxyMetrics,
}

/// The control thread's shared state and means.
pub struct Control<M, O, F, E> {
    pub(crate) settings: ControlSettings,
    pub(crate) store: M,
    pub(crate) orders: O,
    pub(crate) dialect: E,
    pub(crate) metrics: ProxyMetrics,
    pub(crate) state: RefCell<State>,
    /// Wakes whoever decides by the mirror.
    pub(crate) changed: Notify,
    pub(crate) changes_running: RefCell<BTreeSet<Name>>,
    pub(crate) change_count: Cell<u64>,
    format: F,
    beliefs: watch::Sender<Arc<Beliefs>>,
    observations: flume::Receiver<Observation>,
    pub(crate) asks: flume::Sender<Ask>,
    pub(crate) stopping: watch::Receiver<Option<Instant>>,
    refresh_now: Notify,
    asker: Asker,
    /// Wakes the lease loop when this daemon's key is found to be gone.
    rejoin: Notify,
    writes: (flume::Sender<PendingWrite>, flume::Receiver<PendingWrite>),
}

/// A write with what it is for.
type PendingWrite = (Transaction, &'static str);

/// Writes that may wait for the store at a time.
const MOST_PENDING_WRITES: usize = 64;

/// Runs the control thread's tasks until the daemon has stopped.
pub async fn run_control<M, O, F, E>(parts: ControlParts<M, O, F, E>)
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    let control = Rc::new(Control {
        settings: parts.settings,
        store: parts.store,
        orders: parts.orders,
        dialect: parts.dialect,
        metrics: parts.metrics,
        state: RefCell::default(),
        changed: Notify::new(),
        changes_running: RefCell::default(),
        change_count: Cell::new(0),
        format: parts.format,
        beliefs: parts.beliefs,
        observations: parts.observations,
        asks: parts.asks,
        stopping: parts.stopping,
        refresh_now: Notify::new(),
        asker: Asker::default(),
        rejoin: Notify::new(),
        writes: flume::bounded(MOST_PENDING_WRITES),
    });
    let mut ended = parts.ended;
    let work = async {
        tokio::join!(
            control.clone().watch_loop(),
            control.clone().refresh_loop(),
            control.clone().lease_loop(),
            control.clone().evidence_loop(),
            control.clone().observation_loop(),
            control.clone().duty_loop(),
            control.clone().write_loop(),
            control.clone().duty_lease_loop(),
            control.clone().peer_loop(parts.peer_listener),
        );
    };
    tokio::select! {
        () = work => {}
        // An error means that the serving thread is gone, which is an end too.
        _ = ended.wait_for(|ended| *ended) => {}
    }
    control.clone().stop().await;
}

impl<M, O, F, E> Control<M, O, F, E>
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    /// Returns a key below this installation's prefix.
    pub(crate) fn key(&self, rest: &str) -> String {
        format!("{}{rest}", self.settings.metadata.prefix)
    }

    pub(crate) fn member_key(&self) -> String {
        self.key(&format!("members/{}", self.settings.host))
    }

    pub(crate) fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.metadata.read_timeout_ms)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.metadata.write_timeout_ms)
    }

    pub(crate) fn right(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.right_ms)
    }

    pub(crate) fn evidence(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.evidence_ms)
    }

    pub(crate) fn count_call<T>(&self, kind: &str, result: &Result<T, MetadataError>) {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.store_calls.with_label_values(&[kind, outcome]).inc();
    }

    // --- What operators, servers and daemons write -------------------------------------------------

    /// Reads everything once, then follows the changes; starts over when a change may be missed.
    async fn watch_loop(self: Rc<Self>) {
        let mut pause = Pause::default();
        loop {
            match self.read_everything().await {
                Ok(revision) => {
                    pause.reset();
                    let error = self.follow(revision).await;
                    log::info!(
                        event = "watch_ended", why = error.to_string().as_str();
                        "the watch ended and everything is read again"
                    );
                }
                Err(error) => log::info!(
                    event = "store_unreachable", call = "read_everything",
                    why = error.to_string().as_str();
                    "the store did not answer"
                ),
            }
            pause.wait().await;
        }
    }

    async fn read_everything(&self) -> Result<Revision, MetadataError> {
        let timeout = self.read_timeout();
        // A range, for the revision at which it was read: the watch must begin there, since the
        // configuration may change before the servers are read.
        let key = self.format.configuration_key();
        let configuration = self.store.range(key, Consistency::Linearizable, timeout).await;
        self.count_call("range", &configuration);
        let configuration = configuration?;
        let prefix = self.format.servers_prefix();
        let servers = self.store.range(prefix, Consistency::Linearizable, timeout).await;
        self.count_call("range", &servers);
        let servers = servers?;
        let own = self.read_own_keys().await?;
        for item in configuration.items.iter().filter(|item| item.key == key) {
            self.on_configuration(item);
        }
        self.on_server_snapshot(&servers);
        self.publish();
        Ok(configuration.revision.min(servers.revision).min(own))
    }

    /// Reads the daemons' own keys, as the watch may have missed changes of them too.
    async fn read_own_keys(&self) -> Result<Revision, MetadataError> {
        let asked_at = Instant::now();
        let (prefix, timeout) = (self.key(""), self.read_timeout());
        let own = self.store.range(&prefix, Consistency::Linearizable, timeout).await;
        self.count_call("range", &own);
        let own = own?;
        let revision = own.revision;
        self.on_own_snapshot(own, asked_at);
        Ok(revision)
    }

    fn on_server_snapshot(&self, snapshot: &Snapshot) {
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            let present = |key: &str| snapshot.items.iter().any(|item| item.key == key);
            if state.servers.retain(&present, now) {
                state.servers_dirty = true;
            }
            state.servers_known = true;
            // A long time without the store may have made entries lapse that servers renew now.
            state.servers.restart_grace(now);
        }
        for item in &snapshot.items {
            self.on_server(item);
        }
    }

    /// Follows the changes until something goes wrong.
    async fn follow(&self, mut revision: Revision) -> MetadataError {
        let wait = Duration::from_millis(self.settings.metadata.watch_wait_ms);
        loop {
            // One watch over all keys costs one call where three prefixes would cost three.
            let changes = self.store.watch("", revision, wait).await;
            self.count_call("watch", &changes);
            let changes = match changes {
                Ok(changes) => changes,
                Err(error) => return error,
            };
            revision = revision.max(changes.revision);
            for change in changes.changes {
                self.on_change(change);
            }
            self.publish();
        }
    }

    fn on_change(&self, change: Change) {
        let key = match &change {
            Change::Put(item) => item.key.clone(),
            Change::Removed { key, .. } => key.clone(),
        };
        if key.starts_with(&*self.settings.metadata.prefix) {
            if self.state.borrow_mut().mirror.apply(change) {
                self.on_own_keys(std::iter::once(key.as_str()));
            }
            return;
        }
        match change {
            Change::Put(item) if key == self.format.configuration_key() => {
                self.on_configuration(&item);
            }
            Change::Put(item) if key.starts_with(self.format.servers_prefix()) => {
                self.on_server(&item);
            }
            Change::Removed { key, .. } if key.starts_with(self.format.servers_prefix()) => {
                let mut state = self.state.borrow_mut();
                if state.servers.remove(&key, Instant::now()) {
                    state.servers_dirty = true;
                }
            }
            Change::Put(_) | Change::Removed { .. } => {}
        }
    }

    fn on_configuration(&self, item: &Item) {
        let catalog = match self.format.decode_configuration(&item.value) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::error!(
                    event = "configuration_unreadable", revision = item.revision,
                    why = error.to_string().as_str();
                    "a configuration can't be read; the present one stays in force"
                );
                return;
            }
        };
        let mut state = self.state.borrow_mut();
        if catalog.version <= state.catalog.version {
            return;
        }
        log::info!(
            event = "configuration", version = catalog.version, before = state.catalog.version,
            routes = catalog.routes.len(), services = catalog.services.len();
            "a configuration is in force"
        );
        state.catalog = Arc::new(catalog);
    }

    fn on_server(&self, item: &Item) {
        match self.format.decode_server(&item.key, &item.value) {
            Ok(entry) => {
                let mut state = self.state.borrow_mut();
                let (server, leaving, leads) =
                    (entry.server.clone(), entry.leaving, entry.claims_lead);
                if state.servers.put(&item.key, entry) {
                    state.servers_dirty = true;
                    log::info!(
                        event = "server", server = &*server, leaving = leaving,
                        claims_lead = leads, revision = item.revision;
                        "a server's entry changed"
                    );
                }
            }
            Err(error) => log::warn!(
                event = "server_unreadable", key = item.key.as_str(),
                why = error.to_string().as_str();
                "a server's entry can't be read and is passed over"
            ),
        }
    }

    /// Publishes what is believed now.
    pub(crate) fn publish(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let grace = Duration::from_millis(self.settings.leadership.lapse_grace_ms);
        for server in state.servers.expire(grace, now) {
            log::info!(event = "server_gone", server = &*server; "a server's entry stayed away");
            state.servers_dirty = true;
        }
        if state.servers_dirty {
            state.published_servers = Arc::new(state.servers.by_service());
            state.servers_dirty = false;
        }
        let members = state.members_seen.len().max(1);
        self.metrics.now.with_label_values(&["members"]).set(members as i64);
        self.metrics
            .now
            .with_label_values(&["configuration_version"])
            .set(state.catalog.version as i64);
        let beliefs = Beliefs {
            catalog: state.catalog.clone(),
            servers: state.published_servers.clone(),
            leads: Arc::new(state.leads.clone()),
            members: members as u32,
            servers_known: state.servers_known,
        };
        drop(state);
        self.beliefs.send_replace(Arc::new(beliefs));
    }

    // --- The right to use primaries ----------------------------------------------------------------

    /// Renews the rights again and again, by a reading of the store or of another daemon.
    async fn refresh_loop(self: Rc<Self>) {
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
    async fn refresh_by_peer(&self) -> bool {
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
    fn zone_reader(&self) -> Option<SocketAddr> {
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

    fn record_revisions(&self) -> HashMap<Name, Revision> {
        let prefix = self.key("groups/");
        let state = self.state.borrow();
        let items = state.mirror.below(&prefix);
        items.map(|item| (Name::from(&item.key[prefix.len()..]), item.revision)).collect()
    }

    /// Returns what another daemon is told of this one's last reading.
    fn answer_peer(&self, host: &str) -> ReadingAnswer {
        let state = self.state.borrow();
        let reading = state.own_reading.as_ref();
        reading.map(|reading| reading.answer_to(host, Instant::now())).unwrap_or_default()
    }

    fn on_own_snapshot(&self, snapshot: Snapshot, asked_at: Instant) {
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

    fn own_reading(&self, snapshot: &Snapshot, asked_at: Instant) -> OwnReading {
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
    fn grant_rights(&self, asked_at: Instant, services: Option<&[Name]>) {
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

    fn note_members(&self, now: Instant) {
        let prefix = self.key("members/");
        let mut state = self.state.borrow_mut();
        let hosts: Vec<String> =
            state.mirror.below(&prefix).map(|item| item.key[prefix.len()..].to_owned()).collect();
        for host in hosts {
            state.members_seen.insert(host, now);
        }
        let lasting = MEMBER_LASTS;
        state.members_seen.retain(|_, seen| now.duration_since(*seen) < lasting);
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

    /// Takes over changes of the keys that daemons share.
    fn on_own_keys<'a>(&self, keys: impl Iterator<Item = &'a str>) {
        let prefix = self.key("groups/");
        let suspicions = self.key("suspicions/");
        let mut touched: Vec<Name> = Vec::new();
        for key in keys {
            if let Some(service) = key.strip_prefix(&*prefix) {
                touched.push(Name::from(service));
            }
            if let Some(suspicion) = key.strip_prefix(&*suspicions) {
                self.look_at_suspicion(key, suspicion);
            }
        }
        for (service, record) in self.records() {
            if touched.contains(&service) {
                self.on_record(service, &record);
            }
        }
        self.note_members(Instant::now());
        self.changed.notify_waiters();
    }

    fn on_record(&self, service: Name, record: &LeadershipRecord) {
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
                let known_since = known.map_or(now, |lead| lead.known_since);
                let lead = Lead {
                    server: Name::from(record.primary.as_str()),
                    term: Term(record.term),
                    valid_until,
                    basis: Basis::Store,
                    changing: record.change.is_some(),
                    known_since,
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
            None => self.refresh_now.notify_one(),
        }
    }

    /// Tells whoever changes the primary that this daemon has stopped using the old one.
    fn acknowledge_stop(&self, service: Name, change_id: String) {
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

    /// Tells other daemons of this one's readings.
    async fn peer_loop(self: Rc<Self>, listener: Option<std::net::TcpListener>) {
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

    // --- Membership --------------------------------------------------------------------------------

    async fn lease_loop(self: Rc<Self>) {
        let lasts = Duration::from_millis(self.settings.metadata.lease_ms);
        let mut pause = Pause::default();
        loop {
            let held = self.state.borrow().lease;
            let outcome = match held {
                Some(lease) => self.renew(lease, lasts).await,
                None => self.join(lasts).await,
            };
            match outcome {
                Ok(()) => {
                    pause.reset();
                    tokio::select! {
                        () = tokio::time::sleep(lasts / RENEWALS_PER_LEASE) => {}
                        () = self.rejoin.notified() => {}
                    }
                }
                Err(error) => {
                    log::info!(
                        event = "store_unreachable", call = "lease",
                        why = error.to_string().as_str();
                        "the lease was not renewed"
                    );
                    pause.wait().await;
                }
            }
        }
    }

    async fn join(&self, lasts: Duration) -> Result<(), MetadataError> {
        let sent_at = Instant::now();
        let granted = self.store.grant(lasts, self.write_timeout()).await;
        self.count_call("grant", &granted);
        let id = granted?;
        self.put_member(id).await?;
        let mut state = self.state.borrow_mut();
        state.lease = Some(HeldLease { id, valid_until: sent_at + lasts });
        state.acknowledged.clear();
        drop(state);
        log::info!(event = "joined", lease = id.0; "this daemon is a member");
        self.refresh_now.notify_one();
        Ok(())
    }

    /// Whether a reading after the member key was written shows that it is gone, as when the store
    /// took it away although the lease stands.
    fn is_key_gone(&self) -> bool {
        let state = self.state.borrow();
        let read_since = state.last_read_at > state.member_put_at;
        read_since && state.mirror.get(&self.member_key()).is_none()
    }

    fn member_value(&self) -> Bytes {
        let value = MemberValue {
            availability_zone: self.settings.availability_zone.to_string(),
            peer_address: self.settings.peer_address,
        };
        Bytes::from(serde_json::to_vec(&value).expect("a member's value is plain data"))
    }

    async fn put_member(&self, id: LeaseId) -> Result<(), MetadataError> {
        let transaction = Transaction {
            puts: vec![(self.member_key(), self.member_value(), Some(id))],
            ..Transaction::default()
        };
        let put = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &put);
        match put? {
            TransactionOutcome::Done(_) => {
                self.state.borrow_mut().member_put_at = Some(Instant::now());
                Ok(())
            }
            TransactionOutcome::Conflict | TransactionOutcome::LeaseOver => {
                Err(MetadataError::NotDone("the lease was over at once".to_owned()))
            }
        }
    }

    async fn renew(&self, lease: HeldLease, lasts: Duration) -> Result<(), MetadataError> {
        let sent_at = Instant::now();
        let renewed = self.store.renew(lease.id, self.read_timeout()).await;
        self.count_call("renew", &renewed);
        match renewed {
            Ok(true) => {
                let lease = HeldLease { valid_until: sent_at + lasts, ..lease };
                self.state.borrow_mut().lease = Some(lease);
                if self.is_key_gone() {
                    log::info!(event = "member_key_gone"; "this daemon's key is written again");
                    self.put_member(lease.id).await?;
                    self.refresh_now.notify_one();
                }
                Ok(())
            }
            Ok(false) => {
                log::info!(event = "lease_lost", lease = lease.id.0; "the lease was over");
                self.state.borrow_mut().lease = None;
                self.join(lasts).await
            }
            Err(error) => {
                if Instant::now() >= lease.valid_until {
                    self.state.borrow_mut().lease = None;
                }
                Err(error)
            }
        }
    }

    // --- Evidence ----------------------------------------------------------------------------------

    /// While the store is silent, asks the servers themselves who leads.
    async fn evidence_loop(self: Rc<Self>) {
        let every = self.evidence() / EVIDENCE_PER_TERM;
        loop {
            tokio::time::sleep(every).await;
            let silent = {
                let state = self.state.borrow();
                let patience = Duration::from_millis(self.settings.leadership.refresh_ms) * 2;
                state.last_read_at.is_none_or(|at| at.elapsed() > patience)
            };
            if !silent {
                continue;
            }
            let services: Vec<Name> =
                self.state.borrow().published_servers.keys().cloned().collect();
            let asked = services.into_iter().map(|service| self.ask_for_evidence(service));
            join_all(asked).await;
            self.publish();
        }
    }

    async fn ask_for_evidence(&self, service: Name) {
        let asked_at = Instant::now();
        let deadline = asked_at + self.evidence().mul_f64(0.75);
        let servers: Vec<Name> = {
            let state = self.state.borrow();
            let entries = state.published_servers.get(&service);
            entries.into_iter().flatten().map(|entry| entry.server.clone()).collect()
        };
        let statuses = self.ask_statuses(&service, &servers, deadline).await;
        let mut state = self.state.borrow_mut();
        let known_term = state.leads.get(&service).map_or(Term(0), |lead| lead.term);
        let Some(found) = evidence::judge(&statuses, servers.len(), known_term) else { return };
        let valid_until = asked_at + self.evidence();
        let known = state.leads.get(&service);
        if known.is_none_or(|lead| !lead.is_valid(asked_at)) {
            log::info!(
                event = "right_gained", service = &*service, server = &*found.server,
                term = found.term.0, basis = Basis::Evidence.as_str(), answers = statuses.len();
                "a primary may be used by the word of a majority"
            );
        }
        let same = known.filter(|lead| lead.server == found.server && lead.term == found.term);
        let known_since = same.map_or(asked_at, |lead| lead.known_since);
        let still = same.filter(|lead| !lead.changing).map(|lead| lead.valid_until);
        let history = known.map(|lead| lead.history.clone()).unwrap_or_default();
        let lead = Lead {
            server: found.server,
            term: found.term,
            valid_until: still.map_or(valid_until, |until| until.max(valid_until)),
            basis: Basis::Evidence,
            changing: false,
            known_since,
            history,
        };
        state.leads.insert(service, lead);
    }

    async fn ask_statuses(
        &self,
        service: &Name,
        servers: &[Name],
        deadline: Instant,
    ) -> Vec<(Name, EndpointStatus)> {
        let mut waiting = Vec::new();
        for server in servers {
            let (answer, answered) = oneshot::channel();
            let ask = CommandAsk {
                service: service.clone(),
                server: server.clone(),
                text: EndpointText::Status,
                deadline,
                answer,
            };
            // A full ring means that the serving thread is behind; this round goes without it.
            if self.asks.try_send(Ask::Command(ask)).is_ok() {
                waiting.push((server.clone(), answered));
            }
        }
        let mut statuses = Vec::new();
        for (server, answered) in waiting {
            if let Ok(Ok(status)) = tokio::time::timeout_at(deadline.into(), answered).await {
                statuses.push((server, status));
            }
        }
        statuses
    }

    /// Has a server looked at that another daemon suspects: one daemon alone may be wrong, and the
    /// others may have no reason of their own to notice.
    fn look_at_suspicion(&self, key: &str, suspicion: &str) {
        if self.state.borrow().mirror.get(key).is_none() {
            return;
        }
        let mut parts = suspicion.split('/');
        let (Some(service), Some(server)) = (parts.next(), parts.next()) else { return };
        let ask = Ask::Probe { service: Name::from(service), server: Name::from(server) };
        // A full ring means that the serving thread is behind; its own traffic will show it.
        let _ = self.asks.try_send(ask);
    }

    // --- Suspicion ---------------------------------------------------------------------------------

    /// Tells the other daemons which primaries this one can't reach.
    async fn observation_loop(self: Rc<Self>) {
        while let Ok(observation) = self.observations.recv_async().await {
            let (service, server, reachable) = match observation {
                Observation::Reachability { service, server, reachable } => {
                    (service, server, reachable)
                }
                Observation::ReplicasBehind { service } => {
                    self.state.borrow_mut().replicas_behind.insert(service, Instant::now());
                    continue;
                }
            };
            let pair = (service.clone(), server.clone());
            let lease = {
                let mut state = self.state.borrow_mut();
                let changed = if reachable {
                    state.suspected.remove(&pair)
                } else {
                    state.suspected.insert(pair)
                };
                if !changed {
                    continue;
                }
                state.lease
            };
            let Some(lease) = lease else { continue };
            let key = self.key(&format!("suspicions/{service}/{server}/{}", self.settings.host));
            let transaction = if reachable {
                Transaction { removes: vec![key], ..Transaction::default() }
            } else {
                let put = (key, Bytes::from_static(b"{}"), Some(lease.id));
                Transaction { puts: vec![put], ..Transaction::default() }
            };
            self.write_soon(transaction, "suspicion");
        }
    }

    /// Starts a write whose failure costs time and nothing else.
    fn write_soon(&self, transaction: Transaction, what: &'static str) {
        // A full ring means that the store has been silent for long; a later reading makes up for it.
        if self.writes.0.try_send((transaction, what)).is_err() {
            log::warn!(event = "write_dropped", what = what; "too many writes wait for the store");
        }
    }

    /// Carries those writes out, each as soon as it comes.
    async fn write_loop(self: Rc<Self>) {
        while let Ok((transaction, what)) = self.writes.1.recv_async().await {
            let written = self.store.commit(&transaction, self.write_timeout()).await;
            self.count_call("commit", &written);
            if let Err(error) = written {
                log::info!(
                    event = "write_failed", what = what, why = error.to_string().as_str();
                    "a write to the store may not have been done"
                );
            }
        }
    }

    /// Gives up what this daemon holds, so that others need not wait for it to run out.
    async fn stop(self: Rc<Self>) {
        let leases = {
            let mut state = self.state.borrow_mut();
            [state.duty_lease.take(), state.lease.take()]
        };
        for lease in leases.into_iter().flatten() {
            let ended = self.store.revoke(lease.id, self.read_timeout()).await;
            self.count_call("revoke", &ended);
            if let Err(error) = ended {
                log::info!(
                    event = "lease_not_ended", why = error.to_string().as_str();
                    "the lease was not ended and runs out by itself"
                );
            }
        }
    }
}

/// A pause that grows with each failure, with jitter so that daemons do not move in step.
#[derive(Default)]
pub(crate) struct Pause {
    failures: u32,
}

impl Pause {
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(crate) async fn wait(&mut self) {
        let longest = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(LONGEST_PAUSE);
        self.failures += 1;
        let part: f64 = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(longest.mul_f64(part)).await;
    }
}

/// Waits for all futures on this task.
pub(crate) async fn join_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut waiting: Vec<_> = futures.into_iter().map(|future| (Box::pin(future), None)).collect();
    std::future::poll_fn(|context| {
        let mut done = true;
        for (future, output) in &mut waiting {
            if output.is_none() {
                match future.as_mut().poll(context) {
                    std::task::Poll::Ready(value) => *output = Some(value),
                    std::task::Poll::Pending => done = false,
                }
            }
        }
        if done { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
    waiting.into_iter().filter_map(|(_, output)| output).collect()
}
