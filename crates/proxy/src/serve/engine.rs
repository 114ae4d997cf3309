//! State shared by all sessions of a daemon.

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
use overload::ZoneLayout;
use routing::RetryBudget;
use session::StalenessSamples;
use tokio::sync::{Notify, watch};

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    control::control_view::{ControlView, Observation, Owners, TunnelPeers},
    dialect::{CallerDialect, EndpointDialect},
    metrics::ProxyMetrics,
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

/// Maximum number of samples of a primary's log point per group; they cover the longest staleness bound.
const MAX_SAMPLES: usize = 64;
/// Percentage of reads that may be hedged on a second server; limited so that hedged reads don't amplify an overload.
const HEDGE_PERCENT: u32 = 10;
/// Interval between checks of idle connections while connections are scarce.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const SCARCITY_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of usage reports to the control thread; shorter than the time for which a report counts.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// State that this daemon keeps for one service.
pub struct Group<E: EndpointDialect> {
    /// Connections to the servers of the group.
    pub pool: Rc<GroupPool<E>>,
    /// Recent log points of the primary, each with the time at which it was requested.
    pub samples: RefCell<StalenessSamples>,
    /// Budget for reads that are sent to a second server while the first may still answer.
    pub hedge_budget: RefCell<RetryBudget>,
    /// When reads were first and last refused because every replica was behind.
    pub(crate) lagging_refusals: Cell<Option<(Instant, Instant)>>,
    /// Wakes reads that wait for a server which has become unreachable.
    pub server_unreachable: Notify,
    /// Triggers an immediate probe of the unreachable servers.
    pub(crate) probe_now: Notify,
    /// Servers that are being probed or that did not answer their probe.
    pub(crate) probes: RefCell<HashMap<Name, ProbeState>>,
    pub(crate) sample_shared_at: Cell<Option<Instant>>,
    /// Wakes requests that wait for a sample.
    pub(crate) sample_added: Notify,
    /// Until when a request already sent to the primary is expected to yield a sample.
    pub(crate) sampling_until: Cell<Option<Instant>>,
    /// When a read last asked the control thread for a sample.
    pub(crate) sample_requested_at: Cell<Option<Instant>>,
    usage_reported_at: Cell<Option<Instant>>,
    /// The ongoing outage of the primary, if any, and the statements that wait for its end.
    pub(crate) outage: GroupOutage,
    pool_inputs: RefCell<PoolInputs>,
}

#[derive(Default)]
struct PoolInputs {
    servers: Arc<HashMap<Name, Vec<Arc<ServerEntry>>>>,
    tunnel_peers: Arc<TunnelPeers>,
    owners: Arc<Owners>,
    share: Share,
}

impl PoolInputs {
    fn is_same(&self, other: &PoolInputs) -> bool {
        Arc::ptr_eq(&self.servers, &other.servers)
            && Arc::ptr_eq(&self.tunnel_peers, &other.tunnel_peers)
            && Arc::ptr_eq(&self.owners, &other.owners)
            && self.share == other.share
    }
}

