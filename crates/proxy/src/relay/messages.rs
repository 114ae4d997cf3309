//! Messages between a daemon and the owner of the connections that it uses.

use std::time::Duration;

use bytes::Bytes;
use model::{LogPoint, Name, Position, StatementClass, Term};
use overload::Rank;
use prost::{Message, Oneof};

use crate::{
    relay::{
        limit_messages::{
            QuotaGrantMessage, QuotaRequestMessage, VoteAnswerMessage, VoteRequestMessage,
        },
        load_messages::LoadMessage,
    },
    serve::{
        endpoint_task::{EndpointTask, TaskKind},
        job::EndpointStatement,
        replay::SessionValues,
    },
    statement::{
        Answer, EndpointOperation, ErrorCode, Outcome, PreparedStatement, StatementError,
        TransactionState,
    },
};

/// A statement, or a control request that belongs to a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRequest {
    /// Number of the request on its link, repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of the transaction, assigned by the sender; 0 for a single statement.
    #[prost(uint64, tag = "2")]
    pub transaction: u64,
    /// The service of the server.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The server that runs it.
    #[prost(string, tag = "4")]
    pub server: String,
    /// The caller's identifier, passed on unchanged; empty for requests of the daemon itself.
    #[prost(bytes = "bytes", tag = "5")]
    pub id: Bytes,
    /// The values of the caller's session.
    #[prost(message, repeated, tag = "6")]
    pub values: Vec<ValueMessage>,
    /// The log point that the server must hold.
    #[prost(message, optional, tag = "7")]
    pub min_point: Option<PointMessage>,
    /// How long it may wait for a connection, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub wait_ms: u64,
    /// How long the sender waits for the answer, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub answer_timeout_ms: u64,
    /// The priority; 0 is the most urgent.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Whether the sender regards the server as the primary.
    #[prost(bool, tag = "11")]
    pub at_primary: bool,
    /// Whether it yields capacity of the primary to statements that only the primary can run.
    #[prost(bool, tag = "12")]
    pub yields: bool,
    /// Until when the owner may start it, by the owner's clock as sent in its answers, in milliseconds.
    #[prost(uint64, tag = "22")]
    pub start_deadline_ms: u64,
    /// The client account that it runs for; empty for none.
    #[prost(string, tag = "24")]
    pub account: String,
    /// How many times the operation was sent to a server or an owner before, by all daemons.
    #[prost(uint32, tag = "27")]
    pub previous_attempts: u32,
    /// Whether the sender knows no other server that could run it. The owner then runs it even if its circuit breaker
    /// for the server is open.
    #[prost(bool, tag = "31")]
    pub last_resort: bool,
    /// The task; `None` if this daemon's version does not know it.
    #[prost(oneof = "RelayTask", tags = "13, 14, 15, 16, 17, 18, 19, 20, 21, 23, 25, 26")]
    pub task: Option<RelayTask>,
}

/// The task of a request.
#[derive(Clone, PartialEq, Oneof)]
pub enum RelayTask {
    /// Open a transaction; the value says whether it is read-only.
    #[prost(bool, tag = "13")]
    Begin(bool),
    /// Roll the transaction back.
    #[prost(bool, tag = "14")]
    Rollback(bool),
    /// Commit the transaction.
    #[prost(bool, tag = "15")]
    Commit(bool),
    /// Run a read.
    #[prost(bytes = "bytes", tag = "16")]
    Read(Bytes),
    /// Run a write.
    #[prost(bytes = "bytes", tag = "17")]
    Write(Bytes),
    /// Run a prepared statement.
    #[prost(message, tag = "18")]
    Execute(ExecuteMessage),
    /// Send a command to the server and return its status.
    #[prost(message, tag = "19")]
    Command(CommandMessage),
    /// End the transaction, without an answer. `false` if the connection must be rolled back first, because the
    /// sender does not know the state of the transaction. Outside a transaction it cancels the waiting statement of
    /// the same number.
    #[prost(bool, tag = "20")]
    Release(bool),
    /// Answer immediately, which shows that the owner is alive.
    #[prost(bool, tag = "21")]
    Ping(bool),
    /// Return a sample of the primary's log point that is at most this many milliseconds old.
    #[prost(uint64, tag = "23")]
    Sample(u64),
    /// Vote for the sender as the limit coordinator.
    #[prost(message, tag = "25")]
    Vote(VoteRequestMessage),
    /// Grant quota of the account's limit.
    #[prost(message, tag = "26")]
    RequestQuota(QuotaRequestMessage),
}

/// A value of a session.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ValueMessage {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value itself.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// A point in a log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PointMessage {
    /// The term of the point.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The position in the log.
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

/// A prepared statement.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ExecuteMessage {
    /// Whether it writes.
    #[prost(bool, tag = "1")]
    pub writes: bool,
    /// The prepared text.
    #[prost(string, tag = "2")]
    pub text: String,
    /// The caller's arguments.
    #[prost(bytes = "bytes", tag = "3")]
    pub arguments: Bytes,
}

