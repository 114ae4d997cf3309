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
        connection::{ConnectionLost, EndpointConnection, Reached},
        connection_request::ConnectionRequest,
        endpoint_task::{EndpointTask, TaskKind},
        pool::{GroupPool, Offer, Waiter},
        server_queue::{NotBegun, Turn},
        verdict::Progress,
    },
    statement::Answer,
};

/// The place of a connection that is about to be opened.
pub struct OpeningPlace<E: EndpointDialect> {
    pub(super) pool: Rc<GroupPool<E>>,
    /// The server to connect to.
    pub entry: Arc<ServerEntry>,
    pub(super) yields: bool,
    pub(super) settled: bool,
    /// The turn in the server's queue, where there is one.
    pub(super) turn: Option<Turn>,
    /// For whom the connection will work.
    pub principal: Principal,
}

/// What one statement or transaction has for itself.
pub struct Lent<E: EndpointDialect> {
    pub(super) pool: Rc<GroupPool<E>>,
    pub(super) held: Held<E>,
    pub(super) lent_at: Instant,
    pub(super) yields: bool,
    /// The turn that the connection goes with, and that of the transaction's present statement.
    pub(super) turn: Option<Turn>,
    pub(super) step: Option<Turn>,
}

/// A connection, or the right to use another daemon's.
pub(super) enum Held<E: EndpointDialect> {
    /// A connection of this daemon.
    Own(Box<EndpointConnection<E>>),
    /// One of the daemon that owns the connections to this server.
    Owners(Lease),
    /// It was given back.
    Nothing,
}

impl<E: EndpointDialect> OpeningPlace<E> {
    /// Takes the new connection.
    pub fn opened(mut self, connection: EndpointConnection<E>) -> Lent<E> {
        self.settled = true;
        let turn = self.turn.take();
        self.pool.lent(Box::new(connection), self.yields, turn)
    }
}

impl<E: EndpointDialect> Drop for OpeningPlace<E> {
    fn drop(&mut self) {
        if !self.settled {
            self.pool.give_up(&self.entry.server, self.yields);
        }
    }
}

impl<E: EndpointDialect> Lent<E> {
    /// Returns the server's identity.
    pub fn server(&self) -> &Name {
        match &self.held {
            Held::Own(connection) => &connection.server,
            Held::Owners(lease) => lease.server(),
            Held::Nothing => unreachable!("what was given back is not used"),
        }
    }

    /// Returns the server and how it is reached.
    pub fn reached(&self) -> Reached {
        let is_direct = match &self.held {
            Held::Own(connection) => connection.is_direct,
            Held::Owners(_) | Held::Nothing => false,
        };
        let owner = match &self.held {
            Held::Owners(lease) => Some(lease.owner()),
            Held::Own(_) | Held::Nothing => None,
        };
        Reached { server: self.server().clone(), is_direct, is_own: self.is_own(), owner }
    }

    fn is_own(&self) -> bool {
        matches!(self.held, Held::Own(_))
    }

    /// How long it has been lent.
    pub fn lent_for(&self) -> Duration {
        self.lent_at.elapsed()
    }

    /// Runs something on it.
    pub async fn run(
        &mut self,
        task: &EndpointTask,
        deadline: Instant,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        match &mut self.held {
            Held::Own(connection) => {
                let answered = task.run(connection, deadline).await;
                self.leave_slot(task, &answered);
                answered
            }
            Held::Owners(lease) => lease.run(task, deadline).await,
            Held::Nothing => {
                let lost = ConnectionLost::Broken("it was given back".to_owned());
                Err((Progress::NotSent, lost))
            }
        }
    }

    /// Waits until the next statement of a transaction may begin, where the server has a queue here.
    pub async fn await_turn(&mut self, until: Instant) -> Result<(), NotBegun> {
        if let Some(turn) = self.turn.as_ref().filter(|turn| !turn.has_slot()) {
            self.step = Some(turn.await_next(until).await?);
        }
        Ok(())
    }

