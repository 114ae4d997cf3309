//! A lease on an owner's connections, for one statement or one transaction.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::Name;

use crate::{
    accounts::Principal,
    relay::{
        link::RelayLink,
        links::RelayLinks,
        messages::{NotSent, PointMessage, RelayOutcome, RelayRequest, RelayTask, values_of},
    },
    serve::{
        connection::ConnectionLost,
        endpoint_task::{EndpointTask, TaskKind},
        verdict::Progress,
    },
    statement::Answer,
};

/// The properties of a statement, besides its task, that are sent to the owner.
#[derive(Clone, Debug)]
pub struct ConnectionLeaseOptions {
    /// The service of the server.
    pub service: Name,
    /// The server that runs it.
    pub server: Name,
    /// Deadline for getting a connection.
    pub wait_until: Instant,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether the sender regards the server as the primary.
    pub at_primary: bool,
    /// Whether it yields to other statements at the primary.
    pub yields: bool,
    /// How often the operation was sent before.
    pub previous_attempts: u32,
    /// Whether no other server that could run it is known.
    pub last_resort: bool,
    /// The principal that it runs for.
    pub principal: Principal,
}

/// Permission to run statements on an owner's connections. Dropping it ends an open transaction.
pub struct ConnectionLease {
    links: Rc<RelayLinks>,
    link: Rc<RelayLink>,
    options: ConnectionLeaseOptions,
    /// The number of the transaction, once one is open.
    transaction: Option<u64>,
}

impl ConnectionLease {
    /// Creates a lease over a link.
    pub fn new(
        links: Rc<RelayLinks>,
        link: Rc<RelayLink>,
        options: ConnectionLeaseOptions,
    ) -> ConnectionLease {
        ConnectionLease { links, link, options, transaction: None }
    }

    /// Returns the server's identity.
    pub fn server(&self) -> &Name {
        &self.options.server
    }

    /// Returns the owner's address.
    pub fn owner(&self) -> SocketAddr {
        self.link.owner()
    }

    /// Runs a task on the owner's connection.
    pub async fn run(
        &mut self,
        task: &EndpointTask,
        deadline: Instant,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        if matches!(task.kind, TaskKind::Begin { .. }) {
            self.transaction = Some(self.link.new_transaction());
        }
        let Some(relay_task) = RelayTask::of(&task.kind) else {
            let lost = ConnectionLost::Malformed("a task that is never forwarded".to_owned());
            return Err((Progress::NotSent, lost));
        };
        let now = Instant::now();
        let request = RelayRequest {
            id: task.id.clone().unwrap_or_default(),
            values: values_of(&task.values),
            min_point: task.min_point.map(PointMessage::from),
            wait_ms: millis(self.options.wait_until.saturating_duration_since(now)),
            answer_timeout_ms: millis(deadline.saturating_duration_since(now)),
            task: Some(relay_task),
            ..self.request()
        };
        match self.link.call(request, deadline).await? {
            RelayOutcome::Answered(answer) => answer.answer().ok_or_else(|| {
                let why = "an unexpected answer of the owner".to_owned();
                (Progress::Sent, ConnectionLost::Malformed(why))
            }),
            RelayOutcome::NotSent(why) => {
                let why = NotSent::from_number(why);
                if why == NotSent::Unwilling {
                    self.links.avoid(&self.link, now);
                }
                Err((Progress::NotSent, ConnectionLost::NotGranted(why)))
            }
            RelayOutcome::Lost(why) => Err((Progress::Sent, ConnectionLost::Broken(why))),
            RelayOutcome::Pong(_)
            | RelayOutcome::Sampled(_)
            | RelayOutcome::Voted(_)
            | RelayOutcome::QuotaGranted(_) => {
                let why = "an unexpected answer of the owner".to_owned();
                Err((Progress::Sent, ConnectionLost::Malformed(why)))
            }
        }
    }

    /// Ends the lease without an open transaction, so that the owner can reuse the connection.
    pub fn release(mut self) {
        self.end(true);
    }

    fn end(&mut self, is_clean: bool) {
        if let Some(transaction) = self.transaction.take() {
            let task = Some(RelayTask::Release(is_clean));
            self.link.send(RelayRequest { task, transaction, ..self.request() });
        }
    }

    fn request(&self) -> RelayRequest {
        RelayRequest {
            number: 0,
            transaction: self.transaction.unwrap_or(0),
            service: self.options.service.to_string(),
            server: self.options.server.to_string(),
            id: Bytes::new(),
            priority: u32::from(self.options.priority),
            at_primary: self.options.at_primary,
            yields: self.options.yields,
            last_resort: self.options.last_resort,
            account: self.options.principal.account_name().to_owned(),
            previous_attempts: self.options.previous_attempts,
            ..RelayRequest::default()
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.end(false);
    }
}

/// Converts to whole milliseconds. Rounds down, so that the owner never gets more time than is left.
fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
