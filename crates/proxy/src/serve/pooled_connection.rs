//! A pooled connection in use by one statement or transaction, and the permit to open one. Both return to the pool
//! when dropped.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    dialect::EndpointDialect,
    relay::lease::ConnectionLease,
    serve::{
        connection::{ConnectionLost, EndpointConnection, ServerRoute},
        connection_request::ConnectionRequest,
        endpoint_task::{EndpointTask, TaskKind},
        pool::{GroupPool, Offer, Waiter},
        server_queue::{QueuePermit, QueueRefusal},
        verdict::Progress,
    },
    statement::Answer,
};

/// Permission to open one connection. Dropped unused, it releases its place in the pool.
pub struct OpeningPermit<E: EndpointDialect> {
    pub(super) pool: Rc<GroupPool<E>>,
    /// The server to connect to.
    pub entry: Arc<ServerEntry>,
    pub(super) yields: bool,
    pub(super) is_opened: bool,
    /// The permit of the server's queue, if it has one.
    pub(super) permit: Option<QueuePermit>,
    /// The principal that the connection will work for.
    pub principal: Principal,
}

/// A connection in exclusive use by one statement or transaction.
pub struct PooledConnection<E: EndpointDialect> {
    pub(super) pool: Rc<GroupPool<E>>,
    pub(super) backing: Backing<E>,
    pub(super) acquired_at: Instant,
    pub(super) yields: bool,
    /// The queue permit with which the connection was acquired.
    pub(super) permit: Option<QueuePermit>,
    /// The queue permit of the transaction's current statement, after the slot of `permit` was released.
    pub(super) statement_permit: Option<QueuePermit>,
}

/// What a pooled connection runs on.
pub(super) enum Backing<E: EndpointDialect> {
    /// A connection of this daemon.
    Local(Box<EndpointConnection<E>>),
    /// A lease on a connection of the daemon that owns them.
    Remote(ConnectionLease),
    /// Nothing; the connection was released.
    Released,
}

impl<E: EndpointDialect> OpeningPermit<E> {
    /// Turns the permit into the opened connection.
    pub fn opened(mut self, connection: EndpointConnection<E>) -> PooledConnection<E> {
        self.is_opened = true;
        let permit = self.permit.take();
        self.pool.pooled_connection(Box::new(connection), self.yields, permit)
    }
}

impl<E: EndpointDialect> Drop for OpeningPermit<E> {
    fn drop(&mut self) {
        if !self.is_opened {
            self.pool.release_place(&self.entry.server, self.yields);
        }
    }
}

impl<E: EndpointDialect> PooledConnection<E> {
    /// Returns the server's identity.
    pub fn server(&self) -> &Name {
        match &self.backing {
            Backing::Local(connection) => &connection.server,
            Backing::Remote(lease) => lease.server(),
            Backing::Released => unreachable!("a released connection is not used"),
        }
    }

    /// Returns the server and the route to it.
    pub fn server_route(&self) -> ServerRoute {
        let is_direct = match &self.backing {
            Backing::Local(connection) => connection.is_direct,
            Backing::Remote(_) | Backing::Released => false,
        };
        let owner = match &self.backing {
            Backing::Remote(lease) => Some(lease.owner()),
            Backing::Local(_) | Backing::Released => None,
        };
        ServerRoute { server: self.server().clone(), is_direct, is_own: self.is_own(), owner }
    }

    fn is_own(&self) -> bool {
        matches!(self.backing, Backing::Local(_))
    }

    /// Returns how long the connection has been in use.
    pub fn held_for(&self) -> Duration {
        self.acquired_at.elapsed()
    }

    /// Runs a task on the connection.
    pub async fn run(
        &mut self,
        task: &EndpointTask,
        deadline: Instant,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        match &mut self.backing {
            Backing::Local(connection) => {
                let answered = task.run(connection, deadline).await;
                self.release_slot(task, &answered);
                answered
            }
            Backing::Remote(lease) => lease.run(task, deadline).await,
            Backing::Released => {
                let lost = ConnectionLost::Broken("the connection was released".to_owned());
                Err((Progress::NotSent, lost))
            }
        }
    }

