//! The connections of this daemon to the servers of one service, and the statements that wait for one.
//!
//! Connections are scarce and shared by all daemons: each has its share of what a server grants ([`super::share`]). If
//! all are in use, statements wait in the order of their priority for the next suitable connection that is released.
//! `docs/PLATFORM.md`, "Connections", explains the design.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use config::OverloadSettings;
use overload::{ZoneDistance, ZoneLayout};
use tokio::sync::oneshot;

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    control::control_view::{Owners, TunnelPeers},
    dialect::EndpointDialect,
    relay::{
        lease::{ConnectionLease, ConnectionLeaseOptions},
        link::RelayLink,
        links::RelayLinks,
    },
    serve::{
        choose::{Candidate, Choice, choose, mark_non_preferred},
        connection::EndpointConnection,
        connection_request::ConnectionRequest,
        pooled_connection::{Backing, OpeningPermit, PooledConnection},
        pooled_server::PooledServer,
        replay::{Environment, SessionValues},
        server_queue::QueuePermit,
        share::{IdlePolicy, OwnerQuota, Share},
    },
};

/// A statement that waits for a connection.
pub(super) struct Waiter<E: EndpointDialect> {
    pub(super) request: ConnectionRequest,
    pub(super) grant: oneshot::Sender<Offer<E>>,
}

pub(super) struct PoolState<E: EndpointDialect> {
    pub(super) idle_policy: IdlePolicy,
    pub(super) servers: Vec<PooledServer<E>>,
    pub(super) waiters: [VecDeque<Waiter<E>>; PRIORITIES],
    /// Whether some daemons own the connections on behalf of others.
    pub(super) has_owners: bool,
}

/// Number of priority levels; less urgent priorities share the last one.
pub(super) const PRIORITIES: usize = 4;

/// The connection pool of one service.
pub struct GroupPool<E: EndpointDialect> {
    layout: Rc<ZoneLayout>,
    relays: Rc<RelayLinks>,
    /// Which overload controls are enabled.
    pub(super) overload: OverloadSettings,
    pub(super) state: RefCell<PoolState<E>>,
}

/// Why no connection was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// No suitable server is available.
    NoServer,
    /// Too many statements are waiting.
    QueueFull,
    /// No connection was free before the deadline.
    TooLate,
    /// More urgent work or the work of other accounts leaves no room before the deadline.
    Overloaded {
        /// How long to wait before retrying.
        retry_delay: Duration,
    },
}

/// The result of acquiring: a connection or the permission to open one.
pub enum Offer<E: EndpointDialect> {
    /// A connection that is ready for use.
    Ready(PooledConnection<E>),
    /// Permission to open a connection.
    Open(OpeningPermit<E>),
}

impl<E: EndpointDialect> GroupPool<E> {
    /// Creates a pool without servers. `layout` says in which zone and region this daemon runs.
    pub fn new(
        layout: Rc<ZoneLayout>,
        relays: Rc<RelayLinks>,
        overload: OverloadSettings,
    ) -> GroupPool<E> {
        let state = PoolState {
            idle_policy: IdlePolicy::KeepOne,
            servers: Vec::new(),
            waiters: Default::default(),
            has_owners: false,
        };
        GroupPool { layout, relays, overload, state: RefCell::new(state) }
    }

