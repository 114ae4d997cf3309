//! The ways from this daemon to a server, through the owners of its connections or by itself, and which of them work.
//!
//! A failure is charged to the hop that shows it: the link to an owner keeps its own account ([`crate::relay::links`]), an
//! owner that can't reach the server says so, and this daemon's own probe tells of its own way.

use std::{collections::HashMap, net::SocketAddr, time::Instant};

use model::Name;
use overload::{Circuit, CircuitChange, PathOutcome};

use crate::{
    dialect::{CallerDialect, EndpointDialect},
    relay::messages::NotSent,
    serve::{
        connection::{ConnectionLost, Reached},
        engine::Engine,
        pool::GroupPool,
    },
};

/// The ways to one server.
#[derive(Debug, Default)]
pub(crate) struct ServerPaths {
    through_owners: HashMap<SocketAddr, Circuit>,
    /// Whether this daemon's own connects go unanswered.
    is_dark: bool,
    /// When the server last answered on a connection of this daemon.
    answered_at: Option<Instant>,
}

impl ServerPaths {
    /// Whether a statement may go through an owner now.
    pub(crate) fn may_pass(&self, owner: &SocketAddr, now: Instant) -> bool {
        self.through_owners.get(owner).is_none_or(|circuit| circuit.may_pass(now))
    }

    /// Notes that a statement goes through an owner.
    pub(crate) fn on_pass(&mut self, owner: &SocketAddr, now: Instant) {
        if let Some(circuit) = self.through_owners.get_mut(owner) {
            circuit.on_pass(now);
        }
    }

    /// Whether this daemon itself has no way to the server.
    pub(crate) fn is_dark(&self) -> bool {
        self.is_dark
    }

    /// Forgets owners that are none any more.
    pub(crate) fn keep_only(&mut self, owners: &[SocketAddr]) {
        self.through_owners.retain(|owner, _| owners.contains(owner));
    }

    fn on_outcome(
        &mut self,
        owner: SocketAddr,
        outcome: PathOutcome,
        now: Instant,
    ) -> Option<CircuitChange> {
        if outcome == PathOutcome::Answered && !self.through_owners.contains_key(&owner) {
            return None;
        }
        let circuit = self.through_owners.entry(owner).or_default();
        let change = circuit.on_outcome(outcome, now);
        if change == Some(CircuitChange::Closed) {
            self.through_owners.remove(&owner);
        }
        change
    }

    /// Notes an answer on a connection of this daemon.
    fn on_direct_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.is_dark = false;
    }

    /// Notes that a connect went unanswered that was begun at `asked_at`; an answer since then says more: a server that is
    /// busy takes long for a new connection.
    fn on_dark(&mut self, asked_at: Instant) {
        self.is_dark = self.answered_at.is_none_or(|at| at < asked_at);
    }
}

impl<E: EndpointDialect> GroupPool<E> {
    /// Notes that a server answered this daemon itself, be it only a connect.
    pub(crate) fn on_direct_answer(&self, server: &str) {
        self.with_slot(server, |slot| slot.paths.on_direct_answer(Instant::now()));
    }

    /// Notes that a server does not answer this daemon's connects; who waits for a connection to it hears so at once.
    pub(crate) fn on_dark(&self, server: &str, asked_at: Instant) {
        if !self.has_circuits() {
            return;
        }
        self.with_slot(server, |slot| slot.paths.on_dark(asked_at));
        self.send_away_from(server);
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Takes note that an owner's server answered.
    pub(crate) fn note_path_answered(&self, pool: &GroupPool<E>, reached: &Reached) {
        self.note_path_outcome(pool, reached, PathOutcome::Answered);
    }

    /// Takes note of why a statement that was handed to an owner got no answer.
    pub(crate) fn note_path_lost(
        &self,
        pool: &GroupPool<E>,
        reached: &Reached,
        lost: &ConnectionLost,
    ) {
        if *lost == ConnectionLost::NotGranted(NotSent::Unreachable) {
            self.note_path_outcome(pool, reached, PathOutcome::Refused);
        }
    }

    fn note_path_outcome(&self, pool: &GroupPool<E>, reached: &Reached, outcome: PathOutcome) {
        let Some(owner) = reached.owner.filter(|_| self.settings.overload.circuits) else { return };
        let now = Instant::now();
        let change = pool.with_slot(&reached.server, |slot| {
            slot.paths.on_outcome(owner, outcome, now)
        });
        if let Some(Some(change)) = change {
            self.log_circuit(&reached.server, owner, change);
        }
    }

    fn log_circuit(&self, server: &Name, owner: SocketAddr, change: CircuitChange) {
        let state = match change {
            CircuitChange::Opened => "open",
            CircuitChange::Closed => "closed",
        };
        self.metrics.circuits.with_label_values(&["owner_to_server", state]).inc();
        log::info!(
            event = "circuit", hop = "owner_to_server", server = &**server,
            owner = owner.to_string().as_str(), state = state;
            "the circuit of a way to a server changed"
        );
    }
}
