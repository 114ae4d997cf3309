//! The statements that wait for one server, and which of them goes next.
//!
//! A server runs as many statements at a time as it has slots. More inside it wait where no priority, account or deadline
//! counts, so they wait here. `docs/design/hard-load.md`, "One queue for a server", says what was weighed.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::Name;

use crate::{
    concurrency::ConcurrencyLimit,
    demand::Demand,
    fair_queue::FairQueue,
    load_report::LoadReport,
    rank::{RANKS, Rank},
};

/// Statements that may wait for one server; a bound on memory, since whatever can't begin in time is refused before.
const MAX_WAITING: usize = 256;
/// One begin in so many goes to whoever has waited longest, whatever its rank or account, so that everybody gets on.
const OLDEST_FIRST_INTERVAL: u32 = 32;
/// Open transactions leave one part in so many of the connections to statements that are over at once.
const RESERVED_DIVISOR: u32 = 4;
/// One account's open transactions have one part in so many of the connections at the most, since they hold them while their
/// callers rest.
const ACCOUNT_TRANSACTIONS_DIVISOR: u32 = 4;

/// Statements that tell how much of the server more urgent ones take.
const STARTED_WINDOW: f64 = 64.0;
/// Whoever waits gets on by at least a tenth of the server, by the estimate.
const MAX_OVERTAKEN_SHARE: f64 = 0.9;

/// Names a statement that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What a statement needs beside a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A connection, which it gives back with the slot.
    Alone,
    /// A connection that it keeps until its transaction is over.
    Opens,
    /// Nothing: its transaction has a connection.
    Continues,
}

/// A statement that wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// How urgent it is.
    pub rank: Rank,
    /// The client account, which takes turns with others; empty where there are none.
    pub account: Name,
    /// What it needs.
    pub stage: Stage,
    /// Until when it may wait.
    pub until: Instant,
}

impl Request {
    fn has_account(&self) -> bool {
        !self.account.is_empty()
    }
}

/// What becomes of a statement that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It begins now.
    Begin,
    /// It waits.
    Queued {
        /// By which it is named.
        ticket: Ticket,
        /// A less urgent one that can't wait any more for its sake: to be refused, as not run.
        displaced: Option<Ticket>,
    },
    /// It is refused, as not run: it would not begin in time.
    Refused {
        /// After how long there would be a slot for it, if nothing else came; when a connection is given back is not known.
        retry_after: Duration,
    },
}

/// What follows when a slot or a connection has become free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// This one begins; ask again.
    Begin(Ticket, Request),
    /// This one has waited for as long as it may: to be refused, as not run. Ask again.
    Expired(Ticket),
    /// Nobody can begin.
    Nothing,
}

/// What one daemon may use of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Statements that the server runs at a time; 0 if that is not known.
    pub slots: u32,
    /// Connections that this daemon may have.
    pub connections: u32,
    /// Daemons that have such a queue for the same server.
    pub owners: u32,
}

/// In which order statements begin: the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    step: usize,
    /// Whether it belongs to no open transaction: those go first.
    is_new: bool,
    start_tag: u64,
    until: Instant,
    ticket: Ticket,
}

#[derive(Debug)]
struct Waiter {
    order: Order,
    request: Request,
    cost_us: u64,
}

/// The queue of one server at a daemon that has connections to it.
#[derive(Debug)]
pub struct WorkQueue {
    limit: ConcurrencyLimit,
    connections: u32,
    running: u32,
    connections_in_use: u32,
    transactions: HashMap<Name, u32>,
    /// Whose turn it is, within each rank.
    fair_queues: [FairQueue; RANKS],
    demand: Demand,
    waiters: Vec<Waiter>,
    next_ticket: u64,
    started: u32,
    /// The work that began lately, in microseconds, by the step of its [`Order`].
    started_us: [f64; RANKS],
    /// When a statement last began or ended.
    last_progress_at: Option<Instant>,
}

impl WorkQueue {
    /// Makes an empty one.
    pub fn new(capacity: Capacity) -> WorkQueue {
        WorkQueue {
            limit: ConcurrencyLimit::new(known_slots(capacity), capacity.owners),
            connections: capacity.connections.max(1),
            running: 0,
            connections_in_use: 0,
            transactions: HashMap::new(),
            fair_queues: Default::default(),
            demand: Demand::default(),
            waiters: Vec::new(),
            next_ticket: 0,
            started: 0,
            started_us: [0.0; RANKS],
            last_progress_at: None,
        }
    }