    /// Applies the current list of servers, the connection limit of each and the owners of its connections.
    pub fn update(
        self: &Rc<Self>,
        entries: &[Arc<ServerEntry>],
        share: Share,
        tunnels: &TunnelPeers,
        owners: &Owners,
    ) {
        let mut state = self.state.borrow_mut();
        state.idle_policy = share.idle_policy;
        state.has_owners = share.owned.is_some();
        for pooled in &mut state.servers {
            pooled.listed = entries.iter().any(|entry| entry.server == pooled.entry.server);
            if !pooled.listed {
                pooled.idle.clear();
            }
        }
        state.servers.retain(|pooled| pooled.listed || pooled.in_use > 0);
        for entry in entries {
            match state.servers.iter_mut().find(|pooled| pooled.entry.server == entry.server) {
                Some(pooled) => pooled.set_entry(entry.clone()),
                None => state.servers.push(PooledServer::new(entry.clone())),
            }
        }
        for pooled in &mut state.servers {
            pooled.set_tunnels(tunnels.get(&pooled.entry.server).cloned().unwrap_or_default());
            let is_near = pooled.entry.availability_zone == *self.layout.zone();
            let server = &pooled.entry.server;
            let ownership = match share.owned {
                None => None,
                Some(OwnerQuota::PerZone(_)) => owners.in_zone(server, self.layout.zone()),
                Some(OwnerQuota::Single { .. }) => owners
                    .in_zone(server, &pooled.entry.availability_zone)
                    .or_else(|| owners.in_any_zone(server)),
            };
            (pooled.limit, pooled.min_idle) = match (&ownership, share.owned, share.idle_policy) {
                (Some(ownership), Some(owned), _) if ownership.is_owner => {
                    let rank = ownership.owners_before.len();
                    (owned.limit_of(rank, self.overload.queue), owned.kept_by(rank))
                }
                (Some(_), _, _) => (share.limit, 0),
                (None, _, IdlePolicy::KeepOne) => (share.limit, 1),
                (None, _, IdlePolicy::KeepOneInZone) => (share.limit, u32::from(is_near)),
                (None, _, IdlePolicy::KeepNone) => (share.limit, 0),
            };
            pooled.owners = ownership.map(|it| it.owners_before).unwrap_or_default();
            pooled.paths.retain_owners(&pooled.owners);
            pooled.overflow = share.overflow;
            let max = pooled.limit + share.overflow;
            pooled.set_queue(self.queue_capacity(pooled, &share));
            pooled.set_accounts_compete(self.accounts_compete(&share));
            let surplus = (pooled.idle.len() as u32 + pooled.in_use).saturating_sub(max) as usize;
            let kept = pooled.idle.len().saturating_sub(surplus);
            pooled.idle.truncate(kept);
        }
        drop(state);
        self.serve_waiters();
    }

    /// Acquires a connection or the permission to open one. Waits until `deadline` if all are in use.
    pub async fn acquire(
        self: &Rc<Self>,
        request: ConnectionRequest,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<Offer<E>, NoConnection> {
        loop {
            let (index, has_idle) = match self.choose_now(&request) {
                Choice::UseIdle(index) => (index, true),
                Choice::Open(index) => (index, false),
                Choice::Wait => return self.wait_for_connection(request, deadline).await,
                Choice::NoServer => return Err(NoConnection::NoServer),
            };
            if has_idle && let Some(connection) = self.acquire_remote(index, &request, deadline) {
                return Ok(Offer::Ready(connection));
            }
            self.on_attempt(index, &request);
            if let Some(offer) = self.acquire_queued(index, &request, values, deadline).await? {
                return Ok(offer);
            }
        }
    }

    /// Returns a lease on a connection of another daemon, if it owns the server's connections and is reachable.
    fn acquire_remote(
        self: &Rc<Self>,
        index: usize,
        request: &ConnectionRequest,
        wait_until: Instant,
    ) -> Option<PooledConnection<E>> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let last_resort =
            state.servers.iter().filter(|pooled| pooled.is_fit(request, now)).count() <= 1;
        let pooled = &mut state.servers[index];
        let link = self.owner_of(pooled, request, now)?;
        pooled.paths.on_forward(&link.owner(), now);
        pooled.in_use_remote += 1;
        let options = ConnectionLeaseOptions {
            service: pooled.entry.service.clone(),
            server: pooled.entry.server.clone(),
            wait_until,
            priority: request.priority,
            at_primary: request.primary.as_ref() == Some(&pooled.entry.server),
            yields: request.yields,
            previous_attempts: request.previous_attempts,
            last_resort,
            principal: request.principal.clone().unwrap_or(Principal::Daemon),
        };
        let lease = ConnectionLease::new(self.relays.clone(), link, options);
        let backing = Backing::Remote(lease);
        Some(PooledConnection {
            pool: self.clone(),
            backing,
            acquired_at: Instant::now(),
            yields: false,
            permit: None,
            statement_permit: None,
        })
    }

