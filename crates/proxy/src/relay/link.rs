//! The link to one owner: multiplexes requests over one connection and detects whether the owner is alive.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use overload::AgedReport;
use prost::Message;
use tokio::{net::TcpStream, sync::oneshot, time::timeout};

use crate::{
    control::{
        peer_link::{Frames, framed},
        peers::{PeerQuestion, PeerRequest, RelayMessage},
    },
    relay::messages::{RelayAnswer, RelayOutcome, RelayRequest, RelayTask},
    serve::{connection::ConnectionLost, verdict::Progress},
};

/// Timeout for setting up the link: a round trip within a zone, on a busy host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long no data may arrive while requests wait before the owner is pinged. A busy server may answer later than
/// this, but the owner itself answers at once.
const PING_AFTER: Duration = Duration::from_millis(200);
/// How long the answer to a ping may take before the owner counts as dead.
const PONG_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the answer to a ping may take before new requests go to another owner, if there is one: a few round
/// trips between zones.
const SILENT_AFTER: Duration = Duration::from_millis(80);
/// How often liveness is checked while requests wait.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
const OUTGOING_CAPACITY: usize = 512;

/// How long after its wait for a connection the owner may still start a request. Covers the network delay and
/// scheduling on a busy host.
const START_SLACK: Duration = Duration::from_millis(150);

/// Why a request got no outcome: how far it had progressed, and what was lost.
pub type CallError = (Progress, ConnectionLost);

/// A request that waits for its answer: the receiver, the server that runs it, and the time until which the owner
/// may start it.
struct PendingRequest {
    answer: oneshot::Sender<Option<RelayOutcome>>,
    server: String,
    start_until: Instant,
}

type PendingRequests = HashMap<u64, PendingRequest>;

/// A link to an owner.
pub struct RelayLink {
    owner: SocketAddr,
    outgoing: flume::Sender<RelayRequest>,
    waiting: RefCell<PendingRequests>,
    next_number: Cell<u64>,
    is_connected: Cell<bool>,
    is_down: Cell<bool>,
    /// When the owner was pinged, if it has not answered since.
    pinged_at: Cell<Option<Instant>>,
    /// The owner's clock as last received, and when it was received.
    clock: Cell<Option<(u64, Instant)>>,
    /// The load of the owner's servers, from its latest answers.
    loads: RefCell<HashMap<String, AgedReport>>,
}

impl RelayLink {
    /// Starts a link; requests wait until it is connected.
    pub fn start(owner: SocketAddr) -> Rc<RelayLink> {
        let (outgoing, requests) = flume::bounded(OUTGOING_CAPACITY);
        let link = Rc::new(RelayLink {
            owner,
            outgoing,
            waiting: RefCell::default(),
            next_number: Cell::new(0),
            is_connected: Cell::new(false),
            is_down: Cell::new(false),
            pinged_at: Cell::new(None),
            clock: Cell::new(None),
            loads: RefCell::default(),
        });
        tokio::task::spawn_local(link.clone().run(requests));
        link
    }

    /// Whether the link has ended, because the owner closed it or did not answer.
    pub fn is_down(&self) -> bool {
        self.is_down.get()
    }

    /// Returns the owner's address.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// Whether the link was ever connected; it may have ended since.
    pub fn is_connected(&self) -> bool {
        self.is_connected.get()
    }

