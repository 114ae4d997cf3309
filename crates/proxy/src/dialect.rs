//! The wire protocols of callers and servers, as typed messages.

use std::fmt;

use bytes::{Bytes, BytesMut};
use model::{LogPoint, Name};

use crate::{
    accounts::AccountKey,
    statement::{EndpointCommand, EndpointStatus, Request, StatementError, TransactionState},
};

/// A message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// The first message of a connection.
    Startup {
        /// The database that the caller names.
        database: Name,
        /// The key of its client account; empty if it sends none.
        key: AccountKey,
    },
    /// A request.
    Request(Request),
    /// A malformed message after which the connection remains usable.
    Invalid {
        /// The error that describes it.
        error: StatementError,
    },
    /// The caller ends the connection.
    Terminate,
}

/// A message to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// A row.
    Row(Bytes),
    /// A success, with the proof that the server returned; `None` if the engine itself answered.
    Complete(Option<Bytes>),
    /// A failure.
    Error(StatementError),
    /// The end of an answer.
    Ready {
        /// The session's transaction state.
        state: TransactionState,
        /// The log point of the server, if one answered.
        point: Option<LogPoint>,
    },
}

/// A message from a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointMessage {
    /// A row.
    Row(Bytes),
    /// A success, with the server's proof of it: opaque bytes that are passed on to the caller.
    Complete(Bytes),
    /// A failure.
    Error(StatementError),
    /// The end of an answer.
    Ready {
        /// The transaction state of the server's session.
        state: TransactionState,
        /// The server's log point.
        point: Option<LogPoint>,
    },
}

/// The error for bytes that can't be decoded. The connection that they came from must be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(pub StatementError);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.0.code.as_str(), String::from_utf8_lossy(&self.0.text))
    }
}

impl std::error::Error for WireError {}

/// The content of the first message on a connection to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStartup {
    /// The service.
    pub service: Name,
    /// The name of the client: a client account's, or the daemon's host for work without an account.
    pub client: Name,
    /// The identity of the expected server; another server at the same address refuses.
    pub server: Name,
}

/// The wire protocol of callers.
pub trait CallerDialect: Clone + 'static {
    /// Removes one message from the buffer; `None` while it is incomplete.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, WireError>;
    /// Appends a reply to the buffer.
    fn encode(&self, reply: &CallerReply, buffer: &mut BytesMut);
}

/// The wire protocol of servers.
pub trait EndpointDialect: Clone + 'static {
    /// Appends the first message of a connection to the buffer.
    fn encode_startup(&self, startup: &EndpointStartup, buffer: &mut BytesMut);
    /// Appends a command to the buffer.
    fn encode(&self, command: &EndpointCommand, buffer: &mut BytesMut);
    /// Removes one message from the buffer; `None` while it is incomplete.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<EndpointMessage>, WireError>;
    /// Decodes the row that answers a status query, a pause or a step-down; `None` if it is another row.
    fn decode_status(&self, row: &[u8]) -> Option<EndpointStatus>;
}