/// A command to a server.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CommandMessage {
    /// 0 status, 1 pause, 2 resume, 3 step down.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The term for a pause or a step down.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// The answer to a request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayAnswer {
    /// The request's number; 0 for the first answer on a link, which accepts the link.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The owner's monotonic clock when it sent the answer, in milliseconds since its process started, rounded
    /// down.
    #[prost(uint64, tag = "6")]
    pub clock_ms: u64,
    /// The current load of the server in the request; `None` if the request was not for a server.
    #[prost(message, optional, tag = "10")]
    pub load: Option<LoadMessage>,
    /// How long to wait before retrying, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "11")]
    pub retry_delay_ms: u64,
    /// The outcome of the request.
    #[prost(oneof = "RelayOutcome", tags = "2, 3, 4, 5, 7, 8, 9")]
    pub outcome: Option<RelayOutcome>,
}

/// The outcome of a request.
#[derive(Clone, PartialEq, Oneof)]
pub enum RelayOutcome {
    /// The server answered.
    #[prost(message, tag = "2")]
    Answered(AnswerMessage),
    /// Nothing was sent to the server; the value is the number of a [`NotSent`].
    #[prost(uint32, tag = "3")]
    NotSent(u32),
    /// The statement was sent and no answer came; the value says why, for the log.
    #[prost(string, tag = "4")]
    Lost(String),
    /// The answer to a ping.
    #[prost(bool, tag = "5")]
    Pong(bool),
    /// A sample of the primary's log point.
    #[prost(message, tag = "7")]
    Sampled(SampledMessage),
    /// The answer to a vote request.
    #[prost(message, tag = "8")]
    Voted(VoteAnswerMessage),
    /// The answer to a quota request.
    #[prost(message, tag = "9")]
    QuotaGranted(QuotaGrantMessage),
}

/// A sample of a primary's log point.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SampledMessage {
    /// The log point; `None` if the owner has no recent sample and the sender should read at the primary.
    #[prost(message, optional, tag = "1")]
    pub point: Option<PointMessage>,
    /// How long before this answer the sample was requested from the primary, in milliseconds, rounded up.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A server's answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerMessage {
    /// Rows, in order.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub rows: Vec<Bytes>,
    /// The proof of a successful statement.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub proof: Option<Bytes>,
    /// The error code as it appears in the log; empty for a success.
    #[prost(string, tag = "3")]
    pub code: String,
    /// The error text.
    #[prost(bytes = "bytes", tag = "4")]
    pub text: Bytes,
    /// State of the transaction: 0 none open, 1 open, 2 failed.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// The server's log point.
    #[prost(message, optional, tag = "6")]
    pub point: Option<PointMessage>,
}

/// Why an owner did not send a request to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// No connection was free in time, the queue is full, or the start deadline has passed.
    TooLate,
    /// The owner can't reach the server.
    Unreachable,
    /// The owner is stopping or does not know the task.
    Unwilling,
    /// More urgent work or the work of other accounts leaves no room in time.
    Overloaded,
    /// The owner's circuit breaker for the server is open.
    SetAside,
}

impl NotSent {
    const ALL: [NotSent; 5] = [
        NotSent::TooLate,
        NotSent::Unreachable,
        NotSent::Unwilling,
        NotSent::Overloaded,
        NotSent::SetAside,
    ];

    /// Returns the number on the wire.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Returns the reason for a number; unknown numbers count as `Unwilling`.
    pub fn from_number(number: u32) -> NotSent {
        NotSent::ALL.get(number as usize).copied().unwrap_or(NotSent::Unwilling)
    }
}

impl From<LogPoint> for PointMessage {
    fn from(point: LogPoint) -> PointMessage {
        PointMessage { term: point.term.0, position: point.position.0 }
    }
}

impl From<PointMessage> for LogPoint {
    fn from(point: PointMessage) -> LogPoint {
        LogPoint { term: Term(point.term), position: Position(point.position) }
    }
}

impl RelayTask {
    /// Converts a task; `None` for tasks that are never forwarded.
    pub fn of(task: &TaskKind) -> Option<RelayTask> {
        Some(match task {
            TaskKind::Begin { read_only } => RelayTask::Begin(*read_only),
            TaskKind::Rollback => RelayTask::Rollback(true),
            TaskKind::Statement(EndpointStatement::Commit) => RelayTask::Commit(true),
            TaskKind::Statement(EndpointStatement::Read(body)) => RelayTask::Read(body.clone()),
            TaskKind::Statement(EndpointStatement::Write(body)) => RelayTask::Write(body.clone()),
            TaskKind::Statement(EndpointStatement::Execute { statement, arguments }) => {
                RelayTask::Execute(ExecuteMessage {
                    writes: statement.class == StatementClass::Write,
                    text: statement.text.to_string(),
                    arguments: arguments.clone(),
                })
            }
            TaskKind::Command(operation) => RelayTask::Command(CommandMessage::of(operation)?),
        })
    }

