//! The wires, as the engine sees them: typed messages in, typed messages out.

use std::fmt;

use bytes::{Bytes, BytesMut};
use model::{LogPoint, Name};

use crate::{
    accounts::AccountKey,
    statement::{EndpointCommand, EndpointStatus, Request, StatementError, TransactionState},
};

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// The first message of a connection.
    Startup {
        /// The database that the caller names.
        database: Name,
        /// What it shows to be of a client account.
        key: AccountKey,
    },
    /// A request.
    Request(Request),
    /// A message that can't be understood; the connection can go on after it.
    Invalid {
        /// Why.
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
    /// A success, with the server's proof; `None` for what the engine answers itself.
    Complete(Option<Bytes>),
    /// A failure.
    Error(StatementError),
    /// The end of an answer.
    Ready {
        /// Where the session stands.
        state: TransactionState,
        /// The point of the server's log, where one answered.
        point: Option<LogPoint>,
    },
}

/// A message of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointMessage {
    /// A row.
    Row(Bytes),
    /// A success, with the server's proof.
    Complete(Bytes),
    /// A failure.
    Error(StatementError),
    /// The end of an answer.
    Ready {
        /// Where the server's session stands.
        state: TransactionState,
        /// The point of its log.
        point: Option<LogPoint>,
    },
}

/// Bytes that can't be read on; the connection they came from must end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(pub StatementError);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.0.code.as_str(), String::from_utf8_lossy(&self.0.text))
    }
}

impl std::error::Error for WireError {}

/// What a new connection tells the server that it wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStartup {
    /// The service.
    pub service: Name,
    /// Who connects: a client account's name, or the host's for work of no account.
    pub client: Name,
    /// The server that must answer; another at the same address refuses.
    pub server: Name,
}

/// The wire that callers speak.
pub trait CallerDialect: Clone + 'static {
    /// Takes one message from the buffer; `None` while it is not whole.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, WireError>;
    /// Adds a reply to the buffer.
    fn encode(&self, reply: &CallerReply, buffer: &mut BytesMut);
}

/// The wire that servers speak.
pub trait EndpointDialect: Clone + 'static {
    /// Adds the first message of a connection to the buffer.
    fn encode_startup(&self, startup: &EndpointStartup, buffer: &mut BytesMut);
    /// Adds a command to the buffer.
    fn encode(&self, command: &EndpointCommand, buffer: &mut BytesMut);
    /// Takes one message from the buffer; `None` while it is not whole.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<EndpointMessage>, WireError>;
    /// Reads the row that answers a status query, a pause or a step down; `None` if it is no such row.
    fn decode_status(&self, row: &[u8]) -> Option<EndpointStatus>;
}
