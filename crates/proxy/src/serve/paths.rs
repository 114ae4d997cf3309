//! The ways from this daemon to a server, through the owners of its connections or by itself, and which of them work.
//!
//! A failure is charged to the hop that shows it: the link to an owner keeps its own account ([`crate::relay::links`]), an
//! owner that can't reach the server says so, and this daemon's own probe tells of its own way.

use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use model::Name;
use overload::{Circuit, CircuitChange, PathOutcome};

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

/// Daemons that are asked for a way to a server at a time: enough to find one within a second where half of the fleet has it,
/// and few connects for a server that is gone.
const PARALLEL_TUNNEL_TRIES: usize = 4;

/// How often it is looked whether there are daemons to ask: they are known once others have told what they can't reach.
const TUNNEL_SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// The ways to one server.
#[derive(Debug, Default)]
pub(crate) struct ServerPaths {
    through_owners: HashMap<SocketAddr, Circuit>,
    /// Whether this daemon's own connects go unanswered.
    is_unreachable: bool,
    /// Whether a connection was opened through another daemon since then.
    has_tunnel: bool,
    /// Whether such a one is being looked for.
    is_searching: bool,
    /// When the server last answered on a connection of this daemon.
    answered_at: Option<Instant>,
}

impl ServerPaths {
    /// Whether a statement may go through an owner now.
    pub(crate) fn may_pass(&self, owner: &SocketAddr, now: Instant) -> bool {
        self.through_owners.get(owner).is_none_or(|circuit| circuit.may_pass(now))
    }

    /// Notes that a statement goes through an owner.
    pub(crate) fn on_pass(&mut self, owner: &SocketAddr, now: Instant) {
        if let Some(circuit) = self.through_owners.get_mut(owner) {
            circuit.on_pass(now);
        }
    }

    /// Whether this daemon itself has no way to the server.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether another daemon is known to have a way to the server.
    pub(crate) fn has_tunnel(&self) -> bool {
        self.has_tunnel
    }

    /// Forgets owners that are none any more.
    pub(crate) fn keep_only(&mut self, owners: &[SocketAddr]) {
        self.through_owners.retain(|owner, _| owners.contains(owner));
    }

    fn on_outcome(
        &mut self,
        owner: SocketAddr,
        outcome: PathOutcome,
        now: Instant,
    ) -> Option<CircuitChange> {
        if outcome == PathOutcome::Answered && !self.through_owners.contains_key(&owner) {
            return None;
        }
        let circuit = self.through_owners.entry(owner).or_default();
        let change = circuit.on_outcome(outcome, now);
        if change == Some(CircuitChange::Closed) {
            self.through_owners.remove(&owner);
        }
        change
    }

    /// Notes an answer on a connection of this daemon.
    fn on_direct_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.is_unreachable = false;
        self.has_tunnel = false;
    }

    /// Notes that a connect went unanswered that was begun at `asked_at`; an answer since then says more: a server that is
    /// busy takes long for a new connection.
    fn on_unreachable(&mut self, asked_at: Instant) {
        self.is_unreachable = self.answered_at.is_none_or(|at| at < asked_at);
    }
}

impl<E: EndpointDialect> GroupPool<E> {
    /// Whether ways that do not work are set aside here.
    pub(super) fn has_circuits(&self) -> bool {
        self.overload.circuits && self.state.borrow().idle_policy != IdlePolicy::KeepOne
    }