    fn owner_of(
        &self,
        pooled: &PooledServer<E>,
        request: &ConnectionRequest,
        now: Instant,
    ) -> Option<Rc<RelayLink>> {
        if request.is_forwarded {
            return None;
        }
        self.owner_in_use(pooled, now)
    }

    /// Returns the link to the first owner that is reachable and has a working path to the server.
    pub(super) fn owner_in_use(
        &self,
        pooled: &PooledServer<E>,
        now: Instant,
    ) -> Option<Rc<RelayLink>> {
        let owners = pooled.owners.iter().filter(|owner| pooled.paths.may_forward(owner, now));
        self.relays.first_usable(owners.copied(), now)
    }

    /// Returns the link to the daemon that owns the connections to a server; `None` if that is this daemon or if no
    /// owner is reachable.
    pub(crate) fn owner_link(&self, server: &str) -> Option<Rc<RelayLink>> {
        let now = Instant::now();
        self.with_server(server, |pooled| self.owner_in_use(pooled, now))?
    }

    /// Records that a statement or transaction on an owner's connections has ended.
    pub(super) fn release_remote(&self, server: &str) {
        self.with_server(server, |pooled| {
            pooled.in_use_remote = pooled.in_use_remote.saturating_sub(1)
        });
    }

    fn choose_now(&self, request: &ConnectionRequest) -> Choice {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let mut candidates = self.candidates(&mut state, request, now);
        candidates.retain(|it| state.servers[it.index].is_healthy_for(request, now));
        if let Some(Principal::Account(account)) = &request.principal {
            mark_non_preferred(&mut candidates, account, |index| {
                &state.servers[index].entry.server
            });
        }
        if candidates.is_empty() && request.only.is_none() {
            // No server is left: consider also those that are avoided after recent failures.
            for pooled in &mut state.servers {
                pooled.avoid_until = None;
                pooled.lagging_until = None;
            }
            candidates = self.candidates(&mut state, request, now);
        }
        choose(&candidates, state.idle_policy != IdlePolicy::KeepOne)
    }

    fn candidates(
        &self,
        state: &mut PoolState<E>,
        request: &ConnectionRequest,
        now: Instant,
    ) -> Vec<Candidate> {
        let fit =
            state.servers.iter_mut().enumerate().filter(|(_, pooled)| pooled.is_fit(request, now));
        fit.filter_map(|(index, pooled)| {
            pooled.forget_old_latency(now);
            if let Some(owner) = self.owner_of(pooled, request, now) {
                let wait = self.reported_wait(&owner, &pooled.entry.server, request.rank(), now);
                return Some(Candidate {
                    index,
                    distance: self.layout.distance(&pooled.entry.availability_zone),
                    is_primary: request.primary.as_ref() == Some(&pooled.entry.server),
                    // Always available: statements queue at the owner, which sees the demand of the whole zone.
                    idle: 1,
                    in_use: pooled.in_use_remote,
                    limit: u32::MAX,
                    is_full: false,
                    is_non_preferred: false,
                    latency_us: pooled.latency.get_us(),
                    wait_us: wait.as_micros() as u64,
                });
            }
            if pooled.is_unreachable(now) {
                return None;
            }
            let may_queue = request.principal.is_some();
            let queue = pooled.queue.as_ref().filter(|_| may_queue);
            Some(Candidate {
                index,
                distance: match pooled.tunnels.is_empty() {
                    true => self.layout.distance(&pooled.entry.availability_zone),
                    // A tunnel through another daemon costs at least as much as crossing zones.
                    false => ZoneDistance::SameRegion
                        .max(self.layout.distance(&pooled.entry.availability_zone)),
                },
                is_primary: request.primary.as_ref() == Some(&pooled.entry.server),
                idle: pooled.idle_for(request),
                in_use: queue.map_or(pooled.in_use, |queue| queue.outstanding()),
                // Statements wait in the server's own queue, if it has one.
                limit: queue.map_or_else(|| pooled.limit_at(now), |_| u32::MAX),
                is_full: pooled.is_full_for(request),
                is_non_preferred: false,
                latency_us: pooled.latency.get_us(),
                wait_us: 0,
            })
        })
        .collect()
    }

