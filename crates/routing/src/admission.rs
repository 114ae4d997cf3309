//! A bounded, prioritized and fair queue of requests that wait for a connection.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use model::Priority;

/// The identifier of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The caller, for fairness: the callers with waiting requests take turns.
    pub caller: u64,
    /// How many requests of the caller are granted in a turn; 0 counts as 1.
    pub weight: u32,
    /// Requests of higher priority are granted first.
    pub priority: Priority,
    /// The time at which the request expires.
    pub deadline: Instant,
}

/// The result of offering a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request was queued.
    Queued(Ticket),
    /// The request was queued in place of a request of lower priority.
    QueuedInsteadOf {
        /// The queued request.
        ticket: Ticket,
        /// The removed request, which must be refused as not run.
        displaced: Ticket,
    },
    /// The request must be refused as not run: the queue is full, or it would wait past its deadline.
    Refused {
        /// When a retry may succeed, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// The next request for a free connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// The connection is granted to this request.
    Grant(Ticket),
    /// This request has expired; refuse it as not run and call [`AdmissionQueue::next`] again.
    Expire(Ticket),
    /// No request is waiting.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Instant,
}

/// The waiting requests of one caller.
#[derive(Debug, Default)]
struct CallerQueue {
    waiters: VecDeque<Waiter>,
    weight: u32,
    /// The number of requests granted in the caller's current turn.
    granted: u32,
}

/// The waiting requests of one priority; callers are served in weighted round robin.
#[derive(Debug, Default)]
struct FairQueue {
    /// The callers with waiting requests, in the order of their turns.
    rotation: VecDeque<u64>,
    callers: HashMap<u64, CallerQueue>,
    length: usize,
}

impl FairQueue {
    fn push(&mut self, request: &Request, waiter: Waiter) {
        let queue = self.callers.entry(request.caller).or_default();
        if queue.waiters.is_empty() {
            self.rotation.push_back(request.caller);
        }
        queue.weight = request.weight.max(1);
        queue.waiters.push_back(waiter);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<Waiter> {
        let caller = self.rotation.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let waiter = queue.waiters.pop_front()?;
        self.length -= 1;
        queue.granted += 1;
        if queue.waiters.is_empty() {
            self.callers.remove(&caller);
        } else if queue.granted < queue.weight {
            self.rotation.push_front(caller);
        } else {
            queue.granted = 0;
            self.rotation.push_back(caller);
        }
        Some(waiter)
    }

    /// Removes the newest request of the caller with the most waiting requests.
    fn displace(&mut self) -> Option<Ticket> {
        let (&caller, _) =
            self.callers.iter().max_by_key(|(caller, queue)| (queue.waiters.len(), **caller))?;
        let ticket = self.callers.get(&caller)?.waiters.back()?.ticket;
        self.remove(caller, ticket);
        Some(ticket)
    }

    fn remove(&mut self, caller: u64, ticket: Ticket) -> bool {
        let Some(queue) = self.callers.get_mut(&caller) else { return false };
        let before = queue.waiters.len();
        queue.waiters.retain(|waiter| waiter.ticket != ticket);
        if queue.waiters.len() == before {
            return false;
        }
        self.length -= 1;
        if queue.waiters.is_empty() {
            self.callers.remove(&caller);
            self.rotation.retain(|other| *other != caller);
        }
        true
    }
}

/// The requests that wait for the connections of one server, bounded in number.
///
/// Requests of the highest priority are granted first; within a priority, callers take turns.
/// `docs/ROUTING.md` compares this with a first-in, first-out queue.
#[derive(Debug)]
pub struct AdmissionQueue {
    capacity: usize,
    /// The waiting requests, indexed by [`Priority::index`].
    priorities: [FairQueue; Priority::ALL.len()],
    next_ticket: u64,
    mean_hold_us: u64,
}

/// The weight of a new hold time in the moving average is one divided by this.
const HOLD_TIME_SMOOTHING: u64 = 16;

impl AdmissionQueue {
    /// Creates a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> AdmissionQueue {
        AdmissionQueue { capacity, priorities: Default::default(), next_ticket: 0, mean_hold_us: 0 }
    }

    /// Changes the capacity. Requests that are already waiting stay in the queue.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.priorities.iter().map(|queue| queue.length).sum()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records for how long a finished request held its connection.
    pub fn record_hold_time(&mut self, held: Duration) {
        let held_us = u64::try_from(held.as_micros()).unwrap_or(u64::MAX / HOLD_TIME_SMOOTHING);
        let average = self.mean_hold_us;
        self.mean_hold_us = match average {
            0 => held_us,
            average => average - average / HOLD_TIME_SMOOTHING + held_us / HOLD_TIME_SMOOTHING,
        };
    }

    /// Offers a request that found none of the server's `connections` free.
    pub fn offer(&mut self, request: Request, connections: u32, now: Instant) -> Admission {
        let wait = self.expected_wait(request.priority, connections);
        if now + wait >= request.deadline {
            return self.refuse(connections);
        }
        if self.len() < self.capacity {
            return Admission::Queued(self.enqueue(request));
        }
        let lower_priorities = request.priority.index() + 1..self.priorities.len();
        match lower_priorities.rev().find_map(|index| self.priorities[index].displace()) {
            Some(displaced) => {
                Admission::QueuedInsteadOf { ticket: self.enqueue(request), displaced }
            }
            None => self.refuse(connections),
        }
    }

    /// Removes and returns the next request for a free connection.
    pub fn next(&mut self, now: Instant) -> NextRequest {
        for queue in &mut self.priorities {
            if let Some(waiter) = queue.pop() {
                return if waiter.deadline <= now {
                    NextRequest::Expire(waiter.ticket)
                } else {
                    NextRequest::Grant(waiter.ticket)
                };
            }
        }
        NextRequest::Idle
    }

    /// Removes a request whose caller no longer waits; returns whether it was in the queue.
    pub fn withdraw(&mut self, request: &Request, ticket: Ticket) -> bool {
        self.priorities[request.priority.index()].remove(request.caller, ticket)
    }

    fn enqueue(&mut self, request: Request) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, deadline: request.deadline };
        self.priorities[request.priority.index()].push(&request, waiter);
        ticket
    }

    /// Estimates the wait behind all requests of the same or a higher priority.
    fn expected_wait(&self, priority: Priority, connections: u32) -> Duration {
        let ahead: usize =
            self.priorities[..=priority.index()].iter().map(|queue| queue.length).sum();
        let connections = u64::from(connections.max(1));
        Duration::from_micros(ahead as u64 * self.mean_hold_us / connections)
    }

    fn refuse(&self, connections: u32) -> Admission {
        let wait = self.expected_wait(Priority::Relaxed, connections);
        let retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1);
        Admission::Refused { retry_after_ms }
    }
}