impl<E: EndpointDialect> Group<E> {
    fn new(layout: Rc<ZoneLayout>, relays: Rc<RelayLinks>, overload: OverloadSettings) -> Group<E> {
        Group {
            pool: Rc::new(GroupPool::new(layout, relays, overload)),
            samples: RefCell::new(StalenessSamples::new(MAX_SAMPLES)),
            hedge_budget: RefCell::new(RetryBudget::new(HEDGE_PERCENT)),
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

    /// Whether connections to the servers are scarce, so that owner daemons hold them on behalf of others.
    pub(crate) fn is_contended(&self) -> bool {
        self.pool_inputs.borrow().share.owned.is_some()
    }
}

/// Settings of the serving thread.
#[derive(Clone, Debug)]
pub struct ServeSettings {
    /// Host of this daemon.
    pub host: Name,
    /// Availability zone of this daemon.
    pub availability_zone: Name,
    /// How long a server may be silent before it is probed.
    pub suspect_after: Duration,
    /// How long a store read grants the primary lease; the same at every daemon.
    pub primary_lease: Duration,
    /// How long an open transaction may continue after the signal to stop.
    pub stop_transactions_after: Duration,
    /// How long an idle session stays open after the signal to stop.
    pub stop_idle_after: Duration,
    /// Maximum number of concurrent callers; further ones are refused.
    pub max_callers: u64,
    /// Time windows over which the limits of client accounts are enforced.
    pub window_rule: WindowRule,
    /// The region of each availability zone; empty if all zones belong to one region.
    pub regions: HashMap<Name, Name>,
    /// Which overload controls are enabled.
    pub overload: OverloadSettings,
}

/// The shared state of the serving thread.
pub struct Engine<C, E: EndpointDialect> {
    /// The wire protocol of callers.
    pub caller_dialect: C,
    /// The wire protocol of servers.
    pub endpoint_dialect: E,
    /// Settings of the serving thread.
    pub settings: ServeSettings,
    /// Current view published by the control thread.
    pub control_view: watch::Receiver<Arc<ControlView>>,
    /// When the daemon began to stop; `None` while it runs.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// Metrics of this daemon.
    pub metrics: ProxyMetrics,
    /// Number of connected callers.
    pub callers: Cell<u64>,
    pub(crate) observations: flume::Sender<Observation>,
    pub(crate) relays: Rc<RelayLinks>,
    pub(crate) limits: Limits,
    pub(crate) hold_state: HoldState,
    /// Origin of this daemon's monotonic clock. Other daemons express start deadlines of their requests in this clock.
    epoch: Instant,
    /// Distances between availability zones.
    layout: Rc<ZoneLayout>,
    groups: RefCell<HashMap<Name, Rc<Group<E>>>>,
}

/// The parts from which an engine is built.
pub struct EngineParts<C, E> {
    /// The wire protocol of callers.
    pub caller_dialect: C,
    /// The wire protocol of servers.
    pub endpoint_dialect: E,
    /// Settings of the serving thread.
    pub settings: ServeSettings,
    /// Current view published by the control thread.
    pub control_view: watch::Receiver<Arc<ControlView>>,
    /// When the daemon began to stop; `None` while it runs.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// Metrics of this daemon.
    pub metrics: ProxyMetrics,
    /// Channel for observations about servers to the control thread.
    pub observations: flume::Sender<Observation>,
}

/// Why no connection was acquired for a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// No suitable server is available.
    NoServer,
    /// Too many statements are already waiting.
    QueueFull,
    /// No connection became free in time.
    TooLate,
    /// The server's queue has no room in time, given the statements ahead of this one.
    Overloaded {
        /// How long to wait before retrying.
        retry_delay: Duration,
    },
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Builds an engine from its parts.
    pub fn new(parts: EngineParts<C, E>) -> Engine<C, E> {
        let limits = Limits::new(parts.settings.window_rule);
        let zone = parts.settings.availability_zone.clone();
        let layout = Rc::new(ZoneLayout::new(zone, parts.settings.regions.clone()));
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

    /// Returns the current control view.
    pub fn control_view(&self) -> Arc<ControlView> {
        self.control_view.borrow().clone()
    }

    /// Returns the milliseconds since this daemon started, rounded down.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Whether the daemon has begun to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Returns the group of a service, updated from the given control view.
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
        let share = share_of(granted, slots, view.daemon_counts, by_account);
        let inputs = PoolInputs {
            servers: view.servers.clone(),
            tunnel_peers: view.tunnel_peers.clone(),
            owners: view.owners.clone(),
            share,
        };
        if !group.pool_inputs.borrow().is_same(&inputs) {
            group.pool.update(entries, share, &inputs.tunnel_peers, &inputs.owners);
            *group.pool_inputs.borrow_mut() = inputs;
        }
        group
    }

    /// Reports to the control thread, at a limited rate, that a service is in use. While the store is
    /// unreachable, the control thread manages only the groups that are in use.
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
        // The channel is full if the control thread is behind; the next statement reports again.
        if self.observations.try_send(used).is_ok() {
            group.usage_reported_at.set(Some(now));
        }
    }

    /// Closes idle connections while connections are scarce; runs until the daemon stops.
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

