//! The queue in front of one server, and a statement's turn in it, which gives itself back however it ends.

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
pub enum NotBegun {
    /// More urgent work and that of others leave no room in time.
    Overloaded {
        /// When asking again may help.
        come_back: Duration,
    },
    /// It waited for as long as it may.
    TooLate,
}

/// How often a server's queue tells that it refuses statements.
const TOLD_EVERY: Duration = Duration::from_secs(1);

type Answer = Result<Turn, NotBegun>;

/// The queue of one server at this daemon.
pub struct ServerQueue {
    work: RefCell<WorkQueue>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    server: Name,
    told_at: Cell<Option<Instant>>,
    /// Statements that did not begin, since that was told.
    not_begun: Cell<u64>,
}

impl ServerQueue {
    /// Makes an empty one.
    pub fn new(server: Name, room: Room) -> Rc<ServerQueue> {
        Rc::new(ServerQueue {
            work: RefCell::new(WorkQueue::new(room)),
            waiting: RefCell::default(),
            server,
            told_at: Cell::default(),
            not_begun: Cell::default(),
        })
    }

    /// Takes over what may be used of the server.
    pub fn set_room(self: &Rc<Self>, room: Room) {
        self.work.borrow_mut().set_room(room);
        self.serve();
    }

    /// Waits until a statement may begin. Whoever stops waiting is taken out.
    pub async fn await_turn(self: &Rc<Self>, request: Request) -> Answer {
        let answer = self.offer(&request).await;
        if answer.is_err() {
            self.tell_not_begun(&request);
        }
        answer
    }

    async fn offer(self: &Rc<Self>, request: &Request) -> Answer {
        let offered = self.work.borrow_mut().offer(request.clone(), Instant::now());
        match offered {
            Offered::Begin => Ok(Turn::new(self, request.clone())),
            Offered::Refused { come_back } => Err(NotBegun::Overloaded { come_back }),
            Offered::Waits { ticket, displaced } => {
                let (answer, answered) = oneshot::channel();
                self.waiting.borrow_mut().insert(ticket, answer);
                if let Some(displaced) = displaced {
                    // It was the last in order, so all that wait go before it.
                    let last = Rank::ALL[RANKS - 1];
                    let come_back = self.work.borrow().expected_wait(last, Instant::now());
                    self.answer(displaced, Err(NotBegun::Overloaded { come_back }));
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
    fn tell_not_begun(&self, request: &Request) {
        let now = Instant::now();
        self.not_begun.set(self.not_begun.get() + 1);
        if self.told_at.get().is_some_and(|at| now.duration_since(at) < TOLD_EVERY) {
            return;
        }
        self.told_at.set(Some(now));
        let work = self.work.borrow();
        log::info!(
            event = "queue_refused", server = &*self.server, statements = self.not_begun.take(),
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
        let _leaves = Leaves { queue: self, ticket };
        match tokio::time::timeout_at(until.into(), answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(NotBegun::TooLate),
        }
    }

    /// Lets those begin that can.
    fn serve(self: &Rc<Self>) {
        loop {
            let next = self.work.borrow_mut().next(Instant::now());
            match next {
                Next::Nothing => return,
                Next::Expired(ticket) => self.answer(ticket, Err(NotBegun::TooLate)),
                Next::Begin(ticket, request) => self.answer(ticket, Ok(Turn::new(self, request))),
            }
        }
    }

    /// Tells who waits. A turn that nobody takes any more gives itself back as it is dropped.
    fn answer(&self, ticket: Ticket, answer: Answer) {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        drop(waiting.map(|waiting| waiting.send(answer)));
    }
}

/// Takes a statement out of the queue when its asker stops waiting.
struct Leaves<'a> {
    queue: &'a Rc<ServerQueue>,
    ticket: Ticket,
}

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.ticket);
        self.queue.work.borrow_mut().withdraw(self.ticket);
    }
}

/// The right of one statement to be inside the server, and that of its transaction to a connection.
pub struct Turn {
    queue: Rc<ServerQueue>,
    request: Request,
    began_at: Instant,
    has_slot: bool,
}

impl Turn {
    fn new(queue: &Rc<ServerQueue>, request: Request) -> Turn {
        Turn { queue: queue.clone(), request, began_at: Instant::now(), has_slot: true }
    }

    /// Whether its statement is inside the server.
    pub fn has_slot(&self) -> bool {
        self.has_slot
    }

    /// Gives the slot to others; the connection stays. `has_run` says that the statement ran to its end.
    pub fn leave_slot(&mut self, has_run: bool) {
        if !std::mem::take(&mut self.has_slot) {
            return;
        }
        let took = has_run.then(|| self.began_at.elapsed());
        self.queue.work.borrow_mut().on_finished(&self.request, took, Instant::now());
        self.queue.serve();
    }

    /// Waits until the next statement of the transaction may begin.
    pub async fn await_next(&self, until: Instant) -> Answer {
        let request = Request { stage: Stage::Continues, until, ..self.request.clone() };
        self.queue.await_turn(request).await
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave_slot(false);
        self.queue.work.borrow_mut().on_released(&self.request);
        self.queue.serve();
    }
}
