//! The control thread. It watches the store, keeps this daemon's lease, renews primary leases and publishes the
//! control view.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use config::{LeadershipSettings, MetadataSettings};
use model::Name;
use overload::ZoneLayout;
use rand::RngExt;
use tokio::sync::{Notify, oneshot, watch};

use crate::{
    control::{
        adapter::Adapter,
        change::ChangeReason,
        compression::Compressor,
        control_view::{ControlView, Observation},
        peer_link::{AcceptedLink, PeerRequester},
        state::State,
    },
    metadata::{MetadataError, Transaction},
    metrics::ProxyMetrics,
    serve::share::DaemonCounts,
    statement::{EndpointOperation, EndpointStatus},
};

/// Lease renewals per lease duration, so that one may fail.
pub(crate) const RENEWALS_PER_LEASE: u32 = 3;

/// A request of the control thread to the serving thread.
#[derive(Debug)]
pub enum ServingRequest {
    /// Sends a command to a server over the connections shared by sessions.
    Command(CommandRequest),
    /// Probes a server that another daemon suspects.
    Probe {
        /// The service.
        service: Name,
        /// The server.
        server: Name,
    },
    /// Serves the relayed statements of another daemon on this connection.
    Relay(AcceptedLink),
}

/// A command whose answer is the server's status.
#[derive(Debug)]
pub struct CommandRequest {
    /// The service.
    pub service: Name,
    /// The server.
    pub server: Name,
    /// The command.
    pub operation: EndpointOperation,
    /// When the answer is no longer useful.
    pub deadline: Instant,
    /// Receives the answer; dropped if there is none.
    pub answer: oneshot::Sender<EndpointStatus>,
}

/// The settings of the control thread.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This daemon's host.
    pub host: Name,
    /// This daemon's availability zone.
    pub availability_zone: Name,
    /// The regions and their zones.
    pub layout: ZoneLayout,
    /// The address for requests of other daemons; `None` if this daemon does not accept any.
    pub peer_address: Option<SocketAddr>,
    /// The settings of the store.
    pub metadata: MetadataSettings,
    /// The settings of leadership.
    pub leadership: LeadershipSettings,
}

/// Everything that the control thread is built from.
pub struct ControlParts<P: Adapter> {
    /// The settings.
    pub settings: ControlSettings,
    /// The store's client.
    pub store: P::Store,
    /// The client that orders promotions.
    pub orders: P::Orders,
    /// The format of the catalog.
    pub format: P::Format,
    /// The protocol of the servers.
    pub dialect: P::Dialect,
    /// Publishes the control view.
    pub control_view: watch::Sender<Arc<ControlView>>,
    /// Observations of the serving thread.
    pub observations: flume::Receiver<Observation>,
    /// Sends requests to the serving thread.
    pub serving_requests: flume::Sender<ServingRequest>,
    /// When the daemon began to stop; from then on it leaves the promoter role to others.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// Whether every caller has left, so that the control thread may end.
    pub ended: watch::Receiver<bool>,
    /// Listens for other daemons.
    pub peer_listener: Option<std::net::TcpListener>,
    /// The metrics.
    pub metrics: ProxyMetrics,
}

/// The state and the interfaces shared by the control thread's tasks.
pub struct Control<P: Adapter> {
    pub(crate) settings: ControlSettings,
    pub(crate) store: P::Store,
    pub(crate) orders: P::Orders,
    pub(crate) dialect: P::Dialect,
    pub(crate) metrics: ProxyMetrics,
    pub(crate) state: RefCell<State>,
    /// Signals a change of the mirror.
    pub(crate) mirror_changed: Notify,
    /// Signals new store data to followers that wait for an answer, and to this daemon's own tasks.
    pub(crate) updates_available: Notify,
    /// Running changes of primary, with their reasons.
    pub(crate) changes_running: RefCell<BTreeMap<Name, ChangeReason>>,
    pub(crate) change_count: Cell<u64>,
    pub(crate) format: P::Format,
    pub(crate) control_view: watch::Sender<Arc<ControlView>>,
    pub(crate) observations: flume::Receiver<Observation>,
    pub(crate) serving_requests: flume::Sender<ServingRequest>,
    pub(crate) stopping: watch::Receiver<Option<Instant>>,
    pub(crate) refresh_now: Notify,
    /// Signals that this daemon became a member before the store was loaded.
    pub(crate) joined: Notify,
    /// Signals that the store was loaded.
    pub(crate) initial_load_done: Notify,
    pub(crate) requester: PeerRequester,
    pub(crate) compressor: Compressor,
    /// Identifies this daemon process, which started at `epoch`.
    pub(crate) incarnation: u64,
    pub(crate) epoch: Instant,
    /// Wakes the lease loop when this daemon's member key is missing.
    pub(crate) rejoin: Notify,
    /// Wakes the suspicion loop when the store may not hold the current suspicions.
    pub(crate) suspicions_due: Notify,
    /// Wakes the task that writes lost keys again after a restore of the store.
    pub(crate) republish: Notify,
    pub(crate) pending_writes: (flume::Sender<PendingWrite>, flume::Receiver<PendingWrite>),
}

