//! What callers ask and what servers answer, as types that no wire shows through.

use bytes::Bytes;
use model::{LogPoint, Name, StatementClass, Term};

/// A caller's request with the identifier under which it asks for the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Passed on unchanged, so that a server's log and the caller's name the same request.
    pub id: Bytes,
    /// What is asked.
    pub statement: Statement,
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads, so that a replica may run it.
        read_only: bool,
    },
    /// Ends a transaction, keeping what it wrote.
    Commit,
    /// Ends a transaction, dropping what it wrote.
    Rollback,
    /// Reads something.
    Read {
        /// What follows the verb, unchanged.
        body: Bytes,
    },
    /// Writes something.
    Write {
        /// What follows the verb, unchanged.
        body: Bytes,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Gives a statement a name within the session.
    Prepare {
        /// The name.
        name: Name,
        /// What it stands for.
        shape: PreparedShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Its name within the session.
        name: Name,
        /// What follows the name, unchanged.
        arguments: Bytes,
    },
    /// Forgets a prepared name.
    Deallocate {
        /// The name.
        name: Name,
    },
}

/// What a prepared name stands for; sessions that prepare the same share it on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub class: StatementClass,
    /// The statement itself.
    pub shape: Name,
}

/// Where a session stands between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed and waits for its end.
    Failed,
}

/// What an error says; the same codes come from servers and go to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorCode {
    /// No capacity; the statement was not run.
    Overloaded,
    /// Nothing of the transaction is kept.
    Aborted,
    /// The server's log lacks the position that was asked for; not run.
    NotFresh,
    /// The server does not lead; not run.
    NotPrimary,
    /// The server is another one than was expected; not run.
    WrongServer,
    /// The server has no connection left; not run.
    TooManyConnections,
    /// The prepared name is not known; not run.
    UnknownStatement,
    /// It ran and failed.
    Failed,
    /// It took too long and may have run.
    TimedOut,
    /// Whether it took effect is not known.
    InDoubt,
    /// The database is not known.
    UnknownDatabase,
    /// The message can't be understood.
    Malformed,
    /// The message is larger than allowed.
    TooLarge,
    /// The caller may not do this.
    Forbidden,
}

impl ErrorCode {
    /// Whether a server that answers this has not run the statement.
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

    /// Returns the code that is written as this word, between daemons.
    pub fn parse(word: &str) -> Option<ErrorCode> {
        ErrorCode::ALL.into_iter().find(|code| code.as_str() == word)
    }

    /// Returns the word used in logs, in metrics and between daemons.
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
    /// One phrase for whoever reads the caller's log.
    pub text: Bytes,
}

impl StatementError {
    /// Joins a code and a fixed phrase.
    pub fn new(code: ErrorCode, text: &'static str) -> StatementError {
        StatementError { code, text: Bytes::from_static(text.as_bytes()) }
    }

    /// An error of a request that was not run, with when to come back.
    pub fn with_retry_delay(code: ErrorCode, why: &str, retry_after_ms: u64) -> StatementError {
        let text = format!("{why}; retry after {retry_after_ms} ms");
        StatementError { code, text: Bytes::from(text) }
    }
}

/// How a statement ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded, with the server's proof of it.
    Complete(Bytes),
    /// It failed.
    Error(StatementError),
}

/// The whole answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows, in order.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub outcome: Outcome,
    /// Where the session stands after it.
    pub state: TransactionState,
    /// The point of the server's log after it.
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

/// What the engine asks of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointOperation {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Ends a transaction, keeping what it wrote.
    Commit,
    /// Ends a transaction, dropping what it wrote.
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
    /// Prepares a shape under a number of this connection.
    Prepare {
        /// The number.
        number: u32,
        /// The shape.
        shape: PreparedShape,
    },
    /// Runs what was prepared under a number.
    Execute {
        /// The number.
        number: u32,
        /// The caller's arguments, unchanged.
        arguments: Bytes,
    },
    /// Discards values and prepared names.
    Reset,
    /// Asks for the server's status.
    Status,
    /// Keeps a replica from receiving until it is resumed or a term begins.
    Pause {
        /// A term above every one seen.
        term: Term,
    },
    /// Ends a pause.
    Resume,
    /// Turns a primary of a lower term into a replica.
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
    /// The point that the server's log must hold, else it answers [`ErrorCode::NotFresh`].
    pub min_point: Option<LogPoint>,
    /// What is asked.
    pub operation: EndpointOperation,
}

impl EndpointCommand {
    /// A command of the engine's own.
    pub fn internal(operation: EndpointOperation) -> EndpointCommand {
        EndpointCommand { id: None, min_point: None, operation }
    }
}

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Whether it believes that it leads.
    pub leads: bool,
    /// The term that it knows.
    pub term: Term,
    /// The last point that it has received.
    pub received: LogPoint,
    /// The term that it is paused for; 0 when it is not paused.
    pub paused_for: Term,
    /// How far what it shows lags behind what it has received, in milliseconds.
    pub lag_ms: u64,
    /// Connections open to it from everybody.
    pub connections: u32,
}