    /// Lets others have the slot. Only what the server ran to its end tells how long it takes for a statement.
    fn leave_slot(
        &mut self,
        task: &EndpointTask,
        answered: &Result<Answer, (Progress, ConnectionLost)>,
    ) {
        let has_run = matches!(task.kind, TaskKind::Work(_))
            && answered.as_ref().is_ok_and(|answer| answer.error_code().is_none());
        for turn in self.turn.iter_mut().chain(self.step.iter_mut()) {
            turn.leave_slot(has_run);
        }
        self.step = None;
    }

    /// Gives it back for the next statement. Whatever is not given back is closed.
    pub fn give_back(mut self) {
        match std::mem::replace(&mut self.held, Held::Nothing) {
            Held::Owners(lease) => {
                self.pool.leave_owner(lease.server());
                lease.give_back();
            }
            Held::Own(mut connection) => {
                connection.rest();
                self.held = Held::Own(connection);
                self.hand_on();
            }
            Held::Nothing => {}
        }
    }

    /// Gives a connection of this daemon to whoever waits for it, or lets it rest.
    fn hand_on(mut self) {
        if self.is_of_former_life() {
            // Dropped, it makes room for a connection to the server as it is now.
            return;
        }
        // Whoever has the next turn finds the connection at rest: nothing else runs before this ends.
        self.turn = None;
        self.lent_at = Instant::now();
        if std::mem::take(&mut self.yields) {
            self.pool.with_slot(self.server(), |slot| slot.yielding -= 1);
        }
        while let Some(waiter) = self.pool.next_waiter(self.server()) {
            if !self.works_for(&waiter.request) {
                return self.make_room_for(waiter);
            }
            if waiter.request.yields {
                self.yields = true;
                self.pool.with_slot(self.server(), |slot| slot.yielding += 1);
            }
            match waiter.grant.send(Offer::Lent(self)) {
                Ok(()) => return,
                Err(Offer::Lent(lent)) => {
                    self = lent;
                    if std::mem::take(&mut self.yields) {
                        self.pool.with_slot(self.server(), |slot| slot.yielding -= 1);
                    }
                }
                Err(Offer::Open(_)) => return,
            }
        }
        if let Held::Own(connection) = std::mem::replace(&mut self.held, Held::Nothing) {
            self.pool.put_idle(connection);
        }
    }
}

impl<E: EndpointDialect> Lent<E> {
    /// Whether the server at the other end has started again since this connection was opened.
    fn is_of_former_life(&self) -> bool {
        let Held::Own(connection) = &self.held else { return false };
        let now = self.pool.entry_of(&connection.server).and_then(|entry| entry.incarnation);
        connection.incarnation != now
    }

    /// Whether whoever has this request may use this very connection.
    fn works_for(&self, request: &ConnectionRequest) -> bool {
        match &self.held {
            Held::Own(connection) => request.accepts_principal(&connection.principal),
            Held::Owners(_) | Held::Nothing => false,
        }
    }

    /// Ends this connection, so that another one can be opened in its place for who waits and may not use it.
    fn make_room_for(mut self, waiter: Waiter<E>) {
        let Held::Own(connection) = std::mem::replace(&mut self.held, Held::Nothing) else {
            return;
        };
        let server = connection.server.clone();
        drop(connection);
        self.pool.with_slot(&server, |slot| slot.leave(false));
        self.pool.offer_place(&server, waiter);
    }
}

impl<E: EndpointDialect> Drop for Lent<E> {
    fn drop(&mut self) {
        match std::mem::replace(&mut self.held, Held::Nothing) {
            Held::Own(connection) => {
                let server = connection.server.clone();
                drop(connection);
                self.pool.give_up(&server, self.yields);
            }
            Held::Owners(lease) => self.pool.leave_owner(lease.server()),
            Held::Nothing => {}
        }
    }
}
