//! Running what other daemons hand over, on the connections that this one owns.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use model::{Name, StatementClass};
use overload::PathOutcome;
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::{
    accounts::Principal,
    control::peer_link::{AcceptedLink, Frames},
    dialect::{CallerDialect, EndpointDialect},
    relay::{
        load_messages::LoadMessage,
        messages::{AnswerMessage, NotSent, RelayAnswer, RelayOutcome, RelayRequest, RelayTask},
        sampling::answer_sample,
    },
    serve::{
        connection_request::ConnectionRequest,
        endpoint_task::{EndpointTask, TaskKind},
        engine::{AcquireError, Engine, Group},
        execute::{Sample, Watch},
        health::outcome_of,
        pooled_connection::PooledConnection,
        verdict::Progress,
    },
    statement::TransactionState,
};

/// Answers that may wait to be written to one daemon; behind so many nothing more is read from it.
const OUTGOING_CAPACITY: usize = 512;
/// Requests of one transaction that may wait; its asker sends the next one after the answer.
const TRANSACTION_CAPACITY: usize = 8;

/// What another daemon has asked for over one link.
#[derive(Default)]
struct OpenRequests {
    /// The requests of open transactions.
    transactions: RefCell<HashMap<u64, Transaction>>,
    /// Statements by themselves that have not ended.
    singles: RefCell<HashMap<u64, CancellationToken>>,
    /// Cancelled when the link ends.
    link: CancellationToken,
}

struct Transaction {
    requests: flume::Sender<RelayRequest>,
    is_unwanted: CancellationToken,
}

impl OpenRequests {
    /// Takes back what was asked: what waits does not begin any more.
    fn cancel(&self, request: RelayRequest) {
        if request.transaction == 0 {
            if let Some(single) = self.singles.borrow_mut().remove(&request.number) {
                single.cancel();
            }
            return;
        }
        if let Some(transaction) = self.transactions.borrow_mut().remove(&request.transaction) {
            transaction.is_unwanted.cancel();
            // One that has ended by itself needs no release.
            let _ = transaction.requests.try_send(request);
        }
    }
}

