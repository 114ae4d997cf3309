//! What passes between a daemon and the owner of the connections that it uses.

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
        job::Work,
        replay::SessionValues,
    },
    statement::{
        Answer, EndpointText, ErrorCode, Outcome, PreparedShape, StatementError, TransactionState,
    },
};

/// A statement, or what goes with the statements of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RelayRequest {
    /// Names the request on its link; the answer names it too.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The transaction that it belongs to, as the asker numbers them; 0 for a statement by itself.
    #[prost(uint64, tag = "2")]
    pub transaction: u64,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The server that is to run it.
    #[prost(string, tag = "4")]
    pub server: String,
    /// The caller's identifier, passed on unchanged; empty for what the daemon itself asks.
    #[prost(bytes = "bytes", tag = "5")]
    pub id: Bytes,
    /// The values of the caller's session.
    #[prost(message, repeated, tag = "6")]
    pub values: Vec<ValueMessage>,
    /// The point that the server's log must hold.
    #[prost(message, optional, tag = "7")]
    pub min_point: Option<PointMessage>,
    /// How long it may wait for a connection, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub wait_ms: u64,
    /// How long its answer is of use, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub answer_timeout_ms: u64,
    /// The most urgent is 0.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Whether the asker takes the server for the primary.
    #[prost(bool, tag = "11")]
    pub at_primary: bool,
    /// Whether it leaves room at the primary for statements that only the primary can run.
    #[prost(bool, tag = "12")]
    pub yields: bool,
    /// By the owner's clock, as its answers tell it, until when the owner may begin with it at the server.
    #[prost(uint64, tag = "22")]
    pub start_deadline_ms: u64,
    /// The client account for whom it runs; empty for none.
    #[prost(string, tag = "24")]
    pub account: String,
    /// How often the operation was sent to a server or an owner before, over all daemons.
    #[prost(uint32, tag = "27")]
    pub previous_attempts: u32,
    /// Whether the asker knows no other server that could run it, so that one which is set aside does.
    #[prost(bool, tag = "31")]
    pub last_resort: bool,
    /// What is to be done; none if it is of a later version than this daemon knows.
    #[prost(oneof = "RelayTask", tags = "13, 14, 15, 16, 17, 18, 19, 20, 21, 23, 25, 26")]
    pub task: Option<RelayTask>,
}

/// What is to be done.
#[derive(Clone, PartialEq, Oneof)]
pub enum RelayTask {
    /// Open a transaction; the value says whether it only reads.
    #[prost(bool, tag = "13")]
    Begin(bool),
    /// Roll the transaction back.
    #[prost(bool, tag = "14")]
    Rollback(bool),
    /// Commit it.
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
    /// Ask for the server's status, or give it a command and ask for that.
    #[prost(message, tag = "19")]
    Command(CommandMessage),
    /// The transaction is over: its connection goes to others. Nothing is answered. `false` if the connection
    /// must be rolled back first, since the asker does not know how the transaction stands. Without a transaction the
    /// statement of the same number is wanted no more: if it waits, it does not begin.
    #[prost(bool, tag = "20")]
    Release(bool),
    /// Only says that the owner lives.
    #[prost(bool, tag = "21")]
    Ping(bool),
    /// Tell where the server's log stood when it was asked as the primary, not longer ago than so many milliseconds.
    #[prost(uint64, tag = "23")]
    Sample(u64),
    /// Vote for the asker as the keeper of the accounts' limits.
    #[prost(message, tag = "25")]
    Vote(VoteRequestMessage),
    /// Lend operations of the account's limit.
    #[prost(message, tag = "26")]
    RequestQuota(QuotaRequestMessage),
}

