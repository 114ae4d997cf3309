//! The connection for querying a server's status and changing its role.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::ServerStatus;
use pgwire::messages::PgWireBackendMessage;
use wire::{EndpointAddress, EndpointError, EndpointStream};

use crate::{
    dialect::{Dialect, ServerDialect},
    endpoint_connection::read_status_row,
};

/// Capacity of a link's request queue.
const MAX_QUEUED_REQUESTS: usize = 1_024;

/// A status, and when it was requested.
#[derive(Clone, Debug)]
pub(crate) struct StatusAnswer {
    pub(crate) status: Arc<ServerStatus>,
    pub(crate) requested_at: Instant,
}

/// The server did not answer, or answered with an error.
#[derive(Clone, Debug)]
pub(crate) struct ControlLinkError {
    /// The SQLSTATE, if the server refused the statement.
    pub(crate) code: Option<String>,
}

impl ControlLinkError {
    /// Whether the server reports that it is shutting down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        matches!(self.code.as_deref(), Some("57P01" | "57P03"))
    }
}

type StatusReply = flume::Sender<Result<StatusAnswer, ControlLinkError>>;

enum LinkRequest {
    /// Query the status. All waiting requests share one answer.
    Status(StatusReply),
    /// Run a statement that changes the server's role and returns its status.
    Call(String, StatusReply),
}

/// A handle for sending requests to a link.
#[derive(Clone, Debug)]
pub(crate) struct ControlLink {
    requests: flume::Sender<LinkRequest>,
}

impl ControlLink {
    /// Starts a link on the current runtime. It ends when its last handle is dropped.
    pub(crate) fn start(target: EndpointAddress, timeout: Duration) -> ControlLink {
        let (sender, requests) = flume::bounded(MAX_QUEUED_REQUESTS);
        let link = ControlLinkTask { target, timeout, stream: None, requests };
        tokio::spawn(link.run());
        ControlLink { requests: sender }
    }

    /// Queries the status. Requests that wait at the same time share one query, which is always
    /// sent after this call began.
    pub(crate) async fn status(&self) -> Result<StatusAnswer, ControlLinkError> {
        self.send(LinkRequest::Status).await
    }

    /// Runs a statement that changes the server's role.
    pub(crate) async fn call(&self, statement: String) -> Result<StatusAnswer, ControlLinkError> {
        self.send(|reply| LinkRequest::Call(statement, reply)).await
    }

    async fn send(
        &self,
        request: impl FnOnce(StatusReply) -> LinkRequest,
    ) -> Result<StatusAnswer, ControlLinkError> {
        let closed = || ControlLinkError { code: None };
        let (reply, answer) = flume::bounded(1);
        self.requests.send_async(request(reply)).await.map_err(|_| closed())?;
        answer.recv_async().await.map_err(|_| closed())?
    }
}

struct ControlLinkTask {
    target: EndpointAddress,
    timeout: Duration,
    stream: Option<EndpointStream>,
    requests: flume::Receiver<LinkRequest>,
}

impl ControlLinkTask {
    async fn run(mut self) {
        while let Ok(first) = self.requests.recv_async().await {
            let mut waiting = Vec::new();
            let mut calls = Vec::new();
            let mut next = Some(first);
            while let Some(request) = next {
                match request {
                    LinkRequest::Status(reply) => waiting.push(reply),
                    LinkRequest::Call(statement, reply) => calls.push((statement, reply)),
                }
                next = self.requests.try_recv().ok();
            }
            for (statement, reply) in calls {
                let answer = self.query(&statement).await;
                // The requester may have given up.
                let _ = reply.send(answer);
            }
            if !waiting.is_empty() {
                let answer = self.query(Dialect::STATUS).await;
                for reply in waiting {
                    let _ = reply.send(answer.clone());
                }
            }
        }
    }

    /// Runs one query. Unless the server refused it, a failure closes the connection, since a late
    /// answer could be mistaken for the next one.
    async fn query(&mut self, statement: &str) -> Result<StatusAnswer, ControlLinkError> {
        let requested_at = Instant::now();
        let timeout = self.timeout;
        let answer = tokio::time::timeout(timeout, self.query_unbounded(statement)).await;
        let error = match answer {
            Ok(Ok(status)) => return Ok(StatusAnswer { status: Arc::new(status), requested_at }),
            Ok(Err(error)) => error,
            Err(_) => EndpointError::TimedOut,
        };
        let code = match &error {
            EndpointError::Refused { code, .. } => Some(code.clone()),
            _ => {
                self.stream = None;
                None
            }
        };
        log::debug!(
            error = error.to_string().as_str();
            "a server did not answer on its control link"
        );
        Err(ControlLinkError { code })
    }

    async fn query_unbounded(&mut self, statement: &str) -> Result<ServerStatus, EndpointError> {
        if self.stream.as_ref().is_none_or(EndpointStream::is_stale) {
            self.stream = Some(EndpointStream::connect(&self.target, self.timeout).await?);
        }
        let Some(stream) = self.stream.as_mut() else { return Err(EndpointError::TimedOut) };
        stream.add_query(statement)?;
        stream.flush().await?;
        let mut answer = None;
        let mut refused = None;
        loop {
            match stream.next().await? {
                PgWireBackendMessage::DataRow(row) => answer = read_status_row(&row.data),
                PgWireBackendMessage::ErrorResponse(error) => {
                    refused = Some(EndpointError::from(&error));
                }
                PgWireBackendMessage::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        match (refused, answer) {
            (Some(refused), _) => Err(refused),
            (None, Some(status)) => Ok(status),
            (None, None) => Err(EndpointError::Protocol("the status can't be read".to_owned())),
        }
    }
}
