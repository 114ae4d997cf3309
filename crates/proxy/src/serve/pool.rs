//! The connections of this daemon to the servers of one service, and the statements that wait for one.
//!
//! Connections are few and belong to all daemons together: each may have its share of what a server
//! grants ([`share_of`]). Who finds none free waits, the most urgent first, and gets whatever suitable
//! connection is given back next. `docs/PLATFORM.md`, "Connections", says what was weighed.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{LogPoint, Name};
use routing::LatencyAverage;
use tokio::sync::oneshot;

use crate::{
    catalog::ServerEntry,
    dialect::EndpointDialect,
    serve::{
        choose::{Candidate, Choice, choose},
        connection::EndpointConnection,
        replay::{Environment, SessionValues},
    },
};

/// Connections of a server that no daemon counts on: those of dead daemons linger for some seconds,
/// and changes of primary need some of their own.
const RESERVED_CONNECTIONS: u32 = 3;
/// One part in so many of a primary's connections may be used by statements that leave room for others.
const YIELDING_PART: u32 = 2;
/// Statements that may wait for the connections of one service; more are refused at once.
const MOST_WAITING: usize = 256;
/// How long a server that lagged behind a bounded floor is passed over.
const LAGGING_FOR: Duration = Duration::from_millis(150);
/// How long after that a server still counts as behind where all of a group are looked at.
const LAGGING_RECENTLY: Duration = Duration::from_millis(500);
/// How long a server that could not be reached is passed over, at first; it doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest time that a server which can't be reached is passed over.
const LONGEST_BACKOFF: Duration = Duration::from_millis(1_600);
/// The longest time that nobody opens a connection to a server which grants no more: those of daemons
/// that died end after some seconds, and then there is room at once.
const LONGEST_REFUSED_BACKOFF: Duration = Duration::from_millis(250);
/// How long a connection beyond the first may rest. Connections that are not needed leave room for
/// those of daemons that start anew while their former ones still count.
const SPARE_RESTS: Duration = Duration::from_millis(1_000);
/// A latency that has not been confirmed for so long is forgotten, so that the server is tried again.
const LATENCY_LASTS: Duration = Duration::from_secs(2);

/// How long a connection may rest where there are more daemons than connections to a server, so that
/// the others get their turn.
const SCARCE_RESTS: Duration = Duration::from_millis(300);

/// Daemons that share the connections of the servers, as one of them sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sharers {
    /// All of them, this one included.
    pub daemons: u32,
    /// Those of this one's availability zone, this one included.
    pub in_zone: u32,
}

/// How long a daemon may keep connections that it does not need at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keep {
    /// One for good, and more for a moment.
    One,
    /// One to servers of the same zone; none to others, where there are more daemons than connections.
    OneNear,
    /// None.
    Nothing,
}

/// What one daemon may have of a server's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Connections at a time.
    pub limit: u32,
    /// Which of them may be kept.
    pub keep: Keep,
}

/// One part in so many of a server's connections may be kept by the daemons of its zone where there are
/// more daemons than connections; the others take turns at the rest.
const KEPT_NEAR_PART: u32 = 2;

/// Returns the share of one daemon in what a server grants to all of them.
pub fn share_of(granted: u32, sharers: Sharers) -> Share {
    let shared = granted.saturating_sub(RESERVED_CONNECTIONS);
    let each = shared / sharers.daemons.max(1);
    let keep = match each {
        0 if sharers.in_zone.max(1) * KEPT_NEAR_PART <= shared => Keep::OneNear,
        0 => Keep::Nothing,
        _ => Keep::One,
    };
    Share { limit: each.max(1), keep }
}

