//! The control thread: it watches the store, keeps this daemon's lease, renews the right to use
//! primaries and publishes what is believed.

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
use overload::Layout;
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
    events::ProxyMetrics,
    metadata::{MetadataError, Transaction},
    serve::share::DaemonCounts,
    statement::{EndpointStatus, EndpointText},
};

/// Renewals of a lease within the time that it lasts, so that one may fail.
pub(crate) const RENEWALS_PER_LEASE: u32 = 3;

/// What the control thread asks of the serving thread.
#[derive(Debug)]
pub enum ServingRequest {
    /// Give a server a command, over the connections that sessions share.
    Command(CommandRequest),
    /// Find out whether a server that another daemon suspects can be reached from here.
    Probe {
        /// The service.
        service: Name,
        /// The server.
        server: Name,
    },
    /// Run what another daemon hands over on this link.
    Relay(AcceptedLink),
}

/// A command that is answered with the server's status.
#[derive(Debug)]
pub struct CommandRequest {
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

/// The settings of the control thread.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This daemon's host.
    pub host: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Which zones are in the same region.
    pub layout: Layout,
    /// Where other daemons ask it; `None` if it shares nothing.
    pub peer_address: Option<SocketAddr>,
    /// The store.
    pub metadata: MetadataSettings,
    /// Who leads.
    pub leadership: LeadershipSettings,
}

/// The pieces from which the control thread is made.
pub struct ControlParts<P: Adapter> {
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
    /// Where control_view go.
    pub control_view: watch::Sender<Arc<ControlView>>,
    /// What the serving thread observes.
    pub observations: flume::Receiver<Observation>,
    /// Questions that the serving thread asks.
    pub serving_requests: flume::Sender<ServingRequest>,
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
pub struct Control<P: Adapter> {
    pub(crate) settings: ControlSettings,
    pub(crate) store: P::Store,
    pub(crate) orders: P::Orders,
    pub(crate) dialect: P::Dialect,
    pub(crate) metrics: ProxyMetrics,
    pub(crate) state: RefCell<State>,
    /// Wakes whoever decides by the mirror.
    pub(crate) mirror_changed: Notify,
    /// Wakes the answers to daemons that follow the store through this one.
    pub(crate) updates_available: Notify,
    /// Changes of primary that this daemon makes now, with their reasons.
    pub(crate) changes_running: RefCell<BTreeMap<Name, ChangeReason>>,
    pub(crate) change_count: Cell<u64>,
    pub(crate) format: P::Format,
    pub(crate) control_view: watch::Sender<Arc<ControlView>>,
    pub(crate) observations: flume::Receiver<Observation>,
    pub(crate) serving_requests: flume::Sender<ServingRequest>,
    pub(crate) stopping: watch::Receiver<Option<Instant>>,
    pub(crate) refresh_now: Notify,
    /// Says that this daemon has become a member, and that everything has been read, for the first time.
    pub(crate) joined: Notify,
    pub(crate) initial_load_done: Notify,
    pub(crate) requester: PeerRequester,
    pub(crate) compressor: Compressor,
    /// A number of this life of the daemon, and when it began.
    pub(crate) incarnation: u64,
    pub(crate) epoch: Instant,
    /// Wakes the lease loop when this daemon's key is found to be gone.
    pub(crate) rejoin: Notify,
    /// Wakes whoever tells of suspicions when the store may not show them as it should.
    pub(crate) suspicions_due: Notify,
    /// Wakes whoever writes again what the store lost.
    pub(crate) republish: Notify,
    pub(crate) pending_writes: (flume::Sender<PendingWrite>, flume::Receiver<PendingWrite>),
}

/// A write with what it is for.
pub(crate) type PendingWrite = (Transaction, &'static str);

/// Writes that may wait for the store at a time.
const MOST_PENDING_WRITES: usize = 64;

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
        pending_writes: flume::bounded(MOST_PENDING_WRITES),
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
        // An error means that the serving thread is gone, which is an end too.
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

    /// How long no reading may come before the store counts as silent.
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

    /// Publishes what is believed now.
    pub(crate) fn publish(&self) {
        let now = Instant::now();
        self.apply_deferred_entries(now);
        let mut state = self.state.borrow_mut();
        let grace = Duration::from_millis(self.settings.leadership.lapse_grace_ms);
        if state.is_store_silent(self.store_silence_timeout()) {
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
        let tunnel_peers = self.tunnel_peers(&state, now);
        if *state.published_tunnel_peers != tunnel_peers {
            state.published_tunnel_peers = Arc::new(tunnel_peers);
        }
        self.update_owners(&mut state);
        let sharers = DaemonCounts {
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
        let control_view = ControlView {
            catalog: state.catalog.clone(),
            servers: state.published_servers.clone(),
            leaders: state.leaders.clone(),
            sharers,
            tunnel_peers: state.published_tunnel_peers.clone(),
            owners: state.published_owners.clone(),
            samples: state.samples.clone(),
            servers_known: state.servers_known,
            members: state.published_members.clone(),
            member_until: state.lease.map(|lease| lease.valid_until),
        };
        drop(state);
        self.control_view.send_replace(Arc::new(control_view));
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
