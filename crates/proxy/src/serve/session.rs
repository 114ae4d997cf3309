//! The session of one caller: its messages, session values, prepared statements and transaction.

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{LogPoint, Name};
use tokio::net::TcpStream;

use crate::{
    accounts::{Account, AccountKey, Principal, UnknownKey, account_of, unknown_key_error},
    catalog::Route,
    dialect::{CallerDialect, CallerMessage, EndpointDialect},
    serve::{
        caller_link::CallerLink,
        connection::refusal,
        engine::Engine,
        job::{EndpointStatement, Job, id_text},
        replay::SessionValues,
        transaction::Transaction,
    },
    statement::{
        Answer, ErrorCode, Outcome, PreparedStatement, Request, Statement, StatementError,
        TransactionState,
    },
};

const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a new session waits for the daemon's first configuration. Callers give up after 2 s.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Retry delay sent to a caller whose session is refused. If the store answers, a starting daemon reads its
/// configuration within this time.
const SESSION_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of values, and of prepared statements, in one session; they are kept in memory and replayed.
const MAX_SESSION_NAMES: usize = 1_024;

enum End {
    Disconnected,
    /// The daemon is stopping and closes idle sessions.
    Stopping,
    /// The caller sent a message that can't be decoded; this error is returned to it.
    Unreadable(StatementError),
}

enum Event {
    Message(CallerMessage),
    End(End),
    IdleTimeout,
    /// The daemon is stopping and the open transaction has used up its remaining time.
    StopDeadline,
}

struct Session<C, E: EndpointDialect> {
    engine: Rc<Engine<C, E>>,
    link: CallerLink<C>,
    database: Name,
    key: AccountKey,
    /// Whether the session ends after the current answer.
    is_ending: bool,
    values: SessionValues,
    prepared: HashMap<Name, PreparedStatement>,
    /// The log point of the session's latest write, by service.
    own_points: HashMap<Name, LogPoint>,
    transaction: Option<Transaction<E>>,
}

/// Serves a caller until it leaves or the daemon stops.
pub async fn serve_caller<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    stream: TcpStream,
) {
    engine.callers.set(engine.callers.get() + 1);
    let link = CallerLink::new(stream, engine.caller_dialect.clone());
    let mut session = Session {
        engine: engine.clone(),
        link,
        database: Name::from(""),
        key: AccountKey::default(),
        is_ending: false,
        values: SessionValues::new(),
        prepared: HashMap::new(),
        own_points: HashMap::new(),
        transaction: None,
    };
    session.run().await;
    if let Some(connection) =
        session.transaction.take().and_then(|transaction| transaction.connection)
    {
        engine.roll_back(connection);
    }
    engine.callers.set(engine.callers.get() - 1);
}

impl<C: CallerDialect, E: EndpointDialect> Session<C, E> {
    async fn run(&mut self) {
        if !self.start().await {
            return;
        }
        loop {
            match self.next_event().await {
                Event::Message(message) => {
                    if !self.on_message(message).await {
                        return;
                    }
                }
                Event::IdleTimeout => self.fail_transaction("idle_transaction"),
                Event::StopDeadline => {
                    self.fail_transaction("stopping");
                    return;
                }
                Event::End(End::Disconnected | End::Stopping) => return,
                Event::End(End::Unreadable(error)) => {
                    let state = self.state();
                    self.link.put_answer(refusal(error, state));
                    let _ = self.link.flush().await;
                    return;
                }
            }
        }
    }