    /// Acquires a connection that fits the request, opening one where the pool permits it.
    pub async fn acquire(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        mut request: ConnectionRequest,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<PooledConnection<E>, AcquireError> {
        loop {
            let acquired = group.pool.acquire(request.clone(), values, deadline).await;
            self.count_forwarded(&request, &acquired);
            let offer = match acquired {
                Ok(offer) => offer,
                Err(NoConnection::NoServer) => return Err(AcquireError::NoServer),
                Err(NoConnection::QueueFull) => return Err(AcquireError::QueueFull),
                Err(NoConnection::TooLate) => return Err(AcquireError::TooLate),
                Err(NoConnection::Overloaded { retry_delay }) => {
                    return Err(AcquireError::Overloaded { retry_delay });
                }
            };
            let permit = match offer {
                Offer::Ready(connection) => return Ok(connection),
                Offer::Open(permit) => permit,
            };
            let server = permit.entry.server.clone();
            let tunnel_peer = group.pool.tunnel_to(&server);
            match self.open(&permit, tunnel_peer).await {
                Ok(connection) => {
                    self.metrics.connections_opened.with_label_values(&["opened"]).inc();
                    match connection.is_direct {
                        true => self.record_reachable(group, &permit.entry.service, &server),
                        false => group.pool.on_tunnel_result(&server, true),
                    }
                    return Ok(permit.opened(connection));
                }
                Err(lost) => {
                    let service = permit.entry.service.clone();
                    drop(permit);
                    match tunnel_peer {
                        None => self.on_open_failed(group, &service, &server, &lost),
                        Some(peer) => self.on_tunnel_failed(group, &server, peer, &lost),
                    }
                    match open_failure_action(&request, &lost) {
                        _ if Instant::now() >= deadline => return Err(AcquireError::NoServer),
                        OpenFailureAction::GiveUp => return Err(AcquireError::NoServer),
                        // A connection may become free, or the pool may permit opening one later.
                        OpenFailureAction::Wait if self.settings.overload.circuits => continue,
                        OpenFailureAction::Wait => return Err(AcquireError::NoServer),
                        OpenFailureAction::TryElsewhere => {}
                    }
                    request.avoid.push(server);
                }
            }
        }
    }

    /// Counts the outcome for a statement that another daemon forwarded to this one.
    fn count_forwarded(
        &self,
        request: &ConnectionRequest,
        acquired: &Result<Offer<E>, NoConnection>,
    ) {
        if !request.is_forwarded || request.principal.is_none() {
            return;
        }
        let outcome = match acquired {
            Ok(_) => "begun",
            Err(NoConnection::Overloaded { .. } | NoConnection::QueueFull) => "refused",
            Err(NoConnection::TooLate) => "too_late",
            Err(NoConnection::NoServer) => "nowhere",
        };
        let rank = request.rank().index().to_string();
        self.metrics.statements_queued.with_label_values(&[rank.as_str(), outcome]).inc();
    }

    /// Returns the identity under which this daemon opens connections for a principal.
    pub(crate) fn client_identity<'a>(&'a self, principal: &'a Principal) -> ClientIdentity<'a> {
        ClientIdentity { host: &self.settings.host, principal }
    }

    /// Opens a connection, through a tunnel of another daemon if one is in use.
    async fn open(
        &self,
        permit: &OpeningPermit<E>,
        tunnel_peer: Option<SocketAddr>,
    ) -> Result<EndpointConnection<E>, ConnectionLost> {
        let (dialect, entry) = (&self.endpoint_dialect, &*permit.entry);
        let identity = self.client_identity(&permit.principal);
        let Some(peer) = tunnel_peer else {
            return EndpointConnection::open(dialect, entry, identity, CONNECT_TIMEOUT).await;
        };
        let opened =
            EndpointConnection::open_tunneled(peer, dialect, entry, identity, CONNECT_TIMEOUT)
                .await?;
        self.metrics.connections_opened.with_label_values(&["detour"]).inc();
        log::info!(
            event = "detour_opened", service = &*entry.service, server = &*entry.server,
            peer = peer.to_string().as_str();
            "opened a connection to an unreachable server through another daemon"
        );
        Ok(opened)
    }

    /// Tries to open a connection to a server through another daemon.
    pub(crate) async fn try_tunnel(
        &self,
        peer: SocketAddr,
        entry: &ServerEntry,
    ) -> (SocketAddr, Result<(), ConnectionLost>) {
        let identity = self.client_identity(&Principal::Daemon);
        let dialect = &self.endpoint_dialect;
        let opened =
            EndpointConnection::open_tunneled(peer, dialect, entry, identity, CONNECT_TIMEOUT);
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
        group.pool.on_tunnel_result(server, false);
        log::info!(
            event = "detour_failed", server = &**server, peer = peer.to_string().as_str(),
            why = lost.to_string().as_str();
            "failed to open a connection to a server through another daemon"
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
            "failed to open a connection to a server"
        );
        if is_server_failure(lost) {
            group.pool.on_failure(server);
        }
        match lost {
            ConnectionLost::Refused(_) => self.record_reachable(group, service, server),
            _ => self.probe(group, service, server),
        }
    }
}

enum OpenFailureAction {
    TryElsewhere,
    Wait,
    GiveUp,
}

/// Decides what follows a failed open. A server that refuses further connections is reachable: if an owner
/// reported it as unreachable, other daemons would open connections of their own to it.
fn open_failure_action(request: &ConnectionRequest, lost: &ConnectionLost) -> OpenFailureAction {
    match lost {
        _ if request.only.is_none() => OpenFailureAction::TryElsewhere,
        ConnectionLost::Refused(ErrorCode::TooManyConnections) if request.is_forwarded => {
            OpenFailureAction::Wait
        }
        _ => OpenFailureAction::GiveUp,
    }
}
