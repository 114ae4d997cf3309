//! Commands to servers during a change of primary, over the control thread's own connections.
//!
//! A server does not know who the promoter is, and a resume has no term that would show which change it belongs to. So
//! commands that change a server are sent only while this daemon holds the promoter lease, and are given up when it
//! ends. See `docs/PLATFORM.md`, "Commands to servers".

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;
use tokio::sync::oneshot;

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    control::adapter::Adapter,
    control::runner::{CommandRequest, Control, ServingRequest, join_all},
    dialect::EndpointDialect,
    serve::connection::{ClientIdentity, ConnectionLost, EndpointConnection},
    statement::{EndpointCommand, EndpointOperation, EndpointStatus, ErrorCode},
};

/// Timeout of a command when the change was caused by a failure.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a command in a planned change: an overloaded primary answers slowly, and its position is needed.
const PLANNED_COMMAND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The remaining promoter lease that is needed to stop a server, so that it can be resumed before the lease ends: one
/// command and its answer on busy servers.
pub(crate) const MIN_LEASE_TO_RESUME: Duration = Duration::from_millis(300);
/// How long to wait for a replica to receive the log entries that a stepped-down primary still holds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval between two requests to a server whose state is polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// How waiting for a replica to receive the old primary's log ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CatchUp {
    /// Some replica has received everything.
    Done,
    /// No replica had received everything before the timeout.
    TimedOut,
}

/// Why a command brought no status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CommandFailure {
    /// The server did not answer, or refused the command.
    Lost(ConnectionLost),
    /// The command was not sent, because too little of the promoter lease was left.
    LeaseEnding,
}

impl std::fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandFailure::Lost(lost) => lost.fmt(f),
            CommandFailure::LeaseEnding => f.write_str("too little of the promoter lease is left"),
        }
    }
}

impl From<ConnectionLost> for CommandFailure {
    fn from(lost: ConnectionLost) -> CommandFailure {
        CommandFailure::Lost(lost)
    }
}

/// Returns how much of the promoter lease must be left to send a command; `None` if every daemon may send it.
fn required_lease(operation: &EndpointOperation) -> Option<Duration> {
    match operation {
        EndpointOperation::Pause { .. } | EndpointOperation::StepDown { .. } => {
            Some(MIN_LEASE_TO_RESUME)
        }
        EndpointOperation::Resume => Some(Duration::ZERO),
        _ => None,
    }
}

/// Sends the commands of one change over the control thread's own connections.
pub(crate) struct Commands<'a, P: Adapter> {
    pub(crate) control: &'a Control<P>,
    pub(crate) connections: HashMap<Name, EndpointConnection<P::Dialect>>,
    /// The timeout of one command.
    pub(crate) timeout: Duration,
}