/// What a statement that wants a connection asks for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Only this server; `None` for any that is fit.
    pub only: Option<Name>,
    /// The point that the server must hold, to pass over those known to be behind.
    pub floor: Option<LogPoint>,
    /// Servers that have just failed to run this very statement.
    pub avoid: Vec<Name>,
    /// The server that leads, which has work that no other can do.
    pub primary: Option<Name>,
    /// The most urgent is 0.
    pub priority: u8,
    /// Whether it leaves room at the primary for statements that only the primary can run.
    pub yields: bool,
}

struct Waiter<E: EndpointDialect> {
    wish: Wish,
    grant: oneshot::Sender<Offer<E>>,
}

struct ServerSlot<E> {
    entry: Arc<ServerEntry>,
    /// Idle connections with the time since when; the one that rested least is used first.
    idle: Vec<(Instant, Box<EndpointConnection<E>>)>,
    in_use: u32,
    /// Those in use by statements that leave room for others.
    yielding: u32,
    limit: u32,
    /// Whether one connection may rest for good.
    keeps_one: bool,
    latency: LatencyAverage,
    latency_at: Option<Instant>,
    point: Option<LogPoint>,
    lagging_until: Option<Instant>,
    failures: u32,
    /// Until when no connection is opened, after one could not be.
    no_opening_until: Option<Instant>,
    away_until: Option<Instant>,
    /// Whether it is still listed; one that is not gets no new work.
    listed: bool,
}

impl<E> ServerSlot<E> {
    fn new(entry: Arc<ServerEntry>) -> ServerSlot<E> {
        ServerSlot {
            entry,
            idle: Vec::new(),
            in_use: 0,
            yielding: 0,
            limit: 1,
            keeps_one: true,
            latency: LatencyAverage::default(),
            latency_at: None,
            point: None,
            lagging_until: None,
            failures: 0,
            no_opening_until: None,
            away_until: None,
            listed: true,
        }
    }

    /// Ends connections that have rested for long; the last only where none may be kept.
    fn end_spares(&mut self) {
        let now = Instant::now();
        let others = self.in_use as usize;
        let (kept, rests) = if self.keeps_one { (1, SPARE_RESTS) } else { (0, SCARCE_RESTS) };
        while self.idle.len() + others > kept
            && self.idle.first().is_some_and(|(since, _)| now.duration_since(*since) > rests)
        {
            self.idle.remove(0);
        }
    }

    fn take(&mut self, yields: bool) {
        self.in_use += 1;
        self.yielding += u32::from(yields);
    }

    fn leave(&mut self, yields: bool) {
        self.in_use = self.in_use.saturating_sub(1);
        self.yielding = self.yielding.saturating_sub(u32::from(yields));
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        backoff.min(LONGEST_BACKOFF)
    }

    /// How many connections may be used now; those that stand, after one could not be opened.
    fn limit_at(&self, now: Instant) -> u32 {
        match self.no_opening_until {
            Some(until) if now < until => self.limit.min(self.in_use),
            _ => self.limit,
        }
    }

    /// Whether a statement that leaves room at the primary would take room that others need. What runs
    /// in a server at a time is few; more only waits there, where no priority counts.
    fn is_full_for(&self, wish: &Wish) -> bool {
        let leads = wish.primary.as_ref() == Some(&self.entry.server);
        wish.yields && leads && self.yielding >= (self.limit / YIELDING_PART).max(1)
    }

    fn is_fit(&self, wish: &Wish, now: Instant) -> bool {
        if !self.listed || wish.avoid.contains(&self.entry.server) {
            return false;
        }
        if let Some(only) = &wish.only {
            return *only == self.entry.server;
        }
        let away = self.away_until.is_some_and(|until| now < until);
        let behind = self.lagging_until.is_some_and(|until| now < until)
            && wish.floor.is_some_and(|floor| self.point.is_none_or(|point| point < floor));
        !self.entry.leaving && !away && !behind
    }
}

struct PoolState<E: EndpointDialect> {
    keep: Keep,
    servers: Vec<ServerSlot<E>>,
    waiters: [VecDeque<Waiter<E>>; PRIORITIES],
}