    fn task(&self) -> Option<TaskKind> {
        Some(match self {
            RelayTask::Begin(read_only) => TaskKind::Begin { read_only: *read_only },
            RelayTask::Rollback(_) => TaskKind::Rollback,
            RelayTask::Commit(_) => TaskKind::Statement(EndpointStatement::Commit),
            RelayTask::Read(body) => TaskKind::Statement(EndpointStatement::Read(body.clone())),
            RelayTask::Write(body) => TaskKind::Statement(EndpointStatement::Write(body.clone())),
            RelayTask::Execute(execute) => TaskKind::Statement(EndpointStatement::Execute {
                statement: PreparedStatement {
                    class: match execute.writes {
                        true => StatementClass::Write,
                        false => StatementClass::Read,
                    },
                    text: Name::from(execute.text.as_str()),
                },
                arguments: execute.arguments.clone(),
            }),
            RelayTask::Command(command) => TaskKind::Command(command.operation()?),
            RelayTask::Release(_)
            | RelayTask::Ping(_)
            | RelayTask::Sample(_)
            | RelayTask::Vote(_)
            | RelayTask::RequestQuota(_) => return None,
        })
    }
}

impl CommandMessage {
    fn of(operation: &EndpointOperation) -> Option<CommandMessage> {
        let (kind, term) = match operation {
            EndpointOperation::Status => (0, Term(0)),
            EndpointOperation::Pause { term } => (1, *term),
            EndpointOperation::Resume => (2, Term(0)),
            EndpointOperation::StepDown { term } => (3, *term),
            _ => return None,
        };
        Some(CommandMessage { kind, term: term.0 })
    }

    fn operation(self) -> Option<EndpointOperation> {
        let term = Term(self.term);
        Some(match self.kind {
            0 => EndpointOperation::Status,
            1 => EndpointOperation::Pause { term },
            2 => EndpointOperation::Resume,
            3 => EndpointOperation::StepDown { term },
            _ => return None,
        })
    }
}

impl RelayRequest {
    /// Converts the request to a task; `None` if it is incomplete or unknown.
    pub fn endpoint_task(&self) -> Option<EndpointTask> {
        let values: SessionValues = self
            .values
            .iter()
            .map(|it| (Name::from(it.name.as_str()), Name::from(it.value.as_str())))
            .collect();
        Some(EndpointTask {
            id: (!self.id.is_empty()).then(|| self.id.clone()),
            kind: self.task.as_ref()?.task()?,
            values,
            min_point: self.min_point.map(LogPoint::from),
        })
    }

    /// Whether running it may change data.
    pub fn may_write(&self) -> bool {
        match &self.task {
            Some(RelayTask::Write(_) | RelayTask::Commit(_) | RelayTask::Command(_)) => true,
            Some(RelayTask::Execute(execute)) => execute.writes,
            _ => false,
        }
    }

    /// Returns the rank of its priority.
    pub fn rank(&self) -> Rank {
        Rank::of_priority(u8::try_from(self.priority).unwrap_or(u8::MAX))
    }

    /// Whether another server may run it: it only reads, is not for the primary, and an alternative is known.
    pub fn has_alternative(&self) -> bool {
        let only_reads = match &self.task {
            Some(RelayTask::Read(_) | RelayTask::Begin(true)) => true,
            Some(RelayTask::Execute(execute)) => !execute.writes,
            _ => false,
        };
        only_reads && !self.at_primary && !self.last_resort
    }

    /// Whether the start deadline has passed at this time of the owner's clock.
    pub fn is_past_start_deadline(&self, clock_ms: u64) -> bool {
        clock_ms >= self.start_deadline_ms
    }

    /// Returns how long it may wait for a connection.
    pub fn wait_limit(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }

    /// Returns how long the sender waits for the answer.
    pub fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_timeout_ms)
    }
}

/// Converts the values of a session.
pub fn values_of(values: &SessionValues) -> Vec<ValueMessage> {
    let pairs = values.iter();
    pairs
        .map(|(name, value)| ValueMessage { name: name.to_string(), value: value.to_string() })
        .collect()
}

impl AnswerMessage {
    /// Converts an answer of a server.
    pub fn of(answer: Answer) -> AnswerMessage {
        let (proof, code, text) = match answer.outcome {
            Outcome::Complete(proof) => (Some(proof), String::new(), Bytes::new()),
            Outcome::Error(error) => (None, error.code.as_str().to_owned(), error.text),
        };
        AnswerMessage {
            rows: answer.rows,
            proof,
            code,
            text,
            state: match answer.state {
                TransactionState::Idle => 0,
                TransactionState::Open => 1,
                TransactionState::Failed => 2,
            },
            point: answer.point.map(PointMessage::from),
        }
    }

    /// Converts the message to an answer; `None` if it is invalid.
    pub fn answer(self) -> Option<Answer> {
        let outcome = match self.proof {
            Some(proof) => Outcome::Complete(proof),
            None => {
                let code = ErrorCode::parse(&self.code)?;
                Outcome::Error(StatementError { code, text: self.text })
            }
        };
        let state = match self.state {
            0 => TransactionState::Idle,
            1 => TransactionState::Open,
            2 => TransactionState::Failed,
            _ => return None,
        };
        Some(Answer { rows: self.rows, outcome, state, point: self.point.map(LogPoint::from) })
    }
}
