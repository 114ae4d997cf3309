//! What all sessions of a daemon share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use config::OverloadSettings;
use limits::WindowRule;
use model::Name;
use overload::Layout;
use routing::RetryBudget;
use session::StalenessSamples;
use tokio::sync::{Notify, watch};

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    control::control_view::{ControlView, Observation, Owners, TunnelPeers},
    dialect::{CallerDialect, EndpointDialect},
    events::ProxyMetrics,
    relay::links::RelayLinks,
    serve::{
        connection::{ClientIdentity, ConnectionLost, EndpointConnection},
        connection_request::ConnectionRequest,
        limits::Limits,
        outage::GroupOutage,
        pool::{GroupPool, NoConnection, Offer},
        pooled_connection::{OpeningPermit, PooledConnection},
        primary_wait::HoldState,
        reachability::ProbeState,
        replay::SessionValues,
        share::{Share, share_of},
        verdict::is_server_failure,
    },
    statement::ErrorCode,
};

/// Samples of a primary's position that are kept for each group; they span the longest bound.
const MAX_SAMPLES: usize = 64;
/// Reads in a hundred that may be tried at a second server while the first may still answer; more
/// would multiply the load on servers that are slow because they are overloaded.
const RETRY_PERCENT: u32 = 10;
/// How often resting connections are looked at where connections are scarce.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often it is looked at whether they are.
const SCARCITY_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How often the control thread is told that callers ask for a service; a fraction of the time for which it counts.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a new connection may take: a handshake, and a server that is busy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// One service as this daemon serves it.
pub struct Group<E: EndpointDialect> {
    /// Its connections.
    pub pool: Rc<GroupPool<E>>,
    /// Where its primary's log stood when.
    pub samples: RefCell<StalenessSamples>,
    /// Reads that may be sent to a second server although the first may still answer.
    pub retries: RefCell<RetryBudget>,
    /// Since when, and when last, reads were refused because every replica is behind.
    pub(crate) lagging_refusals: Cell<Option<(Instant, Instant)>>,
    /// Wakes reads that wait for a server which was found to be out of reach.
    pub server_unreachable: Notify,
    /// Has servers that were found to be out of reach tried again at once.
    pub(crate) probe_now: Notify,
    /// Servers that are being asked whether they are alive, and those that did not answer.
    pub(crate) probes: RefCell<HashMap<Name, ProbeState>>,
    /// When other daemons were last told where the primary's log stands.
    pub(crate) sample_shared_at: Cell<Option<Instant>>,
    /// Wakes whoever waits for a sample.
    pub(crate) sample_added: Notify,
    /// Until when somebody who was sent to the primary is expected to show where its log stands.
    pub(crate) sampling_until: Cell<Option<Instant>>,
    /// When a read last wanted a sample that nobody here has.
    pub(crate) sample_requested_at: Cell<Option<Instant>>,
    /// When the control thread was last told that callers ask for this service.
    usage_reported_at: Cell<Option<Instant>>,
    /// Why its primary can't be used, and who waits for that to end.
    pub(crate) outage: GroupOutage,
    pool_inputs: RefCell<PoolInputs>,
}

/// What a pool was last told.
#[derive(Default)]
struct PoolInputs {
    servers: Arc<HashMap<Name, Vec<Arc<ServerEntry>>>>,
    detours: Arc<TunnelPeers>,
    owners: Arc<Owners>,
    share: Share,
}

impl PoolInputs {
    fn is_same(&self, other: &PoolInputs) -> bool {
        Arc::ptr_eq(&self.servers, &other.servers)
            && Arc::ptr_eq(&self.detours, &other.detours)
            && Arc::ptr_eq(&self.owners, &other.owners)
            && self.share == other.share
    }
}

impl<E: EndpointDialect> Group<E> {
    fn new(layout: Rc<Layout>, relays: Rc<RelayLinks>, overload: OverloadSettings) -> Group<E> {
        Group {
            pool: Rc::new(GroupPool::new(layout, relays, overload)),
            samples: RefCell::new(StalenessSamples::new(MAX_SAMPLES)),
            retries: RefCell::new(RetryBudget::new(RETRY_PERCENT)),
            lagging_refusals: Cell::new(None),
            server_unreachable: Notify::new(),
            probe_now: Notify::new(),
            probes: RefCell::default(),
            sample_shared_at: Cell::new(None),
            sample_added: Notify::new(),
            sampling_until: Cell::new(None),
            sample_requested_at: Cell::new(None),
            usage_reported_at: Cell::new(None),
            outage: GroupOutage::default(),
            pool_inputs: RefCell::default(),
        }
    }

