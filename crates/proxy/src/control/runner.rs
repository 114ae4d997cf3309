//! The control thread: it watches the store, keeps this daemon's lease, renews the right to use
//! primaries and publishes what is believed.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use config::{LeadershipSettings, MetadataSettings};
use model::Name;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot, watch};

use crate::{
    catalog::Catalog,
    control::{
        beliefs::{Beliefs, Detours, Lead, Observation, Owners},
        change::{Reason, VersionedRecord},
        following::HeardOf,
        knowledge::{Knowledge, Sighting},
        mirror::Mirror,
        outside::Outside,
        packing::Packer,
        peer_link::{Asker, HandedOver},
        peers::{Evidence, PrimarySample, StoreReading},
        servers::{ServerList, ServersByService},
    },
    events::ProxyMetrics,
    metadata::{LeaseId, MetadataError, Revision, Transaction},
    serve::share::Sharers,
    statement::{EndpointStatus, EndpointText},
};

/// The pause after a failed call, at first; it doubles with each failure, with jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// The longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How much longer the pauses of a daemon are that follows the store through another one, which tries too and
/// passes on what it reads: a store that is away for five seconds was asked 3,000 times by 295 daemons, a quarter
/// of all calls of that day.
const FOLLOWER_PAUSES: u32 = 4;
/// The same while that one answers, so that it is heard of at once when the store is back.
const LISTENER_PAUSES: u32 = 8;
/// How long after an answer the daemon that is followed counts as one that answers; a little more than a question
/// may wait there.
const ANSWERED_WITHIN: Duration = Duration::from_secs(1);
/// Renewals of a lease within the time that it lasts, so that one may fail.
pub(crate) const RENEWALS_PER_LEASE: u32 = 3;

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
    /// Run what another daemon hands over on this link.
    Relay(HandedOver),
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
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MemberValue {
    pub(crate) availability_zone: String,
    /// Where other daemons ask it.
    pub(crate) peer_address: Option<SocketAddr>,
}

/// Another daemon, as it was last seen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeenMember {
    pub(crate) seen_at: Instant,
    /// Whether it stands in this daemon's zone.
    pub(crate) is_near: bool,
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
    /// How old what the mirror holds may be.
    pub(crate) knowledge: Knowledge,
    pub(crate) servers: ServerList,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) servers_known: bool,
    pub(crate) leads: Arc<HashMap<Name, Lead>>,
    /// Every leadership record that can be read, by service.
    pub(crate) records: HashMap<Name, Arc<VersionedRecord>>,
    /// Every daemon that has a key, by host.
    pub(crate) members: BTreeMap<Name, Arc<MemberValue>>,
    /// Rises whenever those change.
    pub(crate) members_version: u64,
    /// When callers of this daemon last asked for a service.
    pub(crate) used_at: HashMap<Name, Instant>,
    pub(crate) lease: Option<HeldLease>,
    /// The lease of the duty to promote, while this daemon holds the duty or tries to.
    pub(crate) duty_lease: Option<HeldLease>,
    /// When this daemon itself last asked for a reading of the store.
    pub(crate) own_read_at: Option<Instant>,
    /// The youngest reading of the store, by whomever.
    pub(crate) reading: Option<StoreReading>,
    /// How many there were.
    pub(crate) reading_number: u64,
    /// Every change of the daemons' own keys up to here is known.
    pub(crate) own_followed_to: Revision,
    /// The latest change that those who follow the store through this daemon should hear of at once.
    pub(crate) urgent_to: Revision,
    /// Who leads by the word of a majority of the servers, for others.
    pub(crate) evidence: Vec<Evidence>,
    /// A number that rises with each change of that.
    pub(crate) evidence_number: u64,
    /// When the last shared reading that was of use here was asked for.
    pub(crate) shared_reading_at: Option<Instant>,
    pub(crate) heard_of: HeardOf,
    /// The latest sample of each primary's log that a daemon of the zone took.
    pub(crate) samples: Arc<HashMap<Name, PrimarySample>>,
    /// When another zone was last asked for such samples.
    pub(crate) samples_asked_at: Option<Instant>,
    /// When each other daemon was last known to be a member.
    pub(crate) members_seen: HashMap<Name, SeenMember>,
    /// Since when members have been watched, which bounds what may have been missed.
    pub(crate) watching_since: Option<Instant>,
    pub(crate) last_read_at: Option<Instant>,
    pub(crate) member_put_at: Option<Instant>,
    /// Since when the recorded primary of a service has had no entry.
    pub(crate) primary_missing_since: HashMap<Name, Instant>,
    /// When the replicas of a service were last found too far behind for the reads there are.
    pub(crate) replicas_behind: HashMap<Name, Instant>,
    /// When the holder of the duty was last told so by this daemon.
    pub(crate) behind_told: HashMap<Name, Instant>,
    /// When this daemon last moved the lead of a service for that reason.
    pub(crate) lead_moved: HashMap<Name, Instant>,
    /// When it last looked whether a replica could take the lead over for that reason.
    pub(crate) lead_checked: HashMap<Name, Instant>,
    pub(crate) acknowledged: HashMap<Name, String>,
    /// Servers that this daemon can't reach, and when it last tried.
    pub(crate) suspected: HashMap<(Name, Name), Instant>,
    /// When the store was last found again after a time without it.
    pub(crate) store_back_at: Option<Instant>,
    pub(crate) published_servers: Arc<ServersByService>,
    pub(crate) published_detours: Arc<Detours>,
    pub(crate) published_owners: Arc<Owners>,
    /// Of which members those are.
    pub(crate) owners_of_members: Option<u64>,
    /// Availability zones that have members.
    pub(crate) zones: u32,
}

