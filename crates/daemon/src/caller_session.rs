//! One caller's session, from its log-in to its end.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use config::{Placement, Service, UntrackedReads};
use model::{GroupId, Name, Refusal, RefusalReason, Verdict};
use parking_lot::Mutex;
use peer::{Job, Setting};
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    response::{EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus},
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
};
use session::SessionToken;
use telemetry::Span;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use wire::{
    Answer, CallerStream, Effect, LogInError, SessionSettings, StartupRequest, StreamEnd,
    encode_refusal, refusal_response, row_answer, scram_log_in, split_tags,
};

use crate::{
    context::Context,
    endpoint_connection::AnswerSink,
    executor::{JobEnd, Pinned, Running, execute, point_message},
    relay::{RelayPin, relay, relay_cancel},
    request::{ExtendedState, Request, RequestError},
};

/// Messages of one request beyond this number are refused, so that a request stays bounded.
const MOST_STEPS: usize = 10_000;

/// Serves a caller's connection until it ends.
pub(crate) async fn serve_caller(
    context: Arc<Context>,
    socket: TcpStream,
    tls: Option<Arc<TlsAcceptor>>,
) {
    // Without it small answers would wait for acknowledgements; failing to set it costs only time.
    let _ = socket.set_nodelay(true);
    let mut stream = CallerStream::new(socket);
    let login =
        Duration::from_millis(context.in_force.load().configuration.limits.login_timeout_ms);
    let login = if login.is_zero() { Duration::from_secs(10) } else { login };
    let started = tokio::time::timeout(login, log_in(&context, &mut stream, tls.as_ref())).await;
    let Ok(Some(parameters)) = started else {
        stream.close().await;
        return;
    };
    context.callers.fetch_add(1, Ordering::Relaxed);
    context.metrics.callers.inc();
    let mut session = match CallerSession::new(context.clone(), stream, &parameters) {
        Ok(session) => session,
        Err(()) => {
            context.callers.fetch_sub(1, Ordering::Relaxed);
            context.metrics.callers.dec();
            return;
        }
    };
    if let Err(StreamEnd::Protocol(detail)) = session.run(&parameters).await {
        log::info!(detail = detail.as_str(); "a caller broke the protocol");
    }
    session.stream.close().await;
    context.cancels.remove(session.process);
    context.callers.fetch_sub(1, Ordering::Relaxed);
    context.metrics.callers.dec();
}

/// Start-up parameters with those from `options` taken apart.
type Parameters = BTreeMap<String, String>;

async fn log_in(
    context: &Arc<Context>,
    stream: &mut CallerStream,
    tls: Option<&Arc<TlsAcceptor>>,
) -> Option<Parameters> {
    let (mut parameters, encrypted) = match stream.start(tls).await {
        Ok(StartupRequest::Session { parameters, tls }) => (parameters, tls),
        Ok(StartupRequest::Cancel { process, secret }) => {
            cancel(context, process, secret).await;
            return None;
        }
        Err(_) => return None,
    };
    let fatal = check_start(context, &mut parameters, encrypted);
    if let Err((code, message)) = fatal {
        send_fatal(stream, code, &message).await;
        return None;
    }
    let user = parameters.get("user").cloned().unwrap_or_default();
    let in_force = context.in_force.load_full();
    let options = in_force.configuration.users.get(user.as_str());
    let needs_password = options.is_none_or(|options| options.verifier.is_some());
    if needs_password {
        let verifier = options.and_then(|options| options.verifier.as_deref());
        match scram_log_in(stream, verifier).await {
            Ok(()) => {}
            Err(LogInError::Stream(_)) => return None,
            Err(LogInError::Denied) => {
                log::warn!(user = user.as_str(); "a log-in was denied");
                let message = format!("password authentication failed for user \"{user}\"");
                send_fatal(stream, "28P01", &message).await;
                return None;
            }
        }
    }
    stream.add(&PgWireBackendMessage::Authentication(Authentication::Ok));
    Some(parameters)
}