/// A write and a description of its purpose.
pub(crate) type PendingWrite = (Transaction, &'static str);

const MAX_PENDING_WRITES: usize = 64;

/// Runs the control thread's tasks until the daemon has stopped.
pub async fn run_control<P: Adapter>(parts: ControlParts<P>) {
    let control = Rc::new(Control::<P> {
        settings: parts.settings,
        store: parts.store,
        orders: parts.orders,
        dialect: parts.dialect,
        metrics: parts.metrics,
        state: RefCell::default(),
        mirror_changed: Notify::new(),
        updates_available: Notify::new(),
        changes_running: RefCell::default(),
        change_count: Cell::new(0),
        format: parts.format,
        control_view: parts.control_view,
        observations: parts.observations,
        serving_requests: parts.serving_requests,
        stopping: parts.stopping,
        refresh_now: Notify::new(),
        joined: Notify::new(),
        initial_load_done: Notify::new(),
        requester: PeerRequester::default(),
        compressor: Compressor::default(),
        incarnation: rand::rng().random(),
        epoch: Instant::now(),
        rejoin: Notify::new(),
        suspicions_due: Notify::new(),
        republish: Notify::new(),
        pending_writes: flume::bounded(MAX_PENDING_WRITES),
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
            control.clone().promoter_loop(),
            control.clone().write_loop(),
            control.clone().suspicion_loop(),
            control.clone().promoter_lease_loop(),
            control.clone().peer_loop(parts.peer_listener),
            control.clone().republish_loop(),
        );
    };
    tokio::select! {
        () = work => {}
        // An error means that the serving thread has ended.
        _ = ended.wait_for(|ended| *ended) => {}
    }
    control.clone().stop().await;
}

impl<P: Adapter> Control<P> {
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

    pub(crate) fn primary_lease_duration(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.right_ms)
    }

    /// Time without a store read after which the store counts as silent.
    pub(crate) fn store_silence_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.refresh_ms) * 2
    }

    pub(crate) fn evidence_duration(&self) -> Duration {
        Duration::from_millis(self.settings.leadership.evidence_ms)
    }

    pub(crate) fn count_call<T>(&self, kind: &str, result: &Result<T, MetadataError>) {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.store_calls.with_label_values(&[kind, outcome]).inc();
    }

    pub(crate) fn publish(&self) {
        let now = Instant::now();
        self.apply_deferred_entries(now);
        let mut state = self.state.borrow_mut();
        let grace = Duration::from_millis(self.settings.leadership.lapse_grace_ms);
        if state.is_store_silent(self.store_silence_timeout()) {
            // The servers may be unable to renew their entries as well, so the grace time of missing entries restarts.
            state.servers.restart_grace(now);
        }
        let lapsed = state.servers.expire(grace, now);
        for server in &lapsed.leaving {
            log::info!(
                event = "server_lapsed", server = &**server;
                "a server's entry expired; the server is treated as leaving"
            );
        }
        for server in &lapsed.removed {
            log::info!(event = "server_gone", server = &**server; "a server without an entry is no longer listed");
        }
        state.published_servers = state.servers.by_service();
        let tunnel_peers = self.tunnel_peers(&state, now);
        if *state.published_tunnel_peers != tunnel_peers {
            state.published_tunnel_peers = Arc::new(tunnel_peers);
        }
        self.update_owners(&mut state);
        let daemon_counts = DaemonCounts {
            zones: state.zone_count.max(1),
            daemons: state.members_seen.len().max(1) as u32,
            in_zone: state
                .members_seen
                .values()
                .filter(|member| member.is_in_own_zone)
                .count()
                .max(1) as u32,
        };
        self.metrics.gauges.with_label_values(&["members"]).set(i64::from(daemon_counts.daemons));
        self.metrics
            .gauges
            .with_label_values(&["configuration_version"])
            .set(state.catalog.version as i64);
        let control_view = ControlView {
            catalog: state.catalog.clone(),
            servers: state.published_servers.clone(),
            leaders: state.leaders.clone(),
            daemon_counts,
            tunnel_peers: state.published_tunnel_peers.clone(),
            owners: state.published_owners.clone(),
            samples: state.samples.clone(),
            store_loaded: state.store_loaded,
            members: state.published_members.clone(),
            member_until: state.lease.map(|lease| lease.valid_until),
        };
        drop(state);
        self.control_view.send_replace(Arc::new(control_view));
    }
}

/// Polls all futures to completion on the current task.
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
