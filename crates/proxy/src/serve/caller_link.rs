//! The connection of one caller: decodes incoming messages and encodes answers.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use model::LogPoint;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    dialect::{CallerDialect, CallerMessage, CallerReply},
    statement::{Answer, Outcome, StatementError, TransactionState},
};

const READ_RESERVE_BYTES: usize = 2 * 1024;
/// How long a caller may take to read an answer before its connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller has disconnected or does not read its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// A caller's socket with its read and write buffers.
pub struct CallerLink<C> {
    dialect: C,
    stream: TcpStream,
    incoming: BytesMut,
    outgoing: BytesMut,
}

impl<C: CallerDialect> CallerLink<C> {
    /// Creates a link over an accepted connection.
    pub fn new(stream: TcpStream, dialect: C) -> CallerLink<C> {
        // Failure only delays answers.
        let _ = stream.set_nodelay(true);
        CallerLink { dialect, stream, incoming: BytesMut::new(), outgoing: BytesMut::new() }
    }

    /// Whether the read buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.incoming.is_empty()
    }

    /// Decodes the next complete message from the read buffer, if there is one.
    pub fn take_message(&mut self) -> Result<Option<CallerMessage>, StatementError> {
        if self.incoming.is_empty() {
            return Ok(None);
        }
        self.dialect.decode(&mut self.incoming).map_err(|error| error.0)
    }

    /// Reads more bytes into the buffer. Cancel safe.
    pub async fn read(&mut self) -> Result<(), CallerGone> {
        self.incoming.reserve(READ_RESERVE_BYTES);
        match self.stream.read_buf(&mut self.incoming).await {
            Ok(0) | Err(_) => Err(CallerGone),
            Ok(_) => Ok(()),
        }
    }

    /// Reads a complete message. A message that can't be decoded is answered with an error and returns
    /// [`CallerGone`].
    pub async fn read_message(&mut self) -> Result<CallerMessage, CallerGone> {
        loop {
            match self.take_message() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => self.read().await?,
                Err(error) => {
                    self.put_error(error);
                    self.flush().await?;
                    return Err(CallerGone);
                }
            }
        }
    }

    /// Appends an answer to the write buffer.
    pub fn put_answer(&mut self, answer: Answer) {
        for row in answer.rows {
            self.put(&CallerReply::Row(row));
        }
        match answer.outcome {
            Outcome::Complete(proof) => {
                let proof = Some(proof).filter(|proof: &Bytes| !proof.is_empty());
                self.put(&CallerReply::Complete(proof));
            }
            Outcome::Error(error) => self.put_error(error),
        }
        self.put_ready(answer.state, answer.point);
    }

    /// Appends an error to the write buffer.
    pub fn put_error(&mut self, error: StatementError) {
        self.put(&CallerReply::Error(error));
    }

    /// Appends the message that the session is ready for the next request.
    pub fn put_ready(&mut self, state: TransactionState, point: Option<LogPoint>) {
        self.put(&CallerReply::Ready { state, point });
    }

    fn put(&mut self, reply: &CallerReply) {
        self.dialect.encode(reply, &mut self.outgoing);
    }

    /// Sends the write buffer, in a single write if the socket accepts it.
    pub async fn flush(&mut self) -> Result<(), CallerGone> {
        let outgoing = self.outgoing.split();
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&outgoing)).await;
        self.outgoing = BytesMut::new();
        match written {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    /// Frees the memory of an empty read buffer while the session is idle.
    pub fn release_buffer(&mut self) {
        if self.incoming.is_empty() {
            self.incoming = BytesMut::new();
        }
    }
}
