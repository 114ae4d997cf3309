//! A pooled connection to an endpoint, and the execution of jobs on it.

use std::{num::NonZeroUsize, time::Instant};

use bytes::{Bytes, BytesMut};
use lru::LruCache;
use model::ServerStatus;
use peer::{Job, StepShape};
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    extendedquery::{Close, Sync},
};
use wire::{
    EndpointAddress, EndpointError, EndpointStream, SessionSettings, endpoint_statement_name,
};

use crate::dialect::{Dialect, ServerDialect};

/// Receives the parts of an answer as they arrive.
pub(crate) trait AnswerSink: Send {
    /// Forwards whole backend messages. Returns `false` if the receiver has disconnected.
    fn send(&mut self, messages: Bytes) -> impl Future<Output = bool> + Send;

    /// Whether any part was forwarded, after which the job can't be run on another server.
    fn has_begun(&self) -> bool;
}

/// When a job queries the server's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    None,
    /// Before the job, to check what its reads can see.
    Before,
    /// After the job, to learn the position of its write.
    After,
}

/// How the answer to a job is handled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOptions {
    pub(crate) probe: Probe,
    /// Maximum number of bytes held back until the job may be acknowledged. `None` forwards the answer
    /// at once.
    pub(crate) hold_bytes: Option<usize>,
}

/// The decision on a status that precedes an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatusCheck {
    /// Forward the answer.
    Accept,
    /// Drop the answer. The connection stays usable.
    Reject,
}

#[derive(Debug)]
pub(crate) struct JobAnswer {
    /// Messages not yet forwarded, without `ReadyForQuery`.
    pub(crate) tail: BytesMut,
    /// The transaction status byte.
    pub(crate) transaction: u8,
    /// The status queried before or after the job.
    pub(crate) status: Option<ServerStatus>,
    /// Whether any statement completed.
    pub(crate) completed: bool,
    /// The SQLSTATE of the error in the answer, if any.
    pub(crate) error_code: Option<String>,
    /// Whether the status check dropped the answer.
    pub(crate) rejected: bool,
}

/// Why a job has no answer.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The connection failed before any byte of the job was sent.
    NotSent(EndpointError),
    /// The connection failed after the job may have been sent.
    Lost(EndpointError),
    /// The answer exceeds the bytes that may be held back.
    TooLarge,
    /// The receiver of the answer has disconnected.
    CallerGone,
}

/// Answers are forwarded in parts of about this size.
const CHUNK_BYTES: usize = 32 * 1024;

/// A connection with its prepared statements and a fingerprint of its settings.
#[derive(Debug)]
pub(crate) struct EndpointConnection {
    stream: EndpointStream,
    prepared: LruCache<u64, ()>,
    settings: u64,
    /// When the connection was last returned to the pool.
    pub(crate) idle_since: Instant,
}

/// An answer that is expected from the endpoint.
enum ExpectedAnswer {
    /// The answer to a `Parse` that the daemon added because the connection lacks the statement.
    ImplicitParse { statement: u64 },
    /// The answer to a `Close` that the daemon added to evict a statement.
    ImplicitClose,
    /// The answer to a step of the job.
    Step { shape: StepShape, statement: u64 },
    /// An answer that the daemon provides itself.
    Canned(Bytes),
}

impl EndpointConnection {
    pub(crate) async fn open(
        target: &EndpointAddress,
        timeout: std::time::Duration,
        prepared_statements: u32,
    ) -> Result<EndpointConnection, EndpointError> {
        let stream = EndpointStream::connect(target, timeout).await?;
        let capacity = NonZeroUsize::new(prepared_statements as usize).unwrap_or(NonZeroUsize::MIN);
        Ok(EndpointConnection {
            stream,
            prepared: LruCache::new(capacity),
            settings: 0,
            idle_since: Instant::now(),
        })
    }

    /// Whether the endpoint closed the connection or sent something unexpected.
    pub(crate) fn is_stale(&self) -> bool {
        self.stream.is_stale()
    }