/// Runs what another daemon hands over until its link ends; what is open then is rolled back.
pub async fn serve_relay<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    link: AcceptedLink,
) {
    let frames: Frames = match link.into_frames() {
        Ok(frames) => frames,
        Err(error) => {
            log::warn!(
                event = "relay_failed", why = error.to_string().as_str();
                "another daemon's link could not be taken over"
            );
            return;
        }
    };
    let (mut sink, mut stream) = frames.split();
    let (answers, outgoing) = flume::bounded::<RelayAnswer>(OUTGOING_CAPACITY);
    // It says that the link is taken; there is room.
    let _ = answers.try_send(answer_to(0, RelayOutcome::Pong(true)));
    let reading = async {
        let asked = Rc::new(OpenRequests::default());
        let _ends_with_link = asked.link.clone().drop_guard();
        while let Some(Ok(frame)) = stream.next().await {
            let Ok(request) = RelayRequest::decode(frame.freeze()) else {
                log::warn!(event = "peer_garbled"; "another daemon's statement can't be understood");
                return;
            };
            if start(&engine, request, &asked, &answers).await.is_err() {
                return;
            }
        }
    };
    let writing = async {
        while let Ok(answer) = outgoing.recv_async().await {
            let encoded = |answer: RelayAnswer| {
                let answer = RelayAnswer { clock_ms: engine.clock_ms(), ..answer };
                Bytes::from(answer.encode_to_vec())
            };
            let written = async {
                sink.feed(encoded(answer)).await?;
                while let Ok(more) = outgoing.try_recv() {
                    sink.feed(encoded(more)).await?;
                }
                sink.flush().await
            };
            if written.await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = reading => {}
        () = writing => {}
    }
}

/// The link has ended.
struct LinkEnded;

/// Starts what a request asks for.
async fn start<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: RelayRequest,
    asked: &Rc<OpenRequests>,
    answers: &flume::Sender<RelayAnswer>,
) -> Result<(), LinkEnded> {
    let (transaction, number) = (request.transaction, request.number);
    let at_once = match &request.task {
        Some(RelayTask::Ping(_)) => Some(RelayOutcome::Pong(true)),
        Some(RelayTask::Vote(asked)) => {
            Some(RelayOutcome::Voted(engine.vote(&asked.request()).into()))
        }
        Some(RelayTask::RequestQuota(asked)) => {
            let account = Name::from(request.account.as_str());
            Some(RelayOutcome::QuotaGranted(engine.answer_quota_request(&account, &asked.wanted())))
        }
        Some(RelayTask::Release(_)) => {
            asked.cancel(request);
            return Ok(());
        }
        Some(RelayTask::Begin(_)) if transaction != 0 => {
            let (requests, taken) = flume::bounded(TRANSACTION_CAPACITY);
            // It is empty, so there is room.
            let _ = requests.try_send(request);
            let is_unwanted = asked.link.child_token();
            let opened = Transaction { requests, is_unwanted: is_unwanted.clone() };
            asked.transactions.borrow_mut().insert(transaction, opened);
            let answers = answers.clone();
            tokio::task::spawn_local(run_transaction(engine.clone(), taken, answers, is_unwanted));
            return Ok(());
        }
        Some(RelayTask::Sample(max_age_ms)) => {
            let max_age = Duration::from_millis(*max_age_ms);
            let (engine, answers) = (engine.clone(), answers.clone());
            tokio::task::spawn_local(async move {
                let until = Instant::now() + request.wait_limit();
                await_servers(&engine, until).await;
                let group = group_of(&engine, &request);
                let sampled = answer_sample(&group, &engine, max_age, until).await;
                // The link may have ended meanwhile.
                let answer = answer_to(number, RelayOutcome::Sampled(sampled));
                let _ = answers.send_async(answer).await;
            });
            return Ok(());
        }
        Some(_) if transaction != 0 => {
            let transactions = asked.transactions.borrow();
            let known = transactions.get(&transaction);
            let taken = known.is_some_and(|it| it.requests.try_send(request).is_ok());
            (!taken).then(|| RelayOutcome::Lost("the transaction has ended here".to_owned()))
        }
        Some(_) => {
            let (engine, answers, asked) = (engine.clone(), answers.clone(), asked.clone());
            let is_unwanted = asked.link.child_token();
            asked.singles.borrow_mut().insert(number, is_unwanted.clone());
            tokio::task::spawn_local(async move {
                let outcome = run_single(&engine, &request, &is_unwanted).await;
                asked.singles.borrow_mut().remove(&number);
                // The link may have ended meanwhile.
                let _ = answers.send_async(answer_with_load(&engine, &request, outcome)).await;
            });
            return Ok(());
        }
        None => Some(not_sent(NotSent::Unwilling)),
    };
    let Some(outcome) = at_once else { return Ok(()) };
    answers.send_async(answer_to(number, outcome)).await.map_err(|_| LinkEnded)
}

fn answer_to(number: u64, outcome: RelayOutcome) -> RelayAnswer {
    RelayAnswer { number, outcome: Some(outcome), ..RelayAnswer::default() }
}

/// Tells the server's load with what became of a request, and when asking again may help.
fn answer_with_load<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: &RelayRequest,
    outcome: RelayOutcome,
) -> RelayAnswer {
    let answer = answer_to(request.number, outcome);
    let Some(report) = group_of(engine, request).pool.load_of(&request.server) else {
        return answer;
    };
    let is_refused = answer.outcome == Some(not_sent(NotSent::Overloaded));
    let wait = report.waits[request.rank().index()];
    let retry_delay_ms = if is_refused { wait.as_millis() as u64 + 1 } else { 0 };
    RelayAnswer { load: Some(LoadMessage::of(&report)), retry_delay_ms, ..answer }
}

fn not_sent(why: NotSent) -> RelayOutcome {
    RelayOutcome::NotSent(why.number())
}