/// Priorities that are told apart; less urgent ones count as the last.
const PRIORITIES: usize = 4;

/// The pool of one service.
pub struct GroupPool<E: EndpointDialect> {
    availability_zone: Name,
    state: RefCell<PoolState<E>>,
}

/// Why no connection was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// No server may run the statement.
    Nowhere,
    /// Too many statements wait already.
    QueueFull,
    /// None was free in time.
    TooLate,
}

/// The place of a connection that is about to be opened.
pub struct OpeningPlace<E: EndpointDialect> {
    pool: Rc<GroupPool<E>>,
    /// The server to connect to.
    pub entry: Arc<ServerEntry>,
    yields: bool,
    settled: bool,
}

/// A connection that one statement or transaction has for itself.
pub struct Lent<E: EndpointDialect> {
    pool: Rc<GroupPool<E>>,
    connection: Option<Box<EndpointConnection<E>>>,
    lent_at: Instant,
    yields: bool,
}

/// What a wish was answered with.
pub enum Offer<E: EndpointDialect> {
    /// A connection.
    Lent(Lent<E>),
    /// Leave to open one.
    Open(OpeningPlace<E>),
}

impl<E: EndpointDialect> GroupPool<E> {
    /// Makes a pool without servers for a daemon in an availability zone.
    pub fn new(availability_zone: Name) -> GroupPool<E> {
        let state = PoolState { keep: Keep::One, servers: Vec::new(), waiters: Default::default() };
        GroupPool { availability_zone, state: RefCell::new(state) }
    }

    /// Takes over which servers there are and how many connections each may have.
    pub fn update(self: &Rc<Self>, entries: &[Arc<ServerEntry>], share: Share) {
        let limit = share.limit;
        let mut state = self.state.borrow_mut();
        state.keep = share.keep;
        for slot in &mut state.servers {
            slot.listed = entries.iter().any(|entry| entry.server == slot.entry.server);
            if !slot.listed {
                slot.idle.clear();
            }
        }
        state.servers.retain(|slot| slot.listed || slot.in_use > 0);
        for entry in entries {
            match state.servers.iter_mut().find(|slot| slot.entry.server == entry.server) {
                Some(slot) => slot.entry = entry.clone(),
                None => state.servers.push(ServerSlot::new(entry.clone())),
            }
        }
        for slot in &mut state.servers {
            slot.limit = limit;
            slot.keeps_one = match share.keep {
                Keep::One => true,
                Keep::OneNear => slot.entry.availability_zone == self.availability_zone,
                Keep::Nothing => false,
            };
            let surplus = (slot.idle.len() as u32 + slot.in_use).saturating_sub(limit) as usize;
            let kept = slot.idle.len().saturating_sub(surplus);
            slot.idle.truncate(kept);
        }
        drop(state);
        self.serve_waiters();
    }

    /// Finds a connection, or leave to open one, waiting until `deadline` if all are in use.
    pub async fn lend(
        self: &Rc<Self>,
        wish: Wish,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<Offer<E>, NoConnection> {
        match self.choose_now(&wish) {
            Choice::UseIdle(index) => {
                if let Some(connection) = self.take_idle(index, values, wish.yields) {
                    return Ok(Offer::Lent(self.lent(connection, wish.yields)));
                }
                // Every idle connection had ended; there is room for a new one now.
                Ok(Offer::Open(self.place(index, wish.yields)))
            }
            Choice::Open(index) => Ok(Offer::Open(self.place(index, wish.yields))),
            Choice::Wait => self.wait(wish, deadline).await,
            Choice::Nowhere => Err(NoConnection::Nowhere),
        }
    }

    async fn wait(
        self: &Rc<Self>,
        wish: Wish,
        deadline: Instant,
    ) -> Result<Offer<E>, NoConnection> {
        let (grant, granted) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            for queue in &mut state.waiters {
                queue.retain(|waiter| !waiter.grant.is_closed());
            }
            if state.waiters.iter().map(VecDeque::len).sum::<usize>() >= MOST_WAITING {
                return Err(NoConnection::QueueFull);
            }
            let lane = usize::from(wish.priority).min(PRIORITIES - 1);
            state.waiters[lane].push_back(Waiter { wish, grant });
        }
        match tokio::time::timeout_at(deadline.into(), granted).await {
            Ok(Ok(offer)) => Ok(offer),
            Ok(Err(_)) => Err(NoConnection::Nowhere),
            Err(_) => Err(NoConnection::TooLate),
        }
    }

