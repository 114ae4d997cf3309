//! The bounded queue of requests that wait for a connection.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use model::Priority;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that wants a connection.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Whom fairness is for: requests of one caller wait behind each other, not in front of others.
    pub caller: u64,
    /// How many requests the caller gets in a turn, at least one.
    pub weight: u32,
    /// When it goes before others.
    pub priority: Priority,
    /// When it is of no more use.
    pub deadline: Instant,
}

/// What becomes of an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Queued(Ticket),
    /// It waits, and a less urgent request is refused to make room.
    QueuedInsteadOf {
        /// The request that waits.
        ticket: Ticket,
        /// The request that must be refused now, as not run.
        displaced: Ticket,
    },
    /// It is refused now, as not run: the queue is full, or it would wait past its deadline.
    Refused {
        /// When asking again may help, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// What to do with a connection that has become free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It goes to this request.
    Grant(Ticket),
    /// This request's deadline has passed; refuse it, as not run, and ask again.
    Expire(Ticket),
    /// Nobody waits.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

/// The requests of one caller.
#[derive(Debug, Default)]
struct CallerQueue {
    waiters: VecDeque<Waiter>,
    weight: u32,
    /// How many it has been granted in its present turn.
    granted: u32,
}

/// The requests of one priority, with callers taking turns.
#[derive(Debug, Default)]
struct Lane {
    turns: VecDeque<u64>,
    waiting: HashMap<u64, CallerQueue>,
    length: usize,
}

impl Lane {
    fn push(&mut self, request: &Request, waiter: Waiter) {
        let queue = self.waiting.entry(request.caller).or_default();
        if queue.waiters.is_empty() {
            self.turns.push_back(request.caller);
        }
        queue.weight = request.weight.max(1);
        queue.waiters.push_back(waiter);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<Waiter> {
        let caller = self.turns.pop_front()?;
        let queue = self.waiting.get_mut(&caller)?;
        let waiter = queue.waiters.pop_front()?;
        self.length -= 1;
        queue.granted += 1;
        if queue.waiters.is_empty() {
            self.waiting.remove(&caller);
        } else if queue.granted < queue.weight {
            self.turns.push_front(caller);
        } else {
            queue.granted = 0;
            self.turns.push_back(caller);
        }
        Some(waiter)
    }

    /// Removes the newest request of the caller that has the most.
    fn displace(&mut self) -> Option<Ticket> {
        let (&caller, _) =
            self.waiting.iter().max_by_key(|(caller, queue)| (queue.waiters.len(), **caller))?;
        let ticket = self.waiting.get(&caller)?.waiters.back()?.ticket;
        self.remove(caller, ticket);
        Some(ticket)
    }

    fn remove(&mut self, caller: u64, ticket: Ticket) -> bool {
        let Some(queue) = self.waiting.get_mut(&caller) else { return false };
        let before = queue.waiters.len();
        queue.waiters.retain(|waiter| waiter.ticket != ticket);
        if queue.waiters.len() == before {
            return false;
        }
        self.length -= 1;
        if queue.waiters.is_empty() {
            self.waiting.remove(&caller);
            self.turns.retain(|turn| *turn != caller);
        }
        true
    }
}

/// Requests that wait for the connections of one server, bounded in number.
///
/// The most urgent lane goes first; within a lane callers take turns. The weighing against plain
/// first-in-first-out is in `docs/ROUTING.md`.
#[derive(Debug)]
pub struct AdmissionQueue {
    capacity: usize,
    lanes: [Lane; Priority::ALL.len()],
    next_ticket: u64,
    service_us: u64,
}

/// Each finished request moves the average holding time by one part in this many.
const SERVICE_WEIGHT: u64 = 16;

impl AdmissionQueue {
    /// Makes a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> AdmissionQueue {
        AdmissionQueue { capacity, lanes: Default::default(), next_ticket: 0, service_us: 0 }
    }

    /// Changes the bound. Requests that wait already stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.length).sum()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notes for how long a finished request held its connection.
    pub fn on_served(&mut self, held: Duration) {
        let held_us = u64::try_from(held.as_micros()).unwrap_or(u64::MAX / SERVICE_WEIGHT);
        let average = self.service_us;
        self.service_us = match average {
            0 => held_us,
            average => average - average / SERVICE_WEIGHT + held_us / SERVICE_WEIGHT,
        };
    }

    /// Offers a request that found no free connection among `connections`.
    pub fn offer(&mut self, request: Request, connections: u32, now: Instant) -> Admission {
        let wait = self.expected_wait(request.priority, connections);
        if now + wait >= request.deadline {
            return self.refuse(connections);
        }
        if self.len() < self.capacity {
            return Admission::Queued(self.enqueue(request));
        }
        let less_urgent = request.priority.index() + 1..self.lanes.len();
        match less_urgent.rev().find_map(|lane| self.lanes[lane].displace()) {
            Some(displaced) => {
                Admission::QueuedInsteadOf { ticket: self.enqueue(request), displaced }
            }
            None => self.refuse(connections),
        }
    }

    /// Says who gets a connection that has become free.
    pub fn next(&mut self, now: Instant) -> Next {
        for lane in &mut self.lanes {
            if let Some(waiter) = lane.pop() {
                return if waiter.deadline <= now {
                    Next::Expire(waiter.ticket)
                } else {
                    Next::Grant(waiter.ticket)
                };
            }
        }
        Next::Idle
    }

    /// Takes a request out, as when its caller has gone or its deadline has passed.
    pub fn withdraw(&mut self, request: &Request, ticket: Ticket) -> bool {
        self.lanes[request.priority.index()].remove(request.caller, ticket)
    }

    fn enqueue(&mut self, request: Request) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, deadline: request.deadline };
        self.lanes[request.priority.index()].push(&request, waiter);
        ticket
    }

    /// Estimates the wait behind everything that is as urgent or more so.
    fn expected_wait(&self, priority: Priority, connections: u32) -> Duration {
        let ahead: usize = self.lanes[..=priority.index()].iter().map(|lane| lane.length).sum();
        let connections = u64::from(connections.max(1));
        Duration::from_micros(ahead as u64 * self.service_us / connections)
    }

    fn refuse(&self, connections: u32) -> Admission {
        let wait = self.expected_wait(Priority::Relaxed, connections);
        let retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1);
        Admission::Refused { retry_after_ms }
    }
}