    /// Whether the daemons have fewer connections to its servers than they could use, so that one may have them for others.
    pub(crate) fn is_contended(&self) -> bool {
        self.pool_inputs.borrow().share.owned.is_some()
    }
}

/// The settings that sessions go by.
#[derive(Clone, Debug)]
pub struct ServeSettings {
    /// This daemon's host.
    pub host: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// How long a server must be silent before it is asked whether it is alive.
    pub suspect_after: Duration,
    /// How long a reading gives the right to use a primary, at every daemon.
    pub primary_lease: Duration,
    /// How long an open transaction may go on after the signal to stop.
    pub stop_transactions_after: Duration,
    /// How long a session at rest stays open after the signal to stop.
    pub stop_idle_after: Duration,
    /// Callers at a time; one more is refused.
    pub max_callers: u64,
    /// By which windows the limits of client accounts are judged.
    pub window_rule: WindowRule,
    /// The region of each availability zone; empty where all are of one.
    pub regions: HashMap<Name, Name>,
    /// Which decisions under load are made.
    pub overload: OverloadSettings,
}

/// The shared state of the serving thread.
pub struct Engine<C, E: EndpointDialect> {
    /// How callers speak.
    pub caller_dialect: C,
    /// How servers speak.
    pub endpoint_dialect: E,
    /// The settings.
    pub settings: ServeSettings,
    /// What is believed now.
    pub control_view: watch::Receiver<Arc<ControlView>>,
    /// When the stop began; `None` while the daemon runs.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// What is counted.
    pub metrics: ProxyMetrics,
    /// Callers connected now.
    pub callers: Cell<u64>,
    pub(crate) observations: flume::Sender<Observation>,
    pub(crate) relays: Rc<RelayLinks>,
    pub(crate) limits: Limits,
    pub(crate) hold_state: HoldState,
    /// Where this daemon's clock begins, by which others tell it until when it may begin with their statements.
    epoch: Instant,
    /// How far the servers' zones are.
    layout: Rc<Layout>,
    groups: RefCell<HashMap<Name, Rc<Group<E>>>>,
}

/// The pieces from which an engine is made.
pub struct EngineParts<C, E> {
    /// How callers speak.
    pub caller_dialect: C,
    /// How servers speak.
    pub endpoint_dialect: E,
    /// The settings.
    pub settings: ServeSettings,
    /// What is believed now.
    pub control_view: watch::Receiver<Arc<ControlView>>,
    /// When the stop began.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// What is counted.
    pub metrics: ProxyMetrics,
    /// Where it is told which servers answer.
    pub observations: flume::Sender<Observation>,
}