/// Runs a statement by itself.
async fn run_single<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: &RelayRequest,
    is_unwanted: &CancellationToken,
) -> RelayOutcome {
    let received_at = Instant::now();
    await_servers(engine, received_at + request.wait_limit()).await;
    let group = group_of(engine, request);
    let Some(task) = request.endpoint_task() else { return not_sent(NotSent::Unwilling) };
    let mut lent = match acquire(engine, &group, request, &task, received_at, is_unwanted).await {
        Ok(lent) => lent,
        Err(why) => return not_sent(why),
    };
    if request.is_past_start(engine.clock_ms()) {
        lent.release();
        return not_sent(NotSent::TooLate);
    }
    let (outcome, state) = run(engine, &group, request, &task, &mut lent, received_at).await;
    match state {
        Some(TransactionState::Idle) => lent.release(),
        Some(_) => engine.roll_back(lent),
        // Closing it rolls back whatever is open.
        None => drop(lent),
    }
    outcome
}

/// Runs the statements of a transaction on one connection, until it is released or its asker is gone.
async fn run_transaction<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    requests: flume::Receiver<RelayRequest>,
    answers: flume::Sender<RelayAnswer>,
    is_unwanted: CancellationToken,
) {
    let mut lent: Option<PooledConnection<E>> = None;
    loop {
        let rest = engine.control_view().catalog.idle_transaction;
        let request = match rest {
            Some(rest) => match tokio::time::timeout(rest * 2, requests.recv_async()).await {
                Ok(request) => request,
                // Its asker ends one that rests for half as long; this one must be gone.
                Err(_) => break,
            },
            None => requests.recv_async().await,
        };
        let Ok(request) = request else { break };
        if let Some(RelayTask::Release(is_clean)) = request.task {
            match lent.take() {
                Some(lent) if is_clean => lent.release(),
                Some(lent) => engine.roll_back(lent),
                None => {}
            }
            return;
        }
        let received_at = Instant::now();
        await_servers(&engine, received_at + request.wait_limit()).await;
        let group = group_of(&engine, &request);
        let outcome = match request.endpoint_task() {
            None => not_sent(NotSent::Unwilling),
            Some(task) => {
                if lent.is_none() {
                    match acquire(&engine, &group, &request, &task, received_at, &is_unwanted).await
                    {
                        Ok(granted) => lent = Some(granted),
                        Err(why) => {
                            let answer = answer_with_load(&engine, &request, not_sent(why));
                            // The link may have ended meanwhile.
                            let _ = answers.send_async(answer).await;
                            return;
                        }
                    }
                }
                let Some(held) = lent.as_mut() else { return };
                if let Err(why) = await_permit(&engine, &request, held).await {
                    let answer = answer_with_load(&engine, &request, not_sent(why));
                    // The link may have ended meanwhile.
                    let _ = answers.send_async(answer).await;
                    break;
                }
                let (outcome, state) =
                    run(&engine, &group, &request, &task, held, received_at).await;
                if state.is_none() {
                    lent = None;
                }
                outcome
            }
        };
        let is_over = lent.is_none();
        // The link may have ended meanwhile; then nothing more comes either.
        let _ = answers.send_async(answer_with_load(&engine, &request, outcome)).await;
        if is_over {
            return;
        }
    }
    if let Some(lent) = lent {
        engine.roll_back(lent);
    }
}

/// Waits until the next statement of a transaction may begin, for no longer than its asker lets it.
async fn await_permit<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: &RelayRequest,
    held: &mut PooledConnection<E>,
) -> Result<(), NotSent> {
    let left_ms = request.start_deadline_ms.saturating_sub(engine.clock_ms());
    held.await_permit(Instant::now() + Duration::from_millis(left_ms)).await?;
    if request.is_past_start(engine.clock_ms()) { Err(NotSent::TooLate) } else { Ok(()) }
}

