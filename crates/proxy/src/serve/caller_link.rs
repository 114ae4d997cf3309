//! The socket of one caller: its bytes as messages in, answers as bytes out.

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

/// The room that a read from a caller gets.
const READ_RESERVE_BYTES: usize = 2 * 1024;
/// How long a caller may take to read an answer before its connection is ended.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller is gone, or does not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// A caller's socket with what was read and not taken, and what is put and not sent.
pub struct CallerLink<C> {
    dialect: C,
    stream: TcpStream,
    incoming: BytesMut,
    outgoing: BytesMut,
}

impl<C: CallerDialect> CallerLink<C> {
    /// Makes a link over an accepted connection.
    pub fn new(stream: TcpStream, dialect: C) -> CallerLink<C> {
        // Without it answers only go out a little later.
        let _ = stream.set_nodelay(true);
        CallerLink { dialect, stream, incoming: BytesMut::new(), outgoing: BytesMut::new() }
    }

    /// Whether nothing that was read waits to be taken.
    pub fn is_empty(&self) -> bool {
        self.incoming.is_empty()
    }

    /// Takes a message that was read whole, if there is one.
    pub fn take_message(&mut self) -> Result<Option<CallerMessage>, StatementError> {
        if self.incoming.is_empty() {
            return Ok(None);
        }
        self.dialect.decode(&mut self.incoming).map_err(|error| error.0)
    }

    /// Waits for more bytes; nothing is lost when the wait is given up.
    pub async fn read(&mut self) -> Result<(), CallerGone> {
        self.incoming.reserve(READ_RESERVE_BYTES);
        match self.stream.read_buf(&mut self.incoming).await {
            Ok(0) | Err(_) => Err(CallerGone),
            Ok(_) => Ok(()),
        }
    }

    /// Waits for a whole message. One that can't be read is answered, and the caller counts as gone.
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

    /// Adds an answer to what the next flush sends.
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

    /// Adds an error.
    pub fn put_error(&mut self, error: StatementError) {
        self.put(&CallerReply::Error(error));
    }

    /// Adds the word that the session is ready for more.
    pub fn put_ready(&mut self, state: TransactionState, point: Option<LogPoint>) {
        self.put(&CallerReply::Ready { state, point });
    }

    fn put(&mut self, reply: &CallerReply) {
        self.dialect.encode(reply, &mut self.outgoing);
    }

    /// Sends what was put, in one write where the socket takes it.
    pub async fn flush(&mut self) -> Result<(), CallerGone> {
        let outgoing = self.outgoing.split();
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&outgoing)).await;
        self.outgoing = BytesMut::new();
        match written {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    /// Gives the read buffer's memory back while the session rests.
    pub fn release_buffer(&mut self) {
        if self.incoming.is_empty() {
            self.incoming = BytesMut::new();
        }
    }
}
