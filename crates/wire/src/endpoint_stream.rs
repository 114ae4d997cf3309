//! Protocol messages of a connection to an endpoint.

use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use pgwire::{
    api::auth::sasl::scram::ScramClientAuth,
    messages::{
        DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
        cancel::CancelRequest,
        response::ErrorResponse,
        simplequery::Query,
        startup::{
            Authentication, Password, PasswordMessageFamily, SASLInitialResponse, SASLResponse,
            SecretKey, Startup,
        },
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Free space in the receive buffer before each read.
const READ_BYTES: usize = 32 * 1024;

/// The address of an endpoint and the parameters to log in to it.
#[derive(Clone, Debug)]
pub struct EndpointAddress {
    /// The socket address.
    pub address: SocketAddr,
    /// The user to log in as.
    pub user: String,
    /// The database.
    pub database: String,
    /// The password, for an endpoint that requires one.
    pub password: Option<String>,
    /// The `application_name` start-up parameter.
    pub application_name: String,
}

/// Why a connection to an endpoint failed.
#[derive(Debug)]
pub enum EndpointError {
    /// The socket failed, or the endpoint closed the connection.
    Io(io::Error),
    /// Connecting and logging in took longer than the timeout.
    TimedOut,
    /// The endpoint sent an error response.
    Refused {
        /// The SQLSTATE.
        code: String,
        /// The message.
        message: String,
    },
    /// The endpoint violated the protocol, or needs something unsupported.
    Protocol(String),
}

impl fmt::Display for EndpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointError::Io(error) => write!(f, "the endpoint's connection failed: {error}"),
            EndpointError::TimedOut => f.write_str("the endpoint did not answer in time"),
            EndpointError::Refused { code, message } => write!(f, "{message} ({code})"),
            EndpointError::Protocol(detail) => {
                write!(f, "the endpoint broke the protocol: {detail}")
            }
        }
    }
}

impl std::error::Error for EndpointError {}

impl From<io::Error> for EndpointError {
    fn from(error: io::Error) -> EndpointError {
        EndpointError::Io(error)
    }
}

/// Returns a field of an error response, or an empty text if the field is missing.
fn error_field(error: &ErrorResponse, field: u8) -> String {
    let entry = error.fields.iter().find(|(key, _)| *key == field);
    entry.map(|(_, value)| value.clone()).unwrap_or_default()
}

impl From<&ErrorResponse> for EndpointError {
    fn from(error: &ErrorResponse) -> EndpointError {
        EndpointError::Refused { code: error_field(error, b'C'), message: error_field(error, b'M') }
    }
}

/// A connection to an endpoint, with its send and receive buffers.
#[derive(Debug)]
pub struct EndpointStream {
    socket: TcpStream,
    address: SocketAddr,
    incoming: BytesMut,
    outgoing: BytesMut,
    context: DecodeContext,
    process: i32,
    secret: SecretKey,
}

impl EndpointStream {
    /// Connects and logs in, both within `timeout`.
    pub async fn connect(
        target: &EndpointAddress,
        timeout: Duration,
    ) -> Result<EndpointStream, EndpointError> {
        tokio::time::timeout(timeout, EndpointStream::connect_and_log_in(target))
            .await
            .map_err(|_| EndpointError::TimedOut)?
    }

    async fn connect_and_log_in(target: &EndpointAddress) -> Result<EndpointStream, EndpointError> {
        let socket = TcpStream::connect(target.address).await?;
        socket.set_nodelay(true)?;
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        let mut stream = EndpointStream {
            socket,
            address: target.address,
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            context,
            process: 0,
            secret: SecretKey::default(),
        };
        stream.log_in(target).await?;
        Ok(stream)
    }

    async fn log_in(&mut self, target: &EndpointAddress) -> Result<(), EndpointError> {
        let mut startup = Startup::new();
        startup.protocol_number_minor = 0;
        startup.parameters.insert("user".to_owned(), target.user.clone());
        startup.parameters.insert("database".to_owned(), target.database.clone());
        let application_name = target.application_name.clone();
        startup.parameters.insert("application_name".to_owned(), application_name);
        self.add_message(&PgWireFrontendMessage::Startup(startup))?;
        self.flush().await?;
        loop {
            match self.next().await? {
                PgWireBackendMessage::Authentication(request) => {
                    self.authenticate(request, target).await?;
                }
                PgWireBackendMessage::BackendKeyData(key) => {
                    self.process = key.pid;
                    self.secret = key.secret_key;
                }
                PgWireBackendMessage::ErrorResponse(error) => return Err((&error).into()),
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                _ => {}
            }
        }
    }

