//! Connections to servers that have a queue of their own here: a statement has its turn first, and then its connection.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use overload::{LoadReport, Request, Room, Stage};
use tokio_util::sync::CancellationToken;

use crate::{
    accounts::Principal,
    dialect::EndpointDialect,
    relay::messages::NotSent,
    serve::{
        connection_request::ConnectionRequest,
        pool::{GroupPool, NoConnection, Offer},
        replay::SessionValues,
        server_queue::{NotBegun, Turn},
        share::{Owned, Share},
        slot::ServerSlot,
    },
};

/// How often it is looked again whether a connection may be opened, or has come to rest, after one could not be opened.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

impl<E: EndpointDialect> GroupPool<E> {
    /// Returns what a server has room for, if statements are to wait for it in a queue of its own.
    pub(super) fn queue_room(&self, slot: &ServerSlot<E>, share: &Share) -> Option<Room> {
        let owned = share.owned.filter(|_| self.overload.queue)?;
        let slots = slot.entry.slots;
        let connections = slot.limit + share.loan;
        let owners = match owned {
            Owned::Once { .. } => 1,
            // The owners of all zones share the slots as they share the connections.
            Owned::InEachZone(count) => slots.div_ceil(count.max(1)),
        };
        Some(Room { slots, connections, owners })
    }

    /// Whether statements wait in the queues of servers.
    pub(crate) fn has_queues(&self) -> bool {
        self.overload.queue && self.state.borrow().is_owned
    }

    /// Whether accounts compete for the connections to a server: none can do another's work.
    pub(super) fn do_accounts_compete(&self, share: &Share) -> bool {
        self.overload.reuse && matches!(share.owned, Some(Owned::Once { .. }))
    }

    /// Returns the load of a server that has a queue here.
    pub(crate) fn load_of(&self, server: &str) -> Option<LoadReport> {
        self.with_slot(server, |slot| slot.queue.as_ref().map(|queue| queue.report()))?
    }

    /// Finds a connection to the server at this place, or leave to open one, once the statement has its turn; `None` if there
    /// was none after all, and a server has to be chosen again.
    pub(super) async fn acquire_queued(
        self: &Rc<Self>,
        index: usize,
        request: &ConnectionRequest,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<Option<Offer<E>>, NoConnection> {
        let (server, queue) = {
            let state = self.state.borrow();
            let slot = &state.servers[index];
            (slot.entry.server.clone(), slot.queue.clone())
        };
        let turn = match (queue, &request.principal) {
            (Some(queue), Some(principal)) => {
                let queue_request = request_for(request, principal, deadline);
                let waits = queue.await_turn(queue_request);
                Some(unless_cancelled(request.cancellation.as_ref(), waits).await?)
            }
            // Commands of a daemon, and statements where the server has no queue, wait for nothing but a connection.
            _ => None,
        };
        // Servers may have come and gone meanwhile.
        let place = {
            let state = self.state.borrow();
            state.servers.iter().position(|slot| slot.listed && slot.entry.server == server)
        };
        let Some(index) = place else { return Ok(None) };
        if let Some(principal) = &request.principal {
            self.state.borrow_mut().servers[index].note_use(principal);
        }
        if let Some(connection) = self.take_idle(index, values, request) {
            return Ok(Some(Offer::Ready(self.pooled(connection, request.yields, turn))));
        }
        let may_open = self.state.borrow().servers[index].may_open(Instant::now());
        if may_open || turn.is_none() {
            return Ok(Some(Offer::Open(self.permit_opening(index, request, turn))));
        }
        drop(turn);
        self.await_opening(&server, deadline).await
    }

    /// Waits for a connection where none may be opened now. One that has none and will not open any in time is no server to
    /// wait for.
    async fn await_opening(
        &self,
        server: &str,
        deadline: Instant,
    ) -> Result<Option<Offer<E>>, NoConnection> {
        if self.with_slot(server, |slot| slot.is_out_of_reach_until(deadline)) == Some(true) {
            return Err(NoConnection::Nowhere);
        }
        let recheck_at = Instant::now() + RECHECK_DELAY;
        if recheck_at >= deadline {
            return Err(NoConnection::TooLate);
        }
        tokio::time::sleep_until(recheck_at.into()).await;
        Ok(None)
    }
}

/// Waits for a turn unless its asker takes back what it asked, or is gone.
async fn unless_cancelled(
    cancellation: Option<&CancellationToken>,
    waits: impl Future<Output = Result<Turn, NotBegun>>,
) -> Result<Turn, NotBegun> {
    let Some(cancellation) = cancellation else { return waits.await };
    tokio::select! {
        biased;
        turn = waits => turn,
        () = cancellation.cancelled() => Err(NotBegun::TooLate),
    }
}

fn request_for(request: &ConnectionRequest, principal: &Principal, until: Instant) -> Request {
    let stage = if request.opens_transaction { Stage::Opens } else { Stage::Alone };
    let account = principal.told().into();
    Request { rank: request.rank(), account, stage, until }
}

impl From<NotBegun> for NoConnection {
    fn from(why: NotBegun) -> NoConnection {
        match why {
            NotBegun::Overloaded { come_back } => NoConnection::Overloaded { come_back },
            NotBegun::TooLate => NoConnection::TooLate,
        }
    }
}

impl From<NotBegun> for NotSent {
    fn from(why: NotBegun) -> NotSent {
        match why {
            NotBegun::Overloaded { .. } => NotSent::Overloaded,
            NotBegun::TooLate => NotSent::TooLate,
        }
    }
}
