//! The pool's state of one server: its connections, its recent answers and whether it may be used.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::LogPoint;
use overload::{
    AfterRefusal, Capacity, CircuitBreaker, ConnectionGrant, IdleConnection, ReuseHistory,
};
use routing::LatencyAverage;

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    serve::{
        connection::EndpointConnection, connection_request::ConnectionRequest, paths::ServerPaths,
        server_queue::ServerQueue,
    },
};

/// How long a server is avoided after its log lacked the required point.
const LAGGING_PAUSE: Duration = Duration::from_millis(150);
/// How long after that pause the server still counts as lagging when the whole group is assessed.
const RECENT_LAG_WINDOW: Duration = Duration::from_millis(500);
/// A latency without a newer measurement is dropped after this time, so that the server is tried again.
const LATENCY_LIFETIME: Duration = Duration::from_secs(2);
/// Statements that yield to others may use this fraction (1/n) of a primary's connections.
const YIELDING_DIVISOR: u32 = 2;
/// How long a server that could not be reached is avoided at first. Doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest time for which an unreachable server is avoided.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// Longest pause before opening a connection again after the server refused one. Connections of dead daemons end
/// after some seconds and make room.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(250);
/// How long a connection above the kept minimum may stay idle. Closing it makes room for daemons that restart while
/// the server still counts their old connections.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same where accounts compete for an owner's connections. Longer than the interval between statements of an
/// account that sends one every few seconds.
const COMPETED_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long a connection may stay idle where there are more daemons than connections to a server.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long no overflow connection is opened after the server refused a connection. Longer than an overflow connection
/// stays idle, so that daemons below their share can open connections.
const OVERFLOW_PAUSE: Duration = Duration::from_millis(2_000);

/// How long no tunnel is tried after all of them failed. Other daemons need about this long to detect and report that
/// they can't reach the server either.
const TUNNEL_PAUSE: Duration = Duration::from_millis(500);

/// One server and the connections to it.
pub(crate) struct PooledServer<E> {
    pub(crate) entry: Arc<ServerEntry>,
    /// Idle connections and since when each is idle, the longest idle first.
    pub(crate) idle: Vec<(Instant, Box<EndpointConnection<E>>)>,
    /// Connections of this daemon in use, including those that are being opened.
    pub(crate) in_use: u32,
    /// Connections in use by statements that yield to others.
    pub(crate) yielding: u32,
    /// Number of connections that this daemon may have without overflow.
    pub(crate) limit: u32,
    /// Number of connections beyond the limit that may be opened, and until when none may.
    pub(crate) overflow: u32,
    pub(crate) no_overflow_until: Option<Instant>,
    /// Number of connections that are kept however long they are idle.
    pub(crate) min_idle: u32,
    /// The daemons that own the connections to this server, in order of preference; empty if this one does.
    pub(crate) owners: Arc<[SocketAddr]>,
    /// Statements and transactions that run on connections of owners.
    pub(crate) in_use_remote: u32,
    pub(crate) latency: LatencyAverage,
    /// When the latency was last measured.
    pub(crate) latency_at: Option<Instant>,
    /// The last log point that the server returned.
    pub(crate) point: Option<LogPoint>,
    /// Until when the server counts as lagging behind reads that require a later log point.
    pub(crate) lagging_until: Option<Instant>,
    /// Failures since the last answer; they determine the backoff.
    pub(crate) failures: u32,
    /// Until when no connection is opened after a failure to open one.
    pub(crate) no_opening_until: Option<Instant>,
    /// Until when the server gets no statements after a failure, if another server is available.
    pub(crate) avoid_until: Option<Instant>,
    /// Daemons that can tunnel to the server while this one has no path to it, the index of the next to try, and
    /// until when none is tried after all of them failed.
    pub(crate) tunnels: Arc<[SocketAddr]>,
    pub(crate) next_tunnel: usize,
    pub(crate) no_tunnel_until: Option<Instant>,
    /// Circuit breaker on the server's results, as seen on the connections of this daemon.
    pub(crate) health: CircuitBreaker,
    pub(crate) paths: ServerPaths,
    /// The queue of statements for this server, if this daemon has one.
    pub(crate) queue: Option<Rc<ServerQueue>>,
    /// Estimate of how many connections the server grants at present.
    pub(crate) granted: ConnectionGrant,
    /// How often each account uses connections to the server; `None` if accounts don't compete for them.
    pub(crate) reuse: Option<ReuseHistory>,
    /// Whether the server is still listed; otherwise it gets no new work.
    pub(crate) listed: bool,
}