impl State {
    /// Whether no reading of the store has come for so long.
    pub(crate) fn is_store_silent(&self, patience: Duration) -> bool {
        self.last_read_at.is_none_or(|at| at.elapsed() > patience)
    }

    /// Notes a reading of the store; `true` if it is the first one after a time without any.
    pub(crate) fn note_read(&mut self, now: Instant, patience: Duration) -> bool {
        let is_back = self.is_store_silent(patience);
        if is_back {
            self.store_back_at = Some(now);
        }
        self.last_read_at = Some(now);
        is_back
    }

    /// Notes that every change up to a revision is known.
    pub(crate) fn note_followed(&mut self, revision: Revision) {
        self.mirror.note_followed(revision);
        self.knowledge.note_followed(self.mirror.followed_to());
    }

    /// Notes which revision the store stood at, by any reading, whether it gives a right or not.
    pub(crate) fn note_sighting(&mut self, reading: &StoreReading) {
        let seen = Sighting { revision: reading.revision, asked_at: reading.asked_at };
        self.knowledge.note_reading(seen, self.mirror.followed_to());
    }

    /// Keeps a reading for others if it is the youngest.
    pub(crate) fn keep_reading(&mut self, reading: StoreReading) {
        if self.reading.is_none_or(|known| known.asked_at < reading.asked_at) {
            self.reading = Some(reading);
            self.reading_number += 1;
        }
    }

    /// Keeps evidence for others if it is the youngest of its service.
    pub(crate) fn keep_evidence(&mut self, evidence: &Evidence) {
        let known = self.evidence.iter().position(|it| it.service == evidence.service);
        match known {
            Some(place) if self.evidence[place].asked_at >= evidence.asked_at => return,
            Some(place) => self.evidence[place] = evidence.clone(),
            None => self.evidence.push(evidence.clone()),
        }
        self.evidence_number += 1;
    }
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
pub struct ControlParts<P: Outside> {
    /// The settings.
    pub settings: ControlSettings,
    /// The store.
    pub store: P::Store,
    /// Where promotions are ordered.
    pub orders: P::Orders,
    /// How the catalog is written.
    pub format: P::Format,
    /// How servers speak.
    pub dialect: P::Dialect,
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
pub struct Control<P: Outside> {
    pub(crate) settings: ControlSettings,
    pub(crate) store: P::Store,
    pub(crate) orders: P::Orders,
    pub(crate) dialect: P::Dialect,
    pub(crate) metrics: ProxyMetrics,
    pub(crate) state: RefCell<State>,
    /// Wakes whoever decides by the mirror.
    pub(crate) changed: Notify,
    /// Wakes the answers to daemons that follow the store through this one.
    pub(crate) news: Notify,
    /// Changes of primary that this daemon makes now, with their reasons.
    pub(crate) changes_running: RefCell<BTreeMap<Name, Reason>>,
    pub(crate) change_count: Cell<u64>,
    pub(crate) format: P::Format,
    pub(crate) beliefs: watch::Sender<Arc<Beliefs>>,
    pub(crate) observations: flume::Receiver<Observation>,
    pub(crate) asks: flume::Sender<Ask>,
    pub(crate) stopping: watch::Receiver<Option<Instant>>,
    pub(crate) refresh_now: Notify,
    /// Says that this daemon has become a member, and that everything has been read, for the first time.
    pub(crate) has_joined: Notify,
    pub(crate) has_read: Notify,
    pub(crate) asker: Asker,
    pub(crate) packer: Packer,
    /// A number of this life of the daemon, and when it began.
    pub(crate) life: u64,
    pub(crate) epoch: Instant,
    /// Wakes the lease loop when this daemon's key is found to be gone.
    pub(crate) rejoin: Notify,
    pub(crate) writes: (flume::Sender<PendingWrite>, flume::Receiver<PendingWrite>),
}

/// A write with what it is for.
pub(crate) type PendingWrite = (Transaction, &'static str);

/// Writes that may wait for the store at a time.
const MOST_PENDING_WRITES: usize = 64;

/// Runs the control thread's tasks until the daemon has stopped.
pub async fn run_control<P: Outside>(parts: ControlParts<P>) {
    let control = Rc::new(Control::<P> {
        settings: parts.settings,
        store: parts.store,
        orders: parts.orders,
        dialect: parts.dialect,
        metrics: parts.metrics,
        state: RefCell::default(),
        changed: Notify::new(),
        news: Notify::new(),
        changes_running: RefCell::default(),
        change_count: Cell::new(0),
        format: parts.format,
        beliefs: parts.beliefs,
        observations: parts.observations,
        asks: parts.asks,
        stopping: parts.stopping,
        refresh_now: Notify::new(),
        has_joined: Notify::new(),
        has_read: Notify::new(),
        asker: Asker::default(),
        packer: Packer::default(),
        life: rand::rng().random(),
        epoch: Instant::now(),
        rejoin: Notify::new(),
        writes: flume::bounded(MOST_PENDING_WRITES),
    });
    let mut ended = parts.ended;
    let work = async {
        tokio::join!(
            control.clone().watch_loop(),
            control.clone().catch_up_loop(),
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

impl<P: Outside> Control<P> {
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

    pub(crate) fn whole_read_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.metadata.whole_read_timeout_ms)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.metadata.write_timeout_ms)
    }

    pub(crate) fn right(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.right_ms)
    }

    /// How long no reading may come before the store counts as silent.
    pub(crate) fn patience(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.refresh_ms) * 2
    }

