//! One server as the pool knows it: its connections, how it has answered lately, and whether it is fit.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::LogPoint;
use overload::{AfterRefusal, Circuit, Granted, Resting, Reuse, Room};
use routing::LatencyAverage;

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    serve::{
        connection::EndpointConnection, connection_request::ConnectionRequest, paths::ServerPaths,
        server_queue::ServerQueue,
    },
};

/// How long a server that lagged behind a bounded floor is passed over.
const LAGGING_PAUSE: Duration = Duration::from_millis(150);
/// How long after that a server still counts as behind where all of a group are looked at.
const RECENT_LAG_WINDOW: Duration = Duration::from_millis(500);
/// A latency that has not been confirmed for so long is forgotten, so that the server is tried again.
const LATENCY_LIFETIME: Duration = Duration::from_secs(2);
/// One part in so many of a primary's connections may be used by statements that leave room for others.
const YIELDING_DIVISOR: u32 = 2;
/// How long a server that could not be reached is passed over, at first; it doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest time that a server which can't be reached is passed over.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// The longest time that nobody opens a connection to a server which grants no more: those of daemons
/// that died end after some seconds, and then there is room at once.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(250);
/// How long a connection beyond the first may rest. Connections that are not needed leave room for
/// those of daemons that start anew while their former ones still count.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same where accounts compete for an owner's connections: long enough for the next statement of an account that asks
/// every few seconds, which would else open one.
const COMPETED_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long a connection may rest where there are more daemons than connections to a server, so that
/// the others get their turn.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long nothing is borrowed of a server that grants no more: longer than a loan rests, so that the
/// room goes to daemons that have less than their own share.
const OVERFLOW_PAUSE: Duration = Duration::from_millis(2_000);

/// How long no detour is tried after all of them failed: other daemons need as long to find out that they
/// have no path either, and tell so then.
const TUNNEL_PAUSE: Duration = Duration::from_millis(500);

/// A server with the connections to it.
pub(crate) struct ServerSlot<E> {
    pub(crate) entry: Arc<ServerEntry>,
    /// Idle connections with the time since when; the one that rested least is used first.
    pub(crate) idle: Vec<(Instant, Box<EndpointConnection<E>>)>,
    pub(crate) in_use: u32,
    /// Those in use by statements that leave room for others.
    pub(crate) yielding: u32,
    pub(crate) limit: u32,
    /// Connections beyond the limit that may be borrowed, and until when none may.
    pub(crate) overflow: u32,
    pub(crate) no_overflow_until: Option<Instant>,
    /// Connections that may rest for good.
    pub(crate) keeps: u32,
    /// The daemons that own the connections to it, if this one does not; asked in this order.
    pub(crate) owners: Arc<[SocketAddr]>,
    /// Statements and transactions that run on connections of owners.
    pub(crate) in_use_remote: u32,
    pub(crate) latency: LatencyAverage,
    pub(crate) latency_at: Option<Instant>,
    pub(crate) point: Option<LogPoint>,
    pub(crate) lagging_until: Option<Instant>,
    pub(crate) failures: u32,
    /// Until when no connection is opened, after one could not be.
    pub(crate) no_opening_until: Option<Instant>,
    pub(crate) away_until: Option<Instant>,
    /// Daemons through which it may be reached while this one has no path to it, which of them is tried
    /// next, and until when none is, after all of them failed.
    pub(crate) tunnels: Arc<[SocketAddr]>,
    pub(crate) next_tunnel: usize,
    pub(crate) no_tunnel_until: Option<Instant>,
    /// Whether it does what it is given, by what this daemon ran there for others.
    pub(crate) health: Circuit,
    /// Which ways to it work.
    pub(crate) paths: ServerPaths,
    /// What waits for it, where this daemon's connections are not everybody's.
    pub(crate) queue: Option<Rc<ServerQueue>>,
    /// How many connections the server grants at present.
    pub(crate) granted: Granted,
    /// How often accounts use connections to it, where they compete for them.
    pub(crate) reuse: Option<Reuse>,
    /// Whether it is still listed; one that is not gets no new work.
    pub(crate) listed: bool,
}