/// Why a statement got no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// No server can run it.
    NoServer,
    /// Too much waits already.
    QueueFull,
    /// None was free in time.
    TooLate,
    /// More urgent work and that of others leave no room in time.
    Overloaded {
        /// When asking again may help.
        retry_delay: Duration,
    },
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Joins the pieces.
    pub fn new(parts: EngineParts<C, E>) -> Engine<C, E> {
        let limits = Limits::new(parts.settings.window_rule);
        let zone = parts.settings.availability_zone.clone();
        let layout = Rc::new(Layout::new(zone, parts.settings.regions.clone()));
        let relays = Rc::new(RelayLinks::new(parts.settings.overload.circuits));
        Engine {
            limits,
            layout,
            hold_state: HoldState::default(),
            caller_dialect: parts.caller_dialect,
            endpoint_dialect: parts.endpoint_dialect,
            settings: parts.settings,
            control_view: parts.control_view,
            stopping: parts.stopping,
            metrics: parts.metrics,
            callers: Cell::new(0),
            observations: parts.observations,
            relays,
            epoch: Instant::now(),
            groups: RefCell::default(),
        }
    }

    /// Returns what is believed now.
    pub fn control_view(&self) -> Arc<ControlView> {
        self.control_view.borrow().clone()
    }

    /// Returns the milliseconds since this daemon began, rounded down.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Returns a service's group, brought up to what is believed now.
    pub fn group(&self, service: &Name, view: &ControlView) -> Rc<Group<E>> {
        let group = self
            .groups
            .borrow_mut()
            .entry(service.clone())
            .or_insert_with(|| {
                let overload = self.settings.overload.clone();
                Rc::new(Group::new(self.layout.clone(), self.relays.clone(), overload))
            })
            .clone();
        let granted = view.catalog.services.get(service).map_or(0, |rule| rule.connections);
        let by_account = view.catalog.accounts.is_some();
        let entries = view.servers.get(service).map_or(&[][..], Vec::as_slice);
        let slots = entries.iter().map(|entry| entry.slots).min().unwrap_or(0);
        let share = share_of(granted, slots, view.sharers, by_account);
        let inputs = PoolInputs {
            servers: view.servers.clone(),
            detours: view.tunnel_peers.clone(),
            owners: view.owners.clone(),
            share,
        };
        if !group.pool_inputs.borrow().is_same(&inputs) {
            group.pool.update(entries, share, &inputs.detours, &inputs.owners);
            *group.pool_inputs.borrow_mut() = inputs;
        }
        group
    }

    /// Tells the control thread that callers ask for a service, now and then: while the store is silent it looks
    /// after the groups that are used.
    pub(crate) fn report_usage(&self, group: &Group<E>, service: &Name) {
        let now = Instant::now();
        if group
            .usage_reported_at
            .get()
            .is_some_and(|at| now.duration_since(at) < USAGE_REPORT_INTERVAL)
        {
            return;
        }
        let used = Observation::Used { service: service.clone() };
        // A full ring means that the control thread is behind; the next statement tells it again.
        if self.observations.try_send(used).is_ok() {
            group.usage_reported_at.set(Some(now));
        }
    }

    /// Ends connections that rest while other daemons have none; runs as long as the daemon does.
    pub async fn close_idle_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            let groups: Vec<Rc<Group<E>>> = self.groups.borrow().values().cloned().collect();
            let mut is_scarce = false;
            for group in groups {
                is_scarce |= group.pool.close_spare_connections();
            }
            if !is_scarce {
                tokio::time::sleep(SCARCITY_CHECK_INTERVAL).await;
            }
        }
    }

    /// Finds a connection that a statement with these wishes may use.
    pub async fn acquire(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        mut request: ConnectionRequest,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<PooledConnection<E>, AcquireError> {
        loop {
            let lent = group.pool.acquire(request.clone(), values, deadline).await;
            self.count_forwarded(&request, &lent);
            let offer = match lent {
                Ok(offer) => offer,
                Err(NoConnection::NoServer) => return Err(AcquireError::NoServer),
                Err(NoConnection::QueueFull) => return Err(AcquireError::QueueFull),
                Err(NoConnection::TooLate) => return Err(AcquireError::TooLate),
                Err(NoConnection::Overloaded { retry_delay }) => {
                    return Err(AcquireError::Overloaded { retry_delay });
                }
            };
            let place = match offer {
                Offer::Ready(lent) => return Ok(lent),
                Offer::Open(place) => place,
            };
            let server = place.entry.server.clone();
            let detour = group.pool.tunnel_to(&server);
            match self.open(&place, detour).await {
                Ok(connection) => {
                    self.metrics.connections_opened.with_label_values(&["opened"]).inc();
                    match connection.is_direct {
                        true => self.note_reachable(group, &place.entry.service, &server),
                        false => group.pool.on_tunnel(&server, true),
                    }
                    return Ok(place.opened(connection));
                }
                Err(lost) => {
                    let service = place.entry.service.clone();
                    drop(place);
                    match detour {
                        None => self.on_open_failed(group, &service, &server, &lost),
                        Some(peer) => self.on_tunnel_failed(group, &server, peer, &lost),
                    }
                    match open_failure_action(&request, &lost) {
                        _ if Instant::now() >= deadline => return Err(AcquireError::NoServer),
                        OpenFailureAction::GiveUp => return Err(AcquireError::NoServer),
                        // There is one to wait for, or leave to open one a little later.
                        OpenFailureAction::Wait if self.settings.overload.circuits => continue,
                        OpenFailureAction::Wait => return Err(AcquireError::NoServer),
                        OpenFailureAction::TryElsewhere => {}
                    }
                    request.avoid.push(server);
                }
            }
        }
    }

    /// Counts what became of a statement that this daemon runs on connections of its own for others.
    fn count_forwarded(&self, request: &ConnectionRequest, lent: &Result<Offer<E>, NoConnection>) {
        if !request.is_forwarded || request.principal.is_none() {
            return;
        }
        let outcome = match lent {
            Ok(_) => "begun",
            Err(NoConnection::Overloaded { .. } | NoConnection::QueueFull) => "refused",
            Err(NoConnection::TooLate) => "too_late",
            Err(NoConnection::NoServer) => "nowhere",
        };
        let rank = request.rank().index().to_string();
        self.metrics.queued.with_label_values(&[rank.as_str(), outcome]).inc();
    }

    /// Returns what a server is told of who connects.
    pub(crate) fn introduce<'a>(&'a self, principal: &'a Principal) -> ClientIdentity<'a> {
        ClientIdentity { host: &self.settings.host, principal }
    }

    /// Opens a connection, through another daemon where there is a detour.
    async fn open(
        &self,
        place: &OpeningPermit<E>,
        detour: Option<SocketAddr>,
    ) -> Result<EndpointConnection<E>, ConnectionLost> {
        let (dialect, entry) = (&self.endpoint_dialect, &*place.entry);
        let introduction = self.introduce(&place.principal);
        let Some(peer) = detour else {
            return EndpointConnection::open(dialect, entry, introduction, CONNECT_TIMEOUT).await;
        };
        let opened =
            EndpointConnection::open_tunneled(peer, dialect, entry, introduction, CONNECT_TIMEOUT)
                .await?;
        self.metrics.connections_opened.with_label_values(&["detour"]).inc();
        log::info!(
            event = "detour_opened", service = &*entry.service, server = &*entry.server,
            peer = peer.to_string().as_str();
            "a server out of reach is reached through another daemon"
        );
        Ok(opened)
    }

    /// Whether a server takes a connection through another daemon.
    pub(crate) async fn try_tunnel(
        &self,
        peer: SocketAddr,
        entry: &ServerEntry,
    ) -> (SocketAddr, Result<(), ConnectionLost>) {
        let introduction = self.introduce(&Principal::Daemon);
        let dialect = &self.endpoint_dialect;
        let opened =
            EndpointConnection::open_tunneled(peer, dialect, entry, introduction, CONNECT_TIMEOUT);
        (peer, opened.await.map(drop))
    }

    fn on_tunnel_failed(
        &self,
        group: &Group<E>,
        server: &Name,
        peer: SocketAddr,
        lost: &ConnectionLost,
    ) {
        self.metrics.connections_opened.with_label_values(&["failed"]).inc();
        group.pool.on_tunnel_failed(server, peer);
        group.pool.on_tunnel(server, false);
        log::info!(
            event = "detour_failed", server = &**server, peer = peer.to_string().as_str(),
            why = lost.to_string().as_str();
            "a server could not be reached through another daemon"
        );
    }

    fn on_open_failed(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        service: &Name,
        server: &Name,
        lost: &ConnectionLost,
    ) {
        self.metrics.connections_opened.with_label_values(&["failed"]).inc();
        let refused = matches!(lost, ConnectionLost::Refused(_));
        group.pool.on_open_failed(server, refused);
        log::info!(
            event = "connection_failed", service = &**service, server = &**server,
            why = lost.to_string().as_str();
            "a server took no connection"
        );
        if is_server_failure(lost) {
            group.pool.on_failure(server);
        }
        match lost {
            ConnectionLost::Refused(_) => self.note_reachable(group, service, server),
            _ => self.probe(group, service, server),
        }
    }
}

/// What follows when a connection could not be opened for a request.
enum OpenFailureAction {
    TryElsewhere,
    Wait,
    GiveUp,
}

/// A server that grants no more is there nevertheless: an owner that said it can't be reached would send its askers to open
/// connections of their own.
fn open_failure_action(request: &ConnectionRequest, lost: &ConnectionLost) -> OpenFailureAction {
    match lost {
        _ if request.only.is_none() => OpenFailureAction::TryElsewhere,
        ConnectionLost::Refused(ErrorCode::TooManyConnections) if request.is_forwarded => {
            OpenFailureAction::Wait
        }
        _ => OpenFailureAction::GiveUp,
    }
}
