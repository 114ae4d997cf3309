//! The connections of this daemon to the servers of one service, and the statements that wait for one.
//!
//! Connections are few and belong to all daemons together: each may have its share of what a server
//! grants ([`super::share`]). Who finds none free waits, the most urgent first, and gets whatever suitable
//! connection is given back next. `docs/PLATFORM.md`, "Connections", says what was weighed.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use config::OverloadSettings;
use overload::{Layout, Reach};
use tokio::sync::oneshot;

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    control::control_view::{Owners, TunnelPeers},
    dialect::EndpointDialect,
    relay::{
        lease::{Lease, LeaseOptions},
        link::RelayLink,
        links::RelayLinks,
    },
    serve::{
        choose::{Candidate, Choice, choose, mark_non_preferred},
        connection::EndpointConnection,
        connection_request::ConnectionRequest,
        pooled_connection::{Backing, OpeningPermit, PooledConnection},
        replay::{Environment, SessionValues},
        server_queue::QueuePermit,
        share::{IdlePolicy, OwnerQuota, Share},
        slot::ServerSlot,
    },
};

/// A statement that waits for a connection.
pub(super) struct Waiter<E: EndpointDialect> {
    pub(super) request: ConnectionRequest,
    pub(super) grant: oneshot::Sender<Offer<E>>,
}

pub(super) struct PoolState<E: EndpointDialect> {
    pub(super) idle_policy: IdlePolicy,
    pub(super) servers: Vec<ServerSlot<E>>,
    pub(super) waiters: [VecDeque<Waiter<E>>; PRIORITIES],
    /// Whether daemons own connections for others.
    pub(super) is_owned: bool,
}

/// Priorities that are told apart; less urgent ones count as the last.
pub(super) const PRIORITIES: usize = 4;

/// The pool of one service.
pub struct GroupPool<E: EndpointDialect> {
    layout: Rc<Layout>,
    relays: Rc<RelayLinks>,
    /// Which decisions under load are made.
    pub(super) overload: OverloadSettings,
    pub(super) state: RefCell<PoolState<E>>,
}

/// Why no connection was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// No server may run the statement.
    NoServer,
    /// Too many statements wait already.
    QueueFull,
    /// None was free in time.
    TooLate,
    /// More urgent work and that of others leave no room in time.
    Overloaded {
        /// When asking again may help.
        retry_delay: Duration,
    },
}

/// What a request was answered with.
pub enum Offer<E: EndpointDialect> {
    /// A connection.
    Ready(PooledConnection<E>),
    /// Leave to open one.
    Open(OpeningPermit<E>),
}

impl<E: EndpointDialect> GroupPool<E> {
    /// Makes a pool without servers for a daemon that stands somewhere in a layout.
    pub fn new(
        layout: Rc<Layout>,
        relays: Rc<RelayLinks>,
        overload: OverloadSettings,
    ) -> GroupPool<E> {
        let state = PoolState {
            idle_policy: IdlePolicy::KeepOne,
            servers: Vec::new(),
            waiters: Default::default(),
            is_owned: false,
        };
        GroupPool { layout, relays, overload, state: RefCell::new(state) }
    }

    /// Takes over which servers there are, how many connections each may have and who owns them.
    pub fn update(
        self: &Rc<Self>,
        entries: &[Arc<ServerEntry>],
        share: Share,
        detours: &TunnelPeers,
        owners: &Owners,
    ) {
        let mut state = self.state.borrow_mut();
        state.idle_policy = share.idle_policy;
        state.is_owned = share.owned.is_some();
        for slot in &mut state.servers {
            slot.listed = entries.iter().any(|entry| entry.server == slot.entry.server);
            if !slot.listed {
                slot.idle.clear();
            }
        }
        state.servers.retain(|slot| slot.listed || slot.in_use > 0);
        for entry in entries {
            match state.servers.iter_mut().find(|slot| slot.entry.server == entry.server) {
                Some(slot) => slot.set_entry(entry.clone()),
                None => state.servers.push(ServerSlot::new(entry.clone())),
            }
        }
        for slot in &mut state.servers {
            slot.set_tunnels(detours.get(&slot.entry.server).cloned().unwrap_or_default());
            let is_near = slot.entry.availability_zone == *self.layout.zone();
            let server = &slot.entry.server;
            let ownership = match share.owned {
                None => None,
                Some(OwnerQuota::PerZone(_)) => owners.in_zone(server, self.layout.zone()),
                Some(OwnerQuota::Single { .. }) => owners
                    .in_zone(server, &slot.entry.availability_zone)
                    .or_else(|| owners.in_any_zone(server)),
            };
            (slot.limit, slot.keeps) = match (&ownership, share.owned, share.idle_policy) {
                (Some(ownership), Some(owned), _) if ownership.is_owner => {
                    let place = ownership.owners_before.len();
                    (owned.limit_of(place, self.overload.queue), owned.kept_by(place))
                }
                (Some(_), _, _) => (share.limit, 0),
                (None, _, IdlePolicy::KeepOne) => (share.limit, 1),
                (None, _, IdlePolicy::KeepOneInZone) => (share.limit, u32::from(is_near)),
                (None, _, IdlePolicy::KeepNone) => (share.limit, 0),
            };
            slot.owners = ownership.map(|it| it.owners_before).unwrap_or_default();
            slot.paths.keep_only(&slot.owners);
            slot.overflow = share.overflow;
            let most = slot.limit + share.overflow;
            slot.set_queue(self.queue_room(slot, &share));
            slot.set_competing(self.do_accounts_compete(&share));
            let surplus = (slot.idle.len() as u32 + slot.in_use).saturating_sub(most) as usize;
            let kept = slot.idle.len().saturating_sub(surplus);
            slot.idle.truncate(kept);
        }
        drop(state);
        self.serve_waiters();
    }