    /// Handles the startup message; returns `false` if the connection is to be closed.
    async fn start(&mut self) -> bool {
        let first = tokio::time::timeout(STARTUP_TIMEOUT, self.link.read_message()).await;
        let Ok(Ok(CallerMessage::Startup { database, key })) = first else {
            if let Ok(Ok(_)) = first {
                let error = StatementError::new(ErrorCode::Malformed, "a startup must come first");
                self.link.put_error(error);
                let _ = self.link.flush().await;
            }
            return false;
        };
        if self.engine.callers.get() > self.engine.settings.max_callers {
            self.refuse_session(&database, "this daemon has as many callers as it may").await;
            return false;
        }
        if !self.wait_for_configuration().await {
            self.refuse_session(&database, "this daemon has no configuration yet").await;
            return false;
        }
        if !self.engine.control_view().catalog.routes.contains_key(&database) {
            log::info!(
                event = "unknown_database", database = &*database,
                configuration = self.engine.control_view().catalog.version;
                "a caller asked for a database without a route"
            );
            let why = "no route has this database";
            self.link.put_error(StatementError::new(ErrorCode::UnknownDatabase, why));
            let _ = self.link.flush().await;
            return false;
        }
        self.database = database;
        self.key = key;
        if let Some(route) = self.route()
            && self.account(&route).is_err()
        {
            self.record_unknown_key("startup");
            self.link.put_error(unknown_key_error());
            let _ = self.link.flush().await;
            return false;
        }
        self.link.put_ready(TransactionState::Idle, None);
        self.link.flush().await.is_ok()
    }

    /// Refuses a session at startup and sends its caller a retry delay.
    async fn refuse_session(&mut self, database: &Name, why: &'static str) {
        let retry_after_ms = self.engine.with_jitter(SESSION_RETRY_DELAY).as_millis() as u64;
        log::info!(
            event = "session_refused", database = &**database, why = why,
            callers = self.engine.callers.get(), retry_after_ms = retry_after_ms;
            "a session was refused"
        );
        let error = StatementError::with_retry_delay(ErrorCode::Overloaded, why, retry_after_ms);
        self.link.put_error(error);
        // A caller that has disconnected needs no answer.
        let _ = self.link.flush().await;
    }

    /// Waits for the first configuration, without which no database can be resolved.
    async fn wait_for_configuration(&self) -> bool {
        let mut view = self.engine.control_view.clone();
        let ready = view.wait_for(|view| view.is_ready());
        matches!(tokio::time::timeout(CONFIGURATION_TIMEOUT, ready).await, Ok(Ok(_)))
    }

    async fn next_event(&mut self) -> Event {
        let mut stopping = self.engine.stopping.clone();
        loop {
            match self.link.take_message() {
                Ok(Some(message)) => return Event::Message(message),
                Ok(None) => {}
                Err(error) => return Event::End(End::Unreadable(error)),
            }
            let idle_until = self.idle_until();
            let stop_until = stopping.borrow_and_update().map(|since| since + self.stop_grace());
            let is_idle = self.link.is_empty() && self.transaction.is_none();
            if is_idle && stop_until.is_some_and(|until| until <= Instant::now()) {
                return Event::End(End::Stopping);
            }
            tokio::select! {
                biased;
                read = self.link.read() => {
                    if read.is_err() {
                        return Event::End(End::Disconnected);
                    }
                }
                () = sleep_until(idle_until) => return Event::IdleTimeout,
                () = sleep_until(stop_until) => {
                    if self.transaction.is_some() {
                        return Event::StopDeadline;
                    }
                }
                _ = stopping.changed() => {}
            }
        }
    }

    /// How long the session may continue after the signal to stop. An idle session stays until the load
    /// balancer has noticed the stop and routes its caller elsewhere; an open transaction gets longer.
    fn stop_grace(&self) -> Duration {
        let settings = &self.engine.settings;
        match self.transaction {
            Some(_) => settings.stop_transactions_after,
            None => settings.stop_idle_after,
        }
    }

    /// Until when the open transaction may stay idle; `None` if it holds no connection or there is no limit.
    fn idle_until(&self) -> Option<Instant> {
        let transaction = self.transaction.as_ref()?;
        transaction.connection.as_ref()?;
        Some(Instant::now() + self.engine.control_view().catalog.idle_transaction_timeout?)
    }

    /// Answers a message; returns `false` if the connection is to be closed.
    async fn on_message(&mut self, message: CallerMessage) -> bool {
        let arrived = Instant::now();
        let answer = match message {
            CallerMessage::Terminate => return false,
            CallerMessage::Startup { .. } => {
                self.local_error(ErrorCode::Malformed, "the session has begun already")
            }
            CallerMessage::Invalid { error } => {
                self.fail_if_open();
                refusal(error, self.state())
            }
            CallerMessage::Request(request) => self.on_request(request, arrived).await,
        };
        self.link.put_answer(answer);
        self.link.release_buffer();
        self.link.flush().await.is_ok() && !self.is_ending
    }

