//! Protocol messages of a caller's connection.

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

/// Free space in the receive buffer before each read.
const READ_BYTES: usize = 16 * 1024;

/// Limit on the bytes that are buffered from the caller while a request runs.
const MAX_READ_AHEAD_BYTES: usize = 1024 * 1024;

/// Why a connection ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// The caller closed it.
    Closed,
    /// The socket failed.
    Io(io::Error),
    /// The caller violated the protocol.
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

/// The request made by a caller's start-up messages.
#[derive(Debug)]
pub enum StartupRequest {
    /// Opens a session.
    Session {
        /// The start-up parameters.
        parameters: BTreeMap<String, String>,
        /// Whether the connection uses TLS.
        tls: bool,
    },
    /// Cancels the statement that another connection runs.
    Cancel {
        /// The process id from that connection's `BackendKeyData`.
        process: i32,
        /// The secret key from the same message.
        secret: i32,
    },
}

/// A caller's connection, with its send and receive buffers.
#[derive(Debug)]
pub struct CallerStream {
    socket: Option<CallerSocket>,
    incoming: BytesMut,
    outgoing: BytesMut,
    context: DecodeContext,
}

impl CallerStream {
    /// Wraps a newly accepted socket.
    pub fn new(socket: TcpStream) -> CallerStream {
        CallerStream {
            socket: Some(CallerSocket::Plain(socket)),
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Reads the start-up messages and switches to TLS if the caller asks for it and `tls` is given.
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
                    _ => self.send_ssl_response(SslResponse::Refuse).await?,
                },
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(
                    _,
                )) => {
                    self.send_ssl_response(SslResponse::Refuse).await?;
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

    /// Offers protocol 3.0 to a caller that asks for a newer minor version.
    fn negotiate(&mut self, major: u16, minor: u16) -> Result<(), StreamEnd> {
        if major != 3 {
            return Err(StreamEnd::Protocol(format!("protocol version {major}.{minor}")));
        }
        if minor > 0 {
            let response = NegotiateProtocolVersion::new(0, Vec::new());
            self.add(&PgWireBackendMessage::NegotiateProtocolVersion(response));
        }
        Ok(())
    }

    async fn accept_tls(&mut self, acceptor: &TlsAcceptor) -> Result<(), StreamEnd> {
        self.send_ssl_response(SslResponse::Accept).await?;
        // Plaintext sent ahead of the handshake could be injected by an attacker (CVE-2021-23214).
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

    async fn send_ssl_response(&mut self, response: SslResponse) -> Result<(), StreamEnd> {
        self.add(&PgWireBackendMessage::SslResponse(response));
        self.flush().await
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> Result<PgWireFrontendMessage, StreamEnd> {
        loop {
            if let Some(message) = self.try_next()? {
                return Ok(message);
            }
            self.read_more().await?;
        }
    }

    /// Returns the next message if it has fully arrived, without waiting.
    pub fn try_next(&mut self) -> Result<Option<PgWireFrontendMessage>, StreamEnd> {
        PgWireFrontendMessage::decode(&mut self.incoming, &self.context)
            .map_err(|error| StreamEnd::Protocol(error.to_string()))
    }

    /// Waits until the connection ends, and buffers the bytes that arrive in the meantime.
    ///
    /// If the buffer is full, it stops reading and never returns. This method is cancel safe.
    pub async fn closed(&mut self) -> StreamEnd {
        loop {
            if self.incoming.len() >= MAX_READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            if let Err(end) = self.read_more().await {
                return end;
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), StreamEnd> {
        let socket = self.socket.as_mut().ok_or(StreamEnd::Closed)?;
        self.incoming.reserve(READ_BYTES);
        match socket.read_buf(&mut self.incoming).await? {
            0 => Err(StreamEnd::Closed),
            _ => Ok(()),
        }
    }

    /// Appends a message to the send buffer.
    pub fn add(&mut self, message: &PgWireBackendMessage) {
        // Encoding fails only for messages beyond the protocol's size limits, which the daemon doesn't build.
        let _ = message.encode(&mut self.outgoing);
    }

    /// Appends encoded messages to the send buffer.
    pub fn add_bytes(&mut self, messages: &Bytes) {
        self.outgoing.extend_from_slice(messages);
    }

    /// Returns the size of the send buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.outgoing.len()
    }

    /// Sends the whole send buffer.
    pub async fn flush(&mut self) -> Result<(), StreamEnd> {
        let socket = self.socket.as_mut().ok_or(StreamEnd::Closed)?;
        socket.write_all(&self.outgoing).await?;
        socket.flush().await?;
        self.outgoing.clear();
        Ok(())
    }

    /// Shuts the connection down for writing.
    pub async fn close(&mut self) {
        if let Some(socket) = self.socket.as_mut() {
            // An error here means that the caller has already disconnected.
            let _ = socket.shutdown().await;
        }
    }
}