impl<E> PooledServer<E> {
    pub(crate) fn new(entry: Arc<ServerEntry>) -> PooledServer<E> {
        PooledServer {
            entry,
            idle: Vec::new(),
            in_use: 0,
            yielding: 0,
            limit: 1,
            overflow: 0,
            no_overflow_until: None,
            min_idle: 1,
            owners: Arc::default(),
            in_use_remote: 0,
            latency: LatencyAverage::default(),
            latency_at: None,
            point: None,
            lagging_until: None,
            failures: 0,
            no_opening_until: None,
            avoid_until: None,
            tunnels: Arc::default(),
            next_tunnel: 0,
            no_tunnel_until: None,
            health: CircuitBreaker::default(),
            paths: ServerPaths::default(),
            queue: None,
            granted: ConnectionGrant::default(),
            reuse: None,
            listed: true,
        }
    }

    /// Closes connections that have been idle for too long, down to the number that is kept.
    pub(crate) fn close_spare(&mut self) {
        let now = Instant::now();
        let others = self.in_use as usize;
        let idle_timeout = match (self.min_idle, &self.reuse) {
            (0, _) => SCARCE_IDLE_TIMEOUT,
            (_, None) => SPARE_IDLE_TIMEOUT,
            (_, Some(_)) => COMPETED_IDLE_TIMEOUT,
        };
        while self.idle.len() + others > self.min_idle as usize {
            let expired =
                self.idle.iter().take_while(|(since, _)| now.duration_since(*since) > idle_timeout);
            let Some(least) = self.least_likely(expired.count(), now) else { return };
            self.idle.remove(least);
        }
    }

    /// Applies a new entry of the server. If the server has restarted, its recorded state and the connections to
    /// its former incarnation are dropped.
    pub(crate) fn set_entry(&mut self, entry: Arc<ServerEntry>) {
        if self.entry.incarnation != entry.incarnation {
            self.idle.clear();
            self.point = None;
            self.latency = LatencyAverage::default();
            self.latency_at = None;
            self.lagging_until = None;
            self.failures = 0;
            self.no_opening_until = None;
            self.avoid_until = None;
            self.health = CircuitBreaker::default();
            self.paths = ServerPaths::default();
            self.granted = ConnectionGrant::default();
        }
        self.entry = entry;
    }

    /// Returns the number of idle connections that a request may use.
    pub(crate) fn idle_for(&self, request: &ConnectionRequest) -> u32 {
        self.idle.iter().filter(|(_, idle)| request.accepts_principal(&idle.principal)).count()
            as u32
    }

    /// Closes idle connections, the least likely to be used again first, until another one may be opened.
    pub(crate) fn make_room(&mut self) {
        let now = Instant::now();
        let max = self.max_connections_at(now);
        while self.idle.len() as u32 + self.in_use >= max {
            let Some(least) = self.least_likely(self.idle.len(), now) else { return };
            self.idle.remove(least);
        }
    }

    /// Returns the index of the connection that is least likely to be used again among the first `of_first`. If
    /// accounts don't compete, that is the longest idle one.
    fn least_likely(&self, of_first: usize, now: Instant) -> Option<usize> {
        let Some(reuse) = &self.reuse else { return (of_first > 0).then_some(0) };
        let idle = self.idle.iter().take(of_first);
        let idle: Vec<IdleConnection<'_>> = idle
            .map(|(since, idle)| IdleConnection {
                account: idle.principal.account_name(),
                idle_since: *since,
            })
            .collect();
        reuse.least_likely_reused(&idle, now)
    }

    pub(crate) fn on_used(&mut self, principal: &Principal) {
        if let Some(reuse) = &mut self.reuse {
            reuse.on_used(principal.account_name(), Instant::now());
        }
    }

