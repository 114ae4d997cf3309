//! Commands to servers during a change of primary, over the control thread's own connections.

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
/// How long to wait for a replica to receive the log entries that a stepped-down primary still holds.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval between two requests to a server whose state is polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(30);

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

    /// Sends a command to a server and returns its status afterwards.
    pub(crate) async fn send(
        &mut self,
        entry: &Arc<ServerEntry>,
        operation: EndpointOperation,
    ) -> Result<EndpointStatus, ConnectionLost> {
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
                Err(lost) => log::info!(
                    event = "server_silent", server = &*entry.server,
                    why = lost.to_string().as_str();
                    "server did not answer a command"
                ),
            }
        }
        statuses
    }

    /// Waits until some replica has received everything that the old primary holds, or the timeout expires.
    pub(crate) async fn await_catch_up(
        &mut self,
        replicas: &[Arc<ServerEntry>],
        old: &EndpointStatus,
    ) {
        let give_up_at = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            let requests = replicas.iter().map(|entry| (entry.clone(), EndpointOperation::Status));
            let statuses = self.send_all(requests.collect()).await;
            if statuses.iter().any(|(_, status)| status.received >= old.received) {
                return;
            }
            if Instant::now() >= give_up_at {
                return;
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
    ) -> Result<CommandResult<P::Dialect>, ConnectionLost> {
        match self.send_over(existing, entry.clone(), operation.clone(), timeout).await {
            Ok((connection, status)) => Ok((Some(connection), status)),
            Err(ConnectionLost::Refused(ErrorCode::TooManyConnections)) => {
                let (answer, answered) = oneshot::channel();
                let deadline = Instant::now() + timeout;
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
                        Err(ConnectionLost::Refused(ErrorCode::TooManyConnections))
                    }
                }
            }
            Err(lost) => Err(lost),
        }
    }

    /// Sends a command over `existing` or a new connection. Repeats it until the timeout if the server refuses it
    /// without running it.
    pub(crate) async fn send_over(
        &self,
        existing: Option<EndpointConnection<P::Dialect>>,
        entry: Arc<ServerEntry>,
        mut operation: EndpointOperation,
        timeout: Duration,
    ) -> Result<(EndpointConnection<P::Dialect>, EndpointStatus), ConnectionLost> {
        let deadline = Instant::now() + timeout;
        let mut connection = match existing {
            Some(connection) if connection.is_reusable() => connection,
            _ => {
                let identity =
                    ClientIdentity { host: &self.settings.host, principal: &Principal::Daemon };
                EndpointConnection::open(&self.dialect, &entry, identity, timeout).await?
            }
        };
        loop {
            let answer =
                connection.call(&EndpointCommand::internal(operation.clone()), deadline).await?;
            if let Some(code) = answer.error_code() {
                if code.was_not_run() && Instant::now() + POLL_INTERVAL < deadline {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                return Err(ConnectionLost::Refused(code));
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