    /// Whether the answer to a ping is so late that the owner may be dead.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.pinged_at.get().is_some_and(|at| now.duration_since(at) >= SILENT_AFTER)
    }

    /// Returns the last reported load of a server.
    pub fn load_of(&self, server: &str) -> Option<AgedReport> {
        self.loads.borrow().get(server).copied()
    }

    /// Returns a number that no other transaction on this link has.
    pub fn new_transaction(&self) -> u64 {
        self.next_number()
    }

    /// Sends a request to the owner and waits for the outcome until `deadline`.
    ///
    /// An owner that counts as dead may only be frozen, and may read the request when it resumes. So each request
    /// carries a start deadline by the owner's clock, and the loss of a write is reported only after that deadline.
    /// A write in doubt then can't take effect after a later write of the caller.
    pub async fn call(
        &self,
        request: RelayRequest,
        deadline: Instant,
    ) -> Result<RelayOutcome, CallError> {
        let start_until = Instant::now() + request.wait_limit() + START_SLACK;
        let may_write = request.may_write();
        let answered = self.call_once(request, start_until, deadline).await;
        if may_write && matches!(answered, Err((Progress::Sent, _))) {
            tokio::time::sleep_until(start_until.into()).await;
        }
        answered
    }

    async fn call_once(
        &self,
        request: RelayRequest,
        start_until: Instant,
        deadline: Instant,
    ) -> Result<RelayOutcome, CallError> {
        let number = self.next_number();
        let (answer, answered) = oneshot::channel();
        if self.is_down() {
            return Err((Progress::NotSent, ConnectionLost::OwnerLost));
        }
        let pending = PendingRequest { answer, server: request.server.clone(), start_until };
        self.waiting.borrow_mut().insert(number, pending);
        let _forget_on_drop = ForgetOnDrop { link: self, number };
        if self.outgoing.try_send(RelayRequest { number, ..request }).is_err() {
            return Err((Progress::NotSent, ConnectionLost::OwnerLost));
        }
        match tokio::time::timeout_at(deadline.into(), answered).await {
            Ok(Ok(Some(outcome))) => Ok(outcome),
            // A link that was never connected has sent nothing.
            Ok(Ok(None) | Err(_)) if !self.is_connected.get() => {
                Err((Progress::NotSent, ConnectionLost::OwnerLost))
            }
            Ok(Ok(None) | Err(_)) => Err((Progress::Sent, ConnectionLost::OwnerLost)),
            Err(_) => Err((Progress::Sent, ConnectionLost::TimedOut)),
        }
    }

    /// Sends a request that has no answer.
    pub fn send(&self, request: RelayRequest) {
        // If the queue is full, the link is closed, and the owner cancels all open requests of the link.
        if self.outgoing.try_send(request).is_err() {
            self.is_down.set(true);
        }
    }

    fn next_number(&self) -> u64 {
        self.next_number.set(self.next_number.get() + 1);
        self.next_number.get()
    }

    async fn run(self: Rc<Self>, requests: flume::Receiver<RelayRequest>) {
        let why = match timeout(CONNECT_TIMEOUT, connect(self.owner)).await {
            Ok(Ok((frames, clock_ms))) => {
                self.clock.set(Some((clock_ms, Instant::now())));
                self.is_connected.set(true);
                self.transfer(frames, requests).await
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "connect timed out".to_owned(),
        };
        self.is_down.set(true);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        log::info!(
            event = "owner_lost", owner = self.owner.to_string().as_str(), why = why.as_str(),
            waiting = waiting.len();
            "the link to an owner of connections ended"
        );
        for pending in waiting.into_values() {
            // The request may have been cancelled.
            let _ = pending.answer.send(None);
        }
    }

    /// Transfers requests and answers until the link fails; returns the reason.
    async fn transfer(&self, frames: Frames, requests: flume::Receiver<RelayRequest>) -> String {
        let (mut sink, mut stream) = frames.split();
        let mut received_at = Instant::now();
        // Whether a request was sent since data last arrived, even if it was cancelled in the meantime.
        let mut is_answer_due = false;
        let mut check_at = Instant::now() + LIVENESS_CHECK_INTERVAL;
        loop {
            if self.is_down() {
                return "the queue of requests is full".to_owned();
            }
            let is_waiting = !self.waiting.borrow().is_empty();
            tokio::select! {
                request = requests.recv_async() => {
                    let Ok(request) = request else { return "this daemon is stopping".to_owned() };
                    if !is_answer_due && self.is_only_pending(request.number) {
                        // The time without data is measured from the first outstanding request.
                        received_at = Instant::now();
                    }
                    is_answer_due |= self.waiting.borrow().contains_key(&request.number);
                    let written = async {
                        sink.feed(encoded(&self.with_start_deadline(request))).await?;
                        while let Ok(more) = requests.try_recv() {
                            sink.feed(encoded(&self.with_start_deadline(more))).await?;
                        }
                        sink.flush().await
                    };
                    match timeout(WRITE_TIMEOUT, written).await {
                        Ok(Ok(())) => {}
                        Ok(Err(error)) => return error.to_string(),
                        Err(_) => return "write timed out".to_owned(),
                    }
                }
                frame = stream.next() => {
                    received_at = Instant::now();
                    self.pinged_at.set(None);
                    is_answer_due = false;
                    match frame.map(|frame| frame.map(|it| RelayAnswer::decode(it.freeze()))) {
                        Some(Ok(Ok(answer))) => self.on_answer(answer),
                        Some(Ok(Err(error))) => return error.to_string(),
                        Some(Err(error)) => return error.to_string(),
                        None => return "closed by the owner".to_owned(),
                    }
                }
                // At a fixed time, so that a stream of new requests can't delay the check.
                () = tokio::time::sleep_until(check_at.into()), if is_waiting || is_answer_due => {
                    check_at = Instant::now() + LIVENESS_CHECK_INTERVAL;
                    match check_liveness(received_at, self.pinged_at.get(), Instant::now()) {
                        LivenessAction::Wait => {}
                        LivenessAction::Ping => {
                            self.pinged_at.set(Some(Instant::now()));
                            let ping = RelayRequest {
                                task: Some(RelayTask::Ping(true)),
                                ..RelayRequest::default()
                            };
                            match timeout(WRITE_TIMEOUT, sink.send(encoded(&ping))).await {
                                Ok(Ok(())) => {}
                                Ok(Err(error)) => return error.to_string(),
                                Err(_) => return "write timed out".to_owned(),
                            }
                        }
                        LivenessAction::GiveUp => return "no answer to a ping".to_owned(),
                    }
                }
            }
        }
    }

    /// Whether a request is the only one that waits for an answer.
    fn is_only_pending(&self, number: u64) -> bool {
        let waiting = self.waiting.borrow();
        waiting.len() == 1 && waiting.contains_key(&number)
    }

    /// Sets the start deadline of a request by the owner's clock. The owner read the clock before this daemon received
    /// the value, so the deadline is never later than the one that this daemon waits for.
    fn with_start_deadline(&self, request: RelayRequest) -> RelayRequest {
        let start_until = self.waiting.borrow().get(&request.number).map(|it| it.start_until);
        let start_deadline_ms = match (self.clock.get(), start_until) {
            (Some((clock_ms, received_at)), Some(until)) => {
                clock_ms + until.saturating_duration_since(received_at).as_millis() as u64
            }
            // The request was cancelled or needs no start deadline.
            _ => 0,
        };
        RelayRequest { start_deadline_ms, ..request }
    }

    fn on_answer(&self, answer: RelayAnswer) {
        self.clock.set(Some((answer.clock_ms, Instant::now())));
        let Some(pending) = self.waiting.borrow_mut().remove(&answer.number) else { return };
        if let Some(load) = &answer.load {
            let report = load.aged_report(Instant::now());
            self.loads.borrow_mut().insert(pending.server, report);
        }
        if let Some(outcome) = answer.outcome {
            // The request may have been cancelled.
            let _ = pending.answer.send(Some(outcome));
        }
    }
}

