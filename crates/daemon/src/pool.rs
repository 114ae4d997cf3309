//! A pool of connections to one server.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use model::{Refusal, RefusalReason};
use parking_lot::Mutex;
use routing::{Admission, AdmissionQueue, LatencyAverage, NextRequest, Request, Ticket};
use wire::{EndpointAddress, EndpointError};

use crate::endpoint_connection::EndpointConnection;

/// SQLSTATE of a server that accepts no more connections.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Retry delay after a server accepted no more connections.
const TOO_MANY_CONNECTIONS_RETRY: Duration = Duration::from_millis(5);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What a waiting request receives.
enum Grant {
    Connection(Box<EndpointConnection>),
    /// Permission to open a connection.
    Open,
    /// The request was displaced by a more urgent one, its deadline has passed or the pool closed.
    Refused(Refusal),
}

/// The immediate result of a request for a connection.
enum Acquisition {
    Connection(Box<EndpointConnection>),
    Open,
    Queued(Ticket, flume::Receiver<Grant>),
}

struct PoolState {
    idle: Vec<EndpointConnection>,
    /// Connections in use, idle or being opened.
    open: u32,
    /// The maximum of `open`.
    share: u32,
    queue: AdmissionQueue,
    waiting: HashMap<Ticket, flume::Sender<Grant>>,
    closed: bool,
    prepared_statements: u32,
}

/// A pool of connections to one server, with the queue of requests that wait for them.
pub(crate) struct ServerPool {
    target: EndpointAddress,
    state: Mutex<PoolState>,
    in_use: AtomicU32,
    waiting: AtomicU32,
    latency: LatencyAverage,
}

impl ServerPool {
    pub(crate) fn new(
        target: EndpointAddress,
        share: u32,
        queue_length: u32,
        prepared_statements: u32,
    ) -> Arc<ServerPool> {
        Arc::new(ServerPool {
            target,
            state: Mutex::new(PoolState {
                idle: Vec::new(),
                open: 0,
                share,
                queue: AdmissionQueue::new(queue_length as usize),
                waiting: HashMap::new(),
                closed: false,
                prepared_statements,
            }),
            in_use: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            latency: LatencyAverage::default(),
        })
    }

    /// Returns the average response time.
    pub(crate) fn latency(&self) -> &LatencyAverage {
        &self.latency
    }