/// Waits until this daemon knows the servers: where all start together, others may know before it does that it
/// owns their connections.
async fn await_servers<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    until: Instant,
) {
    let mut beliefs = engine.control_view.clone();
    let known = beliefs.wait_for(|beliefs| beliefs.is_ready());
    // What comes too late is told so by the pool.
    let _ = tokio::time::timeout_at(until.into(), known).await;
}

fn group_of<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: &RelayRequest,
) -> Rc<Group<E>> {
    engine.group(&Name::from(request.service.as_str()), &engine.control_view())
}

/// Finds a connection of this daemon's own; nothing is handed on a second time.
async fn acquire<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    group: &Rc<Group<E>>,
    request: &RelayRequest,
    task: &EndpointTask,
    received_at: Instant,
    is_unwanted: &CancellationToken,
) -> Result<PooledConnection<E>, NotSent> {
    if engine.is_stopping() {
        return Err(NotSent::Unwilling);
    }
    let server = Name::from(request.server.as_str());
    if request.may_go_elsewhere() && !engine.pass_read(group, &server) {
        return Err(NotSent::SetAside);
    }
    let connection_request = ConnectionRequest {
        only: Some(server.clone()),
        min_point: None,
        avoid: Vec::new(),
        primary: request.at_primary.then_some(server),
        priority: request.priority.min(u32::from(u8::MAX)) as u8,
        yields: request.yields,
        opens_transaction: matches!(request.task, Some(RelayTask::Begin(_))),
        is_forwarded: true,
        previous_attempts: request.previous_attempts,
        cancellation: Some(is_unwanted.clone()),
        principal: match &request.task {
            Some(RelayTask::Command(_)) => None,
            _ => Some(Principal::from_told(&request.account)),
        },
    };
    let wait_until = received_at + request.wait_limit();
    let acquired = engine.acquire(group, connection_request, &task.values, wait_until).await;
    acquired.map_err(|error| match error {
        AcquireError::NoServer => NotSent::Unreachable,
        AcquireError::QueueFull | AcquireError::TooLate => NotSent::TooLate,
        AcquireError::Overloaded { .. } => NotSent::Overloaded,
    })
}

/// Runs it; returns what its asker is told, and where the connection stands, `None` if it is of no more use.
async fn run<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    group: &Rc<Group<E>>,
    request: &RelayRequest,
    task: &EndpointTask,
    lent: &mut PooledConnection<E>,
    received_at: Instant,
) -> (RelayOutcome, Option<TransactionState>) {
    let deadline = received_at + request.answer_timeout();
    let is_read = match &task.kind {
        TaskKind::Work(work) => work.class() == StatementClass::Read && request.transaction == 0,
        TaskKind::Begin { .. } | TaskKind::Rollback | TaskKind::Command(_) => false,
    };
    let service = Name::from(request.service.as_str());
    let route = lent.server_route();
    let known_point = group.samples.borrow().latest();
    let sent_at = Instant::now();
    // Whether a second server is tried is for the asker to say.
    let watch =
        Watch { service: &service, slow_after: request.answer_timeout(), may_run_again: is_read };
    match engine.run_watched(group, task, lent, deadline, watch).await {
        Ok(answer) => {
            let took = answer.error_code().is_none().then(|| sent_at.elapsed());
            engine.note_health(group, &route.server, outcome_of(answer.error_code()));
            engine.note_answer(group, &service, &route, answer.point, took);
            if request.at_primary && answer.error_code().is_none() {
                let sample = Sample { sent_at, known_point, point: answer.point };
                engine.note_handed_over(group, &service, &route.server, sample);
            }
            let state = answer.state;
            (RelayOutcome::Answered(AnswerMessage::of(answer)), Some(state))
        }
        Err((progress, lost)) => {
            engine.note_loss(group, &service, &route, &lost);
            if progress == Progress::Sent {
                engine.note_health(group, &route.server, PathOutcome::Missed);
            }
            let outcome = match progress {
                Progress::NotSent => not_sent(NotSent::Unreachable),
                Progress::Sent => RelayOutcome::Lost(lost.to_string()),
            };
            (outcome, None)
        }
    }
}