impl<E> ServerSlot<E> {
    pub(crate) fn new(entry: Arc<ServerEntry>) -> ServerSlot<E> {
        ServerSlot {
            entry,
            idle: Vec::new(),
            in_use: 0,
            yielding: 0,
            limit: 1,
            overflow: 0,
            no_overflow_until: None,
            keeps: 1,
            owners: Arc::default(),
            in_use_remote: 0,
            latency: LatencyAverage::default(),
            latency_at: None,
            point: None,
            lagging_until: None,
            failures: 0,
            no_opening_until: None,
            away_until: None,
            tunnels: Arc::default(),
            next_tunnel: 0,
            no_tunnel_until: None,
            health: Circuit::default(),
            paths: ServerPaths::default(),
            queue: None,
            granted: Granted::default(),
            reuse: None,
            listed: true,
        }
    }

    /// Ends connections that have rested for long; the last only where none may be kept.
    pub(crate) fn close_spare(&mut self) {
        let now = Instant::now();
        let others = self.in_use as usize;
        let rests = match (self.keeps, &self.reuse) {
            (0, _) => SCARCE_IDLE_TIMEOUT,
            (_, None) => SPARE_IDLE_TIMEOUT,
            (_, Some(_)) => COMPETED_IDLE_TIMEOUT,
        };
        while self.idle.len() + others > self.keeps as usize {
            let rested =
                self.idle.iter().take_while(|(since, _)| now.duration_since(*since) > rests);
            let Some(least) = self.least_likely(rested.count(), now) else { return };
            self.idle.remove(least);
        }
    }

    /// Takes over what the server says of itself. One that started again is another server under the same name: what was
    /// known of its former incarnation, and the connections to that, are dropped.
    pub(crate) fn set_entry(&mut self, entry: Arc<ServerEntry>) {
        if self.entry.incarnation != entry.incarnation {
            self.idle.clear();
            self.point = None;
            self.latency = LatencyAverage::default();
            self.latency_at = None;
            self.lagging_until = None;
            self.failures = 0;
            self.no_opening_until = None;
            self.away_until = None;
            self.health = Circuit::default();
            self.paths = ServerPaths::default();
            self.granted = Granted::default();
        }
        self.entry = entry;
    }

    /// Returns how many resting connections will do for a request.
    pub(crate) fn idle_for(&self, request: &ConnectionRequest) -> u32 {
        self.idle.iter().filter(|(_, idle)| request.accepts_principal(&idle.principal)).count()
            as u32
    }

    /// Ends the connection that is least likely to be used again where another one is to be opened and all places are
    /// taken.
    pub(crate) fn make_room(&mut self) {
        let now = Instant::now();
        let most = self.max_connections_at(now);
        while self.idle.len() as u32 + self.in_use >= most {
            let Some(least) = self.least_likely(self.idle.len(), now) else { return };
            self.idle.remove(least);
        }
    }

    /// Returns which of the first so many connections at rest is least likely to be used again: the one that rested
    /// longest where accounts don't compete.
    fn least_likely(&self, of_first: usize, now: Instant) -> Option<usize> {
        let Some(reuse) = &self.reuse else { return (of_first > 0).then_some(0) };
        let resting = self.idle.iter().take(of_first);
        let resting: Vec<Resting<'_>> = resting
            .map(|(since, idle)| Resting { account: idle.principal.told(), since: *since })
            .collect();
        reuse.least_likely(&resting, now)
    }

    /// Notes for whom a connection is used.
    pub(crate) fn note_use(&mut self, principal: &Principal) {
        if let Some(reuse) = &mut self.reuse {
            reuse.on_used(principal.told(), Instant::now());
        }
    }