    pub(crate) fn set_accounts_compete(&mut self, accounts_compete: bool) {
        match accounts_compete {
            true => drop(self.reuse.get_or_insert_default()),
            false => self.reuse = None,
        }
    }

    pub(crate) fn on_acquired(&mut self, yields: bool) {
        self.in_use += 1;
        self.yielding += u32::from(yields);
    }

    pub(crate) fn on_released(&mut self, yields: bool) {
        self.in_use = self.in_use.saturating_sub(1);
        self.yielding = self.yielding.saturating_sub(u32::from(yields));
    }

    /// Records an answer and the log point in it. `took` is `None` for an error: errors arrive faster than results,
    /// and counting them would draw more statements to a failing server.
    pub(crate) fn on_answer(&mut self, point: Option<LogPoint>, took: Option<Duration>) {
        if let Some(took) = took {
            self.latency.add(took.as_micros() as u64);
            self.latency_at = Some(Instant::now());
        }
        self.failures = 0;
        self.avoid_until = None;
        self.no_opening_until = None;
        if point.is_some() {
            self.point = point;
        }
    }

    /// Records that the server's log lacked the required point.
    pub(crate) fn on_lagging(&mut self) {
        self.lagging_until = Some(Instant::now() + LAGGING_PAUSE);
    }

    /// Records that the server could not be reached or failed, and avoids it for a while.
    pub(crate) fn on_failure(&mut self) {
        self.avoid_until = Some(Instant::now() + self.next_backoff());
    }

    /// Records that a connection could not be opened; returns how long no other one is opened.
    pub(crate) fn on_open_failed(&mut self, refused: bool) -> Duration {
        let max_backoff = if refused { MAX_REFUSED_BACKOFF } else { MAX_BACKOFF };
        let backoff = self.next_backoff().min(max_backoff);
        self.no_opening_until = Some(Instant::now() + backoff);
        if refused {
            self.no_overflow_until = Some(Instant::now() + OVERFLOW_PAUSE);
            self.on_connections_exhausted();
        }
        backoff
    }

    /// Handles a refusal for too many connections. With a queue an idle connection may be closed for each new one,
    /// so that an account without a connection gets one.
    fn on_connections_exhausted(&mut self) {
        if self.queue.is_none() {
            return;
        }
        let held = self.idle.len() as u32 + self.in_use;
        match self.granted.on_refused(held, Instant::now()) {
            AfterRefusal::Replace => self.no_opening_until = None,
            AfterRefusal::Pause => {}
        }
    }

    fn max_connections_at(&self, now: Instant) -> u32 {
        self.granted.max_connections(self.limit + self.overflow, now)
    }

    /// Records that the owner's circuit breaker for this server is open.
    pub(crate) fn on_circuit_open(&mut self) {
        self.avoid_until = Some(Instant::now() + FIRST_BACKOFF);
    }

    /// Sets the daemons that can tunnel to the server. Tunneled connections are closed once there is a direct path.
    pub(crate) fn set_tunnels(&mut self, tunnels: Arc<[SocketAddr]>) {
        if tunnels.is_empty() {
            self.idle.retain(|(_, connection)| connection.is_direct);
        }
        if self.tunnels != tunnels {
            self.tunnels = tunnels;
            self.next_tunnel = 0;
        }
    }

    /// Whether a tunnel may be tried now.
    pub(crate) fn may_tunnel(&self, now: Instant) -> bool {
        !self.tunnels.is_empty() && self.no_tunnel_until.is_none_or(|until| now >= until)
    }

    /// Returns the daemon whose tunnel is to be used, if any.
    pub(crate) fn tunnel(&self, now: Instant) -> Option<SocketAddr> {
        self.tunnels.get(self.next_tunnel).copied().filter(|_| self.may_tunnel(now))
    }

    /// Records that a tunnel failed. The next daemon is tried; after the last one there is a pause.
    pub(crate) fn on_tunnel_failed(&mut self, peer: SocketAddr) {
        if self.tunnels.get(self.next_tunnel) != Some(&peer) {
            return;
        }
        self.next_tunnel += 1;
        if self.next_tunnel >= self.tunnels.len() {
            self.next_tunnel = 0;
            self.no_tunnel_until = Some(Instant::now() + TUNNEL_PAUSE);
        }
    }

