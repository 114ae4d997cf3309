//! A connection to a server.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use model::{LogPoint, Name};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout_at,
};

use crate::{
    accounts::Principal,
    catalog::{ServerEntry, ServerIncarnation},
    control::{peers::TunnelRequest, tunnel::open_tunnel},
    dialect::{EndpointDialect, EndpointMessage, EndpointStartup},
    relay::messages::NotSent,
    serve::replay::Environment,
    statement::{Answer, EndpointCommand, ErrorCode, Outcome, StatementError, TransactionState},
    tcp_options::{close_gracefully, detect_dead_peer, reset_on_close},
};

/// Size by which the read buffer grows; most answers are below 1 KiB.
const READ_RESERVE_BYTES: usize = 4 * 1024;

/// Suffix that is appended to the host's name on tunneled connections, to mark them in the server's list of
/// connections.
const TUNNEL_SUFFIX: &str = ".detour";

/// Why a connection can no longer be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionLost {
    /// The connection could not be opened or broke.
    Broken(String),
    /// There was no answer before the deadline.
    TimedOut,
    /// The server refused the connection with an error.
    Refused(ErrorCode),
    /// The server sent a message that can't be parsed or was not expected.
    Malformed(String),
    /// The owner of the connections did not send the statement to the server.
    NotGranted(NotSent),
    /// The link to the owner ended.
    OwnerLost,
}

impl std::fmt::Display for ConnectionLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConnectionLost::Broken(why) => write!(f, "broken off: {why}"),
            ConnectionLost::TimedOut => f.write_str("no answer in time"),
            ConnectionLost::Refused(code) => write!(f, "refused: {}", code.as_str()),
            ConnectionLost::Malformed(why) => write!(f, "can't be understood: {why}"),
            ConnectionLost::NotGranted(why) => write!(f, "not granted by its owner: {why:?}"),
            ConnectionLost::OwnerLost => f.write_str("the owner of the connection was lost"),
        }
    }
}

/// The identity under which a daemon connects to a server.
#[derive(Clone, Copy, Debug)]
pub struct ClientIdentity<'a> {
    /// This daemon's host.
    pub host: &'a Name,
    /// The principal that the connection works for.
    pub principal: &'a Principal,
}

impl ClientIdentity<'_> {
    /// Returns the name that is sent to the server.
    fn name(&self, is_direct: bool) -> Name {
        match self.principal {
            Principal::Account(name) => name.clone(),
            Principal::Daemon if is_direct => self.host.clone(),
            Principal::Daemon => Name::from(format!("{}{TUNNEL_SUFFIX}", self.host)),
        }
    }
}

/// The server of a connection and the route to it.
#[derive(Clone, Debug)]
pub struct ServerRoute {
    /// The server's identity.
    pub server: Name,
    /// Whether no other daemon is in between, so that an answer proves that this daemon reaches the server.
    pub is_direct: bool,
    /// Whether the connection, direct or tunneled, belongs to this daemon. Otherwise its owner monitors the server.
    pub is_own: bool,
    /// Address of the owner, if the connection belongs to another daemon.
    pub owner: Option<SocketAddr>,
}

/// A connection that the server has accepted.
pub struct EndpointConnection<E> {
    dialect: E,
    stream: TcpStream,
    incoming: BytesMut,
    outgoing: BytesMut,
    /// Commands whose answers have not been read completely.
    unanswered: u32,
    /// The server's identity, as confirmed by the server.
    pub server: Name,
    /// The principal that the connection works for; it never changes.
    pub principal: Principal,
    /// The server's incarnation as its entry stated it when the connection was opened.
    pub incarnation: Option<ServerIncarnation>,
    /// The session state that the server holds for the connection.
    pub environment: Environment,
    /// Whether the connection goes to the server itself and not through another daemon.
    pub is_direct: bool,
    /// The last log point that the server reported.
    pub last_point: Option<LogPoint>,
}

impl<E: EndpointDialect> EndpointConnection<E> {
    /// Connects and waits until the server accepts.
    pub async fn open(
        dialect: &E,
        entry: &ServerEntry,
        identity: ClientIdentity<'_>,
        within: Duration,
    ) -> Result<EndpointConnection<E>, ConnectionLost> {
        let deadline = Instant::now() + within;
        let stream = match timeout_at(deadline.into(), TcpStream::connect(entry.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ConnectionLost::Broken(error.to_string())),
            Err(_) => return Err(ConnectionLost::TimedOut),
        };
        EndpointConnection::handshake(dialect, stream, true, entry, identity, deadline).await
    }