    /// Takes over whether accounts compete for its connections.
    pub(crate) fn set_competing(&mut self, do_compete: bool) {
        match do_compete {
            true => drop(self.reuse.get_or_insert_default()),
            false => self.reuse = None,
        }
    }

    pub(crate) fn take(&mut self, yields: bool) {
        self.in_use += 1;
        self.yielding += u32::from(yields);
    }

    pub(crate) fn leave(&mut self, yields: bool) {
        self.in_use = self.in_use.saturating_sub(1);
        self.yielding = self.yielding.saturating_sub(u32::from(yields));
    }

    /// Notes that it answered, with its point. An error comes faster than an answer and says nothing of how long one takes:
    /// counted, it would draw more statements to a server that fails.
    pub(crate) fn note_answer(&mut self, point: Option<LogPoint>, took: Option<Duration>) {
        if let Some(took) = took {
            self.latency.add(took.as_micros() as u64);
            self.latency_at = Some(Instant::now());
        }
        self.failures = 0;
        self.away_until = None;
        self.no_opening_until = None;
        if point.is_some() {
            self.point = point;
        }
    }

    /// Notes that its log lacked the point that was asked for.
    pub(crate) fn note_lagging(&mut self) {
        self.lagging_until = Some(Instant::now() + LAGGING_PAUSE);
    }

    /// Notes that it could not be reached or failed; it is passed over for a while.
    pub(crate) fn note_failure(&mut self) {
        self.away_until = Some(Instant::now() + self.next_backoff());
    }

    /// Notes that a connection could not be opened; returns how long nobody tries again.
    pub(crate) fn note_open_failed(&mut self, refused: bool) -> Duration {
        let longest = if refused { MAX_REFUSED_BACKOFF } else { MAX_BACKOFF };
        let backoff = self.next_backoff().min(longest);
        self.no_opening_until = Some(Instant::now() + backoff);
        if refused {
            self.no_overflow_until = Some(Instant::now() + OVERFLOW_PAUSE);
            self.on_connections_exhausted();
        }
        backoff
    }

    /// Notes that the server grants no more connections. Behind a queue one may be ended for each that is opened, so that who
    /// has none gets one.
    fn on_connections_exhausted(&mut self) {
        if self.queue.is_none() {
            return;
        }
        let held = self.idle.len() as u32 + self.in_use;
        match self.granted.on_refused(held, Instant::now()) {
            AfterRefusal::Exchange => self.no_opening_until = None,
            AfterRefusal::Pause => {}
        }
    }

    /// Returns how many connections there may be at a time.
    fn max_connections_at(&self, now: Instant) -> u32 {
        self.granted.most(self.limit + self.overflow, now)
    }

    /// Notes that its owner sets it aside.
    pub(crate) fn note_set_aside(&mut self) {
        self.away_until = Some(Instant::now() + FIRST_BACKOFF);
    }

    /// Takes over the ways around to it. Connections through other daemons end once there is a direct path,
    /// which is shorter and needs nobody else.
    pub(crate) fn set_tunnels(&mut self, tunnels: Arc<[SocketAddr]>) {
        if tunnels.is_empty() {
            self.idle.retain(|(_, connection)| connection.is_direct);
        }
        if self.tunnels != tunnels {
            self.tunnels = tunnels;
            self.next_tunnel = 0;
        }
    }

    /// Whether it may be tried through another daemon now.
    pub(crate) fn has_tunnel(&self, now: Instant) -> bool {
        !self.tunnels.is_empty() && self.no_tunnel_until.is_none_or(|until| now >= until)
    }

    /// Returns the daemon through which it is to be reached, if it is.
    pub(crate) fn tunnel(&self, now: Instant) -> Option<SocketAddr> {
        self.tunnels.get(self.next_tunnel).copied().filter(|_| self.has_tunnel(now))
    }