    /// Returns the key for cancelling the running statement.
    pub(crate) fn cancel_key(&self) -> CancelKey {
        let (address, process, secret) = self.stream.cancel_key();
        CancelKey { address, process, secret }
    }

    /// Runs a job. After an error the connection must not be used again.
    pub(crate) async fn run<S: AnswerSink>(
        &mut self,
        job: &Job,
        options: RunOptions,
        mut check_status: impl FnMut(&ServerStatus) -> StatusCheck + Send,
        sink: &mut S,
    ) -> Result<JobAnswer, RunError> {
        let replayed = self.add_settings(job).map_err(RunError::NotSent)?;
        if options.probe == Probe::Before {
            self.stream.add_query(Dialect::STATUS).map_err(RunError::NotSent)?;
        }
        let expected = self.add_steps(job).map_err(RunError::NotSent)?;
        if options.probe == Probe::After {
            self.stream.add_query(Dialect::STATUS).map_err(RunError::NotSent)?;
        }
        self.stream.flush().await.map_err(RunError::Lost)?;
        if replayed {
            self.skip_to_ready().await?;
        }
        let mut reader = AnswerReader {
            answer: JobAnswer {
                tail: BytesMut::new(),
                transaction: b'I',
                status: None,
                completed: false,
                error_code: None,
                rejected: false,
            },
            hold_bytes: options.hold_bytes,
            sink,
        };
        if options.probe == Probe::Before {
            let status = self.read_status().await?;
            reader.answer.rejected = check_status(&status) == StatusCheck::Reject;
            reader.answer.status = Some(status);
        }
        self.read_answer(expected, &mut reader).await?;
        if options.probe == Probe::After {
            let status = self.read_status().await?;
            reader.answer.status = Some(status);
        }
        Ok(reader.answer)
    }

    /// Replaces the connection's settings if they differ from the job's. Returns whether it did.
    fn add_settings(&mut self, job: &Job) -> Result<bool, EndpointError> {
        let settings =
            || job.settings.iter().map(|setting| (setting.name.as_str(), setting.value.as_str()));
        let wanted = SessionSettings::fingerprint(settings());
        if wanted == self.settings {
            return Ok(false);
        }
        let replay = SessionSettings::replay_statement(settings());
        self.stream.add_query(&format!("RESET ALL;{replay}"))?;
        self.settings = wanted;
        Ok(true)
    }

    /// Adds the job's messages, and a `Parse` for each statement that the connection lacks.
    fn add_steps(&mut self, job: &Job) -> Result<Vec<ExpectedAnswer>, EndpointError> {
        let mut expected = Vec::with_capacity(job.steps.len() + 1);
        let mut preparing: Vec<u64> = Vec::new();
        let mut extended = false;
        for step in &job.steps {
            let shape = step.shape();
            extended |= !matches!(shape, StepShape::Query | StepShape::Canned);
            let statement = step.statement;
            let is_prepared = statement == 0
                || self.prepared.get(&statement).is_some()
                || preparing.contains(&statement);
            match shape {
                StepShape::Canned => expected.push(ExpectedAnswer::Canned(step.message.clone())),
                StepShape::Parse if is_prepared => {
                    expected.push(ExpectedAnswer::Canned(parse_complete()))
                }
                StepShape::Parse => {
                    self.evict_prepared(&mut expected, preparing.len())?;
                    preparing.push(statement);
                    self.stream.add_bytes(&step.message);
                    expected.push(ExpectedAnswer::Step { shape, statement });
                }
                _ => {
                    if !is_prepared {
                        self.evict_prepared(&mut expected, preparing.len())?;
                        preparing.push(statement);
                        self.stream.add_bytes(&find_parse(job, statement)?);
                        expected.push(ExpectedAnswer::ImplicitParse { statement });
                    }
                    self.stream.add_bytes(&step.message);
                    expected.push(ExpectedAnswer::Step { shape, statement });
                }
            }
        }
        if extended {
            self.stream.add_message(&PgWireFrontendMessage::Sync(Sync::new()))?;
        }
        Ok(expected)
    }