async fn cancel(context: &Arc<Context>, process: i32, secret: i32) {
    let Some(target) = context.cancels.find(process, secret) else { return };
    let key = target.running.upgrade().and_then(|running| running.lock().clone());
    let relayed = *target.relayed_to.lock();
    match (key, relayed) {
        (Some(key), _) => key.cancel().await,
        (None, Some(owner)) => relay_cancel(context, owner, target.session_id).await,
        (None, None) => {}
    }
}

/// Checks what can be refused before the log-in.
fn check_start(
    context: &Context,
    parameters: &mut Parameters,
    encrypted: bool,
) -> Result<(), (&'static str, String)> {
    if context.settings.tls.required && !encrypted {
        return Err(("28000", "this daemon takes only connections under TLS".to_owned()));
    }
    if context.is_stopping() {
        return Err(("57P03", "the daemon is stopping; connect again".to_owned()));
    }
    let in_force = context.in_force.load();
    if in_force.revision == 0 {
        return Err(("57P03", "no configuration is in force yet; connect again".to_owned()));
    }
    let most = in_force.configuration.limits.callers;
    if context.callers.load(Ordering::Relaxed) >= most {
        return Err(("53300", format!("this daemon takes at most {most} callers")));
    }
    let user = parameters.get("user").cloned().unwrap_or_default();
    if user.is_empty() {
        return Err(("28000", "no user name was given".to_owned()));
    }
    let service = parameters.entry("database".to_owned()).or_insert(user.clone()).clone();
    if !in_force.configuration.services.contains_key(service.as_str()) {
        let known: Vec<&str> = in_force.configuration.services.keys().map(|name| &**name).collect();
        let message =
            format!("there is no service \"{service}\"; known here: {}", known.join(", "));
        return Err(("3D000", message));
    }
    let options = in_force.configuration.users.get(user.as_str());
    let allowed = options.is_none_or(|options| {
        options.services.is_empty() || options.services.iter().any(|name| **name == *service)
    });
    if !allowed {
        return Err(("42501", format!("user \"{user}\" may not open the service \"{service}\"")));
    }
    split_options(parameters)
}

/// Takes `-c name=value` pairs out of the `options` parameter.
fn split_options(parameters: &mut Parameters) -> Result<(), (&'static str, String)> {
    let Some(options) = parameters.remove("options") else { return Ok(()) };
    let mut words = options.split_whitespace();
    while let Some(word) = words.next() {
        let pair = match word {
            "-c" => words.next(),
            word => word.strip_prefix("-c").or_else(|| word.strip_prefix("--")),
        };
        let Some((name, value)) = pair.and_then(|pair| pair.split_once('=')) else {
            return Err(("22023", format!("the option `{word}` is not of the form -c name=value")));
        };
        parameters.insert(name.to_owned(), value.to_owned());
    }
    Ok(())
}

async fn send_fatal(stream: &mut CallerStream, code: &str, message: &str) {
    let fields = vec![
        (b'S', "FATAL".to_owned()),
        (b'V', "FATAL".to_owned()),
        (b'C', code.to_owned()),
        (b'M', format!("wardtiller: {message}")),
    ];
    stream.add(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    // The caller may be gone; then nobody needs the message.
    let _ = stream.flush().await;
}

/// A session that has been idle for this long is closed by a planned stop. A busy one, whose next
/// request may be on its way, gets the time to send it.
const IDLE_BEFORE_STOP: Duration = Duration::from_millis(250);

/// Ends when a planned stop has begun and the time for a request to arrive is over.
async fn idle_while_stopping(stopping: &mut tokio::sync::watch::Receiver<bool>) {
    // The sender lives as long as the daemon, so the wait can't fail before the end.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    tokio::time::sleep(IDLE_BEFORE_STOP).await;
}

/// What becomes of the session after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    /// It goes on.
    GoOn,
    /// Its transaction was lost with the connection, so going on could mix statements up.
    Close,
}