/// A value of a session.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ValueMessage {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// A point of a log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PointMessage {
    /// The term.
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
    /// What was prepared.
    #[prost(string, tag = "2")]
    pub shape: String,
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
    /// The term that a pause or a step down is for.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// What became of a request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayAnswer {
    /// The request's number; 0 for the first answer on a link, which says that the owner takes it.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The owner's steady clock as it made the answer, in milliseconds since its process began, rounded down.
    #[prost(uint64, tag = "6")]
    pub clock_ms: u64,
    /// The load of the server that the request named, as it is now; none if the answer is about no server.
    #[prost(message, optional, tag = "10")]
    pub load: Option<LoadMessage>,
    /// When asking again may help, in milliseconds from now; 0 if that is not known.
    #[prost(uint64, tag = "11")]
    pub retry_delay_ms: u64,
    /// What became of it.
    #[prost(oneof = "RelayOutcome", tags = "2, 3, 4, 5, 7, 8, 9")]
    pub outcome: Option<RelayOutcome>,
}

/// What became of a request.
#[derive(Clone, PartialEq, Oneof)]
pub enum RelayOutcome {
    /// The server answered.
    #[prost(message, tag = "2")]
    Answered(AnswerMessage),
    /// Nothing was sent to the server, and why: the number of a [`NotSent`].
    #[prost(uint32, tag = "3")]
    NotSent(u32),
    /// It was sent and no answer came; why, for the log.
    #[prost(string, tag = "4")]
    Lost(String),
    /// The owner lives.
    #[prost(bool, tag = "5")]
    Pong(bool),
    /// Where the primary's log stood.
    #[prost(message, tag = "7")]
    Sampled(SampledMessage),
    /// Whether the asker has the vote.
    #[prost(message, tag = "8")]
    Voted(VoteAnswerMessage),
    /// What was lent.
    #[prost(message, tag = "9")]
    QuotaGranted(QuotaGrantMessage),
}

/// Where a primary's log stood, if the owner knows.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SampledMessage {
    /// The point; none if the owner has no sample that is young enough, so that the asker has to ask the primary.
    #[prost(message, optional, tag = "1")]
    pub point: Option<PointMessage>,
    /// How long before this answer the primary was asked, in milliseconds, rounded up.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A server's answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerMessage {
    /// Rows, in order.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub rows: Vec<Bytes>,
    /// The proof of a success.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub proof: Option<Bytes>,
    /// The error's code, as the log writes it; empty for a success.
    #[prost(string, tag = "3")]
    pub code: String,
    /// The error's text.
    #[prost(bytes = "bytes", tag = "4")]
    pub text: Bytes,
    /// 0 no transaction is open, 1 one is, 2 one has failed.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Where the server's log stood.
    #[prost(message, optional, tag = "6")]
    pub point: Option<PointMessage>,
}

/// Why an owner sent nothing to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// No connection was free in time, too much waits already, or the time to begin with it was over.
    TooLate,
    /// The server can't be reached from there.
    Unreachable,
    /// The owner stops, or does not understand what it is asked.
    Unwilling,
    /// More urgent work and that of other accounts leave no room in time; told at once.
    Overloaded,
    /// The server fails much of what it is given and is set aside for now.
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

    /// Returns the number by which it is told.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Returns what a number tells; whatever is of a later version counts as unwilling.
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
    /// Returns how a task is told; `None` for what daemons never ask each other.
    pub fn of(task: &TaskKind) -> Option<RelayTask> {
        Some(match task {
            TaskKind::Begin { read_only } => RelayTask::Begin(*read_only),
            TaskKind::Rollback => RelayTask::Rollback(true),
            TaskKind::Work(Work::Commit) => RelayTask::Commit(true),
            TaskKind::Work(Work::Read(body)) => RelayTask::Read(body.clone()),
            TaskKind::Work(Work::Write(body)) => RelayTask::Write(body.clone()),
            TaskKind::Work(Work::Execute { shape, arguments }) => {
                RelayTask::Execute(ExecuteMessage {
                    writes: shape.class == StatementClass::Write,
                    shape: shape.shape.to_string(),
                    arguments: arguments.clone(),
                })
            }
            TaskKind::Command(text) => RelayTask::Command(CommandMessage::of(text)?),
        })
    }

    fn task(&self) -> Option<TaskKind> {
        Some(match self {
            RelayTask::Begin(read_only) => TaskKind::Begin { read_only: *read_only },
            RelayTask::Rollback(_) => TaskKind::Rollback,
            RelayTask::Commit(_) => TaskKind::Work(Work::Commit),
            RelayTask::Read(body) => TaskKind::Work(Work::Read(body.clone())),
            RelayTask::Write(body) => TaskKind::Work(Work::Write(body.clone())),
            RelayTask::Execute(execute) => TaskKind::Work(Work::Execute {
                shape: PreparedShape {
                    class: match execute.writes {
                        true => StatementClass::Write,
                        false => StatementClass::Read,
                    },
                    shape: Name::from(execute.shape.as_str()),
                },
                arguments: execute.arguments.clone(),
            }),
            RelayTask::Command(command) => TaskKind::Command(command.text()?),
            RelayTask::Release(_)
            | RelayTask::Ping(_)
            | RelayTask::Sample(_)
            | RelayTask::Vote(_)
            | RelayTask::RequestQuota(_) => return None,
        })
    }
}