    async fn authenticate(
        &mut self,
        request: Authentication,
        target: &EndpointAddress,
    ) -> Result<(), EndpointError> {
        let password = || {
            target.password.clone().ok_or_else(|| {
                EndpointError::Protocol("the endpoint asks for a password, none is set".to_owned())
            })
        };
        match request {
            Authentication::Ok => Ok(()),
            Authentication::CleartextPassword => {
                let message = PasswordMessageFamily::Password(Password::new(password()?));
                self.add_message(&PgWireFrontendMessage::PasswordMessageFamily(message))?;
                self.flush().await
            }
            Authentication::SASL(_) => self.authenticate_scram(target, password()?).await,
            other => Err(EndpointError::Protocol(format!("log-in by {other:?} is not supported"))),
        }
    }

    async fn authenticate_scram(
        &mut self,
        target: &EndpointAddress,
        password: String,
    ) -> Result<(), EndpointError> {
        let protocol = |error: &dyn fmt::Display| EndpointError::Protocol(error.to_string());
        let scram = ScramClientAuth::new(target.user.clone(), password);
        let (first, exchange) = scram.build_client_first().map_err(|error| protocol(&error))?;
        let initial =
            SASLInitialResponse::new("SCRAM-SHA-256".to_owned(), Some(first.into_bytes().into()));
        let message = PasswordMessageFamily::SASLInitialResponse(initial);
        self.add_message(&PgWireFrontendMessage::PasswordMessageFamily(message))?;
        self.flush().await?;
        let challenge = match self.next().await? {
            PgWireBackendMessage::Authentication(Authentication::SASLContinue(data)) => data,
            PgWireBackendMessage::ErrorResponse(error) => return Err((&error).into()),
            _ => return Err(EndpointError::Protocol("expected a SCRAM challenge".to_owned())),
        };
        let (last, exchange) =
            exchange.build_client_final(&challenge).map_err(|error| protocol(&error))?;
        let response = SASLResponse::new(last.into_bytes().into());
        let message = PasswordMessageFamily::SASLResponse(response);
        self.add_message(&PgWireFrontendMessage::PasswordMessageFamily(message))?;
        self.flush().await?;
        match self.next().await? {
            PgWireBackendMessage::Authentication(Authentication::SASLFinal(proof)) => {
                exchange.verify_server_final(&proof).map_err(|error| protocol(&error))
            }
            PgWireBackendMessage::ErrorResponse(error) => Err((&error).into()),
            _ => Err(EndpointError::Protocol("expected the end of SCRAM".to_owned())),
        }
    }

    /// Appends a message to the send buffer.
    pub fn add_message(&mut self, message: &PgWireFrontendMessage) -> Result<(), EndpointError> {
        message
            .encode(&mut self.outgoing)
            .map_err(|error| EndpointError::Protocol(error.to_string()))
    }

    /// Appends a simple query to the send buffer.
    pub fn add_query(&mut self, sql: &str) -> Result<(), EndpointError> {
        Query::new(sql.to_owned())
            .encode(&mut self.outgoing)
            .map_err(|error| EndpointError::Protocol(error.to_string()))
    }

    /// Appends encoded messages to the send buffer.
    pub fn add_bytes(&mut self, messages: &Bytes) {
        self.outgoing.extend_from_slice(messages);
    }

    /// Sends the whole send buffer.
    pub async fn flush(&mut self) -> Result<(), EndpointError> {
        self.socket.write_all(&self.outgoing).await?;
        self.outgoing.clear();
        Ok(())
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> Result<PgWireBackendMessage, EndpointError> {
        loop {
            let decoded = PgWireBackendMessage::decode(&mut self.incoming, &self.context)
                .map_err(|error| EndpointError::Protocol(error.to_string()))?;
            if let Some(message) = decoded {
                return Ok(message);
            }
            self.incoming.reserve(READ_BYTES);
            if self.socket.read_buf(&mut self.incoming).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// Whether the endpoint has closed this idle connection or sent unexpected data on it.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        !self.incoming.is_empty()
            || !matches!(
                self.socket.try_read(&mut byte),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            )
    }

    /// Returns the address, process id and secret key for [`EndpointStream::cancel`].
    pub fn cancel_key(&self) -> (SocketAddr, i32, SecretKey) {
        (self.address, self.process, self.secret.clone())
    }

    /// Sends a cancel request for the statement that runs on the connection with this key.
    pub async fn cancel(address: SocketAddr, process: i32, secret: SecretKey) -> io::Result<()> {
        let mut buffer = BytesMut::new();
        CancelRequest::new(process, secret)
            .encode(&mut buffer)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let mut socket = TcpStream::connect(address).await?;
        socket.write_all(&buffer).await?;
        socket.shutdown().await
    }
}