/// Removes a request when its future ends or is dropped.
struct ForgetOnDrop<'a> {
    link: &'a RelayLink,
    number: u64,
}

impl Drop for ForgetOnDrop<'_> {
    fn drop(&mut self) {
        let is_answered = self.link.waiting.borrow_mut().remove(&self.number).is_none();
        if !is_answered {
            let task = Some(RelayTask::Release(false));
            let cancel = RelayRequest { number: self.number, task, ..RelayRequest::default() };
            // Cancels the request at the owner. If this is not sent, the request expires there.
            let _ = self.link.outgoing.try_send(cancel);
        }
    }
}

/// What to do about an owner that sends nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Do nothing until the next check.
    Wait,
    /// Send a ping.
    Ping,
    /// Treat the owner as dead.
    GiveUp,
}

/// Decides what to do about an owner from the time of its last data and of an unanswered ping.
pub fn check_liveness(
    received_at: Instant,
    pinged_at: Option<Instant>,
    now: Instant,
) -> LivenessAction {
    match pinged_at {
        Some(pinged_at) if now.duration_since(pinged_at) >= PONG_TIMEOUT => LivenessAction::GiveUp,
        Some(_) => LivenessAction::Wait,
        None if now.duration_since(received_at) >= PING_AFTER => LivenessAction::Ping,
        None => LivenessAction::Wait,
    }
}

/// Connects and waits until the owner accepts the link; returns the link and the owner's clock. Requests are sent
/// only after that, so an owner that does not accept has received none.
async fn connect(owner: SocketAddr) -> std::io::Result<(Frames, u64)> {
    let mut frames = framed(TcpStream::connect(owner).await?);
    let request = PeerRequest { question: Some(PeerQuestion::Relay(RelayMessage {})) };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let Some(frame) = frames.next().await else {
        return Err(std::io::Error::other(
            "the owner closed the connection before accepting the link",
        ));
    };
    let accepted = RelayAnswer::decode(frame?.freeze()).map_err(std::io::Error::other)?;
    Ok((frames, accepted.clock_ms))
}

fn encoded(message: &impl Message) -> Bytes {
    Bytes::from(message.encode_to_vec())
}
