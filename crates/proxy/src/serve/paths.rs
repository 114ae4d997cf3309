//! The paths from this daemon to a server, directly or through the owners of its connections, and their state.
//!
//! A failure counts only against the hop where it occurred. [`crate::relay::links`] tracks the link to an owner, the
//! circuit breakers in this module track the hop from an owner to the server, and this daemon's probe covers the direct
//! path.

use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use model::Name;
use overload::{CircuitBreaker, CircuitChange, PathOutcome};

use crate::{
    dialect::{CallerDialect, EndpointDialect},
    relay::messages::NotSent,
    serve::{
        connection::{ConnectionLost, ServerRoute},
        connection_request::ConnectionRequest,
        engine::{Engine, Group},
        pool::{GroupPool, PoolState},
        share::IdlePolicy,
    },
};

/// Number of daemons through which a tunnel is tried at a time. Bounds the connection attempts to a dead server.
const PARALLEL_TUNNEL_TRIES: usize = 4;

/// How often the search for a tunnel is repeated. Candidates become known once other daemons have reported which
/// servers they can't reach.
const TUNNEL_SEARCH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
pub(crate) struct ServerPaths {
    owner_circuits: HashMap<SocketAddr, CircuitBreaker>,
    /// Whether this daemon's last probe of the server failed, without an answer from the server since.
    is_unreachable: bool,
    /// Whether the last attempt to open a connection through a tunnel succeeded; `false` again after a direct answer.
    has_working_tunnel: bool,
    is_searching_tunnel: bool,
    /// When the server last answered on a connection of this daemon.
    answered_at: Option<Instant>,
}

impl ServerPaths {
    /// Whether a statement may be sent through an owner now.
    pub(crate) fn may_forward(&self, owner: &SocketAddr, now: Instant) -> bool {
        self.owner_circuits.get(owner).is_none_or(|circuit| circuit.allows_request(now))
    }

    /// Records that a statement is sent through an owner.
    pub(crate) fn on_forward(&mut self, owner: &SocketAddr, now: Instant) {
        if let Some(circuit) = self.owner_circuits.get_mut(owner) {
            circuit.on_request(now);
        }
    }

    /// Whether this daemon has no direct path to the server.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether a tunnel to the server is known to work.
    pub(crate) fn has_working_tunnel(&self) -> bool {
        self.has_working_tunnel
    }

    /// Drops the state of daemons that are no longer owners.
    pub(crate) fn retain_owners(&mut self, owners: &[SocketAddr]) {
        self.owner_circuits.retain(|owner, _| owners.contains(owner));
    }

    fn on_outcome(
        &mut self,
        owner: SocketAddr,
        outcome: PathOutcome,
        now: Instant,
    ) -> Option<CircuitChange> {
        if outcome == PathOutcome::Answered && !self.owner_circuits.contains_key(&owner) {
            return None;
        }
        let circuit = self.owner_circuits.entry(owner).or_default();
        let change = circuit.on_outcome(outcome, now);
        if change == Some(CircuitChange::Closed) {
            self.owner_circuits.remove(&owner);
        }
        change
    }

    /// Records an answer on a connection of this daemon.
    fn on_direct_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.is_unreachable = false;
        self.has_working_tunnel = false;
    }

    /// Records a failed probe that began at `probed_at`. It is ignored if the server has answered on a connection since
    /// then, since a busy server is slow to accept new connections.
    fn on_unreachable(&mut self, probed_at: Instant) {
        self.is_unreachable = self.answered_at.is_none_or(|at| at < probed_at);
    }
}

impl<E: EndpointDialect> GroupPool<E> {
    /// Whether circuit breakers are used: they are enabled and connections are scarce.
    pub(super) fn has_circuits(&self) -> bool {
        self.overload.circuits && self.state.borrow().idle_policy != IdlePolicy::KeepOne
    }

