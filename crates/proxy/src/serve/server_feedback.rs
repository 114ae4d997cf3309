//! Feedback to a pool on its servers, and queries of the state that results from it.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::LogPoint;
use overload::Rank;

use crate::{
    catalog::ServerEntry,
    dialect::EndpointDialect,
    relay::link::RelayLink,
    serve::{pool::GroupPool, pooled_server::PooledServer},
};

impl<E: EndpointDialect> GroupPool<E> {
    /// Records an answer of a server, with its log point and, if it succeeded, its latency.
    pub fn on_answer(&self, server: &str, point: Option<LogPoint>, took: Option<Duration>) {
        self.with_server(server, |pooled| pooled.on_answer(point, took));
    }

    /// Records that a server's log did not hold the required point.
    pub fn on_lagging(&self, server: &str) {
        self.with_server(server, PooledServer::on_lagging);
    }

    /// Records that a server could not be reached or failed; it is skipped for a while.
    pub fn on_failure(&self, server: &str) {
        self.with_server(server, PooledServer::on_failure);
    }

    /// Closes the idle connections to a server after a statement on one of its connections timed out: usually all of
    /// them are dead, and each would make another statement time out.
    pub fn on_statement_timeout(&self, server: &str) {
        self.with_server(server, |pooled| pooled.idle.clear());
    }

    /// Records that a connection could not be opened. No further one is opened during a backoff, so that a
    /// server which refuses connections is not flooded; statements wait for the existing connections.
    pub fn on_open_failed(self: &Rc<Self>, server: &str, refused: bool) {
        let Some(backoff) = self.with_server(server, |pooled| pooled.on_open_failed(refused))
        else {
            return;
        };
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(backoff).await;
            pool.serve_waiters();
        });
    }

    /// Returns the expected wait of a statement at a server as last reported by the owner of its connections;
    /// without an owner, as estimated from the statements that wait at this daemon.
    pub fn expected_wait_at(&self, server: &str, rank: Rank) -> Duration {
        let now = Instant::now();
        let reported =
            self.owner_link(server).map(|owner| self.reported_wait(&owner, server, rank, now));
        reported.unwrap_or_else(|| self.expected_wait())
    }

    /// Returns the expected wait of a statement as last reported by an owner; zero without a report.
    pub(super) fn reported_wait(
        &self,
        owner: &RelayLink,
        server: &str,
        rank: Rank,
        now: Instant,
    ) -> Duration {
        let report = owner.load_of(server).filter(|_| self.overload.balance);
        report.map_or(Duration::ZERO, |report| report.expected_wait(rank, now))
    }

    /// Estimates how long a new statement would wait for a connection; used for retry delays.
    pub fn expected_wait(&self) -> Duration {
        let state = self.state.borrow();
        let waiting: usize = state.waiters.iter().map(VecDeque::len).sum();
        let connections: u32 = state.servers.iter().map(|pooled| pooled.limit).sum();
        let latency_us =
            state.servers.iter().map(|pooled| pooled.latency.get_us()).max().unwrap_or(0);
        let outstanding = 1 + waiting as u64 / u64::from(connections.max(1));
        Duration::from_micros(u64::from(latency_us) * outstanding)
    }

    /// Returns the daemon whose tunnel is to be used for a server; `None` if the server is reached directly or
    /// not at all.
    pub fn tunnel_to(&self, server: &str) -> Option<SocketAddr> {
        let now = Instant::now();
        self.with_server(server, |pooled| pooled.tunnel(now))?
    }

    /// Records that a connection to a server through another daemon failed.
    pub fn on_tunnel_failed(&self, server: &str, peer: SocketAddr) {
        self.with_server(server, |pooled| pooled.on_tunnel_failed(peer));
    }

    /// Whether every listed server except the given one was lagging recently.
    pub fn are_others_lagging(&self, primary: &str) -> bool {
        let now = Instant::now();
        let state = self.state.borrow();
        let mut others =
            state.servers.iter().filter(|pooled| pooled.listed && &*pooled.entry.server != primary);
        others.clone().next().is_some() && others.all(|pooled| pooled.has_lagged(now))
    }

    /// Returns the average latency of a server; zero if it is unknown.
    pub fn latency_of(&self, server: &str) -> Duration {
        let us = self.with_server(server, |pooled| pooled.latency.get_us()).unwrap_or(0);
        Duration::from_micros(u64::from(us))
    }

    /// Returns the entry of a server by its identity.
    pub fn entry_of(&self, server: &str) -> Option<Arc<ServerEntry>> {
        self.with_server(server, |pooled| pooled.entry.clone())
    }
}