    /// Sends those away that wait for a connection to a server which this daemon has no way to.
    fn fail_waiters_for(&self, server: &str) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let PoolState { servers, waiters, .. } = &mut *state;
        let Some(slot) = servers.iter().find(|slot| &*slot.entry.server == server) else { return };
        if !slot.is_unreachable(now) {
            return;
        }
        for queue in waiters {
            queue.retain(|waiter| waiter.request.only.as_ref() != Some(&slot.entry.server));
        }
    }

    /// Notes that a server answered this daemon itself, be it only a connect.
    pub(crate) fn on_direct_answer(&self, server: &str) {
        self.with_slot(server, |slot| slot.paths.on_direct_answer(Instant::now()));
    }

    fn is_unreachable(&self, server: &str) -> bool {
        self.with_slot(server, |slot| slot.paths.is_unreachable).unwrap_or(false)
    }

    /// Whether a search for a detour is to begin: there is need of one, and none goes on.
    fn begin_tunnel_search(&self, server: &str) -> Option<bool> {
        self.with_slot(server, |slot| {
            slot.paths.is_unreachable && !std::mem::replace(&mut slot.paths.is_searching, true)
        })
    }

    fn end_tunnel_search(&self, server: &str) {
        self.with_slot(server, |slot| slot.paths.is_searching = false);
    }

    /// Notes that a request of this daemon's own callers is a try, where the server's circuit is not closed.
    pub(super) fn note_attempt(&self, index: usize, request: &ConnectionRequest) {
        if !request.is_forwarded {
            self.state.borrow_mut().servers[index].health.on_pass(Instant::now());
        }
    }

    /// Notes whether a connection to a server came about through another daemon.
    pub(crate) fn on_tunnel(&self, server: &str, is_open: bool) {
        self.with_slot(server, |slot| slot.paths.has_tunnel = is_open);
    }

    /// Returns the daemons through which a way to a server is to be looked for: the next few, if it is wanted here and nothing
    /// leads there.
    pub(crate) fn tunnels_to_try(&self, server: &str) -> Vec<SocketAddr> {
        let now = Instant::now();
        let to_try = self.with_slot(server, |slot| {
            let is_wanted = slot.paths.is_unreachable && !slot.paths.has_tunnel;
            let has_owner = self.owner_in_use(slot, now).is_some();
            if !is_wanted || has_owner || !slot.has_tunnel(now) {
                return Vec::new();
            }
            slot.tunnels
                .iter()
                .skip(slot.next_tunnel)
                .take(PARALLEL_TUNNEL_TRIES)
                .copied()
                .collect()
        });
        to_try.unwrap_or_default()
    }

    /// Notes that a server does not answer this daemon's connects; who waits for a connection to it hears so at once.
    pub(crate) fn on_unreachable(&self, server: &str, asked_at: Instant) {
        if !self.has_circuits() {
            return;
        }
        self.with_slot(server, |slot| slot.paths.on_unreachable(asked_at));
        self.fail_waiters_for(server);
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Looks for a daemon with a way to a server that this one has none to, for as long as that lasts and with no request
    /// waiting for it.
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

    /// Ends when one is found or nothing is left to try.
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
                            "another daemon has no way to a server either"
                        );
                        group.pool.on_tunnel_failed(server, peer);
                    }
                }
            }
            if is_open {
                group.pool.on_tunnel(server, true);
                log::info!(
                    event = "detour_found", service = &**service, server = &**server;
                    "a server out of reach can be reached through another daemon"
                );
                return;
            }
        }
    }

    /// Takes note that an owner's server answered.
    pub(crate) fn note_path_answered(&self, pool: &GroupPool<E>, reached: &ServerRoute) {
        self.note_path_outcome(pool, reached, PathOutcome::Answered);
    }

    /// Takes note of why a statement that was handed to an owner got no answer.
    pub(crate) fn note_path_lost(
        &self,
        pool: &GroupPool<E>,
        reached: &ServerRoute,
        lost: &ConnectionLost,
    ) {
        match lost {
            ConnectionLost::NotGranted(NotSent::Unreachable) => {
                self.note_path_outcome(pool, reached, PathOutcome::Refused);
            }
            ConnectionLost::NotGranted(NotSent::SetAside) => {
                pool.with_slot(&reached.server, |slot| slot.note_set_aside());
            }
            _ => {}
        }
    }

    fn note_path_outcome(&self, pool: &GroupPool<E>, reached: &ServerRoute, outcome: PathOutcome) {
        let Some(owner) = reached.owner.filter(|_| self.settings.overload.circuits) else { return };
        let now = Instant::now();
        let change =
            pool.with_slot(&reached.server, |slot| slot.paths.on_outcome(owner, outcome, now));
        if let Some(Some(change)) = change {
            self.log_circuit(&reached.server, owner, change);
        }
    }

    fn log_circuit(&self, server: &Name, owner: SocketAddr, change: CircuitChange) {
        let state = match change {
            CircuitChange::Opened => "open",
            CircuitChange::Closed => "closed",
        };
        self.metrics.circuits.with_label_values(&["owner_to_server", state]).inc();
        log::info!(
            event = "circuit", hop = "owner_to_server", server = &**server,
            owner = owner.to_string().as_str(), state = state;
            "the circuit of a way to a server changed"
        );
    }
}