    /// Takes over what may be used of the server. What has begun goes on.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.limit.set(known_slots(capacity), capacity.owners);
        self.connections = capacity.connections.max(1);
    }

    /// Takes a statement that arrives. Nothing waits while what it needs is free.
    pub fn offer(&mut self, request: Request, now: Instant) -> OfferResult {
        let cost_us = self.limit.expected_us(request.rank);
        let order = self.order_of(&request, cost_us, now);
        let waiter = Waiter { order, request, cost_us };
        if self.may_begin(&waiter.request) && !self.can_any_waiter_begin() {
            self.begin(&waiter, now);
            return OfferResult::Begin;
        }
        let ahead = self.waiters.iter().filter(|other| other.order < waiter.order);
        let ahead_us: u64 = ahead.map(|other| other.cost_us).sum();
        let share_left = 1.0 - self.overtaken_share(waiter.order.step);
        let wait = self.drain_time((ahead_us as f64 / share_left) as u64, now);
        if now + wait >= waiter.request.until {
            return self.refuse(&waiter, now);
        }
        let last = self.last_behind(&waiter);
        if self.waiters.len() >= MAX_WAITING && last.is_none() {
            return self.refuse(&waiter, now);
        }
        let ticket = waiter.order.ticket;
        self.waiters.push(waiter);
        let displaced = last.filter(|index| self.must_be_displaced(*index, now));
        let displaced = displaced.map(|index| self.remove(index).order.ticket);
        OfferResult::Queued { ticket, displaced }
    }

    /// Says who begins, or who has waited too long.
    pub fn next(&mut self, now: Instant) -> Next {
        if let Some(late) = self.waiters.iter().position(|waiter| waiter.request.until <= now) {
            let waiter = self.remove(late);
            return Next::Expired(waiter.order.ticket);
        }
        let Some(index) = self.choose() else { return Next::Nothing };
        let waiter = self.waiters.swap_remove(index);
        self.begin(&waiter, now);
        Next::Begin(waiter.order.ticket, waiter.request)
    }

    /// Takes out a statement that nobody waits for any more; `false` if it does not wait here.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let place = self.waiters.iter().position(|waiter| waiter.order.ticket == ticket);
        place.map(|index| self.remove(index)).is_some()
    }

    /// Notes that a statement has left its slot, and how long it had it if it was answered.
    pub fn on_finished(&mut self, request: &Request, took: Option<Duration>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.last_progress_at = Some(now);
        let Some(took) = took else { return };
        let expected_us = self.limit.expected_us(request.rank);
        self.fair_queues[request.rank.index()].settle(
            &request.account,
            expected_us,
            took.as_micros() as u64,
        );
        self.limit.on_finished(request.rank, took);
    }

    /// Notes that a statement or its transaction has given its connection back.
    pub fn on_released(&mut self, request: &Request) {
        if request.stage == Stage::Continues {
            return;
        }
        self.connections_in_use = self.connections_in_use.saturating_sub(1);
        if request.stage == Stage::Opens
            && let Some(count) = self.transactions.get_mut(&request.account)
        {
            *count -= 1;
            if *count == 0 {
                self.transactions.remove(&request.account);
            }
        }
    }

    /// Returns after how long a statement of a rank would begin if it went behind all that are as urgent.
    pub fn expected_wait(&self, rank: Rank, now: Instant) -> Duration {
        if self.waiters.is_empty() && self.running < self.limit.get() {
            return Duration::ZERO;
        }
        let ahead = self.waiters.iter().filter(|waiter| waiter.order.step <= rank.index());
        self.drain_time(ahead.map(|waiter| waiter.cost_us).sum(), now)
    }

    /// Returns the load, for those that choose among servers.
    pub fn report(&self, now: Instant) -> LoadReport {
        let mut waits = [Duration::ZERO; RANKS];
        for rank in Rank::ALL {
            waits[rank.index()] = self.expected_wait(rank, now);
        }
        LoadReport {
            waits,
            running: self.running,
            slots: self.limit.slots(),
            service: Duration::from_micros(self.mean_us()),
        }
    }

    /// Returns how many statements wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Returns how many statements run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many statements are kept inside the server at a time.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// A statement of an open transaction goes before what would open one, and counts as one step more urgent: it frees a
    /// connection, and what the transaction holds inside the server. Those of an account that asks for much of the server
    /// count as one step less urgent, so that its urgent ones don't take the place of others' less urgent ones.
    fn order_of(&mut self, request: &Request, cost_us: u64, now: Instant) -> Order {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let continues = request.stage == Stage::Continues;
        let slots = self.limit.slots();
        let is_heavy =
            request.has_account() && self.demand.add(&request.account, cost_us, slots, now);
        let step = request.rank.index() + usize::from(is_heavy);
        Order {
            step: step.saturating_sub(usize::from(continues)).min(RANKS - 1),
            is_new: !continues,
            start_tag: self.fair_queues[request.rank.index()].start_tag(&request.account, cost_us),
            until: request.until,
            ticket,
        }
    }

    fn may_begin(&self, request: &Request) -> bool {
        if self.running >= self.limit.get() {
            return false;
        }
        match request.stage {
            Stage::Continues => true,
            Stage::Alone => self.connections_in_use < self.connections,
            Stage::Opens => {
                self.connections_in_use < self.connections && self.may_open_transaction(request)
            }
        }
    }

    /// Whether one more transaction leaves enough connections to others.
    fn may_open_transaction(&self, request: &Request) -> bool {
        let open: u32 = self.transactions.values().sum();
        let own = self.transactions.get(&request.account).copied().unwrap_or(0);
        let left = self.connections / RESERVED_DIVISOR;
        let most_of_one = self.connections.div_ceil(ACCOUNT_TRANSACTIONS_DIVISOR);
        open < self.connections - left && (!request.has_account() || own < most_of_one)
    }

    fn can_any_waiter_begin(&self) -> bool {
        self.waiters.iter().any(|waiter| self.may_begin(&waiter.request))
    }

    fn choose(&self) -> Option<usize> {
        let able = self.waiters.iter().enumerate();
        let able = able.filter(|(_, waiter)| self.may_begin(&waiter.request));
        if self.started % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1 {
            return able.min_by_key(|(_, waiter)| waiter.order.ticket).map(|(index, _)| index);
        }
        let (_, first) = able.clone().min_by_key(|(_, waiter)| waiter.order)?;
        // The turn is the account's; of its own statements the one whose time ends first has it.
        let own = able.filter(|(_, waiter)| {
            waiter.request.account == first.request.account
                && (waiter.order.step, waiter.order.is_new)
                    == (first.order.step, first.order.is_new)
        });
        own.min_by_key(|(_, waiter)| (waiter.request.until, waiter.order)).map(|(index, _)| index)
    }

    fn begin(&mut self, waiter: &Waiter, now: Instant) {
        self.last_progress_at = Some(now);
        self.running += 1;
        self.started = self.started.wrapping_add(1);
        for started_us in &mut self.started_us {
            *started_us *= 1.0 - 1.0 / STARTED_WINDOW;
        }
        self.started_us[waiter.order.step] += waiter.cost_us as f64;
        self.fair_queues[waiter.request.rank.index()].on_begin(waiter.order.start_tag);
        match waiter.request.stage {
            Stage::Continues => {}
            Stage::Alone => self.connections_in_use += 1,
            Stage::Opens => {
                self.connections_in_use += 1;
                *self.transactions.entry(waiter.request.account.clone()).or_default() += 1;
            }
        }
    }

    fn refuse(&mut self, waiter: &Waiter, now: Instant) -> OfferResult {
        self.refund(waiter);
        let wait = self.expected_wait(waiter.request.rank, now);
        OfferResult::Refused { retry_after: wait.max(Duration::from_millis(1)) }
    }

    /// Returns the last in order, if it goes behind the newcomer and belongs to no open transaction.
    fn last_behind(&self, newcomer: &Waiter) -> Option<usize> {
        let places = self.waiters.iter().enumerate();
        let (index, last) = places.max_by_key(|(_, waiter)| waiter.order)?;
        (last.order.is_new && last.order > newcomer.order).then_some(index)
    }

    /// Whether the last in order has to make room: there are too many, or it would not begin in time any more.
    fn must_be_displaced(&self, last: usize, now: Instant) -> bool {
        let all_us: u64 = self.waiters.iter().map(|waiter| waiter.cost_us).sum();
        let last = &self.waiters[last];
        let wait = self.drain_time(all_us - last.cost_us, now);
        self.waiters.len() > MAX_WAITING || now + wait >= last.request.until
    }

    fn remove(&mut self, index: usize) -> Waiter {
        let waiter = self.waiters.swap_remove(index);
        self.refund(&waiter);
        waiter
    }

    /// Returns which part of what began lately went before a step: who waits in that is overtaken by as much.
    fn overtaken_share(&self, step: usize) -> f64 {
        let all: f64 = self.started_us.iter().sum();
        let before: f64 = self.started_us[..step].iter().sum();
        if all > 0.0 { (before / all).min(MAX_OVERTAKEN_SHARE) } else { 0.0 }
    }

    fn refund(&mut self, waiter: &Waiter) {
        let fair_queue = &mut self.fair_queues[waiter.request.rank.index()];
        fair_queue.settle(&waiter.request.account, waiter.cost_us, 0);
    }

    /// Returns after how long so much work is done and one more slot is free. A server in which nothing has moved for some
    /// time is taken to need as long again: it may hang.
    fn drain_time(&self, work_us: u64, now: Instant) -> Duration {
        let concurrency = self.limit.slots().min(self.limit.get()).min(self.connections);
        let slots = u64::from(concurrency.max(1));
        let mean = Duration::from_micros(self.mean_us());
        let still =
            self.last_progress_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let stalled = still.saturating_sub(mean);
        Duration::from_micros(work_us / slots) + mean / slots as u32 + stalled
    }

    fn mean_us(&self) -> u64 {
        let sum: u64 = Rank::ALL.iter().map(|rank| self.limit.expected_us(*rank)).sum();
        sum / RANKS as u64
    }
}

/// A server that doesn't say how much it runs at a time may run what there are connections for.
fn known_slots(capacity: Capacity) -> u32 {
    if capacity.slots == 0 { capacity.connections } else { capacity.slots }
}
