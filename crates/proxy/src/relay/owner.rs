//! The owner's side of a link: runs the requests of another daemon on this daemon's connections.

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

/// Capacity of the queue of answers to one daemon. While it is full, no requests are read from the link.
const OUTGOING_CAPACITY: usize = 512;
/// Capacity of the queue of requests of one transaction. The sender waits for each answer before the next request.
const TRANSACTION_CAPACITY: usize = 8;

/// The open requests of one link.
#[derive(Default)]
struct OpenRequests {
    /// The request queues of open transactions, by number.
    transactions: RefCell<HashMap<u64, Transaction>>,
    /// Single statements that are not finished, by number.
    statements: RefCell<HashMap<u64, CancellationToken>>,
    /// Cancelled when the link ends.
    link: CancellationToken,
}

struct Transaction {
    requests: flume::Sender<RelayRequest>,
    cancellation: CancellationToken,
}

impl OpenRequests {
    /// Cancels a single statement or ends a transaction; a statement that still waits is not started.
    fn cancel(&self, request: RelayRequest) {
        if request.transaction == 0 {
            if let Some(single) = self.statements.borrow_mut().remove(&request.number) {
                single.cancel();
            }
            return;
        }
        if let Some(transaction) = self.transactions.borrow_mut().remove(&request.transaction) {
            transaction.cancellation.cancel();
            // A transaction that has already ended needs no release.
            let _ = transaction.requests.try_send(request);
        }
    }
}

/// Serves the requests of another daemon until its link ends, and then rolls back its open transactions.
pub async fn serve_relay<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    link: AcceptedLink,
) {
    let frames: Frames = match link.into_frames() {
        Ok(frames) => frames,
        Err(error) => {
            log::warn!(
                event = "relay_failed", why = error.to_string().as_str();
                "could not take over the connection of another daemon's link"
            );
            return;
        }
    };
    let (mut sink, mut stream) = frames.split();
    let (answers, outgoing) = flume::bounded::<RelayAnswer>(OUTGOING_CAPACITY);
    // Accepts the link. The queue is empty, so there is room.
    let _ = answers.try_send(answer_to(0, RelayOutcome::Pong(true)));
    let reading = async {
        let open = Rc::new(OpenRequests::default());
        let _ends_with_link = open.link.clone().drop_guard();
        while let Some(Ok(frame)) = stream.next().await {
            let Ok(request) = RelayRequest::decode(frame.freeze()) else {
                log::warn!(event = "peer_garbled"; "could not parse a request of another daemon");
                return;
            };
            if start_request(&engine, request, &open, &answers).await.is_err() {
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

struct LinkEnded;

/// Starts a request, or answers it immediately if it needs no connection.
async fn start_request<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: RelayRequest,
    open: &Rc<OpenRequests>,
    answers: &flume::Sender<RelayAnswer>,
) -> Result<(), LinkEnded> {
    let (transaction, number) = (request.transaction, request.number);
    let immediate = match &request.task {
        Some(RelayTask::Ping(_)) => Some(RelayOutcome::Pong(true)),
        Some(RelayTask::Vote(message)) => {
            Some(RelayOutcome::Voted(engine.vote(&message.request()).into()))
        }
        Some(RelayTask::RequestQuota(message)) => {
            let account = Name::from(request.account.as_str());
            Some(RelayOutcome::QuotaGranted(
                engine.answer_quota_request(&account, &message.request()),
            ))
        }
        Some(RelayTask::Release(_)) => {
            open.cancel(request);
            return Ok(());
        }
        Some(RelayTask::Begin(_)) if transaction != 0 => {
            let (requests, incoming) = flume::bounded(TRANSACTION_CAPACITY);
            // The queue is empty, so there is room.
            let _ = requests.try_send(request);
            let cancellation = open.link.child_token();
            let opened = Transaction { requests, cancellation: cancellation.clone() };
            open.transactions.borrow_mut().insert(transaction, opened);
            let answers = answers.clone();
            tokio::task::spawn_local(run_transaction(
                engine.clone(),
                incoming,
                answers,
                cancellation,
            ));
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
                // The link may have ended.
                let answer = answer_to(number, RelayOutcome::Sampled(sampled));
                let _ = answers.send_async(answer).await;
            });
            return Ok(());
        }
        Some(_) if transaction != 0 => {
            let transactions = open.transactions.borrow();
            let open_transaction = transactions.get(&transaction);
            let is_queued =
                open_transaction.is_some_and(|it| it.requests.try_send(request).is_ok());
            (!is_queued).then(|| RelayOutcome::Lost("the transaction has ended here".to_owned()))
        }
        Some(_) => {
            let (engine, answers, open) = (engine.clone(), answers.clone(), open.clone());
            let cancellation = open.link.child_token();
            open.statements.borrow_mut().insert(number, cancellation.clone());
            tokio::task::spawn_local(async move {
                let outcome = run_single(&engine, &request, &cancellation).await;
                open.statements.borrow_mut().remove(&number);
                // The link may have ended.
                let _ = answers.send_async(answer_with_load(&engine, &request, outcome)).await;
            });
            return Ok(());
        }
        None => Some(not_sent(NotSent::Unwilling)),
    };
    let Some(outcome) = immediate else { return Ok(()) };
    answers.send_async(answer_to(number, outcome)).await.map_err(|_| LinkEnded)
}

fn answer_to(number: u64, outcome: RelayOutcome) -> RelayAnswer {
    RelayAnswer { number, outcome: Some(outcome), ..RelayAnswer::default() }
}

/// Adds the server's load and a retry delay to the outcome of a request.
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

async fn run_single<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: &RelayRequest,
    cancellation: &CancellationToken,
) -> RelayOutcome {
    let received_at = Instant::now();
    await_servers(engine, received_at + request.wait_limit()).await;
    let group = group_of(engine, request);
    let Some(task) = request.endpoint_task() else { return not_sent(NotSent::Unwilling) };
    let mut connection =
        match acquire(engine, &group, request, &task, received_at, cancellation).await {
            Ok(connection) => connection,
            Err(why) => return not_sent(why),
        };
    if request.is_past_start_deadline(engine.clock_ms()) {
        connection.release();
        return not_sent(NotSent::TooLate);
    }
    let (outcome, state) = run(engine, &group, request, &task, &mut connection, received_at).await;
    match state {
        Some(TransactionState::Idle) => connection.release(),
        Some(_) => engine.roll_back(connection),
        // Closing the connection rolls back an open transaction.
        None => drop(connection),
    }
    outcome
}

