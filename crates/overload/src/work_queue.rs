//! The queue of statements for one server.
//!
//! A server runs as many statements at a time as it has slots. Statements beyond that would queue inside the server
//! without regard to priority, account or deadline, so they wait here. See `docs/design/hard-load.md`, "One queue for
//! a server", for the alternatives.

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

/// Maximum number of waiting statements. Bounds memory; statements that can't start in time are refused anyway.
const MAX_WAITING: usize = 256;
/// One of this many statements to start is the one that has waited longest, regardless of rank and account, to
/// prevent starvation.
const OLDEST_FIRST_INTERVAL: u32 = 32;
/// Open transactions leave this fraction (1/n) of the connections to single statements.
const RESERVED_DIVISOR: u32 = 4;
/// Open transactions of one account use at most this fraction (1/n) of the connections, since they occupy them while
/// their callers are idle.
const ACCOUNT_TRANSACTIONS_DIVISOR: u32 = 4;

/// Number of recently started statements from which the share of more urgent work is estimated.
const STARTED_WINDOW: f64 = 64.0;
/// Maximum share of the server's capacity that is assumed to go to statements that overtake a waiting one.
const MAX_OVERTAKEN_SHARE: f64 = 0.9;

/// Identifies a waiting statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What a statement needs in addition to a slot. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A connection, which the statement releases together with its slot.
    Alone,
    /// A connection, which is kept until the end of the transaction that the statement begins.
    Opens,
    /// Nothing, since its open transaction holds a connection.
    Continues,
}

/// A statement to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The statement's rank.
    pub rank: Rank,
    /// The client account for fair queueing; empty if accounts are not distinguished.
    pub account: Name,
    /// What the statement needs in addition to a slot.
    pub stage: Stage,
    /// The time until which the statement may wait.
    pub until: Instant,
}

impl Request {
    fn has_account(&self) -> bool {
        !self.account.is_empty()
    }
}

/// The result of offering a statement to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The statement starts now.
    Begin,
    /// The statement waits.
    Queued {
        /// Identifies the waiting statement.
        ticket: Ticket,
        /// A less urgent statement that was removed, because the queue is full or because it would no longer start
        /// in time. It was not run and is to be refused.
        displaced: Option<Ticket>,
    },
    /// The statement is refused because it would not start in time. It was not run.
    Refused {
        /// Expected time until a slot is free. The wait for a free connection is not included.
        retry_after: Duration,
    },
}

/// The next change of the queue after a slot or a connection has been released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// This statement starts. Call [`WorkQueue::next`] again.
    Begin(Ticket, Request),
    /// This statement has reached its deadline. It was not run and is to be refused. Call [`WorkQueue::next`] again.
    Expired(Ticket),
    /// No waiting statement can start.
    Nothing,
}

/// The capacity of a server that one daemon may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Statements that the server runs at a time; 0 if unknown.
    pub slots: u32,
    /// Maximum number of connections of this daemon.
    pub connections: u32,
    /// Number of daemons with a queue for this server.
    pub owners: u32,
}

/// The order in which statements start, the smallest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    /// The index of the statement's rank, adjusted by [`WorkQueue::order_of`].
    effective_rank: usize,
    /// Whether the statement is not part of an open transaction. Statements of open transactions start first.
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

/// The queue of one server at a daemon with connections to it.
#[derive(Debug)]
pub struct WorkQueue {
    limit: ConcurrencyLimit,
    connections: u32,
    running: u32,
    connections_in_use: u32,
    transactions: HashMap<Name, u32>,
    /// Order of the accounts within each rank.
    fair_queues: [FairQueue; RANKS],
    demand: Demand,
    waiters: Vec<Waiter>,
    next_ticket: u64,
    started: u32,
    /// Recently started work in microseconds, by [`Order::effective_rank`].
    started_us: [f64; RANKS],
    /// When a statement last started or finished.
    last_progress_at: Option<Instant>,
}

impl WorkQueue {
    /// Creates an empty queue.
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