impl<'a, P: Adapter> Commands<'a, P> {
    pub(crate) fn new(control: &'a Control<P>) -> Commands<'a, P> {
        Commands { control, connections: HashMap::new(), timeout: COMMAND_TIMEOUT }
    }

    /// Returns the commands of a change of primary. A planned change can wait longer for an answer.
    pub(crate) fn for_change(control: &'a Control<P>, is_planned: bool) -> Commands<'a, P> {
        let timeout = if is_planned { PLANNED_COMMAND_TIMEOUT } else { COMMAND_TIMEOUT };
        Commands { timeout, ..Commands::new(control) }
    }

    /// Sends a command to a server and returns its status afterwards.
    pub(crate) async fn send(
        &mut self,
        entry: &Arc<ServerEntry>,
        operation: EndpointOperation,
    ) -> Result<EndpointStatus, CommandFailure> {
        let existing = self.connections.remove(&entry.server);
        let (connection, status) =
            self.control.send_command(existing, entry.clone(), operation, self.timeout).await?;
        if let Some(connection) = connection {
            self.connections.insert(entry.server.clone(), connection);
        }
        Ok(status)
    }

    /// Sends commands to several servers concurrently; returns the statuses of those that answered.
    pub(crate) async fn send_all(
        &mut self,
        requests: Vec<(Arc<ServerEntry>, EndpointOperation)>,
    ) -> Vec<(Arc<ServerEntry>, EndpointStatus)> {
        let (control, timeout) = (self.control, self.timeout);
        let running = requests.into_iter().map(|(entry, operation)| {
            let existing = self.connections.remove(&entry.server);
            async move {
                let answered =
                    control.send_command(existing, entry.clone(), operation, timeout).await;
                (entry, answered)
            }
        });
        let answered = join_all(running.collect::<Vec<_>>()).await;
        let mut statuses = Vec::new();
        for (entry, answer) in answered {
            match answer {
                Ok((connection, status)) => {
                    if let Some(connection) = connection {
                        self.connections.insert(entry.server.clone(), connection);
                    }
                    statuses.push((entry, status));
                }
                Err(CommandFailure::Lost(lost)) => log::info!(
                    event = "server_silent", server = &*entry.server,
                    why = lost.to_string().as_str();
                    "server did not answer a command"
                ),
                Err(failure @ CommandFailure::LeaseEnding) => log::info!(
                    event = "command_withheld", server = &*entry.server,
                    why = failure.to_string().as_str();
                    "a command was not sent"
                ),
            }
        }
        statuses
    }

    /// Waits until some replica has received everything that the old primary held, or the timeout expires.
    pub(crate) async fn await_catch_up(
        &mut self,
        replicas: &[Arc<ServerEntry>],
        old: &EndpointStatus,
    ) -> CatchUp {
        let give_up_at = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            let requests = replicas.iter().map(|entry| (entry.clone(), EndpointOperation::Status));
            let statuses = self.send_all(requests.collect()).await;
            if statuses.iter().any(|(_, status)| status.received >= old.received) {
                return CatchUp::Done;
            }
            if Instant::now() >= give_up_at {
                return CatchUp::TimedOut;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// A server's status, and the connection that returned it if it belongs to the control thread.
pub(crate) type CommandResult<E> = (Option<EndpointConnection<E>>, EndpointStatus);

impl<P: Adapter> Control<P> {
    /// Sends a command over a connection of the control thread, or over a shared session connection if the server
    /// accepts no more connections.
    pub(crate) async fn send_command(
        &self,
        existing: Option<EndpointConnection<P::Dialect>>,
        entry: Arc<ServerEntry>,
        operation: EndpointOperation,
        timeout: Duration,
    ) -> Result<CommandResult<P::Dialect>, CommandFailure> {
        let deadline = self.command_deadline(&operation, timeout)?;
        match self.send_over(existing, entry.clone(), operation.clone(), deadline).await {
            Ok((connection, status)) => Ok((Some(connection), status)),
            Err(CommandFailure::Lost(ConnectionLost::Refused(ErrorCode::TooManyConnections))) => {
                // The attempt may have taken some of the promoter lease.
                let deadline = deadline.min(self.command_deadline(&operation, timeout)?);
                let (answer, answered) = oneshot::channel();
                let request = CommandRequest {
                    service: entry.service.clone(),
                    server: entry.server.clone(),
                    operation,
                    deadline,
                    answer,
                };
                // If the queue is full, the serving thread is overloaded; the caller repeats the command.
                let _ = self.serving_requests.try_send(ServingRequest::Command(request));
                match tokio::time::timeout_at(deadline.into(), answered).await {
                    Ok(Ok(status)) => Ok((None, status)),
                    Ok(Err(_)) | Err(_) => {
                        Err(ConnectionLost::Refused(ErrorCode::TooManyConnections).into())
                    }
                }
            }
            Err(failure) => Err(failure),
        }
    }

    /// Returns until when a command may be under way: its timeout, and not beyond the promoter lease if only the
    /// promoter may send it. A connection with an unanswered command is reset then, so that a command that the network
    /// still holds is not delivered later.
    fn command_deadline(
        &self,
        operation: &EndpointOperation,
        timeout: Duration,
    ) -> Result<Instant, CommandFailure> {
        let now = Instant::now();
        let Some(required) = required_lease(operation) else { return Ok(now + timeout) };
        let left = self.promoter_lease_left(now);
        match left > required {
            true => Ok(now + timeout.min(left)),
            false => Err(CommandFailure::LeaseEnding),
        }
    }

    /// Sends a command over `existing` or a new connection. Repeats it until the deadline if the server refuses it
    /// without running it.
    async fn send_over(
        &self,
        existing: Option<EndpointConnection<P::Dialect>>,
        entry: Arc<ServerEntry>,
        mut operation: EndpointOperation,
        deadline: Instant,
    ) -> Result<(EndpointConnection<P::Dialect>, EndpointStatus), CommandFailure> {
        let mut connection = match existing {
            Some(connection) if connection.is_reusable() => connection,
            _ => {
                let identity =
                    ClientIdentity { host: &self.settings.host, principal: &Principal::Daemon };
                let within = deadline.saturating_duration_since(Instant::now());
                EndpointConnection::open(&self.dialect, &entry, identity, within).await?
            }
        };
        loop {
            // The promoter lease may have been lost since the deadline was determined.
            self.command_deadline(&operation, Duration::ZERO)?;
            let answer =
                connection.call(&EndpointCommand::internal(operation.clone()), deadline).await?;
            if let Some(code) = answer.error_code() {
                if code.was_not_run() && Instant::now() + POLL_INTERVAL < deadline {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                return Err(ConnectionLost::Refused(code).into());
            }
            if operation == EndpointOperation::Resume {
                // The answer to a resume contains no status.
                operation = EndpointOperation::Status;
                continue;
            }
            let row = answer.rows.first().map_or(&[][..], |row| row);
            let status = self.dialect.decode_status(row).ok_or_else(|| {
                ConnectionLost::Malformed("a status that can't be read".to_owned())
            })?;
            return Ok((connection, status));
        }
    }
}