/// Runs the statements of a transaction on one connection until it is released or the link ends.
async fn run_transaction<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    requests: flume::Receiver<RelayRequest>,
    answers: flume::Sender<RelayAnswer>,
    cancellation: CancellationToken,
) {
    let mut connection: Option<PooledConnection<E>> = None;
    loop {
        let idle_timeout = engine.control_view().catalog.idle_transaction_timeout;
        let request = match idle_timeout {
            Some(idle_timeout) => {
                match tokio::time::timeout(idle_timeout * 2, requests.recv_async()).await {
                    Ok(request) => request,
                    // The sender ends an idle transaction after half of this time, so the sender must be gone.
                    Err(_) => break,
                }
            }
            None => requests.recv_async().await,
        };
        let Ok(request) = request else { break };
        if let Some(RelayTask::Release(is_clean)) = request.task {
            match connection.take() {
                Some(connection) if is_clean => connection.release(),
                Some(connection) => engine.roll_back(connection),
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
                if connection.is_none() {
                    match acquire(&engine, &group, &request, &task, received_at, &cancellation)
                        .await
                    {
                        Ok(granted) => connection = Some(granted),
                        Err(why) => {
                            let answer = answer_with_load(&engine, &request, not_sent(why));
                            // The link may have ended.
                            let _ = answers.send_async(answer).await;
                            return;
                        }
                    }
                }
                let Some(leased) = connection.as_mut() else { return };
                if let Err(why) = await_permit(&engine, &request, leased).await {
                    let answer = answer_with_load(&engine, &request, not_sent(why));
                    // The link may have ended.
                    let _ = answers.send_async(answer).await;
                    break;
                }
                let (outcome, state) =
                    run(&engine, &group, &request, &task, leased, received_at).await;
                if state.is_none() {
                    connection = None;
                }
                outcome
            }
        };
        let is_over = connection.is_none();
        // The link may have ended; then no further request arrives either.
        let _ = answers.send_async(answer_with_load(&engine, &request, outcome)).await;
        if is_over {
            return;
        }
    }
    if let Some(connection) = connection {
        engine.roll_back(connection);
    }
}

