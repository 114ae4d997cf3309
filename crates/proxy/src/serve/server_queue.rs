//! The statement queue of one server, and the permit that a statement needs to run on the server.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use model::Name;
use overload::{
    Capacity, LoadReport, Next, OfferResult, RANKS, Rank, Request, Stage, Ticket, WorkQueue,
};
use tokio::sync::oneshot;

/// Why a statement was refused. Nothing of it was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// More urgent work or the work of other accounts leaves no room in time.
    Overloaded {
        /// How long to wait before retrying.
        retry_delay: Duration,
    },
    /// The statement reached its deadline in the queue.
    TooLate,
}

const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

type PermitResult = Result<QueuePermit, QueueRefusal>;

/// The queue of one server at this daemon.
pub struct ServerQueue {
    work: RefCell<WorkQueue>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<PermitResult>>>,
    server: Name,
    logged_at: Cell<Option<Instant>>,
    /// Refused statements since the last log record.
    refusals: Cell<u64>,
}

impl ServerQueue {
    /// Creates an empty queue.
    pub fn new(server: Name, capacity: Capacity) -> Rc<ServerQueue> {
        Rc::new(ServerQueue {
            work: RefCell::new(WorkQueue::new(capacity)),
            waiting: RefCell::default(),
            server,
            logged_at: Cell::default(),
            refusals: Cell::default(),
        })
    }

    /// Sets how much of the server's capacity may be used.
    pub fn set_capacity(self: &Rc<Self>, capacity: Capacity) {
        self.work.borrow_mut().set_capacity(capacity);
        self.start_waiting();
    }

    /// Waits until a statement may run. Dropping the future withdraws the statement.
    pub async fn await_permit(self: &Rc<Self>, request: Request) -> PermitResult {
        let answer = self.enqueue(&request).await;
        if answer.is_err() {
            self.log_refusals(&request);
        }
        answer
    }

    async fn enqueue(self: &Rc<Self>, request: &Request) -> PermitResult {
        let offered = self.work.borrow_mut().offer(request.clone(), Instant::now());
        match offered {
            OfferResult::Begin => Ok(QueuePermit::new(self, request.clone())),
            OfferResult::Refused { retry_after: retry_delay } => {
                Err(QueueRefusal::Overloaded { retry_delay })
            }
            OfferResult::Queued { ticket, displaced } => {
                let (answer, answered) = oneshot::channel();
                self.waiting.borrow_mut().insert(ticket, answer);
                if let Some(displaced) = displaced {
                    // The displaced statement had the lowest rank.
                    let last = Rank::ALL[RANKS - 1];
                    let retry_delay = self.work.borrow().expected_wait(last, Instant::now());
                    self.answer(displaced, Err(QueueRefusal::Overloaded { retry_delay }));
                }
                self.await_answer(ticket, answered, request.until).await
            }
        }
    }

    /// Returns the load of the server as this daemon sees it.
    pub fn report(&self) -> LoadReport {
        self.work.borrow().report(Instant::now())
    }

    /// Returns the number of statements that wait or run.
    pub fn outstanding(&self) -> u32 {
        let work = self.work.borrow();
        work.running() + work.waiting() as u32
    }

    /// Logs refused statements and the load of the queue, at a limited rate.
    fn log_refusals(&self, request: &Request) {
        let now = Instant::now();
        self.refusals.set(self.refusals.get() + 1);
        if self.logged_at.get().is_some_and(|at| now.duration_since(at) < REFUSAL_LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        let work = self.work.borrow();
        log::info!(
            event = "queue_refused", server = &*self.server, statements = self.refusals.take(),
            account = &*request.account, rank = request.rank.index(),
            stage = format!("{:?}", request.stage).as_str(), waiting = work.waiting(),
            running = work.running(), limit = work.limit(),
            come_back_ms = work.expected_wait(request.rank, now).as_millis() as u64;
            "a server's queue refused statements that could not start in time"
        );
    }

    async fn await_answer(
        self: &Rc<Self>,
        ticket: Ticket,
        answered: oneshot::Receiver<PermitResult>,
        until: Instant,
    ) -> PermitResult {
        let _withdraws = WithdrawOnDrop { queue: self, ticket };
        match tokio::time::timeout_at(until.into(), answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(QueueRefusal::TooLate),
        }
    }

    /// Starts the waiting statements for which there is room.
    fn start_waiting(self: &Rc<Self>) {
        loop {
            let next = self.work.borrow_mut().next(Instant::now());
            match next {
                Next::Nothing => return,
                Next::Expired(ticket) => self.answer(ticket, Err(QueueRefusal::TooLate)),
                Next::Begin(ticket, request) => {
                    self.answer(ticket, Ok(QueuePermit::new(self, request)))
                }
            }
        }
    }

    /// Answers a waiting statement. If its future was dropped, dropping the unsent permit releases it.
    fn answer(&self, ticket: Ticket, answer: PermitResult) {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        drop(waiting.map(|waiting| waiting.send(answer)));
    }
}

/// Withdraws a statement from the queue when the waiting future is dropped.
struct WithdrawOnDrop<'a> {
    queue: &'a Rc<ServerQueue>,
    ticket: Ticket,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.ticket);
        self.queue.work.borrow_mut().withdraw(self.ticket);
    }
}

/// Permission to run one statement in the server and, for a transaction, to hold a connection. Released on drop.
pub struct QueuePermit {
    queue: Rc<ServerQueue>,
    request: Request,
    began_at: Instant,
    has_slot: bool,
}

impl QueuePermit {
    fn new(queue: &Rc<ServerQueue>, request: Request) -> QueuePermit {
        QueuePermit { queue: queue.clone(), request, began_at: Instant::now(), has_slot: true }
    }

    /// Whether the statement occupies a slot of the server.
    pub fn has_slot(&self) -> bool {
        self.has_slot
    }

    /// Releases the slot but not the connection. `has_run` says whether the statement ran to completion.
    pub fn release_slot(&mut self, has_run: bool) {
        if !std::mem::take(&mut self.has_slot) {
            return;
        }
        let took = has_run.then(|| self.began_at.elapsed());
        self.queue.work.borrow_mut().on_finished(&self.request, took, Instant::now());
        self.queue.start_waiting();
    }

    /// Waits until the next statement of the transaction may run.
    pub async fn await_next_statement(&self, until: Instant) -> PermitResult {
        let request = Request { stage: Stage::Continues, until, ..self.request.clone() };
        self.queue.await_permit(request).await
    }
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        self.release_slot(false);
        self.queue.work.borrow_mut().on_released(&self.request);
        self.queue.start_waiting();
    }
}