    /// Fails the waiting statements that can only run on a server which this daemon can't reach.
    fn fail_waiters_for(&self, server: &str) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let PoolState { servers, waiters, .. } = &mut *state;
        let Some(pooled) = servers.iter().find(|pooled| &*pooled.entry.server == server) else {
            return;
        };
        if !pooled.is_unreachable(now) {
            return;
        }
        for queue in waiters {
            queue.retain(|waiter| waiter.request.only.as_ref() != Some(&pooled.entry.server));
        }
    }

    /// Records that a server answered this daemon directly, even if it only accepted or refused a connection.
    pub(crate) fn on_direct_answer(&self, server: &str) {
        self.with_server(server, |pooled| pooled.paths.on_direct_answer(Instant::now()));
    }

    fn is_unreachable(&self, server: &str) -> bool {
        self.with_server(server, |pooled| pooled.paths.is_unreachable).unwrap_or(false)
    }

    /// Marks the search for a tunnel as running; returns `Some(true)` if a search is needed and none was running.
    fn begin_tunnel_search(&self, server: &str) -> Option<bool> {
        self.with_server(server, |pooled| {
            pooled.paths.is_unreachable
                && !std::mem::replace(&mut pooled.paths.is_searching_tunnel, true)
        })
    }

    fn end_tunnel_search(&self, server: &str) {
        self.with_server(server, |pooled| pooled.paths.is_searching_tunnel = false);
    }

    /// Records an attempt of this daemon's own callers, which counts as a probe if the server's circuit breaker is
    /// not closed.
    pub(super) fn on_attempt(&self, index: usize, request: &ConnectionRequest) {
        if !request.is_forwarded {
            self.state.borrow_mut().servers[index].health.on_request(Instant::now());
        }
    }

    /// Records whether a connection to a server could be opened through a tunnel.
    pub(crate) fn on_tunnel_result(&self, server: &str, is_open: bool) {
        self.with_server(server, |pooled| pooled.paths.has_working_tunnel = is_open);
    }

    /// Returns the next few daemons to try a tunnel through, if one is needed and none works yet.
    pub(crate) fn tunnels_to_try(&self, server: &str) -> Vec<SocketAddr> {
        let now = Instant::now();
        let to_try = self.with_server(server, |pooled| {
            let is_wanted = pooled.paths.is_unreachable && !pooled.paths.has_working_tunnel;
            let has_owner = self.owner_in_use(pooled, now).is_some();
            if !is_wanted || has_owner || !pooled.may_tunnel(now) {
                return Vec::new();
            }
            pooled
                .tunnels
                .iter()
                .skip(pooled.next_tunnel)
                .take(PARALLEL_TUNNEL_TRIES)
                .copied()
                .collect()
        });
        to_try.unwrap_or_default()
    }

    /// Records that a server does not answer this daemon's probe, and fails the statements that wait for this server.
    pub(crate) fn on_unreachable(&self, server: &str, probed_at: Instant) {
        if !self.has_circuits() {
            return;
        }
        self.with_server(server, |pooled| pooled.paths.on_unreachable(probed_at));
        self.fail_waiters_for(server);
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Searches in the background for a tunnel to a server for as long as this daemon can't reach it.
    pub(crate) fn search_tunnel(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        service: &Name,
        server: &Name,
    ) {
        if group.pool.begin_tunnel_search(server) != Some(true) {
            return;
        }
        let (engine, group) = (self.clone(), group.clone());
        let (service, server) = (service.clone(), server.clone());
        tokio::task::spawn_local(async move {
            while group.pool.is_unreachable(&server) {
                engine.find_tunnel(&group, &service, &server).await;
                tokio::time::sleep(TUNNEL_SEARCH_INTERVAL).await;
            }
            group.pool.end_tunnel_search(&server);
        });
    }

    /// Tries tunnels; returns when one works or no daemon is left to try.
    async fn find_tunnel(&self, group: &Group<E>, service: &Name, server: &Name) {
        loop {
            let peers = group.pool.tunnels_to_try(server);
            let Some(entry) = group.pool.entry_of(server).filter(|_| !peers.is_empty()) else {
                return;
            };
            let opened = peers.into_iter().map(|peer| self.try_tunnel(peer, &entry));
            let mut is_open = false;
            for (peer, opened) in futures::future::join_all(opened).await {
                match opened {
                    Ok(()) => is_open = true,
                    Err(lost) => {
                        log::debug!(
                            event = "no_detour", server = &**server,
                            peer = peer.to_string().as_str(), why = lost.to_string().as_str();
                            "another daemon has no path to the server either"
                        );
                        group.pool.on_tunnel_failed(server, peer);
                    }
                }
            }
            if is_open {
                group.pool.on_tunnel_result(server, true);
                log::info!(
                    event = "detour_found", service = &**service, server = &**server;
                    "an unreachable server can be reached through another daemon"
                );
                return;
            }
        }
    }

    /// Records that a server answered through an owner.
    pub(crate) fn record_path_answered(&self, pool: &GroupPool<E>, route: &ServerRoute) {
        self.record_path_outcome(pool, route, PathOutcome::Answered);
    }

    /// Records why a statement that was forwarded to an owner got no answer.
    pub(crate) fn record_path_lost(
        &self,
        pool: &GroupPool<E>,
        route: &ServerRoute,
        lost: &ConnectionLost,
    ) {
        match lost {
            ConnectionLost::NotGranted(NotSent::Unreachable) => {
                self.record_path_outcome(pool, route, PathOutcome::Refused);
            }
            ConnectionLost::NotGranted(NotSent::SetAside) => {
                pool.with_server(&route.server, |pooled| pooled.on_circuit_open());
            }
            _ => {}
        }
    }

    fn record_path_outcome(&self, pool: &GroupPool<E>, route: &ServerRoute, outcome: PathOutcome) {
        let Some(owner) = route.owner.filter(|_| self.settings.overload.circuits) else { return };
        let now = Instant::now();
        let change =
            pool.with_server(&route.server, |pooled| pooled.paths.on_outcome(owner, outcome, now));
        if let Some(Some(change)) = change {
            self.log_circuit(&route.server, owner, change);
        }
    }

    fn log_circuit(&self, server: &Name, owner: SocketAddr, change: CircuitChange) {
        let state = match change {
            CircuitChange::Opened => "open",
            CircuitChange::Closed => "closed",
        };
        self.metrics.circuit_changes.with_label_values(&["owner_to_server", state]).inc();
        log::info!(
            event = "circuit", hop = "owner_to_server", server = &**server,
            owner = owner.to_string().as_str(), state = state;
            "the circuit breaker of a path to a server changed state"
        );
    }
}