    /// Waits until the next statement of a transaction may begin, if the server has a queue at this daemon.
    pub async fn await_permit(&mut self, until: Instant) -> Result<(), QueueRefusal> {
        if let Some(permit) = self.permit.as_ref().filter(|permit| !permit.has_slot()) {
            self.statement_permit = Some(permit.await_next_statement(until).await?);
        }
        Ok(())
    }

    /// Releases the server's slot to other statements. Only those that ran to completion count for the service time.
    fn release_slot(
        &mut self,
        task: &EndpointTask,
        answered: &Result<Answer, (Progress, ConnectionLost)>,
    ) {
        let has_run = matches!(task.kind, TaskKind::Statement(_))
            && answered.as_ref().is_ok_and(|answer| answer.error_code().is_none());
        for permit in self.permit.iter_mut().chain(self.statement_permit.iter_mut()) {
            permit.release_slot(has_run);
        }
        self.statement_permit = None;
    }

    /// Returns the connection to the pool. A connection that is dropped without this is closed.
    pub fn release(mut self) {
        match std::mem::replace(&mut self.backing, Backing::Released) {
            Backing::Remote(lease) => {
                self.pool.release_remote(lease.server());
                lease.release();
            }
            Backing::Local(mut connection) => {
                connection.release_buffers();
                self.backing = Backing::Local(connection);
                self.pass_to_waiter();
            }
            Backing::Released => {}
        }
    }

    /// Passes the connection to a waiting request, or adds it to the idle connections.
    fn pass_to_waiter(mut self) {
        if self.is_stale() {
            // Dropping it makes room for a connection to the server's current incarnation.
            return;
        }
        // The statement that gets the permit next finds this connection idle: no other task runs before this function
        // returns.
        self.permit = None;
        self.acquired_at = Instant::now();
        if std::mem::take(&mut self.yields) {
            self.pool.with_server(self.server(), |pooled| pooled.yielding -= 1);
        }
        while let Some(waiter) = self.pool.next_waiter(self.server()) {
            if !self.may_serve(&waiter.request) {
                return self.replace_for(waiter);
            }
            if waiter.request.yields {
                self.yields = true;
                self.pool.with_server(self.server(), |pooled| pooled.yielding += 1);
            }
            match waiter.grant.send(Offer::Ready(self)) {
                Ok(()) => return,
                Err(Offer::Ready(connection)) => {
                    self = connection;
                    if std::mem::take(&mut self.yields) {
                        self.pool.with_server(self.server(), |pooled| pooled.yielding -= 1);
                    }
                }
                Err(Offer::Open(_)) => return,
            }
        }
        if let Backing::Local(connection) = std::mem::replace(&mut self.backing, Backing::Released)
        {
            self.pool.put_idle(connection);
        }
    }
}

impl<E: EndpointDialect> PooledConnection<E> {
    /// Whether the server has restarted since this connection was opened.
    fn is_stale(&self) -> bool {
        let Backing::Local(connection) = &self.backing else { return false };
        let now = self.pool.entry_of(&connection.server).and_then(|entry| entry.incarnation);
        connection.incarnation != now
    }

    /// Whether a request may use this connection.
    fn may_serve(&self, request: &ConnectionRequest) -> bool {
        match &self.backing {
            Backing::Local(connection) => request.accepts_principal(&connection.principal),
            Backing::Remote(_) | Backing::Released => false,
        }
    }

    /// Closes this connection and lets a waiting request that can't use it open another in its place.
    fn replace_for(mut self, waiter: Waiter<E>) {
        let Backing::Local(connection) = std::mem::replace(&mut self.backing, Backing::Released)
        else {
            return;
        };
        let server = connection.server.clone();
        drop(connection);
        self.pool.with_server(&server, |pooled| pooled.on_released(false));
        self.pool.offer_opening(&server, waiter);
    }
}

impl<E: EndpointDialect> Drop for PooledConnection<E> {
    fn drop(&mut self) {
        match std::mem::replace(&mut self.backing, Backing::Released) {
            Backing::Local(connection) => {
                let server = connection.server.clone();
                drop(connection);
                self.pool.release_place(&server, self.yields);
            }
            Backing::Remote(lease) => self.pool.release_remote(lease.server()),
            Backing::Released => {}
        }
    }
}
