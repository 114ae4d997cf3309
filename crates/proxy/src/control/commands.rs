//! Commands to servers in a change of primary, over connections of the control thread's own.

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
    statement::{EndpointCommand, EndpointStatus, EndpointText, ErrorCode},
};

/// How long a server may take to answer a command of a change that is made because of a failure.
const COMMAND_WITHIN: Duration = Duration::from_millis(150);
/// How long a replica may take to receive what a stepped-down primary still holds.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(800);
/// The pause between two questions to a server.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Connections of the control thread's own, for the commands of one change.
pub(crate) struct Commands<'a, P: Adapter> {
    pub(crate) control: &'a Control<P>,
    pub(crate) open: HashMap<Name, EndpointConnection<P::Dialect>>,
    /// How long a server may take to answer.
    pub(crate) within: Duration,
}

impl<'a, P: Adapter> Commands<'a, P> {
    pub(crate) fn new(control: &'a Control<P>) -> Commands<'a, P> {
        Commands { control, open: HashMap::new(), within: COMMAND_WITHIN }
    }

    /// Gives a server a command and returns its status after it.
    pub(crate) async fn ask(
        &mut self,
        entry: &Arc<ServerEntry>,
        text: EndpointText,
    ) -> Result<EndpointStatus, ConnectionLost> {
        let open = self.open.remove(&entry.server);
        let (connection, status) =
            self.control.command(open, entry.clone(), text, self.within).await?;
        if let Some(connection) = connection {
            self.open.insert(entry.server.clone(), connection);
        }
        Ok(status)
    }

    /// Gives several servers their commands at once; returns those that answered.
    pub(crate) async fn ask_all(
        &mut self,
        asks: Vec<(Arc<ServerEntry>, EndpointText)>,
    ) -> Vec<(Arc<ServerEntry>, EndpointStatus)> {
        let (control, within) = (self.control, self.within);
        let running = asks.into_iter().map(|(entry, text)| {
            let open = self.open.remove(&entry.server);
            async move {
                let answered = control.command(open, entry.clone(), text, within).await;
                (entry, answered)
            }
        });
        let answered = join_all(running.collect::<Vec<_>>()).await;
        let mut statuses = Vec::new();
        for (entry, answer) in answered {
            match answer {
                Ok((connection, status)) => {
                    if let Some(connection) = connection {
                        self.open.insert(entry.server.clone(), connection);
                    }
                    statuses.push((entry, status));
                }
                Err(lost) => log::info!(
                    event = "server_silent", server = &*entry.server,
                    why = lost.to_string().as_str();
                    "a server did not answer a command"
                ),
            }
        }
        statuses
    }

    /// Waits until some replica has received what the old primary holds.
    pub(crate) async fn await_catch_up(
        &mut self,
        replicas: &[Arc<ServerEntry>],
        old: &EndpointStatus,
    ) {
        let give_up_at = Instant::now() + CATCH_UP_WITHIN;
        loop {
            let asks = replicas.iter().map(|entry| (entry.clone(), EndpointText::Status));
            let statuses = self.ask_all(asks.collect()).await;
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

/// A server's status, with the connection that it came over if that is the control thread's own.
pub(crate) type Commanded<E> = (Option<EndpointConnection<E>>, EndpointStatus);

impl<P: Adapter> Control<P> {
    /// Gives a server a command over a connection of the control thread's own; where the server
    /// grants no more of them, over those that sessions share.
    pub(crate) async fn command(
        &self,
        open: Option<EndpointConnection<P::Dialect>>,
        entry: Arc<ServerEntry>,
        text: EndpointText,
        within: Duration,
    ) -> Result<Commanded<P::Dialect>, ConnectionLost> {
        match self.ask_over(open, entry.clone(), text.clone(), within).await {
            Ok((connection, status)) => Ok((Some(connection), status)),
            Err(ConnectionLost::Refused(ErrorCode::TooManyConnections)) => {
                let (answer, answered) = oneshot::channel();
                let deadline = Instant::now() + within;
                let ask = CommandRequest {
                    service: entry.service.clone(),
                    server: entry.server.clone(),
                    text,
                    deadline,
                    answer,
                };
                // A full ring means that the serving thread is behind; the command is given again.
                let _ = self.serving_requests.try_send(ServingRequest::Command(ask));
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

    pub(crate) async fn ask_over(
        &self,
        open: Option<EndpointConnection<P::Dialect>>,
        entry: Arc<ServerEntry>,
        mut text: EndpointText,
        within: Duration,
    ) -> Result<(EndpointConnection<P::Dialect>, EndpointStatus), ConnectionLost> {
        let deadline = Instant::now() + within;
        let mut connection = match open {
            Some(connection) if connection.is_reusable() => connection,
            _ => {
                let introduction =
                    ClientIdentity { host: &self.settings.host, principal: &Principal::Daemon };
                EndpointConnection::open(&self.dialect, &entry, introduction, within).await?
            }
        };
        loop {
            let answer = connection.call(&EndpointCommand::own(text.clone()), deadline).await?;
            if let Some(code) = answer.error_code() {
                if code.was_not_run() && Instant::now() + POLL_INTERVAL < deadline {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                return Err(ConnectionLost::Refused(code));
            }
            if text == EndpointText::Resume {
                // Its answer holds no status.
                text = EndpointText::Status;
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
