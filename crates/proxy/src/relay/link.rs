//! The link to one owner: many requests at a time over one connection, and whether the owner still lives.

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

/// How long an owner may take to accept the link; a round trip within a zone, on a host that is busy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long nothing may come while requests wait before the owner is asked whether it lives. Servers take
/// longer than this when they are busy; the owner itself answers at once.
const PING_AFTER: Duration = Duration::from_millis(200);
/// How long it may take to say so before it counts as dead.
const PONG_TIMEOUT: Duration = Duration::from_millis(250);
/// After how long without its word new requests go to another owner, where there is one: a few round trips between zones.
const SILENT_AFTER: Duration = Duration::from_millis(80);
/// How often that is looked at while requests wait.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the owner may leave the link's bytes unread.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests that may wait to be written.
const OUTGOING_CAPACITY: usize = 512;

/// How long beyond its wait for a connection the owner may begin with a request: its own scheduling, on a busy or slow
/// host, and the way there.
const START_SLACK: Duration = Duration::from_millis(150);

/// How a request on a link ended, if not with an outcome: how far it had come, and why.
pub type LinkLost = (Progress, ConnectionLost);

/// Who waits for an answer, which server it is to come from, and until when the owner may begin with what was asked.
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
    /// Since when the owner owes a sign of life.
    pinged_at: Cell<Option<Instant>>,
    /// The owner's clock as it was last heard, and when.
    clock: Cell<Option<(u64, Instant)>>,
    /// The load of the servers whose connections it owns, as its last answers told it.
    loads: RefCell<HashMap<String, AgedReport>>,
}

impl RelayLink {
    /// Starts a link; requests wait until it stands.
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

    /// Whether it has ended: the owner did not answer, or left.
    pub fn is_down(&self) -> bool {
        self.is_down.get()
    }

    /// Returns where the owner is.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// Whether it stood once; it may be down by now.
    pub fn is_connected(&self) -> bool {
        self.is_connected.get()
    }

    /// Whether the owner has owed a sign of life for longer than a host that lives takes for it.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.pinged_at.get().is_some_and(|at| now.duration_since(at) >= SILENT_AFTER)
    }

    /// Returns the load of a server as the owner told it last.
    pub fn load_of(&self, server: &str) -> Option<AgedReport> {
        self.loads.borrow().get(server).copied()
    }

    /// Returns a number that no other transaction on this link has.
    pub fn new_transaction(&self) -> u64 {
        self.next_number()
    }

    /// Asks the owner, until `deadline`.
    ///
    /// An owner that is found to be dead may only be frozen, and have what it was sent before it when it goes on. It
    /// begins with nothing after the moment that it is told by its own clock, and whoever asks for a write hears that
    /// the link was lost only after that moment: what is in doubt then can't take effect after a later write.
    pub async fn call(
        &self,
        request: RelayRequest,
        deadline: Instant,
    ) -> Result<RelayOutcome, LinkLost> {
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
    ) -> Result<RelayOutcome, LinkLost> {
        let number = self.next_number();
        let (answer, answered) = oneshot::channel();
        if self.is_down() {
            return Err((Progress::NotSent, ConnectionLost::OwnerLost));
        }
        let asked = PendingRequest { answer, server: request.server.clone(), start_until };
        self.waiting.borrow_mut().insert(number, asked);
        let _forget_on_drop = ForgetOnDrop { link: self, number };
        if self.outgoing.try_send(RelayRequest { number, ..request }).is_err() {
            return Err((Progress::NotSent, ConnectionLost::OwnerLost));
        }
        match tokio::time::timeout_at(deadline.into(), answered).await {
            Ok(Ok(Some(outcome))) => Ok(outcome),
            // A link that never stood has sent nothing.
            Ok(Ok(None) | Err(_)) if !self.is_connected.get() => {
                Err((Progress::NotSent, ConnectionLost::OwnerLost))
            }
            Ok(Ok(None) | Err(_)) => Err((Progress::Sent, ConnectionLost::OwnerLost)),
            Err(_) => Err((Progress::Sent, ConnectionLost::TimedOut)),
        }
    }

    /// Tells the owner something that it does not answer.
    pub fn send(&self, request: RelayRequest) {
        // A link that is full or down ends soon, and the owner gives up everything that came over it.
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
                self.carry(frames, requests).await
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no connection in time".to_owned(),
        };
        self.is_down.set(true);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        log::info!(
            event = "owner_lost", owner = self.owner.to_string().as_str(), why = why.as_str(),
            waiting = waiting.len();
            "the link to an owner of connections ended"
        );
        for asked in waiting.into_values() {
            // Whoever asked may have given up.
            let _ = asked.answer.send(None);
        }
    }

    /// Carries requests and answers until something goes wrong; returns what.
    async fn carry(&self, frames: Frames, requests: flume::Receiver<RelayRequest>) -> String {
        let (mut sink, mut stream) = frames.split();
        let mut heard_at = Instant::now();
        // Whether something was asked since anything was heard, also if nobody waits for it any more.
        let mut is_answer_owed = false;
        let mut check_at = Instant::now() + LIVENESS_CHECK_INTERVAL;
        loop {
            if self.is_down() {
                return "the link was full".to_owned();
            }
            let is_waiting = !self.waiting.borrow().is_empty();
            tokio::select! {
                request = requests.recv_async() => {
                    let Ok(request) = request else { return "the daemon ends".to_owned() };
                    if !is_answer_owed && self.is_only_one(request.number) {
                        // Silence counts from when there is something to answer.
                        heard_at = Instant::now();
                    }
                    is_answer_owed |= self.waiting.borrow().contains_key(&request.number);
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
                        Err(_) => return "its bytes stay unread".to_owned(),
                    }
                }
                frame = stream.next() => {
                    heard_at = Instant::now();
                    self.pinged_at.set(None);
                    is_answer_owed = false;
                    match frame.map(|frame| frame.map(|it| RelayAnswer::decode(it.freeze()))) {
                        Some(Ok(Ok(answer))) => self.take(answer),
                        Some(Ok(Err(error))) => return error.to_string(),
                        Some(Err(error)) => return error.to_string(),
                        None => return "closed by the owner".to_owned(),
                    }
                }
                // A moment of its own: requests that keep coming don't put it off.
                () = tokio::time::sleep_until(check_at.into()), if is_waiting || is_answer_owed => {
                    check_at = Instant::now() + LIVENESS_CHECK_INTERVAL;
                    match check_liveness(heard_at, self.pinged_at.get(), Instant::now()) {
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
                                Err(_) => return "its bytes stay unread".to_owned(),
                            }
                        }
                        LivenessAction::GiveUp => return "no sign of life".to_owned(),
                    }
                }
            }
        }
    }

    /// Whether a request is the only one that waits for an answer; one that is told only never does.
    fn is_only_one(&self, number: u64) -> bool {
        let waiting = self.waiting.borrow();
        waiting.len() == 1 && waiting.contains_key(&number)
    }

    /// Tells the owner by its own clock until when it may begin with a request. Its clock was read before it was
    /// heard here, so the moment is never later than the one that this daemon waits for.
    fn with_start_deadline(&self, request: RelayRequest) -> RelayRequest {
        let start_until = self.waiting.borrow().get(&request.number).map(|it| it.start_until);
        let start_deadline_ms = match (self.clock.get(), start_until) {
            (Some((clock_ms, heard_at)), Some(until)) => {
                clock_ms + until.saturating_duration_since(heard_at).as_millis() as u64
            }
            // Nobody waits for it any more, or it is no statement.
            _ => 0,
        };
        RelayRequest { start_deadline_ms, ..request }
    }

    fn take(&self, answer: RelayAnswer) {
        self.clock.set(Some((answer.clock_ms, Instant::now())));
        let Some(waiting) = self.waiting.borrow_mut().remove(&answer.number) else { return };
        if let Some(load) = &answer.load {
            let report = load.heard(Instant::now());
            self.loads.borrow_mut().insert(waiting.server, report);
        }
        if let Some(outcome) = answer.outcome {
            // Whoever asked may have given up.
            let _ = waiting.answer.send(Some(outcome));
        }
    }
}