    /// Sets the capacity. Running statements are not affected.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.limit.set(known_slots(capacity), capacity.owners);
        self.connections = capacity.connections.max(1);
    }

    /// Adds a statement. It starts at once if its slot and connection are free and no waiting statement can start.
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
        let share_left = 1.0 - self.overtaken_share(waiter.order.effective_rank);
        let wait = self.drain_time((ahead_us as f64 / share_left) as u64, now);
        if now + wait >= waiter.request.until {
            return self.refuse(&waiter, now);
        }
        let last = self.displaceable(&waiter);
        if self.waiters.len() >= MAX_WAITING && last.is_none() {
            return self.refuse(&waiter, now);
        }
        let ticket = waiter.order.ticket;
        self.waiters.push(waiter);
        let displaced = last.filter(|index| self.must_be_displaced(*index, now));
        let displaced = displaced.map(|index| self.remove(index).order.ticket);
        OfferResult::Queued { ticket, displaced }
    }

    /// Returns the statement that starts next, or one that has reached its deadline.
    pub fn next(&mut self, now: Instant) -> Next {
        if let Some(expired) = self.waiters.iter().position(|waiter| waiter.request.until <= now) {
            let waiter = self.remove(expired);
            return Next::Expired(waiter.order.ticket);
        }
        let Some(index) = self.choose() else { return Next::Nothing };
        let waiter = self.waiters.swap_remove(index);
        self.begin(&waiter, now);
        Next::Begin(waiter.order.ticket, waiter.request)
    }

    /// Removes a waiting statement; `false` if it is not in the queue.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let index = self.waiters.iter().position(|waiter| waiter.order.ticket == ticket);
        index.map(|index| self.remove(index)).is_some()
    }

    /// Records that a statement has released its slot. `took` is its service time if it was answered.
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

    /// Records that a statement or its transaction has released its connection.
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

    /// Returns the expected wait of a new statement of a rank.
    pub fn expected_wait(&self, rank: Rank, now: Instant) -> Duration {
        if self.waiters.is_empty() && self.running < self.limit.get() {
            return Duration::ZERO;
        }
        let ahead =
            self.waiters.iter().filter(|waiter| waiter.order.effective_rank <= rank.index());
        self.drain_time(ahead.map(|waiter| waiter.cost_us).sum(), now)
    }

    /// Returns the load report for daemons that choose a server.
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

    /// Returns the number of waiting statements.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of running statements.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the maximum number of statements inside the server at a time.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Computes the order of a statement. Statements of an open transaction count as one rank more urgent, since they
    /// lead to the release of its connection. Those of a heavy account count as one rank less urgent, so that they
    /// don't displace less urgent statements of other accounts.
    fn order_of(&mut self, request: &Request, cost_us: u64, now: Instant) -> Order {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let continues = request.stage == Stage::Continues;
        let slots = self.limit.slots();
        let is_heavy =
            request.has_account() && self.demand.add(&request.account, cost_us, slots, now);
        let effective_rank = request.rank.index() + usize::from(is_heavy);
        Order {
            effective_rank: effective_rank.saturating_sub(usize::from(continues)).min(RANKS - 1),
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

    /// Whether another transaction leaves enough connections to others.
    fn may_open_transaction(&self, request: &Request) -> bool {
        let open: u32 = self.transactions.values().sum();
        let of_account = self.transactions.get(&request.account).copied().unwrap_or(0);
        let reserved = self.connections / RESERVED_DIVISOR;
        let max_per_account = self.connections.div_ceil(ACCOUNT_TRANSACTIONS_DIVISOR);
        open < self.connections - reserved
            && (!request.has_account() || of_account < max_per_account)
    }

    fn can_any_waiter_begin(&self) -> bool {
        self.waiters.iter().any(|waiter| self.may_begin(&waiter.request))
    }

    fn choose(&self) -> Option<usize> {
        let waiters = self.waiters.iter().enumerate();
        let startable = waiters.filter(|(_, waiter)| self.may_begin(&waiter.request));
        if self.started % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1 {
            return startable.min_by_key(|(_, waiter)| waiter.order.ticket).map(|(index, _)| index);
        }
        let (_, first) = startable.clone().min_by_key(|(_, waiter)| waiter.order)?;
        // Fair queueing selects the account; of its statements, the one with the earliest deadline goes first.
        let of_account = startable.filter(|(_, waiter)| {
            waiter.request.account == first.request.account
                && (waiter.order.effective_rank, waiter.order.is_new)
                    == (first.order.effective_rank, first.order.is_new)
        });
        of_account
            .min_by_key(|(_, waiter)| (waiter.request.until, waiter.order))
            .map(|(index, _)| index)
    }

    fn begin(&mut self, waiter: &Waiter, now: Instant) {
        self.last_progress_at = Some(now);
        self.running += 1;
        self.started = self.started.wrapping_add(1);
        for started_us in &mut self.started_us {
            *started_us *= 1.0 - 1.0 / STARTED_WINDOW;
        }
        self.started_us[waiter.order.effective_rank] += waiter.cost_us as f64;
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

    /// Returns the index of the last waiting statement if it starts after the new one and is not part of an open
    /// transaction, so that the new one may displace it.
    fn displaceable(&self, new: &Waiter) -> Option<usize> {
        let waiters = self.waiters.iter().enumerate();
        let (index, last) = waiters.max_by_key(|(_, waiter)| waiter.order)?;
        (last.order.is_new && last.order > new.order).then_some(index)
    }

    /// Whether the last statement is to be removed: the queue is too long, or the statement would no longer start in
    /// time.
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

    /// Returns the share of recently started work that was more urgent than an effective rank.
    fn overtaken_share(&self, effective_rank: usize) -> f64 {
        let all: f64 = self.started_us.iter().sum();
        let before: f64 = self.started_us[..effective_rank].iter().sum();
        if all > 0.0 { (before / all).min(MAX_OVERTAKEN_SHARE) } else { 0.0 }
    }

    /// Reverts the cost that was charged to the account of a statement that does not start.
    fn refund(&mut self, waiter: &Waiter) {
        let fair_queue = &mut self.fair_queues[waiter.request.rank.index()];
        fair_queue.settle(&waiter.request.account, waiter.cost_us, 0);
    }

    /// Returns the time until this work is done and one more slot is free. If nothing has started or finished for
    /// longer than a service time, the server may hang, and that time is added.
    fn drain_time(&self, work_us: u64, now: Instant) -> Duration {
        let concurrency = self.limit.slots().min(self.limit.get()).min(self.connections);
        let slots = u64::from(concurrency.max(1));
        let mean = Duration::from_micros(self.mean_us());
        let idle_for =
            self.last_progress_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let stalled = idle_for.saturating_sub(mean);
        Duration::from_micros(work_us / slots) + mean / slots as u32 + stalled
    }

    fn mean_us(&self) -> u64 {
        let sum: u64 = Rank::ALL.iter().map(|rank| self.limit.expected_us(*rank)).sum();
        sum / RANKS as u64
    }
}

/// Returns the server's slots, or the number of connections if the slots are unknown.
fn known_slots(capacity: Capacity) -> u32 {
    if capacity.slots == 0 { capacity.connections } else { capacity.slots }
}