    /// Returns the number of running and waiting requests.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_use.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed)
    }

    /// Returns how many connections could be used now.
    pub(crate) fn wanted(&self) -> u32 {
        self.in_flight()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections and its maximum.
    pub(crate) fn open_and_share(&self) -> (u32, u32) {
        let state = self.state.lock();
        (state.open, state.share)
    }

    /// Sets the maximum of open connections. Idle ones beyond it are closed.
    pub(crate) fn set_share(&self, share: u32) {
        let mut state = self.state.lock();
        let share_grew = share > state.share;
        state.share = share;
        while state.open > state.share && state.idle.pop().is_some() {
            state.open -= 1;
        }
        if share_grew {
            while state.open < state.share && self.grant_open(&mut state) {}
        }
    }

    /// Sets the limits from the configuration.
    pub(crate) fn set_limits(&self, queue_length: u32, prepared_statements: u32) {
        let mut state = self.state.lock();
        state.queue.set_capacity(queue_length as usize);
        state.prepared_statements = prepared_statements;
    }

    /// Closes connections that have been idle for `idle_for`, as long as more than `keep` are open.
    pub(crate) fn close_idle(&self, idle_for: Duration, keep: u32) {
        let mut state = self.state.lock();
        let now = Instant::now();
        while state.open > keep {
            let oldest = state.idle.first().map(|connection| connection.idle_since);
            if oldest.is_none_or(|since| now.saturating_duration_since(since) < idle_for) {
                return;
            }
            state.idle.remove(0);
            state.open -= 1;
        }
    }

    /// Accepts no more work and closes idle connections. Running work is finished.
    pub(crate) fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        state.open -= state.idle.len() as u32;
        state.idle.clear();
        for (_, waiter) in state.waiting.drain() {
            let refusal =
                Refusal::not_run(RefusalReason::Unreachable, "the endpoint was taken out");
            let _ = waiter.send(Grant::Refused(refusal));
        }
    }

    /// Gets a connection for a request, waiting in the queue until the request's deadline.
    pub(crate) async fn acquire(
        self: &Arc<ServerPool>,
        request: Request,
    ) -> Result<PooledConnection, Refusal> {
        loop {
            let opened = match self.try_acquire(request)? {
                Acquisition::Connection(connection) => return Ok(self.check_out(*connection)),
                Acquisition::Open => self.open().await,
                Acquisition::Queued(ticket, answer) => {
                    match self.wait(request, ticket, answer).await {
                        Grant::Connection(connection) => return Ok(self.check_out(*connection)),
                        Grant::Open => self.open().await,
                        Grant::Refused(refusal) => return Err(refusal),
                    }
                }
            };
            match opened {
                Err(EndpointError::Refused { code, .. }) if code == TOO_MANY_CONNECTIONS => {
                    self.limit_share_to_open();
                    if Instant::now() >= request.deadline {
                        return Err(deadline_refusal());
                    }
                    tokio::time::sleep(TOO_MANY_CONNECTIONS_RETRY).await;
                }
                Err(error) => {
                    let detail = format!("no connection to the endpoint: {error}");
                    return Err(Refusal::not_run(RefusalReason::Unreachable, detail));
                }
                Ok(connection) => return Ok(connection),
            }
        }
    }

    async fn wait(
        self: &Arc<ServerPool>,
        request: Request,
        ticket: Ticket,
        answer: flume::Receiver<Grant>,
    ) -> Grant {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let mut queued = QueuedRequest { pool: self, request, ticket, answer, ended: false };
        queued.wait().await
    }

    /// Lowers the share to the open connections, since the server accepts no more. The next
    /// division among the owners may raise it again.
    fn limit_share_to_open(&self) {
        let mut state = self.state.lock();
        state.share = state.share.min(state.open.max(1));
    }

    /// Takes an idle connection, permission to open one, or a place in the queue.
    fn try_acquire(&self, request: Request) -> Result<Acquisition, Refusal> {
        let mut state = self.state.lock();
        if state.closed {
            return Err(Refusal::not_run(RefusalReason::Unreachable, "the endpoint was taken out"));
        }
        if let Some(connection) = take_idle(&mut state) {
            return Ok(Acquisition::Connection(Box::new(connection)));
        }
        if state.open < state.share {
            state.open += 1;
            return Ok(Acquisition::Open);
        }
        let (ticket, answer) = self.enqueue(&mut state, request)?;
        Ok(Acquisition::Queued(ticket, answer))
    }

    fn enqueue(
        &self,
        state: &mut PoolState,
        request: Request,
    ) -> Result<(Ticket, flume::Receiver<Grant>), Refusal> {
        let connections = state.share;
        let ticket = match state.queue.offer(request, connections, Instant::now()) {
            Admission::Queued(ticket) => ticket,
            Admission::QueuedInsteadOf { ticket, displaced } => {
                if let Some(waiter) = state.waiting.remove(&displaced) {
                    let refusal = Refusal::not_run(
                        RefusalReason::Overloaded,
                        "the queue is full of more urgent requests",
                    );
                    let _ = waiter.send(Grant::Refused(refusal.retry_after(QUEUE_RETRY_MS)));
                }
                ticket
            }
            Admission::Refused { retry_after_ms } => {
                let refusal = Refusal::not_run(
                    RefusalReason::Overloaded,
                    "too many requests wait for the group's connections",
                );
                return Err(refusal.retry_after(retry_after_ms));
            }
        };
        let (sender, answer) = flume::bounded(1);
        state.waiting.insert(ticket, sender);
        Ok((ticket, answer))
    }

    /// Opens a connection that is already counted in `open`.
    async fn open(self: &Arc<ServerPool>) -> Result<PooledConnection, EndpointError> {
        let prepared = self.state.lock().prepared_statements;
        // If connecting fails or the request is dropped meanwhile, dropping the slot releases the count.
        let slot = OpeningSlot { pool: self, counted: true };
        let connection = EndpointConnection::open(&self.target, CONNECT_TIMEOUT, prepared).await?;
        slot.keep();
        Ok(self.check_out(connection))
    }

    fn check_out(self: &Arc<ServerPool>, connection: EndpointConnection) -> PooledConnection {
        self.in_use.fetch_add(1, Ordering::Relaxed);
        PooledConnection {
            pool: self.clone(),
            connection: Some(connection),
            checked_out_at: Instant::now(),
        }
    }

    fn release(&self, mut connection: EndpointConnection, held: Duration) {
        let mut state = self.state.lock();
        state.queue.record_hold_time(held);
        if state.closed || state.open > state.share {
            state.open -= 1;
            return;
        }
        connection.idle_since = Instant::now();
        let mut grant = Grant::Connection(Box::new(connection));
        while let Some(waiter) = next_waiter(&mut state) {
            match waiter.send(grant) {
                Ok(()) => return,
                Err(flume::SendError(returned)) => grant = returned,
            }
        }
        if let Grant::Connection(connection) = grant {
            state.idle.push(*connection);
        }
    }

    /// Releases the slot of a connection, and lets the next waiting request open one.
    fn release_slot(&self) {
        let mut state = self.state.lock();
        state.open -= 1;
        if !state.closed && state.open < state.share {
            self.grant_open(&mut state);
        }
    }

    fn grant_open(&self, state: &mut PoolState) -> bool {
        while let Some(waiter) = next_waiter(state) {
            if waiter.send(Grant::Open).is_ok() {
                state.open += 1;
                return true;
            }
        }
        false
    }
}