struct CallerSession {
    context: Arc<Context>,
    stream: CallerStream,
    id: u64,
    process: i32,
    secret: i32,
    user: Name,
    service_name: Name,
    token: SessionToken,
    /// Whether the caller carries the token itself.
    tracked: bool,
    read_kind: String,
    group_name: Option<String>,
    settings: SessionSettings,
    extended: ExtendedState,
    request: Request,
    /// After an error, extended messages are skipped until the next `Sync`.
    skipping: bool,
    transaction: u8,
    /// The transaction failed here, without its server knowing.
    poisoned: bool,
    pinned: Option<Pinned>,
    relay_pin: Option<Arc<RelayPin>>,
    running: Arc<Running>,
    relayed_to: Arc<Mutex<Option<u64>>>,
    served_by: String,
    entered_at: Instant,
}

impl CallerSession {
    fn new(
        context: Arc<Context>,
        stream: CallerStream,
        parameters: &Parameters,
    ) -> Result<CallerSession, ()> {
        let id = context.new_session();
        let running = Arc::new(Running::default());
        let relayed_to = Arc::new(Mutex::new(None));
        let (process, secret) = context.cancels.register(id, &running, &relayed_to);
        let name = |key: &str| Name::from(parameters.get(key).map_or("", String::as_str));
        Ok(CallerSession {
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
            poisoned: false,
            pinned: None,
            relay_pin: None,
            running,
            relayed_to,
            served_by: String::new(),
            entered_at: Instant::now(),
        })
    }

