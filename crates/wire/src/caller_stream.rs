//! The messages of one caller's connection.

use std::{collections::BTreeMap, fmt, io, sync::Arc};

use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage, response::SslResponse, startup::NegotiateProtocolVersion,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_rustls::TlsAcceptor;

use crate::CallerSocket;

/// How much is read at a time.
const READ_BYTES: usize = 16 * 1024;

/// While a request runs, no more than this is read ahead of it.
const READ_AHEAD_BYTES: usize = 1024 * 1024;

/// Why a connection ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// The caller closed it.
    Closed,
    /// The socket failed.
    Io(io::Error),
    /// The caller broke the protocol.
    Protocol(String),
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamEnd::Closed => f.write_str("the caller closed the connection"),
            StreamEnd::Io(error) => write!(f, "the caller's socket failed: {error}"),
            StreamEnd::Protocol(detail) => write!(f, "the caller broke the protocol: {detail}"),
        }
    }
}

impl std::error::Error for StreamEnd {}

impl From<io::Error> for StreamEnd {
    fn from(error: io::Error) -> StreamEnd {
        StreamEnd::Io(error)
    }
}

/// What a caller's first messages ask for.
#[derive(Debug)]
pub enum StartupRequest {
    /// A session, with the parameters given.
    Session {
        /// The start-up parameters.
        parameters: BTreeMap<String, String>,
        /// Whether the connection is under TLS.
        tls: bool,
    },
    /// To cancel what another connection runs.
    Cancel {
        /// The process number given to that connection.
        process: i32,
        /// Its secret.
        secret: i32,
    },
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    socket: Option<CallerSocket>,
    incoming: BytesMut,
    outgoing: BytesMut,
    context: DecodeContext,
}

impl CallerStream {
    /// Takes over a socket that was just accepted.
    pub fn new(socket: TcpStream) -> CallerStream {
        CallerStream {
            socket: Some(CallerSocket::Plain(socket)),
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Reads the first messages, going over to TLS where the caller asks and `tls` allows.
    pub async fn start(
        &mut self,
        tls: Option<&Arc<TlsAcceptor>>,
    ) -> Result<StartupRequest, StreamEnd> {
        let mut encrypted = false;
        loop {
            match self.next().await? {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(
                    _,
                )) => match tls {
                    Some(acceptor) if !encrypted => {
                        self.accept_tls(acceptor).await?;
                        encrypted = true;
                    }
                    _ => self.decline(SslResponse::Refuse).await?,
                },
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(
                    _,
                )) => {
                    self.decline(SslResponse::Refuse).await?;
                }
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::CancelRequest(cancel) => {
                    return Ok(StartupRequest::Cancel {
                        process: cancel.pid,
                        secret: cancel.secret_key.as_i32().unwrap_or_default(),
                    });
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    self.negotiate(startup.protocol_number_major, startup.protocol_number_minor)?;
                    let parameters = startup.parameters;
                    return Ok(StartupRequest::Session { parameters, tls: encrypted });
                }
                _ => return Err(StreamEnd::Protocol("expected a start-up message".to_owned())),
            }
        }
    }

    /// Answers a caller that asks for a newer minor version with the one that is spoken here.
    fn negotiate(&mut self, major: u16, minor: u16) -> Result<(), StreamEnd> {
        if major != 3 {
            return Err(StreamEnd::Protocol(format!("protocol version {major}.{minor}")));
        }
        if minor > 0 {
            let answer = NegotiateProtocolVersion::new(0, Vec::new());
            self.add(&PgWireBackendMessage::NegotiateProtocolVersion(answer));
        }
        Ok(())
    }

    async fn accept_tls(&mut self, acceptor: &TlsAcceptor) -> Result<(), StreamEnd> {
        self.decline(SslResponse::Accept).await?;
        // Bytes sent before the handshake would not be under TLS, so they must not be believed.
        if !self.incoming.is_empty() {
            return Err(StreamEnd::Protocol("data before the TLS handshake".to_owned()));
        }
        match self.socket.take() {
            Some(CallerSocket::Plain(socket)) => {
                let socket = acceptor.accept(socket).await?;
                self.socket = Some(CallerSocket::Tls(Box::new(socket)));
                Ok(())
            }
            _ => Err(StreamEnd::Protocol("TLS within TLS".to_owned())),
        }
    }

    async fn decline(&mut self, response: SslResponse) -> Result<(), StreamEnd> {
        self.add(&PgWireBackendMessage::SslResponse(response));
        self.flush().await
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> Result<PgWireFrontendMessage, StreamEnd> {
        loop {
            if let Some(message) = self.try_next()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Returns a message that has arrived already.
    pub fn try_next(&mut self) -> Result<Option<PgWireFrontendMessage>, StreamEnd> {
        PgWireFrontendMessage::decode(&mut self.incoming, &self.context)
            .map_err(|error| StreamEnd::Protocol(error.to_string()))
    }

    /// Waits until the caller is gone, keeping what it sends meanwhile. It may be cancelled.
    pub async fn closed(&mut self) -> StreamEnd {
        loop {
            if self.incoming.len() >= READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            if let Err(end) = self.fill().await {
                return end;
            }
        }
    }

    async fn fill(&mut self) -> Result<(), StreamEnd> {
        let socket = self.socket.as_mut().ok_or(StreamEnd::Closed)?;
        self.incoming.reserve(READ_BYTES);
        match socket.read_buf(&mut self.incoming).await? {
            0 => Err(StreamEnd::Closed),
            _ => Ok(()),
        }
    }

    /// Adds a message to what is to be sent.
    pub fn add(&mut self, message: &PgWireBackendMessage) {
        // Only a message beyond the protocol's own limits fails to encode, and none is built here.
        let _ = message.encode(&mut self.outgoing);
    }

    /// Adds encoded messages to what is to be sent.
    pub fn add_bytes(&mut self, messages: &Bytes) {
        self.outgoing.extend_from_slice(messages);
    }

    /// Returns how many bytes wait to be sent.
    pub fn waiting_bytes(&self) -> usize {
        self.outgoing.len()
    }

    /// Sends everything added.
    pub async fn flush(&mut self) -> Result<(), StreamEnd> {
        let socket = self.socket.as_mut().ok_or(StreamEnd::Closed)?;
        socket.write_all(&self.outgoing).await?;
        socket.flush().await?;
        self.outgoing.clear();
        Ok(())
    }

    /// Closes the connection after what was sent.
    pub async fn close(&mut self) {
        if let Some(socket) = self.socket.as_mut() {
            // The caller may be gone already, which is what was wanted.
            let _ = socket.shutdown().await;
        }
    }
}