/// ForgetOnDrop a request however its asker ends.
struct ForgetOnDrop<'a> {
    link: &'a RelayLink,
    number: u64,
}

impl Drop for ForgetOnDrop<'_> {
    fn drop(&mut self) {
        let is_answered = self.link.waiting.borrow_mut().remove(&self.number).is_none();
        if !is_answered {
            let task = Some(RelayTask::Release(false));
            let unwanted = RelayRequest { number: self.number, task, ..RelayRequest::default() };
            // What waits there needn't begin any more; where it isn't told, its time ends there too.
            let _ = self.link.outgoing.try_send(unwanted);
        }
    }
}

/// What to do about an owner from which nothing comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Nothing; it was heard a moment ago.
    Wait,
    /// Ask whether it lives.
    Ping,
    /// Take it for dead.
    GiveUp,
}

/// Judges an owner's silence while requests wait for it.
pub fn check_liveness(
    heard_at: Instant,
    pinged_at: Option<Instant>,
    now: Instant,
) -> LivenessAction {
    match pinged_at {
        Some(pinged_at) if now.duration_since(pinged_at) >= PONG_TIMEOUT => LivenessAction::GiveUp,
        Some(_) => LivenessAction::Wait,
        None if now.duration_since(heard_at) >= PING_AFTER => LivenessAction::Ping,
        None => LivenessAction::Wait,
    }
}

/// Connects and waits until the owner takes the link; nothing is sent before, so that a link which it does not take
/// has left nothing there. Returns the owner's clock too.
async fn connect(owner: SocketAddr) -> std::io::Result<(Frames, u64)> {
    let mut frames = framed(TcpStream::connect(owner).await?);
    let request = PeerRequest { question: Some(PeerQuestion::Relay(RelayMessage {})) };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let Some(frame) = frames.next().await else {
        return Err(std::io::Error::other("the owner does not take the link"));
    };
    let taken = RelayAnswer::decode(frame?.freeze()).map_err(std::io::Error::other)?;
    Ok((frames, taken.clock_ms))
}

fn encoded(message: &impl Message) -> Bytes {
    Bytes::from(message.encode_to_vec())
}
