//! One caller's session, from log-in to disconnect.

mod run_request;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use model::Name;
use parking_lot::Mutex;
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    response::{EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus},
    startup::{BackendKeyData, ParameterStatus, SecretKey},
};
use session::SessionToken;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use wire::{CallerStream, ResponseBuilder, SessionSettings, StreamEnd, split_tags};

use crate::{
    caller_log_in::{Parameters, log_in, send_fatal},
    context::Context,
    executor::{PinnedConnection, RunningStatement},
    relay::RelayPin,
    request::{ExtendedState, Request, RequestError},
};

/// Maximum number of steps of one request, to limit its memory.
const MAX_REQUEST_STEPS: usize = 10_000;

/// Serves a caller's connection until it ends.
pub(crate) async fn serve_caller(
    context: Arc<Context>,
    socket: TcpStream,
    tls: Option<Arc<TlsAcceptor>>,
) {
    // Sends small answers without delay. A failure only costs latency.
    let _ = socket.set_nodelay(true);
    let mut stream = CallerStream::new(socket);
    let login_timeout =
        Duration::from_millis(context.in_force.load().configuration.limits.login_timeout_ms);
    let login_timeout =
        if login_timeout.is_zero() { Duration::from_secs(10) } else { login_timeout };
    let parameters =
        tokio::time::timeout(login_timeout, log_in(&context, &mut stream, tls.as_ref())).await;
    let Ok(Some(parameters)) = parameters else {
        stream.close().await;
        return;
    };
    context.callers.fetch_add(1, Ordering::Relaxed);
    context.metrics.callers.inc();
    let mut session = CallerSession::new(context.clone(), stream, &parameters);
    if let Err(StreamEnd::Protocol(detail)) = session.run(&parameters).await {
        log::info!(detail = detail.as_str(); "a caller violated the protocol");
    }
    session.stream.close().await;
    context.cancels.remove(session.process);
    context.callers.fetch_sub(1, Ordering::Relaxed);
    context.metrics.callers.dec();
}

/// How long a planned stop keeps an idle session open, so that a request in transit is still answered.
const STOP_IDLE_TIME: Duration = Duration::from_millis(250);

/// Returns once a planned stop has begun and `STOP_IDLE_TIME` has passed.
async fn idle_while_stopping(stopping: &mut tokio::sync::watch::Receiver<bool>) {
    // The sender lives as long as the daemon, so the wait can't fail earlier.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    tokio::time::sleep(STOP_IDLE_TIME).await;
}

/// What happens to the session after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterRequest {
    Continue,
    /// The transaction was lost with its connection. Statements that the caller has already sent
    /// must not run outside of it.
    Close,
}

pub(crate) struct CallerSession {
    pub(crate) context: Arc<Context>,
    pub(crate) stream: CallerStream,
    pub(crate) id: u64,
    pub(crate) process: i32,
    pub(crate) secret: i32,
    pub(crate) user: Name,
    pub(crate) service_name: Name,
    pub(crate) token: SessionToken,
    /// Whether the caller has set the session token, and so tracks the session itself.
    pub(crate) tracked: bool,
    pub(crate) read_kind: String,
    pub(crate) group_name: Option<String>,
    pub(crate) settings: SessionSettings,
    pub(crate) extended: ExtendedState,
    pub(crate) request: Request,
    /// Whether messages are skipped until the next `Sync`, after an error.
    pub(crate) skipping: bool,
    pub(crate) transaction: u8,
    /// Whether this daemon aborted the transaction, which is still open at its server.
    pub(crate) aborted_locally: bool,
    pub(crate) pinned: Option<PinnedConnection>,
    pub(crate) relay_pin: Option<Arc<RelayPin>>,
    pub(crate) running: Arc<RunningStatement>,
    pub(crate) relayed_to: Arc<Mutex<Option<u64>>>,
    pub(crate) served_by: String,
    pub(crate) received_at: Instant,
}

impl CallerSession {
    fn new(context: Arc<Context>, stream: CallerStream, parameters: &Parameters) -> CallerSession {
        let id = context.new_session();
        let running = Arc::new(RunningStatement::default());
        let relayed_to = Arc::new(Mutex::new(None));
        let (process, secret) = context.cancels.register(id, &running, &relayed_to);
        let name = |key: &str| Name::from(parameters.get(key).map_or("", String::as_str));
        CallerSession {
            context,
            stream,
            id,
            process,
            secret,
            user: name("user"),
            service_name: name("database"),
            token: SessionToken::default(),
            tracked: false,
            read_kind: String::new(),
            group_name: None,
            settings: SessionSettings::default(),
            extended: ExtendedState::default(),
            request: Request::default(),
            skipping: false,
            transaction: b'I',
            aborted_locally: false,
            pinned: None,
            relay_pin: None,
            running,
            relayed_to,
            served_by: String::new(),
            received_at: Instant::now(),
        }
    }