    async fn run(&mut self, parameters: &Parameters) -> Result<(), StreamEnd> {
        if let Err((code, message)) = self.take_parameters(parameters) {
            send_fatal(&mut self.stream, code, &message).await;
            return Ok(());
        }
        self.greet();
        self.ready().await?;
        let mut stopping = self.context.stopping.subscribe();
        loop {
            let idle = self.transaction == b'I' && self.request.is_empty();
            let message = match self.stream.take()? {
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
            self.entered_at = Instant::now();
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            if self.handle(message).await? == After::Close {
                return Ok(());
            }
        }
    }

    fn take_parameters(&mut self, parameters: &Parameters) -> Result<(), (&'static str, String)> {
        for (name, value) in parameters {
            match name.as_str() {
                "user" | "database" => {}
                name if name.starts_with("_pq_.") => {}
                name if name.starts_with("wardtiller.") => {
                    self.set_own(name, Some(value)).map_err(|error| (error.code, error.message))?
                }
                name => self
                    .settings
                    .set_at_startup(name, value)
                    .map_err(|error| ("42704", error.to_string()))?,
            }
        }
        Ok(())
    }

    fn greet(&mut self) {
        let own = [
            ("server_version", "15.0 (wardtiller)"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("IntervalStyle", "postgres"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in own {
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

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<After, StreamEnd> {
        use PgWireFrontendMessage as M;
        if self.skipping && !matches!(message, M::Sync(_)) {
            return Ok(After::GoOn);
        }
        match message {
            M::Query(query) => {
                let request = self.simple_request(query);
                let Some(request) = request else {
                    self.stream
                        .add(&PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
                    self.ready().await?;
                    return Ok(After::GoOn);
                };
                self.finish(request).await
            }
            M::Sync(_) => {
                self.skipping = false;
                let request = std::mem::take(&mut self.request);
                self.finish(request).await
            }
            M::Flush(_) => self.flush().await,
            M::CopyData(_) | M::CopyDone(_) | M::CopyFail(_) => Ok(After::GoOn),
            message => {
                self.extended_message(message);
                Ok(After::GoOn)
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

    fn classify(&self, sql: &str) -> Arc<wire::Classified> {
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
        if self.request.steps.len() >= MOST_STEPS {
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

    /// Answers what was sent so far, before the request's end.
    ///
    /// Preparing and describing change nothing, so they can be answered by themselves; the answers
    /// to statements belong to a transaction that the `Sync` ends, so they can't.
    async fn flush(&mut self) -> Result<After, StreamEnd> {
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

    async fn finish(&mut self, request: Request) -> Result<After, StreamEnd> {
        let after = self.answer(request).await?;
        if self.transaction == b'I' {
            self.extended.end_transaction();
        }
        if after == After::Close {
            return Ok(after);
        }
        self.ready().await?;
        Ok(after)
    }

    async fn ready(&mut self) -> Result<(), StreamEnd> {
        let status = match (self.poisoned, self.transaction) {
            (true, _) | (_, b'E') => TransactionStatus::Error,
            (_, b'T') => TransactionStatus::Transaction,
            _ => TransactionStatus::Idle,
        };
        self.stream.add(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
        self.stream.flush().await
    }

    /// Answers a request, without the `ReadyForQuery` that ends it.
    async fn answer(&mut self, mut request: Request) -> Result<After, StreamEnd> {
        if let Some(error) = request.error.take() {
            self.fail(&error);
            return Ok(After::GoOn);
        }
        if self.poisoned {
            return self.answer_poisoned(&request).await;
        }
        if let Err(error) = self.carry_out_local(&mut request) {
            self.fail(&error);
            return Ok(After::GoOn);
        }
        if request.is_local() {
            for step in &request.steps {
                self.stream.add_bytes(&step.message);
            }
            return Ok(After::GoOn);
        }
        self.run_request(request).await
    }

    /// A transaction that failed here takes nothing but its end.
    async fn answer_poisoned(&mut self, request: &Request) -> Result<After, StreamEnd> {
        let ends = request.effects.commits || !request.effects.executes;
        if !ends || request.effects.writes {
            let message = "current transaction is aborted, commands ignored until end of block";
            self.fail(&RequestError::new("25P02", message));
            return Ok(After::GoOn);
        }
        // Dropping the connection rolls back; it may not be given to anybody else before that.
        self.pinned = None;
        self.relay_pin = None;
        self.poisoned = false;
        self.transaction = b'I';
        let answer = Answer::default().complete("ROLLBACK").finish();
        self.stream.add_bytes(&answer);
        Ok(After::GoOn)
    }

    /// Sends an error, which a transaction does not survive.
    fn fail(&mut self, error: &RequestError) {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.code.to_owned()),
            (b'M', error.message.clone()),
            (b'D', "verdict=not_run".to_owned()),
        ];
        self.stream.add(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
        self.poisoned |= self.transaction != b'I';
    }

    // ---- settings ----

    /// Carries out SET, SHOW and DISCARD, putting their answers into the request's steps.
    fn carry_out_local(&mut self, request: &mut Request) -> Result<(), RequestError> {
        let effects = std::mem::take(&mut request.local);
        let simple = request.steps.is_empty();
        let mut places: Vec<usize> = request
            .steps
            .iter()
            .enumerate()
            .filter(|(_, step)| step.message.is_empty())
            .map(|(index, _)| index)
            .rev()
            .collect();
        for effect in effects {
            let answer = self.local_answer(&effect, simple)?;
            match places.pop() {
                Some(index) => request.steps[index].message = answer,
                None => request.steps.push(peer::Step {
                    shape: peer::StepShape::Canned as i32,
                    message: answer,
                    statement: 0,
                }),
            }
        }
        Ok(())
    }

    fn local_answer(&mut self, effect: &Effect, describe: bool) -> Result<Bytes, RequestError> {
        match effect {
            Effect::Set { name, value } => {
                self.set(name, value.as_deref())?;
                Ok(Answer::default().complete("SET").finish())
            }
            Effect::ResetAll => {
                self.settings.reset_all();
                Ok(Answer::default().complete("RESET").finish())
            }
            Effect::Discard => {
                self.discard()?;
                Ok(Answer::default().complete("DISCARD ALL").finish())
            }
            Effect::Show { name } => {
                let value = self.show(name)?;
                let (description, row) = row_answer(name, &value);
                let mut answer = Vec::new();
                if describe {
                    answer.extend_from_slice(&description);
                }
                answer.extend_from_slice(&row);
                answer.extend_from_slice(&Answer::default().complete("SHOW").finish());
                Ok(Bytes::from(answer))
            }
            _ => Err(RequestError::new("XX000", "not a statement that is answered here")),
        }
    }

    fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), RequestError> {
        if name.starts_with("wardtiller.") {
            return self.set_own(name, value);
        }
        self.settings
            .set(name, value)
            .map_err(|error| RequestError::new("0A000", format!("wardtiller: {error}")))
    }

    /// Changes one of the session's own settings.
    fn set_own(&mut self, name: &str, value: Option<&str>) -> Result<(), RequestError> {
        let value = value.unwrap_or_default();
        match name {
            "wardtiller.session" => {
                let token: SessionToken =
                    value.parse().map_err(|error: session::InvalidToken| {
                        let reason = RefusalReason::BadToken;
                        RequestError::new(reason.sqlstate(Verdict::NotRun), error.to_string())
                    })?;
                self.tracked = true;
                // An empty token begins a new session; any other joins what was seen already.
                if token.is_empty() {
                    self.token = token;
                } else {
                    self.token.merge(&token);
                }
                Ok(())
            }
            "wardtiller.read_kind" => {
                self.check_kind(value)?;
                value.clone_into(&mut self.read_kind);
                Ok(())
            }
            "wardtiller.group" if self.transaction != b'I' => Err(RequestError::new(
                "25001",
                "wardtiller.group can't change within a transaction",
            )),
            "wardtiller.group" => {
                self.check_group(value)?;
                self.group_name = (!value.is_empty()).then(|| value.to_owned());
                Ok(())
            }
            _ => Err(RequestError::new("42704", format!("there is no setting `{name}`"))),
        }
    }

    fn check_kind(&self, kind: &str) -> Result<(), RequestError> {
        let in_force = self.context.in_force.load();
        let Some(service) = in_force.configuration.services.get(&self.service_name) else {
            return Ok(());
        };
        if kind.is_empty() || service.kinds.contains_key(kind) {
            return Ok(());
        }
        let known: Vec<&str> = service.kinds.keys().map(|kind| &**kind).collect();
        let message = format!("there is no kind of read `{kind}`; known: {}", known.join(", "));
        Err(RequestError::new("22023", message))
    }

    fn check_group(&self, group: &str) -> Result<(), RequestError> {
        let in_force = self.context.in_force.load();
        let Some(service) = in_force.configuration.services.get(&self.service_name) else {
            return Ok(());
        };
        if group.is_empty() || service.groups.iter().any(|known| **known == *group) {
            return Ok(());
        }
        let known: Vec<&str> = service.groups.iter().map(|group| &**group).collect();
        let message = format!("there is no group `{group}`; known: {}", known.join(", "));
        Err(RequestError::new("22023", message))
    }

    fn discard(&mut self) -> Result<(), RequestError> {
        if self.transaction != b'I' {
            let message = "DISCARD ALL can't run in a transaction";
            return Err(RequestError::new("25001", message));
        }
        self.settings.reset_all();
        self.extended.prepared.clear();
        self.read_kind.clear();
        Ok(())
    }

    fn show(&self, name: &str) -> Result<String, RequestError> {
        match name {
            "wardtiller.session" => Ok(self.token.to_string()),
            "wardtiller.read_kind" => Ok(self.read_kind.clone()),
            "wardtiller.group" => Ok(self.group_name.clone().unwrap_or_default()),
            "wardtiller.served_by" => Ok(self.served_by.clone()),
            "wardtiller.revision" => Ok(self.context.in_force.load().revision.to_string()),
            "wardtiller.host" => Ok(self.context.host().to_string()),
            _ => Err(RequestError::new("42704", format!("there is no setting `{name}`"))),
        }
    }

    // ---- running ----

    async fn run_request(&mut self, request: Request) -> Result<After, StreamEnd> {
        let in_force = self.context.in_force.load_full();
        let Some(service) = in_force.configuration.services.get(&self.service_name).cloned() else {
            let message = format!("the service \"{}\" was taken out", self.service_name);
            self.fail(&RequestError::new("3D000", message));
            return Ok(After::GoOn);
        };
        let group = match self.place(&service) {
            Ok(group) => group,
            Err(error) => {
                self.fail(&error);
                return Ok(After::GoOn);
            }
        };
        let mut span = self.context.tracer.enter("caller", request.traceparent.as_deref());
        let class = if request.effects.is_read_only() { "read" } else { "write" };
        let job = match self.job(request, &service, &group, span.as_ref()) {
            Ok(job) => job,
            Err(error) => {
                self.fail(&error);
                return Ok(After::GoOn);
            }
        };
        let outcome = self.run_job(&group, &job).await?;
        self.measure(class, &job, &outcome);
        if let Some(mut span) = span.take() {
            span.set("wardtiller.group", group.to_string());
            span.set("wardtiller.class", class);
            if let Err(refusal) = &outcome {
                span.set("wardtiller.verdict", refusal.verdict.as_str());
            }
            self.context.tracer.finish(span);
        }
        Ok(match outcome {
            Ok(end) => self.accept(&group, &job, end),
            Err(refusal) => self.refuse(&job, &refusal).await,
        })
    }

    fn place(&self, service: &Service) -> Result<GroupId, RequestError> {
        let placement = Placement {
            named: self.group_name.as_deref(),
            user: &self.user,
            application_name: self.settings.get("application_name").unwrap_or_default(),
        };
        let group = service.place(placement).ok_or_else(|| {
            let known: Vec<&str> = service.groups.iter().map(|group| &**group).collect();
            RequestError::new(
                "22023",
                format!(
                    "the service \"{}\" has several groups and no rule places this session; set \
                     wardtiller.group to one of: {}",
                    service.name,
                    known.join(", ")
                ),
            )
        })?;
        Ok(GroupId { service: service.name.clone(), group: group.clone() })
    }

    fn job(
        &self,
        request: Request,
        service: &Service,
        group: &GroupId,
        span: Option<&Span>,
    ) -> Result<Job, RequestError> {
        let read_kind = request.read_kind.unwrap_or_else(|| self.read_kind.clone());
        self.check_kind(&read_kind)?;
        let in_transaction = self.transaction != b'I';
        let effects = request.effects;
        let settings = self
            .settings
            .iter()
            .map(|(name, value)| Setting { name: name.to_owned(), value: value.to_owned() });
        Ok(Job {
            session_id: self.id,
            service: group.service.to_string(),
            group: group.group.to_string(),
            user: self.user.to_string(),
            seen: self.token.point(&group.group).map(point_message),
            tracked: self.tracked || service.options.untracked_reads == UntrackedReads::Connection,
            read_kind,
            read_only: effects.is_read_only(),
            may_commit: effects.commits || (effects.writes && !in_transaction),
            in_transaction,
            steps: request.steps,
            statements: request.statements,
            settings: settings.collect(),
            deadline_ms: service.options.request_deadline_ms,
            traceparent: span.map(|span| span.context.to_traceparent()).unwrap_or_default(),
            writes: effects.writes,
        })
    }

    /// Runs a job here or at an owner, giving it up when the caller goes away.
    async fn run_job(
        &mut self,
        group: &GroupId,
        job: &Job,
    ) -> Result<Result<JobEnd, Refusal>, StreamEnd> {
        let context = self.context.clone();
        let in_force = context.in_force.load_full();
        let Some(configured) = in_force.configuration.groups.get(group) else {
            let detail = format!("the group {group} was taken out");
            return Ok(Err(Refusal::not_run(RefusalReason::UnknownName, detail)));
        };
        let here =
            if job.in_transaction { self.relay_pin.is_none() } else { context.owns(configured) };
        let mut sink = CallerSink { stream: &mut self.stream, begun: false };
        if here {
            let Some(state) = context.group(group) else {
                let detail = format!("the group {group} was taken out");
                return Ok(Err(Refusal::not_run(RefusalReason::UnknownName, detail)));
            };
            let running = self.running.clone();
            let outcome =
                execute(&context, &state, &mut self.pinned, &running, job, &mut sink).await;
            return Ok(outcome);
        }
        let pin = &mut self.relay_pin;
        Ok(relay(&context, configured, pin, &self.relayed_to, job, &mut sink).await)
    }

    fn accept(&mut self, group: &GroupId, job: &Job, end: JobEnd) -> After {
        if let Some(written) = end.written {
            self.token.advance(&group.group, written);
            let token = self.token.to_string();
            self.add_status("wardtiller.session", token);
        }
        let role = if end.by_replica { "replica" } else { "primary" };
        self.served_by = format!("{} {role}", end.served_by);
        self.transaction = end.transaction;
        if self.transaction == b'I' {
            self.relay_pin = None;
        }
        let _ = job;
        self.stream.add_bytes(&end.tail);
        After::GoOn
    }

    /// Tells the caller of a refusal. A transaction is over with it, and so is its connection: what
    /// the caller has sent already must not run outside of the transaction.
    async fn refuse(&mut self, job: &Job, refusal: &Refusal) -> After {
        self.served_by = format!("nobody: {}", refusal.reason.as_str());
        if !job.in_transaction {
            self.stream.add_bytes(&encode_refusal(refusal));
            return After::GoOn;
        }
        self.pinned = None;
        self.relay_pin = None;
        self.transaction = b'I';
        if job.may_commit {
            // The transaction's end was asked for, so nothing of it can follow.
            self.stream.add_bytes(&encode_refusal(refusal));
            return After::GoOn;
        }
        let mut response = refusal_response(refusal);
        for field in &mut response.fields {
            if matches!(field.0, b'S' | b'V') {
                "FATAL".clone_into(&mut field.1);
            }
        }
        self.stream.add(&PgWireBackendMessage::ErrorResponse(response));
        // The caller may be gone; then nobody needs the message.
        let _ = self.stream.flush().await;
        After::Close
    }

    fn measure(&self, class: &str, job: &Job, outcome: &Result<JobEnd, Refusal>) {
        let metrics = &self.context.metrics;
        let service = &*self.service_name;
        let seconds = self.entered_at.elapsed().as_secs_f64();
        metrics.request_seconds.with_label_values(&[service, class]).observe(seconds);
        match outcome {
            Ok(end) => {
                metrics.requests.with_label_values(&[service, "ok"]).inc();
                if job.read_only && !job.in_transaction {
                    let kind = if job.read_kind.is_empty() { "none" } else { &job.read_kind };
                    let role = if end.by_replica { "replica" } else { "primary" };
                    metrics.reads.with_label_values(&[service, kind, role]).inc();
                }
            }
            Err(refusal) => {
                metrics.requests.with_label_values(&[service, refusal.reason.as_str()]).inc();
                let labels = [refusal.verdict.as_str(), refusal.reason.as_str()];
                metrics.refusals.with_label_values(&labels).inc();
            }
        }
    }
}

/// Passes parts of an answer to the caller.
struct CallerSink<'a> {
    stream: &'a mut CallerStream,
    begun: bool,
}

impl AnswerSink for CallerSink<'_> {
    async fn send(&mut self, messages: Bytes) -> bool {
        self.begun = true;
        self.stream.add_bytes(&messages);
        self.stream.flush().await.is_ok()
    }

    fn has_begun(&self) -> bool {
        self.begun
    }
}