    /// Takes the idle connection that needs the fewest commands before the statement.
    pub(super) fn take_idle(
        &self,
        index: usize,
        values: &SessionValues,
        request: &ConnectionRequest,
    ) -> Option<Box<EndpointConnection<E>>> {
        let mut state = self.state.borrow_mut();
        let pooled = &mut state.servers[index];
        pooled.idle.retain(|(_, connection)| connection.is_reusable());
        let fitting = |wanted: fn(&Environment, &SessionValues) -> bool| {
            pooled.idle.iter().rposition(|(_, idle)| {
                request.accepts_principal(&idle.principal) && wanted(&idle.environment, values)
            })
        };
        let best = fitting(Environment::has_values)
            .or_else(|| fitting(Environment::can_become))
            .or_else(|| fitting(|_, _| true))?;
        pooled.on_acquired(request.yields);
        Some(pooled.idle.remove(best).1)
    }

    pub(super) fn permit_opening(
        self: &Rc<Self>,
        index: usize,
        request: &ConnectionRequest,
        permit: Option<QueuePermit>,
    ) -> OpeningPermit<E> {
        let mut state = self.state.borrow_mut();
        let pooled = &mut state.servers[index];
        pooled.make_room();
        pooled.on_acquired(request.yields);
        OpeningPermit {
            pool: self.clone(),
            entry: pooled.entry.clone(),
            yields: request.yields,
            is_opened: false,
            permit,
            principal: request.principal.clone().unwrap_or(Principal::Daemon),
        }
    }

    /// Offers a waiting statement the permission to open a connection to a server.
    pub(super) fn offer_opening(self: &Rc<Self>, server: &str, waiter: Waiter<E>) {
        let found = {
            let state = self.state.borrow();
            state.servers.iter().position(|pooled| &*pooled.entry.server == server)
        };
        let Some(index) = found else { return };
        let permit = self.permit_opening(index, &waiter.request, None);
        // If the waiter is gone, dropping the permit releases its place in the pool.
        let _ = waiter.grant.send(Offer::Open(permit));
    }

    pub(super) fn pooled_connection(
        self: &Rc<Self>,
        connection: Box<EndpointConnection<E>>,
        yields: bool,
        permit: Option<QueuePermit>,
    ) -> PooledConnection<E> {
        let backing = Backing::Local(connection);
        PooledConnection {
            pool: self.clone(),
            backing,
            acquired_at: Instant::now(),
            yields,
            permit,
            statement_permit: None,
        }
    }

    pub(super) fn with_server<R>(
        &self,
        server: &str,
        act: impl FnOnce(&mut PooledServer<E>) -> R,
    ) -> Option<R> {
        let mut state = self.state.borrow_mut();
        state.servers.iter_mut().find(|pooled| &*pooled.entry.server == server).map(act)
    }

    /// Closes connections that have been idle for too long. Returns `true` if more may have to be closed later.
    pub fn close_spare_connections(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let is_scarce = state.idle_policy != IdlePolicy::KeepOne;
        if is_scarce {
            for pooled in &mut state.servers {
                pooled.close_spare();
            }
        }
        is_scarce
    }

    pub(super) fn put_idle(&self, connection: Box<EndpointConnection<E>>) {
        let server = connection.server.clone();
        self.with_server(&server, |pooled| {
            pooled.on_released(false);
            let is_wanted = (connection.is_direct || !pooled.tunnels.is_empty())
                && connection.incarnation == pooled.entry.incarnation;
            if is_wanted
                && pooled.listed
                && (pooled.idle.len() as u32 + pooled.in_use) < pooled.limit + pooled.overflow
            {
                pooled.idle.push((Instant::now(), connection));
                pooled.close_spare();
            }
        });
    }

    /// Releases the place of a connection that was closed or could not be opened, and offers it to waiting statements.
    pub(super) fn release_place(self: &Rc<Self>, server: &str, yields: bool) {
        self.with_server(server, |pooled| pooled.on_released(yields));
        self.serve_waiters();
    }
}