/// Waits until the next statement of a transaction may start, at most until its start deadline.
async fn await_permit<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: &RelayRequest,
    connection: &mut PooledConnection<E>,
) -> Result<(), NotSent> {
    let left_ms = request.start_deadline_ms.saturating_sub(engine.clock_ms());
    connection.await_permit(Instant::now() + Duration::from_millis(left_ms)).await?;
    if request.is_past_start_deadline(engine.clock_ms()) { Err(NotSent::TooLate) } else { Ok(()) }
}

/// Waits until this daemon has the list of servers. When all daemons start together, other daemons may learn that this
/// one owns a server's connections before this one does.
async fn await_servers<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    until: Instant,
) {
    let mut view = engine.control_view.clone();
    let ready = view.wait_for(|view| view.is_ready());
    // After a timeout the pool refuses the request.
    let _ = tokio::time::timeout_at(until.into(), ready).await;
}

fn group_of<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    request: &RelayRequest,
) -> Rc<Group<E>> {
    engine.group(&Name::from(request.service.as_str()), &engine.control_view())
}

/// Acquires a connection of this daemon; requests are not forwarded again.
async fn acquire<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    group: &Rc<Group<E>>,
    request: &RelayRequest,
    task: &EndpointTask,
    received_at: Instant,
    cancellation: &CancellationToken,
) -> Result<PooledConnection<E>, NotSent> {
    if engine.is_stopping() {
        return Err(NotSent::Unwilling);
    }
    let server = Name::from(request.server.as_str());
    if request.has_alternative() && !engine.admit_read(group, &server) {
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
        cancellation: Some(cancellation.clone()),
        principal: match &request.task {
            Some(RelayTask::Command(_)) => None,
            _ => Some(Principal::from_account_name(&request.account)),
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

/// Runs the task. Returns the outcome and the transaction state of the connection; the state is `None` if the
/// connection can no longer be used.
async fn run<C: CallerDialect, E: EndpointDialect>(
    engine: &Rc<Engine<C, E>>,
    group: &Rc<Group<E>>,
    request: &RelayRequest,
    task: &EndpointTask,
    connection: &mut PooledConnection<E>,
    received_at: Instant,
) -> (RelayOutcome, Option<TransactionState>) {
    let deadline = received_at + request.answer_timeout();
    let is_read = match &task.kind {
        TaskKind::Statement(statement) => {
            statement.class() == StatementClass::Read && request.transaction == 0
        }
        TaskKind::Begin { .. } | TaskKind::Rollback | TaskKind::Command(_) => false,
    };
    let service = Name::from(request.service.as_str());
    let route = connection.server_route();
    let known_point = group.samples.borrow().latest();
    let sent_at = Instant::now();
    // The sender decides whether a second server is tried.
    let watch =
        Watch { service: &service, slow_after: request.answer_timeout(), may_run_again: is_read };
    match engine.run_watched(group, task, connection, deadline, watch).await {
        Ok(answer) => {
            let took = answer.error_code().is_none().then(|| sent_at.elapsed());
            engine.record_health(group, &route.server, outcome_of(answer.error_code()));
            engine.record_answer(group, &service, &route, answer.point, took);
            if request.at_primary && answer.error_code().is_none() {
                let sample = Sample { sent_at, known_point, point: answer.point };
                engine.record_forwarded_sample(group, &service, &route.server, sample);
            }
            let state = answer.state;
            (RelayOutcome::Answered(AnswerMessage::of(answer)), Some(state))
        }
        Err((progress, lost)) => {
            engine.on_connection_lost(group, &service, &route, &lost);
            if progress == Progress::Sent {
                engine.record_health(group, &route.server, PathOutcome::Failed);
            }
            let outcome = match progress {
                Progress::NotSent => not_sent(NotSent::Unreachable),
                Progress::Sent => RelayOutcome::Lost(lost.to_string()),
            };
            (outcome, None)
        }
    }
}