    /// Closes the least recently used statement if the connection has reached its limit.
    fn evict_prepared(
        &mut self,
        expected: &mut Vec<ExpectedAnswer>,
        preparing: usize,
    ) -> Result<(), EndpointError> {
        if self.prepared.len() + preparing < self.prepared.cap().get() {
            return Ok(());
        }
        let Some((oldest, ())) = self.prepared.pop_lru() else { return Ok(()) };
        let close = Close::new(b'S', Some(endpoint_statement_name(oldest)));
        self.stream.add_message(&PgWireFrontendMessage::Close(close))?;
        expected.push(ExpectedAnswer::ImplicitClose);
        Ok(())
    }

    async fn next(&mut self) -> Result<PgWireBackendMessage, RunError> {
        self.stream.next().await.map_err(RunError::Lost)
    }

    async fn skip_to_ready(&mut self) -> Result<(), RunError> {
        loop {
            match self.next().await? {
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                PgWireBackendMessage::ErrorResponse(error) => {
                    return Err(RunError::Lost((&error).into()));
                }
                _ => {}
            }
        }
    }

    async fn read_status(&mut self) -> Result<ServerStatus, RunError> {
        let mut status = None;
        loop {
            match self.next().await? {
                PgWireBackendMessage::DataRow(row) => status = read_status_row(&row.data),
                PgWireBackendMessage::ErrorResponse(error) => {
                    return Err(RunError::Lost((&error).into()));
                }
                PgWireBackendMessage::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        status.ok_or_else(|| {
            RunError::Lost(EndpointError::Protocol("the status can't be read".to_owned()))
        })
    }

    async fn read_answer<S: AnswerSink>(
        &mut self,
        expected: Vec<ExpectedAnswer>,
        reader: &mut AnswerReader<'_, S>,
    ) -> Result<(), RunError> {
        let mut any_sent = false;
        for answer in expected {
            any_sent |= !matches!(answer, ExpectedAnswer::Canned(_));
            if reader.answer.error_code.is_some() {
                continue;
            }
            match answer {
                ExpectedAnswer::Canned(messages) => reader.forward_bytes(&messages),
                ExpectedAnswer::Step { shape: StepShape::Query, .. } => {
                    return self.read_until_ready(reader).await;
                }
                ExpectedAnswer::Step { shape, statement } => {
                    self.read_step(shape, reader).await?;
                    if shape == StepShape::Parse && reader.answer.error_code.is_none() {
                        self.prepared.put(statement, ());
                    }
                }
                ExpectedAnswer::ImplicitParse { statement } => {
                    if self.read_implicit(reader).await? {
                        self.prepared.put(statement, ());
                    }
                }
                ExpectedAnswer::ImplicitClose => {
                    self.read_implicit(reader).await?;
                }
            }
        }
        if any_sent {
            self.read_until_ready(reader).await?;
        }
        Ok(())
    }

    /// Forwards messages until `ReadyForQuery`.
    async fn read_until_ready<S: AnswerSink>(
        &mut self,
        reader: &mut AnswerReader<'_, S>,
    ) -> Result<(), RunError> {
        loop {
            match self.next().await? {
                PgWireBackendMessage::ReadyForQuery(ready) => {
                    reader.answer.transaction = ready.status as u8;
                    return Ok(());
                }
                message => reader.forward(&message).await?,
            }
        }
    }

    /// Forwards messages until the answer to a step is complete.
    async fn read_step<S: AnswerSink>(
        &mut self,
        shape: StepShape,
        reader: &mut AnswerReader<'_, S>,
    ) -> Result<(), RunError> {
        loop {
            let message = self.next().await?;
            let last = ends_step(shape, &message);
            reader.forward(&message).await?;
            if last || reader.answer.error_code.is_some() {
                return Ok(());
            }
        }
    }

    /// Reads the answer to a message that the daemon added. Returns `false` for an error, which is
    /// forwarded to the caller.
    async fn read_implicit<S: AnswerSink>(
        &mut self,
        reader: &mut AnswerReader<'_, S>,
    ) -> Result<bool, RunError> {
        loop {
            match self.next().await? {
                PgWireBackendMessage::ParseComplete(_) | PgWireBackendMessage::CloseComplete(_) => {
                    return Ok(true);
                }
                PgWireBackendMessage::NoticeResponse(_) => {}
                message => {
                    reader.forward(&message).await?;
                    return Ok(false);
                }
            }
        }
    }
}

/// The key for cancelling the statement that runs on a connection.
#[derive(Clone, Debug)]
pub(crate) struct CancelKey {
    address: std::net::SocketAddr,
    process: i32,
    secret: pgwire::messages::startup::SecretKey,
}

impl CancelKey {
    /// Sends the cancellation. The protocol has no answer to it, so its effect is unknown.
    pub(crate) async fn cancel(self) {
        if let Err(error) = EndpointStream::cancel(self.address, self.process, self.secret).await {
            log::debug!(error = error.to_string().as_str(); "a cancellation could not be sent");
        }
    }
}

struct AnswerReader<'a, S> {
    answer: JobAnswer,
    hold_bytes: Option<usize>,
    sink: &'a mut S,
}

impl<S: AnswerSink> AnswerReader<'_, S> {
    async fn forward(&mut self, message: &PgWireBackendMessage) -> Result<(), RunError> {
        match message {
            PgWireBackendMessage::ErrorResponse(error) => {
                let code = error.fields.iter().find(|(field, _)| *field == b'C');
                let code = code.map(|(_, code)| code.clone()).unwrap_or_default();
                self.answer.error_code = Some(code);
            }
            PgWireBackendMessage::CommandComplete(_) => self.answer.completed = true,
            _ => {}
        }
        if self.answer.rejected {
            return Ok(());
        }
        message
            .encode(&mut self.answer.tail)
            .map_err(|error| RunError::Lost(EndpointError::Protocol(error.to_string())))?;
        let tail = self.answer.tail.len();
        match self.hold_bytes {
            // Rows do not tell whether a commit succeeded, so they may be forwarded before it is
            // confirmed. Completions may not.
            Some(limit) if tail > limit && self.answer.completed => Err(RunError::TooLarge),
            Some(limit) if tail > limit => self.send().await,
            None if tail > CHUNK_BYTES => self.send().await,
            _ => Ok(()),
        }
    }