impl CommandMessage {
    fn of(text: &EndpointText) -> Option<CommandMessage> {
        let (kind, term) = match text {
            EndpointText::Status => (0, Term(0)),
            EndpointText::Pause { term } => (1, *term),
            EndpointText::Resume => (2, Term(0)),
            EndpointText::StepDown { term } => (3, *term),
            _ => return None,
        };
        Some(CommandMessage { kind, term: term.0 })
    }

    fn text(self) -> Option<EndpointText> {
        let term = Term(self.term);
        Some(match self.kind {
            0 => EndpointText::Status,
            1 => EndpointText::Pause { term },
            2 => EndpointText::Resume,
            3 => EndpointText::StepDown { term },
            _ => return None,
        })
    }
}

impl RelayRequest {
    /// Returns what is to be run; `None` if it can't be understood.
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

    /// Whether running it may change something for good.
    pub fn may_write(&self) -> bool {
        match &self.task {
            Some(RelayTask::Write(_) | RelayTask::Commit(_) | RelayTask::Command(_)) => true,
            Some(RelayTask::Execute(execute)) => execute.writes,
            _ => false,
        }
    }

    /// Returns how urgent it is.
    pub fn rank(&self) -> Rank {
        Rank::of_priority(u8::try_from(self.priority).unwrap_or(u8::MAX))
    }

    /// Whether another server may do as well: it only reads, and not at the primary for want of a replica.
    pub fn may_go_elsewhere(&self) -> bool {
        let only_reads = match &self.task {
            Some(RelayTask::Read(_) | RelayTask::Begin(true)) => true,
            Some(RelayTask::Execute(execute)) => !execute.writes,
            _ => false,
        };
        only_reads && !self.at_primary && !self.last_resort
    }

    /// Whether the owner may not begin with it any more at this time of its clock.
    pub fn is_past_start(&self, clock_ms: u64) -> bool {
        clock_ms >= self.start_deadline_ms
    }

    /// Returns how long it may wait for a connection.
    pub fn wait_limit(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }

    /// Returns how long its answer is of use.
    pub fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_timeout_ms)
    }
}

/// Returns the values as they are told.
pub fn values_of(values: &SessionValues) -> Vec<ValueMessage> {
    let told = values.iter();
    told.map(|(name, value)| ValueMessage { name: name.to_string(), value: value.to_string() })
        .collect()
}

impl AnswerMessage {
    /// Returns how an answer is told.
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

    /// Returns the answer; `None` if it can't be understood.
    pub fn answer(self) -> Option<Answer> {
        let outcome = match self.proof {
            Some(proof) => Outcome::Complete(proof),
            None => {
                let code = ErrorCode::from_word(&self.code)?;
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
