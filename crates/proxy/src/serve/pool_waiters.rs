//! Statements that wait for a connection of a pool whose servers have no statement queues.

use std::{collections::VecDeque, rc::Rc, time::Instant};

use tokio::sync::oneshot;

use crate::{
    dialect::EndpointDialect,
    serve::{
        connection_request::ConnectionRequest,
        pool::{GroupPool, NoConnection, Offer, PRIORITIES, PoolState, Waiter},
        pooled_server::PooledServer,
    },
};

/// Maximum number of statements that wait for the connections of one service; more are refused at once.
const MAX_WAITERS: usize = 256;

impl<E: EndpointDialect> GroupPool<E> {
    pub(super) async fn wait_for_connection(
        self: &Rc<Self>,
        request: ConnectionRequest,
        deadline: Instant,
    ) -> Result<Offer<E>, NoConnection> {
        let (grant, granted) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            for queue in &mut state.waiters {
                queue.retain(|waiter| !waiter.grant.is_closed());
            }
            if state.waiters.iter().map(VecDeque::len).sum::<usize>() >= MAX_WAITERS {
                return Err(NoConnection::QueueFull);
            }
            let queue_index = usize::from(request.priority).min(PRIORITIES - 1);
            state.waiters[queue_index].push_back(Waiter { request, grant });
        }
        match tokio::time::timeout_at(deadline.into(), granted).await {
            Ok(Ok(offer)) => Ok(offer),
            Ok(Err(_)) => Err(NoConnection::NoServer),
            Err(_) => Err(NoConnection::TooLate),
        }
    }

    /// Offers free connections, or permissions to open one, to waiting statements.
    pub(super) fn serve_waiters(self: &Rc<Self>) {
        loop {
            let free = {
                let now = Instant::now();
                let state = self.state.borrow();
                let mut free = state.servers.iter().filter(|pooled| pooled.has_room(now));
                let waits = |pooled: &&PooledServer<E>| self.has_waiter(&state, pooled);
                free.find(waits).map(|pooled| pooled.entry.clone())
            };
            let Some(entry) = free else { return };
            let Some(waiter) = self.next_waiter(&entry.server) else { return };
            self.offer_opening(&entry.server, waiter);
        }
    }

    fn has_waiter(&self, state: &PoolState<E>, pooled: &PooledServer<E>) -> bool {
        let now = Instant::now();
        state.waiters.iter().flatten().filter(|waiter| !waiter.grant.is_closed()).any(|waiter| {
            pooled.is_fit(&waiter.request, now) && !pooled.is_full_for(&waiter.request)
        })
    }

    /// Removes and returns the most urgent waiting statement that may run on a server.
    pub(super) fn next_waiter(&self, server: &str) -> Option<Waiter<E>> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let PoolState { servers, waiters, .. } = &mut *state;
        let pooled = servers.iter().find(|pooled| &*pooled.entry.server == server)?;
        if !pooled.listed {
            return None;
        }
        for queue in waiters {
            queue.retain(|waiter| !waiter.grant.is_closed());
            let fits = |request: &ConnectionRequest| {
                pooled.is_fit(request, now) && !pooled.is_full_for(request)
            };
            if let Some(index) = queue.iter().position(|waiter| fits(&waiter.request)) {
                return queue.remove(index);
            }
        }
        None
    }
}