    async fn run(&mut self, parameters: &Parameters) -> Result<(), StreamEnd> {
        if let Err((code, message)) = self.apply_parameters(parameters) {
            send_fatal(&mut self.stream, code, &message).await;
            return Ok(());
        }
        self.send_session_start();
        self.send_ready().await?;
        let mut stopping = self.context.stopping.subscribe();
        loop {
            let idle = self.transaction == b'I' && self.request.is_empty();
            let message = match self.stream.try_next()? {
                Some(message) => message,
                None if idle => {
                    tokio::select! {
                        message = self.stream.next() => message?,
                        () = idle_while_stopping(&mut stopping) => {
                            send_fatal(&mut self.stream, "57P01", "the daemon is stopping").await;
                            return Ok(());
                        }
                    }
                }
                None => self.stream.next().await?,
            };
            self.received_at = Instant::now();
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            if self.handle(message).await? == AfterRequest::Close {
                return Ok(());
            }
        }
    }

    fn apply_parameters(&mut self, parameters: &Parameters) -> Result<(), (&'static str, String)> {
        for (name, value) in parameters {
            match name.as_str() {
                "user" | "database" => {}
                name if name.starts_with("_pq_.") => {}
                name if name.starts_with("wardtiller.") => self
                    .set_wardtiller_setting(name, Some(value))
                    .map_err(|error| (error.code, error.message))?,
                name => self
                    .settings
                    .set_at_startup(name, value)
                    .map_err(|error| ("42704", error.to_string()))?,
            }
        }
        Ok(())
    }