    fn forward_bytes(&mut self, messages: &Bytes) {
        if !self.answer.rejected {
            self.answer.tail.extend_from_slice(messages);
        }
    }

    async fn send(&mut self) -> Result<(), RunError> {
        let messages = self.answer.tail.split().freeze();
        if self.sink.send(messages).await { Ok(()) } else { Err(RunError::CallerGone) }
    }
}

fn ends_step(shape: StepShape, message: &PgWireBackendMessage) -> bool {
    use PgWireBackendMessage as M;
    match shape {
        StepShape::Parse => matches!(message, M::ParseComplete(_)),
        StepShape::Bind => matches!(message, M::BindComplete(_)),
        StepShape::Describe => matches!(message, M::RowDescription(_) | M::NoData(_)),
        StepShape::Execute => matches!(
            message,
            M::CommandComplete(_) | M::EmptyQueryResponse(_) | M::PortalSuspended(_)
        ),
        StepShape::Close => matches!(message, M::CloseComplete(_)),
        StepShape::Query | StepShape::Canned => true,
    }
}

fn parse_complete() -> Bytes {
    use pgwire::messages::extendedquery::ParseComplete;
    let message = PgWireBackendMessage::ParseComplete(ParseComplete::new());
    wire::ResponseBuilder::default().with(&message).finish()
}

fn find_parse(job: &Job, statement: u64) -> Result<Bytes, EndpointError> {
    let found = job.statements.iter().find(|prepared| prepared.id == statement);
    found.map(|prepared| prepared.parse.clone()).ok_or_else(|| {
        EndpointError::Protocol("a job refers to a statement that it does not bring".to_owned())
    })
}

/// Parses the status from a row with one column, which follows its length.
pub(crate) fn read_status_row(row: &[u8]) -> Option<ServerStatus> {
    Dialect::read_status(row.get(size_of::<i32>()..)?)
}