    fn choose_now(&self, wish: &Wish) -> Choice {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let mut candidates = self.candidates(&mut state, wish, now);
        if candidates.is_empty() && wish.only.is_none() {
            // Better a server that was away a moment ago than none.
            for slot in &mut state.servers {
                slot.away_until = None;
                slot.lagging_until = None;
            }
            candidates = self.candidates(&mut state, wish, now);
        }
        choose(&candidates, state.keep != Keep::One)
    }

    fn candidates(&self, state: &mut PoolState<E>, wish: &Wish, now: Instant) -> Vec<Candidate> {
        let fit = state.servers.iter_mut().enumerate().filter(|(_, slot)| slot.is_fit(wish, now));
        fit.map(|(index, slot)| {
            if slot.latency_at.is_some_and(|at| now.duration_since(at) > LATENCY_LASTS) {
                slot.latency = LatencyAverage::default();
                slot.latency_at = None;
            }
            Candidate {
                index,
                near: slot.entry.availability_zone == self.availability_zone,
                leads: wish.primary.as_ref() == Some(&slot.entry.server),
                idle: slot.idle.len() as u32,
                in_use: slot.in_use,
                limit: slot.limit_at(now),
                full: slot.is_full_for(wish),
                latency_us: slot.latency.get_us(),
            }
        })
        .collect()
    }

    /// Takes the idle connection that needs the least to be sent before the statement.
    fn take_idle(
        &self,
        index: usize,
        values: &SessionValues,
        yields: bool,
    ) -> Option<Box<EndpointConnection<E>>> {
        let mut state = self.state.borrow_mut();
        let slot = &mut state.servers[index];
        slot.idle.retain(|(_, connection)| connection.is_quiet());
        let fitting = |wanted: fn(&Environment, &SessionValues) -> bool| {
            slot.idle.iter().rposition(|(_, idle)| wanted(&idle.environment, values))
        };
        let best = fitting(Environment::has_values)
            .or_else(|| fitting(Environment::can_become))
            .or_else(|| slot.idle.len().checked_sub(1))?;
        slot.take(yields);
        Some(slot.idle.remove(best).1)
    }

    fn place(self: &Rc<Self>, index: usize, yields: bool) -> OpeningPlace<E> {
        let mut state = self.state.borrow_mut();
        let slot = &mut state.servers[index];
        slot.take(yields);
        OpeningPlace { pool: self.clone(), entry: slot.entry.clone(), yields, settled: false }
    }

    fn lent(self: &Rc<Self>, connection: Box<EndpointConnection<E>>, yields: bool) -> Lent<E> {
        Lent { pool: self.clone(), connection: Some(connection), lent_at: Instant::now(), yields }
    }

    fn with_slot<R>(&self, server: &str, act: impl FnOnce(&mut ServerSlot<E>) -> R) -> Option<R> {
        let mut state = self.state.borrow_mut();
        state.servers.iter_mut().find(|slot| &*slot.entry.server == server).map(act)
    }

    /// Notes that a server answered, with its point.
    pub fn on_answer(&self, server: &str, point: Option<LogPoint>, took: Duration) {
        self.with_slot(server, |slot| {
            slot.latency.add(took.as_micros() as u64);
            slot.latency_at = Some(Instant::now());
            slot.failures = 0;
            slot.away_until = None;
            slot.no_opening_until = None;
            if point.is_some() {
                slot.point = point;
            }
        });
    }