    fn send_session_start(&mut self) {
        let parameters = [
            ("server_version", "15.0 (wardtiller)"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("IntervalStyle", "postgres"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            let value = self.settings.get(&name.to_lowercase()).unwrap_or(value).to_owned();
            self.add_status(name, value);
        }
        self.add_status("wardtiller.session", self.token.to_string());
        let key = BackendKeyData::new(self.process, SecretKey::I32(self.secret));
        self.stream.add(&PgWireBackendMessage::BackendKeyData(key));
    }

    fn add_status(&mut self, name: &str, value: String) {
        let status = ParameterStatus::new(name.to_owned(), value);
        self.stream.add(&PgWireBackendMessage::ParameterStatus(status));
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<AfterRequest, StreamEnd> {
        use PgWireFrontendMessage as M;
        if self.skipping && !matches!(message, M::Sync(_)) {
            return Ok(AfterRequest::Continue);
        }
        match message {
            M::Query(query) => {
                let request = self.simple_request(query);
                let Some(request) = request else {
                    self.stream
                        .add(&PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
                    self.send_ready().await?;
                    return Ok(AfterRequest::Continue);
                };
                self.finish_request(request).await
            }
            M::Sync(_) => {
                self.skipping = false;
                let request = std::mem::take(&mut self.request);
                self.finish_request(request).await
            }
            M::Flush(_) => self.flush().await,
            M::CopyData(_) | M::CopyDone(_) | M::CopyFail(_) => Ok(AfterRequest::Continue),
            message => {
                self.extended_message(message);
                Ok(AfterRequest::Continue)
            }
        }
    }

    fn simple_request(&mut self, query: pgwire::messages::simplequery::Query) -> Option<Request> {
        let (plain, tags) = split_tags(&query.query);
        let classified = self.classify(plain);
        if classified.effects.is_empty() {
            return None;
        }
        let mut request = Request::simple(query, &classified);
        request.read_kind = tags.read_kind;
        request.traceparent = tags.traceparent;
        Some(request)
    }

    fn classify(&self, sql: &str) -> Arc<wire::Classification> {
        let in_force = self.context.in_force.load();
        let service = in_force.configuration.services.get(&self.service_name);
        let functions: Vec<&str> = service
            .map(|service| service.options.read_functions.iter().map(|name| &**name).collect())
            .unwrap_or_default();
        self.context.classifier.classify(sql, &functions)
    }

    fn extended_message(&mut self, message: PgWireFrontendMessage) {
        use PgWireFrontendMessage as M;
        if self.request.error.is_some() {
            return;
        }
        if self.request.steps.len() >= MAX_REQUEST_STEPS {
            let error = RequestError::new("54000", "too many messages before a Sync");
            self.request.error = Some(error);
            return;
        }
        match message {
            M::Parse(parse) => {
                let (plain, tags) = split_tags(&parse.query);
                let classified = self.classify(plain);
                self.request.traceparent = tags.traceparent.or(self.request.traceparent.take());
                self.extended.parse(&mut self.request, parse, classified, tags.read_kind);
            }
            M::Bind(bind) => self.extended.bind(&mut self.request, bind),
            M::Describe(describe) => self.extended.describe(&mut self.request, describe),
            M::Execute(execute) => self.extended.execute(&mut self.request, &execute),
            M::Close(close) => self.extended.close(&mut self.request, &close),
            _ => {
                let error = RequestError::new("08P01", "unexpected message");
                self.request.error = Some(error);
            }
        }
    }

    /// Answers a `Flush`, before the `Sync` that ends the request.
    ///
    /// Preparing and describing statements changes nothing, so their answers can be sent early. An
    /// executed statement belongs to a transaction that `Sync` ends, so its answer can't.
    async fn flush(&mut self) -> Result<AfterRequest, StreamEnd> {
        if self.request.error.is_none()
            && (self.request.effects.executes || !self.request.local.is_empty())
        {
            self.request.error = Some(RequestError::unsupported(
                "Flush between a statement and its Sync; send Sync instead",
            ));
        }
        let request = std::mem::take(&mut self.request);
        let failed = request.error.is_some();
        let after = self.answer(request).await?;
        self.skipping = failed;
        self.stream.flush().await?;
        Ok(after)
    }

    async fn finish_request(&mut self, request: Request) -> Result<AfterRequest, StreamEnd> {
        let after = self.answer(request).await?;
        if self.transaction == b'I' {
            self.extended.end_transaction();
        }
        if after == AfterRequest::Close {
            return Ok(after);
        }
        self.send_ready().await?;
        Ok(after)
    }

    async fn send_ready(&mut self) -> Result<(), StreamEnd> {
        let status = match (self.aborted_locally, self.transaction) {
            (true, _) | (_, b'E') => TransactionStatus::Error,
            (_, b'T') => TransactionStatus::Transaction,
            _ => TransactionStatus::Idle,
        };
        self.stream.add(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
        self.stream.flush().await
    }

    /// Answers a request, without the final `ReadyForQuery`.
    async fn answer(&mut self, mut request: Request) -> Result<AfterRequest, StreamEnd> {
        if let Some(error) = request.error.take() {
            self.fail(&error);
            return Ok(AfterRequest::Continue);
        }
        if self.aborted_locally {
            return self.answer_aborted(&request).await;
        }
        if let Err(error) = self.run_local_statements(&mut request) {
            self.fail(&error);
            return Ok(AfterRequest::Continue);
        }
        if request.is_local() {
            for step in &request.steps {
                self.stream.add_bytes(&step.message);
            }
            return Ok(AfterRequest::Continue);
        }
        self.run_request(request).await
    }

    /// Answers a request in a transaction that this daemon aborted. Only the end of the transaction is
    /// accepted.
    async fn answer_aborted(&mut self, request: &Request) -> Result<AfterRequest, StreamEnd> {
        let ends = request.effects.commits || !request.effects.executes;
        if !ends || request.effects.writes {
            let message = "current transaction is aborted, commands ignored until end of block";
            self.fail(&RequestError::new("25P02", message));
            return Ok(AfterRequest::Continue);
        }
        // Dropping the connection closes it instead of returning it to the pool, which rolls the
        // transaction back.
        self.pinned = None;
        self.relay_pin = None;
        self.aborted_locally = false;
        self.transaction = b'I';
        let answer = ResponseBuilder::default().complete("ROLLBACK").finish();
        self.stream.add_bytes(&answer);
        Ok(AfterRequest::Continue)
    }

    /// Sends an error, which aborts an open transaction.
    fn fail(&mut self, error: &RequestError) {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
            (b'D', "verdict=not_run".to_owned()),
        ];
        self.stream.add(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
        self.aborted_locally |= self.transaction != b'I';
    }
}