    /// Finds a connection, or leave to open one, waiting until `deadline` if all are in use.
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
            if has_idle && let Some(lent) = self.acquire_remote(index, &request, deadline) {
                return Ok(Offer::Ready(lent));
            }
            self.note_attempt(index, &request);
            if let Some(offer) = self.acquire_queued(index, &request, values, deadline).await? {
                return Ok(offer);
            }
        }
    }

    /// Returns the right to use a connection of the server's owner, if another daemon owns them and is there.
    fn acquire_remote(
        self: &Rc<Self>,
        index: usize,
        request: &ConnectionRequest,
        wait_until: Instant,
    ) -> Option<PooledConnection<E>> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let last_resort =
            state.servers.iter().filter(|slot| slot.is_fit(request, now)).count() <= 1;
        let slot = &mut state.servers[index];
        let link = self.owner_of(slot, request, now)?;
        slot.paths.on_pass(&link.owner(), now);
        slot.in_use_remote += 1;
        let options = LeaseOptions {
            service: slot.entry.service.clone(),
            server: slot.entry.server.clone(),
            wait_until,
            priority: request.priority,
            at_primary: request.primary.as_ref() == Some(&slot.entry.server),
            yields: request.yields,
            previous_attempts: request.previous_attempts,
            last_resort,
            principal: request.principal.clone().unwrap_or(Principal::Daemon),
        };
        let lease = Lease::new(self.relays.clone(), link, options);
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
        slot: &ServerSlot<E>,
        request: &ConnectionRequest,
        now: Instant,
    ) -> Option<Rc<RelayLink>> {
        if request.is_forwarded {
            return None;
        }
        self.owner_in_use(slot, now)
    }

    /// Returns the link to the first owner that is there and has a way to the server.
    pub(super) fn owner_in_use(&self, slot: &ServerSlot<E>, now: Instant) -> Option<Rc<RelayLink>> {
        let owners = slot.owners.iter().filter(|owner| slot.paths.may_pass(owner, now));
        self.relays.to_first(owners.copied(), now)
    }

    /// Returns the link to the daemon that owns the connections to a server, if that is another one and there.
    pub(crate) fn owner_link(&self, server: &str) -> Option<Rc<RelayLink>> {
        let now = Instant::now();
        self.with_slot(server, |slot| self.owner_in_use(slot, now))?
    }

    /// Notes that nothing runs any more at an owner that ran there.
    pub(super) fn release_remote(&self, server: &str) {
        self.with_slot(server, |slot| slot.in_use_remote = slot.in_use_remote.saturating_sub(1));
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
            // Better a server that was away a moment ago than none.
            for slot in &mut state.servers {
                slot.away_until = None;
                slot.lagging_until = None;
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
            state.servers.iter_mut().enumerate().filter(|(_, slot)| slot.is_fit(request, now));
        fit.filter_map(|(index, slot)| {
            slot.forget_old_latency(now);
            if let Some(owner) = self.owner_of(slot, request, now) {
                let wait = self.reported_wait(&owner, &slot.entry.server, request.rank(), now);
                return Some(Candidate {
                    index,
                    reach: self.layout.reach(&slot.entry.availability_zone),
                    is_primary: request.primary.as_ref() == Some(&slot.entry.server),
                    // Its queue is at the owner, where the whole zone's demand is seen.
                    idle: 1,
                    in_use: slot.in_use_remote,
                    limit: u32::MAX,
                    is_full: false,
                    is_non_preferred: false,
                    latency_us: slot.latency.get_us(),
                    wait_us: wait.as_micros() as u64,
                });
            }
            if slot.is_unreachable(now) {
                return None;
            }
            let waits_elsewhere = request.principal.is_some();
            let queue = slot.queue.as_ref().filter(|_| waits_elsewhere);
            Some(Candidate {
                index,
                reach: match slot.tunnels.is_empty() {
                    true => self.layout.reach(&slot.entry.availability_zone),
                    // Through another daemon nothing is near.
                    false => {
                        Reach::SameRegion.max(self.layout.reach(&slot.entry.availability_zone))
                    }
                },
                is_primary: request.primary.as_ref() == Some(&slot.entry.server),
                idle: slot.idle_for(request),
                in_use: queue.map_or(slot.in_use, |queue| queue.outstanding()),
                // Where it has a queue, statements wait in that one.
                limit: queue.map_or_else(|| slot.limit_at(now), |_| u32::MAX),
                is_full: slot.is_full_for(request),
                is_non_preferred: false,
                latency_us: slot.latency.get_us(),
                wait_us: 0,
            })
        })
        .collect()
    }

    /// Takes the idle connection that needs the least to be sent before the statement.
    pub(super) fn take_idle(
        &self,
        index: usize,
        values: &SessionValues,
        request: &ConnectionRequest,
    ) -> Option<Box<EndpointConnection<E>>> {
        let mut state = self.state.borrow_mut();
        let slot = &mut state.servers[index];
        slot.idle.retain(|(_, connection)| connection.is_reusable());
        let fitting = |wanted: fn(&Environment, &SessionValues) -> bool| {
            slot.idle.iter().rposition(|(_, idle)| {
                request.accepts_principal(&idle.principal) && wanted(&idle.environment, values)
            })
        };
        let best = fitting(Environment::has_values)
            .or_else(|| fitting(Environment::can_become))
            .or_else(|| fitting(|_, _| true))?;
        slot.take(request.yields);
        Some(slot.idle.remove(best).1)
    }

    pub(super) fn permit_opening(
        self: &Rc<Self>,
        index: usize,
        request: &ConnectionRequest,
        permit: Option<QueuePermit>,
    ) -> OpeningPermit<E> {
        let mut state = self.state.borrow_mut();
        let slot = &mut state.servers[index];
        slot.make_room();
        slot.take(request.yields);
        OpeningPermit {
            pool: self.clone(),
            entry: slot.entry.clone(),
            yields: request.yields,
            settled: false,
            permit,
            principal: request.principal.clone().unwrap_or(Principal::Daemon),
        }
    }

    /// Gives who waits leave to open a connection to a server, if it still waits.
    pub(super) fn offer_opening(self: &Rc<Self>, server: &str, waiter: Waiter<E>) {
        let place = {
            let state = self.state.borrow();
            state.servers.iter().position(|slot| &*slot.entry.server == server)
        };
        let Some(index) = place else { return };
        let place = self.permit_opening(index, &waiter.request, None);
        // A place that nobody takes any more gives itself up when it is dropped.
        let _ = waiter.grant.send(Offer::Open(place));
    }

    pub(super) fn pooled(
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

    pub(super) fn with_slot<R>(
        &self,
        server: &str,
        act: impl FnOnce(&mut ServerSlot<E>) -> R,
    ) -> Option<R> {
        let mut state = self.state.borrow_mut();
        state.servers.iter_mut().find(|slot| &*slot.entry.server == server).map(act)
    }

    /// Ends connections that nobody has needed for a while; `true` if there may be more to end.
    pub fn close_spare_connections(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let is_scarce = state.idle_policy != IdlePolicy::KeepOne;
        if is_scarce {
            for slot in &mut state.servers {
                slot.close_spare();
            }
        }
        is_scarce
    }

    pub(super) fn put_idle(&self, connection: Box<EndpointConnection<E>>) {
        let server = connection.server.clone();
        self.with_slot(&server, |slot| {
            slot.leave(false);
            let is_wanted = (connection.is_direct || !slot.tunnels.is_empty())
                && connection.incarnation == slot.entry.incarnation;
            if is_wanted
                && slot.listed
                && (slot.idle.len() as u32 + slot.in_use) < slot.limit + slot.overflow
            {
                slot.idle.push((Instant::now(), connection));
                slot.close_spare();
            }
        });
    }

    pub(super) fn forget_connection(self: &Rc<Self>, server: &str, yields: bool) {
        self.with_slot(server, |slot| slot.leave(yields));
        self.serve_waiters();
    }
}
