//! What a pool is told of its servers, and what it tells of them.

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
    serve::{pool::GroupPool, slot::ServerSlot},
};

impl<E: EndpointDialect> GroupPool<E> {
    /// Notes that a server answered, with its point and, if it did what it was asked, how long it took.
    pub fn on_answer(&self, server: &str, point: Option<LogPoint>, took: Option<Duration>) {
        self.with_slot(server, |slot| slot.note_answer(point, took));
    }

    /// Notes that a server's log lacked the point that was asked for.
    pub fn on_lagging(&self, server: &str) {
        self.with_slot(server, ServerSlot::note_lagging);
    }

    /// Notes that a server could not be reached or failed; it is passed over for a while.
    pub fn on_failure(&self, server: &str) {
        self.with_slot(server, ServerSlot::note_failure);
    }

    /// Ends the resting connections to a server on one of which nothing came: connections fall silent
    /// together, and each would cost another statement its time.
    pub fn on_silence(&self, server: &str) {
        self.with_slot(server, |slot| slot.idle.clear());
    }

    /// Notes that a connection could not be opened: nobody tries again for a while, so that a server
    /// which grants no more is not flooded, and statements wait for the connections there are.
    pub fn on_open_failed(self: &Rc<Self>, server: &str, refused: bool) {
        let Some(backoff) = self.with_slot(server, |slot| slot.note_open_failed(refused)) else {
            return;
        };
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(backoff).await;
            pool.serve_waiters();
        });
    }

    /// Returns how long a statement would wait at a server by what the owner of its connections told last; by what waits here if
    /// nothing was told.
    pub fn expected_wait_at(&self, server: &str, rank: Rank) -> Duration {
        let now = Instant::now();
        let told =
            self.owner_link(server).map(|owner| self.reported_wait(&owner, server, rank, now));
        told.unwrap_or_else(|| self.expected_wait())
    }

    /// Returns how long a statement would wait by what an owner told last; nothing if it told nothing.
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

    /// Returns how long a new statement would wait, for callers that are told when to come back.
    pub fn expected_wait(&self) -> Duration {
        let state = self.state.borrow();
        let waiting: usize = state.waiters.iter().map(VecDeque::len).sum();
        let connections: u32 = state.servers.iter().map(|slot| slot.limit).sum();
        let latency_us = state.servers.iter().map(|slot| slot.latency.get_us()).max().unwrap_or(0);
        let rounds = 1 + waiting as u64 / u64::from(connections.max(1));
        Duration::from_micros(u64::from(latency_us) * rounds)
    }

    /// Returns a daemon through which a server is to be reached; `None` if it is reached directly, or not
    /// at all.
    pub fn tunnel_to(&self, server: &str) -> Option<SocketAddr> {
        let now = Instant::now();
        self.with_slot(server, |slot| slot.tunnel(now))?
    }

    /// Notes that no connection to a server came about through another daemon.
    pub fn on_tunnel_failed(&self, server: &str, peer: SocketAddr) {
        self.with_slot(server, |slot| slot.note_tunnel_failed(peer));
    }

    /// Whether every listed server but this one lagged behind a moment ago.
    pub fn are_others_lagging(&self, primary: &str) -> bool {
        let now = Instant::now();
        let state = self.state.borrow();
        let mut others =
            state.servers.iter().filter(|slot| slot.listed && &*slot.entry.server != primary);
        others.clone().next().is_some() && others.all(|slot| slot.has_lagged(now))
    }

    /// Returns a server's average answering time; zero if it is not known.
    pub fn latency_of(&self, server: &str) -> Duration {
        let us = self.with_slot(server, |slot| slot.latency.get_us()).unwrap_or(0);
        Duration::from_micros(u64::from(us))
    }

    /// Returns a server's entry by its identity.
    pub fn entry_of(&self, server: &str) -> Option<Arc<ServerEntry>> {
        self.with_slot(server, |slot| slot.entry.clone())
    }
}