/// Retry delay for a request that was displaced or got no connection in time.
const QUEUE_RETRY_MS: u64 = 100;

fn take_idle(state: &mut PoolState) -> Option<EndpointConnection> {
    while let Some(connection) = state.idle.pop() {
        if !connection.is_stale() {
            return Some(connection);
        }
        state.open -= 1;
    }
    None
}

/// Takes the next waiting request, and refuses those whose deadlines have passed.
fn next_waiter(state: &mut PoolState) -> Option<flume::Sender<Grant>> {
    loop {
        match state.queue.next(Instant::now()) {
            NextRequest::Idle => return None,
            NextRequest::Grant(ticket) => {
                if let Some(waiter) = state.waiting.remove(&ticket) {
                    return Some(waiter);
                }
            }
            NextRequest::Expire(ticket) => {
                if let Some(waiter) = state.waiting.remove(&ticket) {
                    let _ = waiter.send(Grant::Refused(deadline_refusal()));
                }
            }
        }
    }
}

fn deadline_refusal() -> Refusal {
    Refusal::not_run(
        RefusalReason::DeadlinePassed,
        "no connection to the group became free in time",
    )
    .retry_after(QUEUE_RETRY_MS)
}

/// A waiting request. Dropping it removes it from the queue, and releases a connection that was granted
/// in the meantime.
struct QueuedRequest<'a> {
    pool: &'a Arc<ServerPool>,
    request: Request,
    ticket: Ticket,
    answer: flume::Receiver<Grant>,
    ended: bool,
}

impl QueuedRequest<'_> {
    async fn wait(&mut self) -> Grant {
        let deadline = tokio::time::Instant::from_std(self.request.deadline);
        match tokio::time::timeout_at(deadline, self.answer.recv_async()).await {
            Ok(Ok(grant)) => {
                self.ended = true;
                grant
            }
            Ok(Err(_)) | Err(_) => Grant::Refused(deadline_refusal()),
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.pool.waiting.fetch_sub(1, Ordering::Relaxed);
        if self.ended {
            return;
        }
        {
            let mut state = self.pool.state.lock();
            state.queue.withdraw(&self.request, self.ticket);
            state.waiting.remove(&self.ticket);
        }
        match self.answer.try_recv() {
            Ok(Grant::Connection(connection)) => self.pool.release(*connection, Duration::ZERO),
            Ok(Grant::Open) => self.pool.release_slot(),
            Ok(Grant::Refused(_)) | Err(_) => {}
        }
    }
}

/// The slot of a connection that is being opened, which is counted in `PoolState::open`.
struct OpeningSlot<'a> {
    pool: &'a Arc<ServerPool>,
    counted: bool,
}

impl OpeningSlot<'_> {
    fn keep(mut self) {
        self.counted = false;
    }
}

impl Drop for OpeningSlot<'_> {
    fn drop(&mut self) {
        if self.counted {
            self.pool.release_slot();
        }
    }
}

/// A connection checked out by a request. If it is dropped without a release, the connection is closed,
/// since answers may be pending on it.
pub(crate) struct PooledConnection {
    pool: Arc<ServerPool>,
    connection: Option<EndpointConnection>,
    checked_out_at: Instant,
}

impl PooledConnection {
    /// Returns the connection.
    ///
    /// # Panics
    /// Never: only [`PooledConnection::release`] takes the connection out, and it consumes the guard.
    pub(crate) fn get(&mut self) -> &mut EndpointConnection {
        self.connection.as_mut().expect("the connection is checked out")
    }

    /// Returns the connection to the pool. It must be idle, without pending answers.
    pub(crate) fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.in_use.fetch_sub(1, Ordering::Relaxed);
            self.pool.release(connection, self.checked_out_at.elapsed());
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.in_use.fetch_sub(1, Ordering::Relaxed);
            self.pool.release_slot();
        }
    }
}