    /// Notes that a server's log lacked the point that was asked for.
    pub fn on_lagging(&self, server: &str) {
        self.with_slot(server, |slot| slot.lagging_until = Some(Instant::now() + LAGGING_FOR));
    }

    /// Notes that a server could not be reached or failed; it is passed over for a while.
    pub fn on_failure(&self, server: &str) {
        self.with_slot(server, |slot| {
            slot.away_until = Some(Instant::now() + slot.next_backoff());
        });
    }

    /// Notes that a connection could not be opened: nobody tries again for a while, so that a server
    /// which grants no more is not flooded, and statements wait for the connections there are.
    pub fn on_open_failed(self: &Rc<Self>, server: &str, refused: bool) {
        let longest = if refused { LONGEST_REFUSED_BACKOFF } else { LONGEST_BACKOFF };
        let backoff = self.with_slot(server, |slot| {
            let backoff = slot.next_backoff().min(longest);
            slot.no_opening_until = Some(Instant::now() + backoff);
            backoff
        });
        let Some(backoff) = backoff else { return };
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(backoff).await;
            pool.serve_waiters();
        });
    }

    /// Returns how long a new statement would wait, for callers that are told when to come back.
    pub fn expected_wait(&self) -> Duration {
        let state = self.state.borrow();
        let waiting: usize = state.waiters.iter().map(VecDeque::len).sum();
        let connections: u32 = state.servers.iter().map(|slot| slot.limit).sum();
        let latency_us = state.servers.iter().map(|slot| slot.latency.get_us()).max().unwrap_or(0);
        let rounds = 1 + waiting as u64 / u64::from(connections.max(1));
        Duration::from_micros(u64::from(latency_us) * rounds)
    }

    /// Whether every listed server but this one lagged behind a moment ago.
    pub fn are_others_lagging(&self, primary: &str) -> bool {
        let now = Instant::now();
        let state = self.state.borrow();
        let mut others =
            state.servers.iter().filter(|slot| slot.listed && &*slot.entry.server != primary);
        let lags = |slot: &ServerSlot<E>| {
            slot.lagging_until.is_some_and(|until| now < until + LAGGING_RECENTLY)
        };
        others.clone().next().is_some() && others.all(lags)
    }

    /// Returns a server's average answering time; zero if it is not known.
    pub fn latency_of(&self, server: &str) -> Duration {
        let us = self.with_slot(server, |slot| slot.latency.get_us()).unwrap_or(0);
        Duration::from_micros(u64::from(us))
    }

    /// Returns a server's entry by its identity.
    pub fn entry_of(&self, server: &str) -> Option<Arc<ServerEntry>> {
        self.with_slot(server, |slot| slot.entry.clone())
    }

    /// Ends connections that nobody has needed for a while; `true` if there may be more to end.
    pub fn end_rested(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let is_scarce = state.keep != Keep::One;
        if is_scarce {
            for slot in &mut state.servers {
                slot.end_spares();
            }
        }
        is_scarce
    }

    fn put_idle(&self, connection: Box<EndpointConnection<E>>) {
        let server = connection.server.clone();
        self.with_slot(&server, |slot| {
            slot.leave(false);
            if slot.listed && (slot.idle.len() as u32 + slot.in_use) < slot.limit {
                slot.idle.push((Instant::now(), connection));
                slot.end_spares();
            }
        });
    }

    fn give_up(self: &Rc<Self>, server: &str, yields: bool) {
        self.with_slot(server, |slot| slot.leave(yields));
        self.serve_waiters();
    }

    /// Hands free places to those that wait.
    fn serve_waiters(self: &Rc<Self>) {
        loop {
            let free = {
                let now = Instant::now();
                let state = self.state.borrow();
                let mut free = state.servers.iter().filter(|slot| {
                    slot.listed && slot.idle.len() as u32 + slot.in_use < slot.limit_at(now)
                });
                let waits = |slot: &&ServerSlot<E>| self.has_waiter(&state, slot);
                free.find(waits).map(|slot| slot.entry.clone())
            };
            let Some(entry) = free else { return };
            let Some(waiter) = self.next_waiter(&entry.server) else { return };
            let yields = waiter.wish.yields;
            self.with_slot(&entry.server, |slot| slot.take(yields));
            let place = OpeningPlace { pool: self.clone(), entry, yields, settled: false };
            // A place that nobody takes any more gives itself up when it is dropped.
            let _ = waiter.grant.send(Offer::Open(place));
        }
    }

    fn has_waiter(&self, state: &PoolState<E>, slot: &ServerSlot<E>) -> bool {
        let now = Instant::now();
        state
            .waiters
            .iter()
            .flatten()
            .filter(|waiter| !waiter.grant.is_closed())
            .any(|waiter| slot.is_fit(&waiter.wish, now) && !slot.is_full_for(&waiter.wish))
    }

    fn next_waiter(&self, server: &str) -> Option<Waiter<E>> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let PoolState { servers, waiters, .. } = &mut *state;
        let slot = servers.iter().find(|slot| &*slot.entry.server == server)?;
        if !slot.listed {
            return None;
        }
        for queue in waiters {
            queue.retain(|waiter| !waiter.grant.is_closed());
            let fits = |wish: &Wish| slot.is_fit(wish, now) && !slot.is_full_for(wish);
            if let Some(index) = queue.iter().position(|waiter| fits(&waiter.wish)) {
                return queue.remove(index);
            }
        }
        None
    }
}