    async fn on_request(&mut self, request: Request, arrived: Instant) -> Answer {
        let Request { id, statement } = request;
        if self.transaction.as_ref().is_some_and(|transaction| transaction.failed) {
            return self.on_failed_transaction(&statement);
        }
        match statement {
            Statement::Begin { read_only } => self.on_begin(read_only),
            Statement::Set { name, value } => {
                if self.values.len() >= MAX_SESSION_NAMES && !self.values.contains_key(&name) {
                    return self.local_error(ErrorCode::TooLarge, "too many values");
                }
                self.values.insert(name, value);
                self.local_success()
            }
            Statement::Prepare { name, statement } => {
                if self.prepared.len() >= MAX_SESSION_NAMES && !self.prepared.contains_key(&name) {
                    return self.local_error(ErrorCode::TooLarge, "too many prepared names");
                }
                self.prepared.insert(name, statement);
                self.local_success()
            }
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => self.local_success(),
                None => self.local_error(ErrorCode::UnknownStatement, "no such prepared name"),
            },
            Statement::Rollback => self.on_rollback(),
            Statement::Commit if self.transaction.is_none() => {
                self.local_error(ErrorCode::Malformed, "no transaction is open")
            }
            Statement::Commit => {
                self.on_endpoint_statement(id, EndpointStatement::Commit, arrived).await
            }
            Statement::Read { body } => {
                self.on_endpoint_statement(id, EndpointStatement::Read(body), arrived).await
            }
            Statement::Write { body } => {
                self.on_endpoint_statement(id, EndpointStatement::Write(body), arrived).await
            }
            Statement::Execute { name, arguments } => match self.prepared.get(&name).cloned() {
                Some(statement) => {
                    self.on_endpoint_statement(
                        id,
                        EndpointStatement::Execute { statement, arguments },
                        arrived,
                    )
                    .await
                }
                None => self.local_error(ErrorCode::UnknownStatement, "no such prepared name"),
            },
        }
    }

    /// Handles a statement in a failed transaction, which accepts only its end and never commits.
    fn on_failed_transaction(&mut self, statement: &Statement) -> Answer {
        match statement {
            Statement::Rollback => self.on_rollback(),
            Statement::Commit => {
                self.transaction = None;
                let error =
                    StatementError::new(ErrorCode::Aborted, "the transaction had failed before");
                refusal(error, TransactionState::Idle)
            }
            _ => {
                let error = StatementError::new(
                    ErrorCode::Malformed,
                    "the transaction has failed and waits for its end",
                );
                refusal(error, TransactionState::Failed)
            }
        }
    }

    fn on_begin(&mut self, read_only: bool) -> Answer {
        if self.transaction.is_some() {
            return self.local_error(ErrorCode::Malformed, "a transaction is open already");
        }
        let Some(route) = self.route() else {
            return self.local_error(ErrorCode::UnknownDatabase, "the route was removed");
        };
        match self.account(&route) {
            Ok(account) => {
                self.transaction = Some(Transaction::new(route, account, read_only));
                self.local_success()
            }
            Err(UnknownKey) => self.end_for_unknown_key("begin"),
        }
    }

    fn on_rollback(&mut self) -> Answer {
        let Some(transaction) = self.transaction.take() else {
            return self.local_error(ErrorCode::Malformed, "no transaction is open");
        };
        if let Some(connection) = transaction.connection {
            self.engine.roll_back(connection);
        }
        self.local_success()
    }

    async fn on_endpoint_statement(
        &mut self,
        id: Bytes,
        statement: EndpointStatement,
        arrived: Instant,
    ) -> Answer {
        let route = match &self.transaction {
            Some(transaction) => Some(transaction.route.clone()),
            None => self.route(),
        };
        let Some(route) = route else {
            return self.local_error(ErrorCode::UnknownDatabase, "the route was removed");
        };
        let Ok(account) = self.account(&route) else {
            return self.end_for_unknown_key("statement");
        };
        let principal = Principal::of(account.as_ref());
        let is_first = match &self.transaction {
            // Only the account that opened a transaction may continue it.
            Some(transaction) if transaction.principal() != principal => {
                return self.local_error(ErrorCode::Aborted, "the key belongs to another account");
            }
            Some(transaction) => transaction.connection.is_none(),
            None => true,
        };
        if is_first
            && let Some(account) = &account
            && let Err(error) = self.engine.admit(account, &id).await
        {
            self.fail_if_open();
            return refusal(error, self.state());
        }
        let writes = statement.class() == model::StatementClass::Write;
        let is_commit = statement == EndpointStatement::Commit;
        let own_point = self.own_points.get(&route.service).copied();
        let values = std::mem::take(&mut self.values);
        let job =
            Job { id, statement, route: &route, values: &values, own_point, arrived, principal };
        let engine = self.engine.clone();
        let answer = match &mut self.transaction {
            Some(transaction) => engine.run_in_transaction(&job, transaction).await,
            None => engine.run_single(&job).await,
        };
        self.after_statement(&job, &answer, writes, is_commit);
        self.values = values;
        answer
    }

    fn after_statement(&mut self, job: &Job<'_>, answer: &Answer, writes: bool, is_commit: bool) {
        let succeeded = matches!(answer.outcome, Outcome::Complete(_));
        let ended = answer.state == TransactionState::Idle;
        let wrote = match &self.transaction {
            Some(transaction) => is_commit && transaction.wrote,
            None => writes,
        };
        if let Some(point) = answer.point
            && succeeded
            && ended
            && wrote
        {
            let own_point = self.own_points.entry(job.route.service.clone()).or_insert(point);
            *own_point = point.max(*own_point);
        }
        if ended {
            self.transaction = None;
        }
        let outcome = answer.error_code().map_or("success", ErrorCode::as_str);
        let reads = job.route.read_rule.as_str();
        let metrics = &self.engine.metrics;
        metrics.statements.with_label_values(&[reads, outcome]).inc();
        let took = job.arrived.elapsed();
        metrics.statement_seconds.with_label_values(&[reads]).observe(took.as_secs_f64());
        log::debug!(
            event = "statement", id = id_text(&job.id).as_str(), route = &*job.route.name,
            outcome = outcome, took_us = took.as_micros() as u64;
            "a statement ended"
        );
    }

    fn route(&self) -> Option<Arc<Route>> {
        self.engine.control_view().catalog.routes.get(&self.database).cloned()
    }

    fn account(&self, route: &Route) -> Result<Option<Arc<Account>>, UnknownKey> {
        account_of(&self.engine.control_view().catalog, &self.key, route)
    }

    /// Ends the session because its key was revoked. An open transaction is rolled back.
    fn end_for_unknown_key(&mut self, at: &'static str) -> Answer {
        self.record_unknown_key(at);
        self.fail_if_open();
        self.transaction = None;
        self.is_ending = true;
        refusal(unknown_key_error(), TransactionState::Idle)
    }

    fn record_unknown_key(&self, at: &'static str) {
        self.engine.metrics.refusals.with_label_values(&["key"]).inc();
        log::info!(
            event = "unknown_key", database = &*self.database, at = at,
            configuration = self.engine.control_view().catalog.version;
            "a caller's key does not belong to any client account"
        );
    }

    fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }

    /// Returns an error raised by the session itself; it fails an open transaction.
    fn local_error(&mut self, code: ErrorCode, text: &'static str) -> Answer {
        self.fail_if_open();
        refusal(StatementError::new(code, text), self.state())
    }

    fn fail_if_open(&mut self) {
        if self.transaction.as_ref().is_some_and(|transaction| !transaction.failed) {
            self.fail_transaction("error");
        }
    }

    /// Fails the open transaction and rolls it back at its server. The caller gets the error with its next message.
    fn fail_transaction(&mut self, why: &str) {
        let Some(transaction) = &mut self.transaction else { return };
        transaction.failed = true;
        if let Some(connection) = transaction.connection.take() {
            log::info!(
                event = "transaction_ended", service = &*transaction.route.service,
                server = &**connection.server(), why = why,
                lent_ms = connection.held_for().as_millis() as u64;
                "an open transaction was rolled back"
            );
            self.engine.roll_back(connection);
        }
    }

    fn local_success(&self) -> Answer {
        Answer {
            rows: Vec::new(),
            outcome: Outcome::Complete(Bytes::new()),
            state: self.state(),
            point: None,
        }
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
