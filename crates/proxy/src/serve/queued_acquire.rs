//! Acquires connections to servers that have a statement queue at this daemon: a statement first waits for
//! a permit of the queue, then gets a connection.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use overload::{Capacity, LoadReport, Request, Stage};
use tokio_util::sync::CancellationToken;

use crate::{
    accounts::Principal,
    dialect::EndpointDialect,
    relay::messages::NotSent,
    serve::{
        connection_request::ConnectionRequest,
        pool::{GroupPool, NoConnection, Offer},
        pooled_server::PooledServer,
        replay::SessionValues,
        server_queue::{QueuePermit, QueueRefusal},
        share::{OwnerQuota, Share},
    },
};

/// Delay after which the pool is checked again for a connection if none may be opened now.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

impl<E: EndpointDialect> GroupPool<E> {
    /// Returns the capacity of a server's queue at this daemon; `None` if its statements are not queued.
    pub(super) fn queue_capacity(
        &self,
        pooled: &PooledServer<E>,
        share: &Share,
    ) -> Option<Capacity> {
        let owned = share.owned.filter(|_| self.overload.queue)?;
        let slots = pooled.entry.slots;
        let connections = pooled.limit + share.overflow;
        let owners = match owned {
            OwnerQuota::Single { .. } => 1,
            // The owners of all zones share the slots in the same way as the connections.
            OwnerQuota::PerZone(count) => slots.div_ceil(count.max(1)),
        };
        Some(Capacity { slots, connections, owners })
    }

    pub(crate) fn has_queues(&self) -> bool {
        self.overload.queue && self.state.borrow().has_owners
    }

    /// Whether accounts compete for the connections to a server, since each connection serves one account.
    pub(super) fn accounts_compete(&self, share: &Share) -> bool {
        self.overload.reuse && matches!(share.owned, Some(OwnerQuota::Single { .. }))
    }

    pub(crate) fn load_of(&self, server: &str) -> Option<LoadReport> {
        self.with_server(server, |pooled| pooled.queue.as_ref().map(|queue| queue.report()))?
    }

    /// Waits for a permit from the queue of the server at `index`, then returns a connection or the permission
    /// to open one. Returns `None` if there was no connection and a server must be chosen again.
    pub(super) async fn acquire_queued(
        self: &Rc<Self>,
        index: usize,
        request: &ConnectionRequest,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<Option<Offer<E>>, NoConnection> {
        let (server, queue) = {
            let state = self.state.borrow();
            let pooled = &state.servers[index];
            (pooled.entry.server.clone(), pooled.queue.clone())
        };
        let permit = match (queue, &request.principal) {
            (Some(queue), Some(principal)) => {
                let queue_request = request_for(request, principal, deadline);
                let wait = queue.await_permit(queue_request);
                Some(unless_cancelled(request.cancellation.as_ref(), wait).await?)
            }
            // Commands of the daemon itself, and statements for a server without a queue, wait only for a connection.
            _ => None,
        };
        // The list of servers may have changed during the wait.
        let found = {
            let state = self.state.borrow();
            state.servers.iter().position(|pooled| pooled.listed && pooled.entry.server == server)
        };
        let Some(index) = found else { return Ok(None) };
        if let Some(principal) = &request.principal {
            self.state.borrow_mut().servers[index].on_used(principal);
        }
        if let Some(connection) = self.take_idle(index, values, request) {
            return Ok(Some(Offer::Ready(self.pooled_connection(
                connection,
                request.yields,
                permit,
            ))));
        }
        let may_open = self.state.borrow().servers[index].may_open(Instant::now());
        if may_open || permit.is_none() {
            return Ok(Some(Offer::Open(self.permit_opening(index, request, permit))));
        }
        drop(permit);
        self.await_opening(&server, deadline).await
    }

    /// Waits until the pool should choose a server again, because no connection to this one may be opened now. Fails if
    /// the server stays unavailable until the deadline, or if the deadline is too close.
    async fn await_opening(
        &self,
        server: &str,
        deadline: Instant,
    ) -> Result<Option<Offer<E>>, NoConnection> {
        if self.with_server(server, |pooled| pooled.is_unavailable_until(deadline)) == Some(true) {
            return Err(NoConnection::NoServer);
        }
        let recheck_at = Instant::now() + RECHECK_DELAY;
        if recheck_at >= deadline {
            return Err(NoConnection::TooLate);
        }
        tokio::time::sleep_until(recheck_at.into()).await;
        Ok(None)
    }
}

/// Waits for a permit, unless the requesting daemon cancels the request or disconnects.
async fn unless_cancelled(
    cancellation: Option<&CancellationToken>,
    wait: impl Future<Output = Result<QueuePermit, QueueRefusal>>,
) -> Result<QueuePermit, QueueRefusal> {
    let Some(cancellation) = cancellation else { return wait.await };
    tokio::select! {
        biased;
        permit = wait => permit,
        () = cancellation.cancelled() => Err(QueueRefusal::TooLate),
    }
}

fn request_for(request: &ConnectionRequest, principal: &Principal, until: Instant) -> Request {
    let stage = if request.opens_transaction { Stage::Opens } else { Stage::Alone };
    let account = principal.account_name().into();
    Request { rank: request.rank(), account, stage, until }
}

impl From<QueueRefusal> for NoConnection {
    fn from(why: QueueRefusal) -> NoConnection {
        match why {
            QueueRefusal::Overloaded { retry_delay } => NoConnection::Overloaded { retry_delay },
            QueueRefusal::TooLate => NoConnection::TooLate,
        }
    }
}

impl From<QueueRefusal> for NotSent {
    fn from(why: QueueRefusal) -> NotSent {
        match why {
            QueueRefusal::Overloaded { .. } => NotSent::Overloaded,
            QueueRefusal::TooLate => NotSent::TooLate,
        }
    }
}