    /// Notes that no connection came about through another daemon: the next one is tried, and after the
    /// last there is a pause.
    pub(crate) fn note_tunnel_failed(&mut self, peer: SocketAddr) {
        if self.tunnels.get(self.next_tunnel) != Some(&peer) {
            return;
        }
        self.next_tunnel += 1;
        if self.next_tunnel >= self.tunnels.len() {
            self.next_tunnel = 0;
            self.no_tunnel_until = Some(Instant::now() + TUNNEL_PAUSE);
        }
    }

    /// Whether it does what it is given, where a request of this daemon's own callers may be met elsewhere. The wishes of others
    /// were looked at as they came ([`super::health`]).
    pub(crate) fn is_healthy_for(&self, request: &ConnectionRequest, now: Instant) -> bool {
        request.only.is_some() || request.is_forwarded || self.health.may_pass(now)
    }

    /// Whether nothing can reach it from here, by what this daemon's probe says.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        let has_tunnel = self.paths.has_tunnel() && self.has_tunnel(now);
        self.paths.is_unreachable() && !has_tunnel
    }

    /// Whether it lagged behind a moment ago.
    pub(crate) fn has_lagged(&self, now: Instant) -> bool {
        self.lagging_until.is_some_and(|until| now < until + RECENT_LAG_WINDOW)
    }

    /// Whether it holds fewer connections than it may.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        self.listed && (self.idle.len() as u32) + self.in_use < self.limit_at(now)
    }

    /// Forgets a latency that nothing has confirmed for long.
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

    /// How many connections may be used now; those that stand, after one could not be opened.
    pub(crate) fn limit_at(&self, now: Instant) -> u32 {
        match self.no_opening_until {
            Some(until) if now < until && !self.has_tunnel(now) => self.limit.min(self.in_use),
            _ => self.limit + self.overflow_at(now),
        }
    }

    /// Whether a connection may be opened now, as far as former failures go.
    pub(crate) fn may_open(&self, now: Instant) -> bool {
        let is_paused = self.no_opening_until.is_some_and(|until| now < until);
        self.in_use < self.max_connections_at(now) && (!is_paused || self.has_tunnel(now))
    }

    /// Whether there is no connection, and none will be opened before `deadline`.
    pub(crate) fn is_out_of_reach_until(&self, deadline: Instant) -> bool {
        let is_paused = self.no_opening_until.is_some_and(|until| until >= deadline);
        is_paused && self.in_use == 0 && self.idle.is_empty()
    }

    /// Takes over whether statements wait in a queue of this server's own, and what it has room for.
    pub(crate) fn set_queue(&mut self, room: Option<Room>) {
        match (&self.queue, room) {
            (Some(queue), Some(room)) => queue.set_room(room),
            (None, Some(room)) => {
                self.queue = Some(ServerQueue::new(self.entry.server.clone(), room))
            }
            (_, None) => self.queue = None,
        }
    }

    /// How many connections beyond the limit may be borrowed now.
    fn overflow_at(&self, now: Instant) -> u32 {
        match self.no_overflow_until {
            Some(until) if now < until => 0,
            _ => self.overflow,
        }
    }

    /// Whether a statement that leaves room at the primary would take room that others need. What runs
    /// in a server at a time is few; more only waits there, where no priority counts.
    pub(crate) fn is_full_for(&self, request: &ConnectionRequest) -> bool {
        let leads = request.primary.as_ref() == Some(&self.entry.server);
        request.yields && leads && self.yielding >= (self.limit / YIELDING_DIVISOR).max(1)
    }

    pub(crate) fn is_fit(&self, request: &ConnectionRequest, now: Instant) -> bool {
        if !self.listed || request.avoid.contains(&self.entry.server) {
            return false;
        }
        if let Some(only) = &request.only {
            return *only == self.entry.server;
        }
        let away = self.away_until.is_some_and(|until| now < until) && !self.has_tunnel(now);
        let behind = self.lagging_until.is_some_and(|until| now < until)
            && request
                .min_point
                .is_some_and(|min_point| self.point.is_none_or(|point| point < min_point));
        !self.entry.leaving && !away && !behind
    }
}