impl<E: EndpointDialect> OpeningPlace<E> {
    /// Takes the new connection.
    pub fn opened(mut self, connection: EndpointConnection<E>) -> Lent<E> {
        self.settled = true;
        self.pool.lent(Box::new(connection), self.yields)
    }
}

impl<E: EndpointDialect> Drop for OpeningPlace<E> {
    fn drop(&mut self) {
        if !self.settled {
            self.pool.give_up(&self.entry.server, self.yields);
        }
    }
}

impl<E: EndpointDialect> Lent<E> {
    /// Returns the connection.
    pub fn connection(&mut self) -> &mut EndpointConnection<E> {
        self.connection.as_mut().expect("a lent connection is there until it is given back")
    }

    /// Returns the server's identity.
    pub fn server(&self) -> &Name {
        &self.connection.as_ref().expect("a lent connection is there until it is given back").server
    }

    /// How long it has been lent.
    pub fn lent_for(&self) -> Duration {
        self.lent_at.elapsed()
    }

    /// Gives it back for the next statement. Whatever is not given back is closed.
    pub fn give_back(mut self) {
        if let Some(connection) = &mut self.connection {
            connection.rest();
        }
        self.lent_at = Instant::now();
        if std::mem::take(&mut self.yields) {
            self.pool.with_slot(self.server(), |slot| slot.yielding -= 1);
        }
        while let Some(waiter) = self.pool.next_waiter(self.server()) {
            if waiter.wish.yields {
                self.yields = true;
                self.pool.with_slot(self.server(), |slot| slot.yielding += 1);
            }
            match waiter.grant.send(Offer::Lent(self)) {
                Ok(()) => return,
                Err(Offer::Lent(lent)) => {
                    self = lent;
                    if std::mem::take(&mut self.yields) {
                        self.pool.with_slot(self.server(), |slot| slot.yielding -= 1);
                    }
                }
                Err(Offer::Open(_)) => return,
            }
        }
        if let Some(connection) = self.connection.take() {
            self.pool.put_idle(connection);
        }
    }
}

impl<E: EndpointDialect> Drop for Lent<E> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            let server = connection.server.clone();
            drop(connection);
            self.pool.give_up(&server, self.yields);
        }
    }
}
