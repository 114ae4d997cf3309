//! Callers' statements, commands to servers and their answers, independent of the wire protocols.

use bytes::Bytes;
use model::{LogPoint, Name, StatementClass, Term};

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's identifier, forwarded unchanged so that logs of servers and callers can be matched.
    pub id: Bytes,
    /// The statement to run.
    pub statement: Statement,
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether it is read-only, so that a replica may run it.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads data.
    Read {
        /// The text after the verb, unchanged.
        body: Bytes,
    },
    /// Writes data.
    Write {
        /// The text after the verb, unchanged.
        body: Bytes,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: Name,
        /// The prepared statement.
        statement: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Its name within the session.
        name: Name,
        /// The text after the name, unchanged.
        arguments: Bytes,
    },
    /// Discards a prepared statement.
    Deallocate {
        /// The name.
        name: Name,
    },
}

/// A prepared statement. Sessions that prepare the same one share it on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub class: StatementClass,
    /// The statement's text.
    pub text: Name,
}

/// The transaction state of a session between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed and has not been ended yet.
    Failed,
}

/// The code of an error, both in answers of servers and in replies to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorCode {
    /// No capacity; the statement was not run.
    Overloaded,
    /// The transaction was aborted and none of its writes are kept.
    Aborted,
    /// The server's log has not reached the required point; not run.
    NotFresh,
    /// The server is not the primary; not run.
    NotPrimary,
    /// The server is not the expected one; not run.
    WrongServer,
    /// The server accepts no more connections; not run.
    TooManyConnections,
    /// The prepared statement is unknown; not run.
    UnknownStatement,
    /// The statement ran and failed.
    Failed,
    /// The statement timed out and may have run.
    TimedOut,
    /// Whether the statement took effect is unknown.
    InDoubt,
    /// The database is unknown.
    UnknownDatabase,
    /// The message is malformed.
    Malformed,
    /// The message is larger than allowed.
    TooLarge,
    /// The caller is not permitted to do this.
    Forbidden,
}

impl ErrorCode {
    /// Returns whether a server that answers this code has not run the statement.
    pub fn was_not_run(self) -> bool {
        matches!(
            self,
            ErrorCode::Overloaded
                | ErrorCode::NotFresh
                | ErrorCode::NotPrimary
                | ErrorCode::WrongServer
                | ErrorCode::TooManyConnections
                | ErrorCode::UnknownStatement
        )
    }

    const ALL: [ErrorCode; 14] = [
        ErrorCode::Overloaded,
        ErrorCode::Aborted,
        ErrorCode::NotFresh,
        ErrorCode::NotPrimary,
        ErrorCode::WrongServer,
        ErrorCode::TooManyConnections,
        ErrorCode::UnknownStatement,
        ErrorCode::Failed,
        ErrorCode::TimedOut,
        ErrorCode::InDoubt,
        ErrorCode::UnknownDatabase,
        ErrorCode::Malformed,
        ErrorCode::TooLarge,
        ErrorCode::Forbidden,
    ];

    /// Returns the code with this name, as sent between daemons.
    pub fn parse(name: &str) -> Option<ErrorCode> {
        ErrorCode::ALL.into_iter().find(|code| code.as_str() == name)
    }

    /// Returns the code's name in logs, metrics and messages between daemons.
    pub fn as_str(self) -> &'static str {
        match self {
            ErrorCode::Overloaded => "overloaded",
            ErrorCode::Aborted => "aborted",
            ErrorCode::NotFresh => "not_fresh",
            ErrorCode::NotPrimary => "not_primary",
            ErrorCode::WrongServer => "wrong_server",
            ErrorCode::TooManyConnections => "too_many_connections",
            ErrorCode::UnknownStatement => "unknown_statement",
            ErrorCode::Failed => "failed",
            ErrorCode::TimedOut => "timed_out",
            ErrorCode::InDoubt => "in_doubt",
            ErrorCode::UnknownDatabase => "unknown_database",
            ErrorCode::Malformed => "malformed",
            ErrorCode::TooLarge => "too_large",
            ErrorCode::Forbidden => "forbidden",
        }
    }
}

/// An error with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementError {
    /// The code.
    pub code: ErrorCode,
    /// A short explanation for the caller's log.
    pub text: Bytes,
}

impl StatementError {
    /// Creates an error with a fixed text.
    pub fn new(code: ErrorCode, text: &'static str) -> StatementError {
        StatementError { code, text: Bytes::from_static(text.as_bytes()) }
    }

    /// Creates an error for a request that was not run, with the delay before a retry.
    pub fn with_retry_delay(code: ErrorCode, why: &str, retry_after_ms: u64) -> StatementError {
        let text = format!("{why}; retry after {retry_after_ms} ms");
        StatementError { code, text: Bytes::from(text) }
    }
}

/// The outcome of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded, with the server's proof of it: opaque bytes that are passed on to the caller.
    Complete(Bytes),
    /// It failed.
    Error(StatementError),
}

/// The complete answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The rows, in the order in which the server returned them.
    pub rows: Vec<Bytes>,
    /// The statement's outcome.
    pub outcome: Outcome,
    /// The session's transaction state after it.
    pub state: TransactionState,
    /// The server's log point after it.
    pub point: Option<LogPoint>,
}

impl Answer {
    /// Returns the error's code; `None` for a success.
    pub fn error_code(&self) -> Option<ErrorCode> {
        match &self.outcome {
            Outcome::Complete(_) => None,
            Outcome::Error(error) => Some(error.code),
        }
    }
}

/// An operation that a server is asked to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointOperation {
    /// Begins a transaction.
    Begin {
        /// Whether it is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A caller's read.
    Read(Bytes),
    /// A caller's write.
    Write(Bytes),
    /// Sets a value of the server's session.
    Set {
        /// The value's name.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Prepares a statement under a number of the connection.
    Prepare {
        /// The number.
        number: u32,
        /// The statement.
        statement: PreparedStatement,
    },
    /// Runs the statement that was prepared under a number.
    Execute {
        /// The number.
        number: u32,
        /// The caller's arguments, unchanged.
        arguments: Bytes,
    },
    /// Discards the values and prepared statements that the server holds for the connection.
    Reset,
    /// Asks for the server's status.
    Status,
    /// Pauses a replica's replication until it is resumed or a new term begins.
    Pause {
        /// A term later than every known one.
        term: Term,
    },
    /// Ends a pause.
    Resume,
    /// Demotes a primary of a lower term to a replica.
    StepDown {
        /// The term.
        term: Term,
    },
}

/// A command to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCommand {
    /// The caller's identifier; `None` for the engine's own commands.
    pub id: Option<Bytes>,
    /// The log point that the server must have reached; otherwise it answers [`ErrorCode::NotFresh`].
    pub min_point: Option<LogPoint>,
    /// The operation to run.
    pub operation: EndpointOperation,
}

impl EndpointCommand {
    /// Creates a command of the engine itself.
    pub fn internal(operation: EndpointOperation) -> EndpointCommand {
        EndpointCommand { id: None, min_point: None, operation }
    }
}

/// The status that a server reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Whether it regards itself as the primary.
    pub leads: bool,
    /// The latest term that it knows.
    pub term: Term,
    /// The last log point that it has received.
    pub received: LogPoint,
    /// The term that it is paused for; 0 when it is not paused.
    pub paused_for: Term,
    /// How far the data that it serves lags behind the log that it has received, in milliseconds.
    pub lag_ms: u64,
    /// The number of open connections to it, from all clients.
    pub connections: u32,
}
