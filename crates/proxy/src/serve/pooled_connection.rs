//! A connection that one statement or transaction has for itself, and the place of one that is about to be
//! opened. Either goes back to its pool when it is dropped, however that comes about.

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
    relay::lease::Lease,
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

/// The place of a connection that is about to be opened.
pub struct OpeningPermit<E: EndpointDialect> {
    pub(super) pool: Rc<GroupPool<E>>,
    /// The server to connect to.
    pub entry: Arc<ServerEntry>,
    pub(super) yields: bool,
    pub(super) settled: bool,
    /// The permit in the server's queue, where there is one.
    pub(super) permit: Option<QueuePermit>,
    /// For whom the connection will work.
    pub principal: Principal,
}

/// What one statement or transaction has for itself.
pub struct PooledConnection<E: EndpointDialect> {
    pub(super) pool: Rc<GroupPool<E>>,
    pub(super) backing: Backing<E>,
    pub(super) acquired_at: Instant,
    pub(super) yields: bool,
    /// The permit that the connection goes with, and that of the transaction's present statement.
    pub(super) permit: Option<QueuePermit>,
    pub(super) statement_permit: Option<QueuePermit>,
}

/// A connection, or the right to use another daemon's.
pub(super) enum Backing<E: EndpointDialect> {
    /// A connection of this daemon.
    Local(Box<EndpointConnection<E>>),
    /// One of the daemon that owns the connections to this server.
    Remote(Lease),
    /// It was given back.
    Released,
}

impl<E: EndpointDialect> OpeningPermit<E> {
    /// Takes the new connection.
    pub fn opened(mut self, connection: EndpointConnection<E>) -> PooledConnection<E> {
        self.settled = true;
        let permit = self.permit.take();
        self.pool.pooled(Box::new(connection), self.yields, permit)
    }
}

impl<E: EndpointDialect> Drop for OpeningPermit<E> {
    fn drop(&mut self) {
        if !self.settled {
            self.pool.forget_connection(&self.entry.server, self.yields);
        }
    }
}

impl<E: EndpointDialect> PooledConnection<E> {
    /// Returns the server's identity.
    pub fn server(&self) -> &Name {
        match &self.backing {
            Backing::Local(connection) => &connection.server,
            Backing::Remote(lease) => lease.server(),
            Backing::Released => unreachable!("what was given back is not used"),
        }
    }

    /// Returns the server and how it is reached.
    pub fn reached(&self) -> ServerRoute {
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

    /// How long it has been lent.
    pub fn held_for(&self) -> Duration {
        self.acquired_at.elapsed()
    }

    /// Runs something on it.
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
                let lost = ConnectionLost::Broken("it was given back".to_owned());
                Err((Progress::NotSent, lost))
            }
        }
    }

    /// Waits until the next statement of a transaction may begin, where the server has a queue here.
    pub async fn await_permit(&mut self, until: Instant) -> Result<(), QueueRefusal> {
        if let Some(permit) = self.permit.as_ref().filter(|permit| !permit.has_slot()) {
            self.statement_permit = Some(permit.await_next_statement(until).await?);
        }
        Ok(())
    }

    /// Lets others have the slot. Only what the server ran to its end tells how long it takes for a statement.
    fn release_slot(
        &mut self,
        task: &EndpointTask,
        answered: &Result<Answer, (Progress, ConnectionLost)>,
    ) {
        let has_run = matches!(task.kind, TaskKind::Work(_))
            && answered.as_ref().is_ok_and(|answer| answer.error_code().is_none());
        for permit in self.permit.iter_mut().chain(self.statement_permit.iter_mut()) {
            permit.release_slot(has_run);
        }
        self.statement_permit = None;
    }

    /// Gives it back for the next statement. Whatever is not given back is closed.
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

    /// Gives a connection of this daemon to whoever waits for it, or lets it rest.
    fn pass_to_waiter(mut self) {
        if self.is_stale() {
            // Dropped, it makes room for a connection to the server as it is now.
            return;
        }
        // Whoever has the next permit finds the connection at rest: nothing else runs before this ends.
        self.permit = None;
        self.acquired_at = Instant::now();
        if std::mem::take(&mut self.yields) {
            self.pool.with_slot(self.server(), |slot| slot.yielding -= 1);
        }
        while let Some(waiter) = self.pool.next_waiter(self.server()) {
            if !self.may_serve(&waiter.request) {
                return self.replace_for(waiter);
            }
            if waiter.request.yields {
                self.yields = true;
                self.pool.with_slot(self.server(), |slot| slot.yielding += 1);
            }
            match waiter.grant.send(Offer::Ready(self)) {
                Ok(()) => return,
                Err(Offer::Ready(lent)) => {
                    self = lent;
                    if std::mem::take(&mut self.yields) {
                        self.pool.with_slot(self.server(), |slot| slot.yielding -= 1);
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
    /// Whether the server at the other end has started again since this connection was opened.
    fn is_stale(&self) -> bool {
        let Backing::Local(connection) = &self.backing else { return false };
        let now = self.pool.entry_of(&connection.server).and_then(|entry| entry.incarnation);
        connection.incarnation != now
    }

    /// Whether whoever has this request may use this very connection.
    fn may_serve(&self, request: &ConnectionRequest) -> bool {
        match &self.backing {
            Backing::Local(connection) => request.accepts_principal(&connection.principal),
            Backing::Remote(_) | Backing::Released => false,
        }
    }

    /// Ends this connection, so that another one can be opened in its place for who waits and may not use it.
    fn replace_for(mut self, waiter: Waiter<E>) {
        let Backing::Local(connection) = std::mem::replace(&mut self.backing, Backing::Released)
        else {
            return;
        };
        let server = connection.server.clone();
        drop(connection);
        self.pool.with_slot(&server, |slot| slot.leave(false));
        self.pool.offer_opening(&server, waiter);
    }
}

impl<E: EndpointDialect> Drop for PooledConnection<E> {
    fn drop(&mut self) {
        match std::mem::replace(&mut self.backing, Backing::Released) {
            Backing::Local(connection) => {
                let server = connection.server.clone();
                drop(connection);
                self.pool.forget_connection(&server, self.yields);
            }
            Backing::Remote(lease) => self.pool.release_remote(lease.server()),
            Backing::Released => {}
        }
    }
}