    pub(crate) fn evidence(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.evidence_ms)
    }

    /// Whether the daemon that this one follows the store through answered a moment ago.
    pub(crate) fn does_reader_answer(&self) -> bool {
        let heard_of = self.state.borrow().heard_of;
        heard_of.clock.is_some_and(|(_, heard_at)| heard_at.elapsed() < ANSWERED_WITHIN)
    }

    /// Waits after a call that failed until the store is worth another try: until a reading by whomever shows that it
    /// is back, or for a while that grows.
    pub(crate) async fn await_store(&self, pause: &mut Pause) {
        let is_silent = || self.state.borrow().is_store_silent(self.patience());
        if self.zone_reader().is_none() {
            return pause.wait().await;
        }
        if !is_silent() {
            // Others reach it: only this daemon is turned away, and no reading tells when that ends.
            return pause.wait_as_follower(false).await;
        }
        let is_back = async {
            while is_silent() {
                self.news.notified().await;
            }
        };
        tokio::select! {
            () = pause.wait_as_follower(self.does_reader_answer()) => {}
            () = is_back => pause.reset(),
        }
    }

    pub(crate) fn count_call<T>(&self, kind: &str, result: &Result<T, MetadataError>) {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.store_calls.with_label_values(&[kind, outcome]).inc();
    }

    /// Publishes what is believed now.
    pub(crate) fn publish(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let grace = Duration::from_millis(self.settings.leadership.lapse_grace_ms);
        if state.is_store_silent(self.patience()) {
            // Servers can't renew their entries either, as far as is known here.
            state.servers.restart_grace(now);
        }
        let lapsed = state.servers.expire(grace, now);
        for server in &lapsed.leaving {
            log::info!(
                event = "server_lapsed", server = &**server;
                "a server's entry stayed away and it is taken for leaving"
            );
        }
        for server in &lapsed.gone {
            log::info!(event = "server_gone", server = &**server; "a server's entry stayed away");
        }
        state.published_servers = state.servers.by_service();
        let detours = self.detours(&state, now);
        if *state.published_detours != detours {
            state.published_detours = Arc::new(detours);
        }
        self.renew_owners(&mut state);
        let sharers = Sharers {
            zones: state.zones.max(1),
            daemons: state.members_seen.len().max(1) as u32,
            in_zone: state.members_seen.values().filter(|member| member.is_near).count().max(1)
                as u32,
        };
        self.metrics.now.with_label_values(&["members"]).set(i64::from(sharers.daemons));
        self.metrics
            .now
            .with_label_values(&["configuration_version"])
            .set(state.catalog.version as i64);
        let beliefs = Beliefs {
            catalog: state.catalog.clone(),
            servers: state.published_servers.clone(),
            leads: state.leads.clone(),
            sharers,
            detours: state.published_detours.clone(),
            owners: state.published_owners.clone(),
            samples: state.samples.clone(),
            servers_known: state.servers_known,
        };
        drop(state);
        self.beliefs.send_replace(Arc::new(beliefs));
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
        let pause = self.next();
        tokio::time::sleep(pause).await;
    }

    /// The pause of a daemon that hears of the store's return from another one, if that is there.
    pub(crate) async fn wait_as_follower(&mut self, reader_answers: bool) {
        let times = if reader_answers { LISTENER_PAUSES } else { FOLLOWER_PAUSES };
        let pause = self.next() * times;
        tokio::time::sleep(pause).await;
    }

    fn next(&mut self) -> Duration {
        let longest = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(LONGEST_PAUSE);
        self.failures += 1;
        let part: f64 = rand::rng().random_range(0.5..1.0);
        longest.mul_f64(part)
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
