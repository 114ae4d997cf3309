//! The queue in front of one server, and a statement's permit in it, which gives itself back however it ends.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use model::Name;
use overload::{LoadReport, Next, Offered, RANKS, Rank, Request, Room, Stage, Ticket, WorkQueue};
use tokio::sync::oneshot;

/// Why a statement did not begin. Nothing of it was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// More urgent work and that of others leave no room in time.
    Overloaded {
        /// When asking again may help.
        retry_delay: Duration,
    },
    /// It waited for as long as it may.
    TooLate,
}

/// How often a server's queue tells that it refuses statements.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

type Answer = Result<QueuePermit, QueueRefusal>;

/// The queue of one server at this daemon.
pub struct ServerQueue {
    work: RefCell<WorkQueue>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    server: Name,
    logged_at: Cell<Option<Instant>>,
    /// Statements that did not begin, since that was told.
    refusals: Cell<u64>,
}

impl ServerQueue {
    /// Makes an empty one.
    pub fn new(server: Name, room: Room) -> Rc<ServerQueue> {
        Rc::new(ServerQueue {
            work: RefCell::new(WorkQueue::new(room)),
            waiting: RefCell::default(),
            server,
            logged_at: Cell::default(),
            refusals: Cell::default(),
        })
    }

    /// Takes over what may be used of the server.
    pub fn set_room(self: &Rc<Self>, room: Room) {
        self.work.borrow_mut().set_room(room);
        self.serve();
    }

    /// Waits until a statement may begin. Whoever stops waiting is taken out.
    pub async fn await_permit(self: &Rc<Self>, request: Request) -> Answer {
        let answer = self.enqueue(&request).await;
        if answer.is_err() {
            self.log_refusals(&request);
        }
        answer
    }

    async fn enqueue(self: &Rc<Self>, request: &Request) -> Answer {
        let offered = self.work.borrow_mut().offer(request.clone(), Instant::now());
        match offered {
            Offered::Begin => Ok(QueuePermit::new(self, request.clone())),
            Offered::Refused { come_back: retry_delay } => {
                Err(QueueRefusal::Overloaded { retry_delay })
            }
            Offered::Waits { ticket, displaced } => {
                let (answer, answered) = oneshot::channel();
                self.waiting.borrow_mut().insert(ticket, answer);
                if let Some(displaced) = displaced {
                    // It was the last in order, so all that wait go before it.
                    let last = Rank::ALL[RANKS - 1];
                    let retry_delay = self.work.borrow().expected_wait(last, Instant::now());
                    self.answer(displaced, Err(QueueRefusal::Overloaded { retry_delay }));
                }
                self.await_answer(ticket, answered, request.until).await
            }
        }
    }

    /// Returns the load of the server, as this daemon sees it.
    pub fn report(&self) -> LoadReport {
        self.work.borrow().report(Instant::now())
    }

    /// Returns how many statements wait or run.
    pub fn outstanding(&self) -> u32 {
        let work = self.work.borrow();
        work.running() + work.waiting() as u32
    }

    /// Tells operators whose statements did not begin, and what was before them; bounded, since many don't at a time.
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
            "a server's queue has no room in time for some statements"
        );
    }

    async fn await_answer(
        self: &Rc<Self>,
        ticket: Ticket,
        answered: oneshot::Receiver<Answer>,
        until: Instant,
    ) -> Answer {
        let _withdraws = WithdrawOnDrop { queue: self, ticket };
        match tokio::time::timeout_at(until.into(), answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(QueueRefusal::TooLate),
        }
    }

    /// Lets those begin that can.
    fn serve(self: &Rc<Self>) {
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

    /// Tells who waits. A permit that nobody takes any more gives itself back as it is dropped.
    fn answer(&self, ticket: Ticket, answer: Answer) {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        drop(waiting.map(|waiting| waiting.send(answer)));
    }
}

/// Takes a statement out of the queue when its asker stops waiting.
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

/// The right of one statement to be inside the server, and that of its transaction to a connection.
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

    /// Whether its statement is inside the server.
    pub fn has_slot(&self) -> bool {
        self.has_slot
    }

    /// Gives the slot to others; the connection stays. `has_run` says that the statement ran to its end.
    pub fn release_slot(&mut self, has_run: bool) {
        if !std::mem::take(&mut self.has_slot) {
            return;
        }
        let took = has_run.then(|| self.began_at.elapsed());
        self.queue.work.borrow_mut().on_finished(&self.request, took, Instant::now());
        self.queue.serve();
    }

    /// Waits until the next statement of the transaction may begin.
    pub async fn await_next_statement(&self, until: Instant) -> Answer {
        let request = Request { stage: Stage::Continues, until, ..self.request.clone() };
        self.queue.await_permit(request).await
    }
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        self.release_slot(false);
        self.queue.work.borrow_mut().on_released(&self.request);
        self.queue.serve();
    }
}