    /// Connects through a tunnel of the daemon at `peer`, for a server that this daemon can't reach.
    pub async fn open_tunneled(
        peer: SocketAddr,
        dialect: &E,
        entry: &ServerEntry,
        identity: ClientIdentity<'_>,
        within: Duration,
    ) -> Result<EndpointConnection<E>, ConnectionLost> {
        let deadline = Instant::now() + within;
        let request =
            TunnelRequest { service: entry.service.to_string(), server: entry.server.to_string() };
        let stream = match timeout_at(deadline.into(), open_tunnel(peer, request)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ConnectionLost::Broken(error.to_string())),
            Err(_) => return Err(ConnectionLost::TimedOut),
        };
        EndpointConnection::handshake(dialect, stream, false, entry, identity, deadline).await
    }

    /// Sends the startup message and waits until the server accepts the connection.
    async fn handshake(
        dialect: &E,
        stream: TcpStream,
        is_direct: bool,
        entry: &ServerEntry,
        identity: ClientIdentity<'_>,
        deadline: Instant,
    ) -> Result<EndpointConnection<E>, ConnectionLost> {
        let broken = |error: std::io::Error| ConnectionLost::Broken(error.to_string());
        stream.set_nodelay(true).map_err(broken)?;
        detect_dead_peer(&stream);
        reset_on_close(&stream).map_err(broken)?;
        let mut connection = EndpointConnection {
            dialect: dialect.clone(),
            stream,
            is_direct,
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            unanswered: 0,
            server: entry.server.clone(),
            principal: identity.principal.clone(),
            incarnation: entry.incarnation,
            environment: Environment::default(),
            last_point: None,
        };
        let startup = EndpointStartup {
            service: entry.service.clone(),
            client: identity.name(is_direct),
            server: entry.server.clone(),
        };
        connection.dialect.encode_startup(&startup, &mut connection.outgoing);
        connection.flush(deadline).await?;
        connection.await_acceptance(deadline).await?;
        Ok(connection)
    }

    async fn await_acceptance(&mut self, deadline: Instant) -> Result<(), ConnectionLost> {
        match self.next_message(deadline).await? {
            EndpointMessage::Ready { point, .. } => {
                self.last_point = point;
                Ok(())
            }
            EndpointMessage::Error(error) => Err(ConnectionLost::Refused(error.code)),
            _ => Err(ConnectionLost::Malformed("an answer before the connection's own".to_owned())),
        }
    }

    /// Whether an idle connection is still open and has received nothing unexpected.
    pub fn is_reusable(&self) -> bool {
        let mut probe = [0_u8; 1];
        matches!(
            self.stream.try_read(&mut probe),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
        )
    }

    /// Appends a command to the data that the next flush sends.
    pub fn queue(&mut self, command: &EndpointCommand) {
        self.dialect.encode(command, &mut self.outgoing);
        self.unanswered += 1;
    }

    /// Sends the queued commands, in one write if the socket takes it.
    pub async fn flush(&mut self, deadline: Instant) -> Result<(), ConnectionLost> {
        let outgoing = self.outgoing.split();
        match timeout_at(deadline.into(), self.stream.write_all(&outgoing)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(ConnectionLost::Broken(error.to_string())),
            Err(_) => Err(ConnectionLost::TimedOut),
        }
    }

    /// Reads the complete answer to the oldest unanswered command.
    pub async fn read_answer(&mut self, deadline: Instant) -> Result<Answer, ConnectionLost> {
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            match self.next_message(deadline).await? {
                EndpointMessage::Row(row) => rows.push(row),
                EndpointMessage::Complete(proof) => outcome = Some(Outcome::Complete(proof)),
                EndpointMessage::Error(error) => outcome = Some(Outcome::Error(error)),
                EndpointMessage::Ready { state, point } => {
                    let Some(outcome) = outcome else {
                        return Err(ConnectionLost::Malformed(
                            "an answer without an end".to_owned(),
                        ));
                    };
                    self.last_point = point.or(self.last_point);
                    self.unanswered = self.unanswered.saturating_sub(1);
                    return Ok(Answer { rows, outcome, state, point });
                }
            }
        }
    }

    /// Sends one command and reads its answer.
    pub async fn call(
        &mut self,
        command: &EndpointCommand,
        deadline: Instant,
    ) -> Result<Answer, ConnectionLost> {
        self.queue(command);
        self.flush(deadline).await?;
        self.read_answer(deadline).await
    }

    async fn next_message(&mut self, deadline: Instant) -> Result<EndpointMessage, ConnectionLost> {
        loop {
            match self.dialect.decode(&mut self.incoming) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(error) => return Err(ConnectionLost::Malformed(error.to_string())),
            }
            self.incoming.reserve(READ_RESERVE_BYTES);
            let read = self.stream.read_buf(&mut self.incoming);
            match timeout_at(deadline.into(), read).await {
                Ok(Ok(0)) => return Err(ConnectionLost::Broken("closed by the server".to_owned())),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(ConnectionLost::Broken(error.to_string())),
                Err(_) => return Err(ConnectionLost::TimedOut),
            }
        }
    }

    /// Frees the buffers while the connection is idle.
    pub fn release_buffers(&mut self) {
        self.incoming = BytesMut::new();
        self.outgoing = BytesMut::new();
    }
}

impl<E> Drop for EndpointConnection<E> {
    fn drop(&mut self) {
        if self.unanswered == 0 {
            close_gracefully(&self.stream);
        }
    }
}

/// Returns the answer to a statement that the engine itself refuses.
pub fn refusal(error: StatementError, state: TransactionState) -> Answer {
    Answer { rows: Vec::new(), outcome: Outcome::Error(error), state, point: None }
}