    /// Whether the circuit breaker lets a request of this daemon's own callers pass. Forwarded requests were
    /// checked on arrival ([`super::health`]).
    pub(crate) fn is_healthy_for(&self, request: &ConnectionRequest, now: Instant) -> bool {
        request.only.is_some() || request.is_forwarded || self.health.allows_request(now)
    }

    /// Whether the last probe failed and no tunnel works.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        let has_tunnel = self.paths.has_working_tunnel() && self.may_tunnel(now);
        self.paths.is_unreachable() && !has_tunnel
    }

    pub(crate) fn has_lagged(&self, now: Instant) -> bool {
        self.lagging_until.is_some_and(|until| now < until + RECENT_LAG_WINDOW)
    }

    /// Whether another connection may be opened.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        self.listed && (self.idle.len() as u32) + self.in_use < self.limit_at(now)
    }

    /// Drops a latency that is too old.
    pub(crate) fn forget_old_latency(&mut self, now: Instant) {
        if self.latency_at.is_some_and(|at| now.duration_since(at) > LATENCY_LIFETIME) {
            self.latency = LatencyAverage::default();
            self.latency_at = None;
        }
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        backoff.min(MAX_BACKOFF)
    }

    /// Returns how many connections may be in use now; no more than already are, while opening is paused after a
    /// failure.
    pub(crate) fn limit_at(&self, now: Instant) -> u32 {
        match self.no_opening_until {
            Some(until) if now < until && !self.may_tunnel(now) => self.limit.min(self.in_use),
            _ => self.limit + self.overflow_at(now),
        }
    }

    pub(crate) fn may_open(&self, now: Instant) -> bool {
        let is_paused = self.no_opening_until.is_some_and(|until| now < until);
        self.in_use < self.max_connections_at(now) && (!is_paused || self.may_tunnel(now))
    }

    /// Whether there is no connection and none may be opened before `deadline`.
    pub(crate) fn is_unavailable_until(&self, deadline: Instant) -> bool {
        let is_paused = self.no_opening_until.is_some_and(|until| until >= deadline);
        is_paused && self.in_use == 0 && self.idle.is_empty()
    }

    /// Creates, updates or removes the server's own queue.
    pub(crate) fn set_queue(&mut self, capacity: Option<Capacity>) {
        match (&self.queue, capacity) {
            (Some(queue), Some(capacity)) => queue.set_capacity(capacity),
            (None, Some(capacity)) => {
                self.queue = Some(ServerQueue::new(self.entry.server.clone(), capacity))
            }
            (_, None) => self.queue = None,
        }
    }

    /// Returns how many connections beyond the limit may be opened now.
    fn overflow_at(&self, now: Instant) -> u32 {
        match self.no_overflow_until {
            Some(until) if now < until => 0,
            _ => self.overflow,
        }
    }

    /// Whether a request that yields at the primary would take capacity that other statements need. A server runs few
    /// statements at a time; further ones wait inside the server, where priorities have no effect.
    pub(crate) fn is_full_for(&self, request: &ConnectionRequest) -> bool {
        let is_primary = request.primary.as_ref() == Some(&self.entry.server);
        request.yields && is_primary && self.yielding >= (self.limit / YIELDING_DIVISOR).max(1)
    }

    pub(crate) fn is_fit(&self, request: &ConnectionRequest, now: Instant) -> bool {
        if !self.listed || request.avoid.contains(&self.entry.server) {
            return false;
        }
        if let Some(only) = &request.only {
            return *only == self.entry.server;
        }
        let is_avoided = self.avoid_until.is_some_and(|until| now < until) && !self.may_tunnel(now);
        let is_lagging = self.lagging_until.is_some_and(|until| now < until)
            && request
                .min_point
                .is_some_and(|min_point| self.point.is_none_or(|point| point < min_point));
        !self.entry.leaving && !is_avoided && !is_lagging
    }
}
