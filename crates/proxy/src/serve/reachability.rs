//! Which servers answer this daemon, and what the control thread is told of it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use model::{LogPoint, Name};
use tokio::time::timeout;

use crate::{
    accounts::Principal,
    catalog::ServerEntry,
    control::control_view::Observation,
    dialect::{CallerDialect, EndpointDialect},
    serve::{
        connection::{ConnectionLost, EndpointConnection, ServerRoute},
        engine::{Engine, Group},
        verdict::is_server_failure,
    },
    statement::ErrorCode,
};

/// How long reads must have been refused for want of replicas before the control thread is told. A planned
/// change of primary costs twice as much, once; without one the reads of the group go on being refused for
/// as long as its replicas are behind, and half of a second more of that costs more than a needless change.
const BEHIND_REPORT_AFTER: Duration = Duration::from_millis(500);
/// Refusals further apart than this are not one shortage.
const BEHIND_GAP: Duration = Duration::from_millis(1_000);
/// How long after a server was found to be out of reach it is asked again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a server may take to accept a connection that only asks whether it is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// What is known of a server that was asked whether it is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeState {
    Probing,
    Unreachable,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Takes what is known of a server after it answered.
    pub fn note_answer(
        &self,
        group: &Group<E>,
        service: &Name,
        from: &ServerRoute,
        point: Option<LogPoint>,
        took: Option<Duration>,
    ) {
        group.pool.on_answer(&from.server, point, took);
        self.note_path_answered(&group.pool, from);
        if from.is_direct {
            self.note_reachable(group, service, &from.server);
        }
    }

    /// Takes note that a connection was lost, and finds out whether the server still lives.
    pub fn note_loss(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        service: &Name,
        reached: &ServerRoute,
        lost: &ConnectionLost,
    ) {
        let server = &reached.server;
        if !reached.is_own {
            // Its owner finds out what has become of the server.
            log::info!(
                event = "handed_over_lost", service = &**service, server = &**server,
                why = lost.to_string().as_str();
                "a statement that was handed to an owner got no answer of its server"
            );
            self.note_path_lost(&group.pool, reached, lost);
            return;
        }
        if is_server_failure(lost) {
            group.pool.on_failure(server);
        }
        if *lost == ConnectionLost::TimedOut {
            group.pool.on_silence(server);
        }
        log::info!(
            event = "connection_lost", service = &**service, server = &**server,
            why = lost.to_string().as_str();
            "a connection to a server was lost"
        );
        self.probe(group, service, server);
    }

    /// Asks a server that has been silent whether it is alive, once at a time.
    pub fn probe(self: &Rc<Self>, group: &Rc<Group<E>>, service: &Name, server: &Name) {
        if group.probes.borrow().contains_key(server) {
            return;
        }
        let Some(entry) = group.pool.entry_of(server) else { return };
        group.probes.borrow_mut().insert(server.clone(), ProbeState::Probing);
        let (engine, group) = (self.clone(), group.clone());
        let (service, server) = (service.clone(), server.clone());
        tokio::task::spawn_local(async move {
            loop {
                let asked_at = Instant::now();
                if engine.is_alive(&entry).await {
                    break;
                }
                engine.note_unreachable(&group, &service, &server, asked_at);
                engine.search_tunnel(&group, &service, &server);
                // An error means that the time has passed, which is what it is for.
                let _ = timeout(PROBE_INTERVAL, group.probe_now.notified()).await;
                if group.pool.entry_of(&server).is_none() {
                    break;
                }
            }
            // Of a server that is no longer listed nothing more is said.
            engine.note_reachable(&group, &service, &server);
        });
    }

    async fn is_alive(&self, entry: &ServerEntry) -> bool {
        let dialect = &self.endpoint_dialect;
        let introduction = self.introduce(&Principal::Daemon);
        let opened = EndpointConnection::open(dialect, entry, introduction, PROBE_TIMEOUT).await;
        matches!(opened, Ok(_) | Err(ConnectionLost::Refused(ErrorCode::TooManyConnections)))
    }

    /// Takes note that a read was refused; if replicas have been behind for long, the control thread is
    /// told.
    pub fn note_replicas_behind(&self, group: &Group<E>, service: &Name, primary: &Name) {
        if !group.pool.are_others_lagging(primary) {
            return;
        }
        let now = Instant::now();
        let since = match group.lagging_refusals.get() {
            Some((since, last)) if now.duration_since(last) < BEHIND_GAP => since,
            _ => now,
        };
        group.lagging_refusals.set(Some((since, now)));
        if now.duration_since(since) >= BEHIND_REPORT_AFTER {
            let observation = Observation::ReplicasBehind { service: service.clone() };
            // A full ring means that the control thread has enough to go by.
            let _ = self.observations.try_send(observation);
        }
    }

    /// Whether a server was found to be out of reach.
    pub fn is_unreachable(&self, group: &Group<E>, server: &Name) -> bool {
        group.probes.borrow().get(server) == Some(&ProbeState::Unreachable)
    }

    fn note_unreachable(&self, group: &Group<E>, service: &Name, server: &Name, asked_at: Instant) {
        let before = group.probes.borrow_mut().insert(server.clone(), ProbeState::Unreachable);
        group.pool.on_unreachable(server, asked_at);
        group.server_unreachable.notify_waiters();
        if before != Some(ProbeState::Unreachable) {
            log_reachability(service, server, false);
        }
        // Told again with each try, since the control thread goes by when the last one was.
        self.observe(service, server, false, asked_at);
    }

    /// Asks a server at once that was found to be out of reach a while ago, or is suspected elsewhere.
    pub(crate) fn probe_at_once(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        service: &Name,
        server: &Name,
    ) {
        match self.is_unreachable(group, server) {
            true => group.probe_now.notify_waiters(),
            false => self.probe(group, service, server),
        }
    }

    pub(crate) fn note_reachable(&self, group: &Group<E>, service: &Name, server: &Name) {
        group.pool.on_direct_answer(server);
        if group.probes.borrow().is_empty() {
            return;
        }
        if group.probes.borrow_mut().remove(server) == Some(ProbeState::Unreachable) {
            log_reachability(service, server, true);
            self.observe(service, server, true, Instant::now());
        }
    }

    fn observe(&self, service: &Name, server: &Name, reachable: bool, asked_at: Instant) {
        let observation = Observation::Reachability {
            service: service.clone(),
            server: server.clone(),
            reachable,
            asked_at,
        };
        // It is told once for each change, so where the ring is full it waits for room, behind those that
        // wait already; dropped, the control thread would go by the state before for as long as this lasts.
        if let Err(flume::TrySendError::Full(observation)) = self.observations.try_send(observation)
        {
            let observations = self.observations.clone();
            tokio::task::spawn_local(async move {
                // An error means that the control thread has ended, and with it the daemon.
                let _ = observations.send_async(observation).await;
            });
        }
    }
}

fn log_reachability(service: &Name, server: &Name, reachable: bool) {
    log::info!(
        event = "server_reachability", service = &**service, server = &**server,
        reachable = reachable;
        "a server's reachability changed"
    );
}
