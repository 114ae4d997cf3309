//! Detects which servers this daemon reaches, and reports it to the control thread.

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

/// How long reads must have been refused because replicas lag before this is reported to the control thread. Balances
/// the cost of a needless change of primary against that of further refusals.
const BEHIND_REPORT_AFTER: Duration = Duration::from_millis(500);
/// Refusals that are further apart count as separate periods.
const BEHIND_GAP: Duration = Duration::from_millis(1_000);
/// Interval between two probes of an unreachable server.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// State of a server that is being probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeState {
    Probing,
    Unreachable,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Records an answer of a server.
    pub fn record_answer(
        &self,
        group: &Group<E>,
        service: &Name,
        route: &ServerRoute,
        point: Option<LogPoint>,
        took: Option<Duration>,
    ) {
        group.pool.on_answer(&route.server, point, took);
        self.record_path_answered(&group.pool, route);
        if route.is_direct {
            self.record_reachable(group, service, &route.server);
        }
    }

    /// Records a lost connection and probes the server.
    pub fn on_connection_lost(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        service: &Name,
        route: &ServerRoute,
        lost: &ConnectionLost,
    ) {
        let server = &route.server;
        if !route.is_own {
            // The owner of the connection probes the server.
            log::info!(
                event = "handed_over_lost", service = &**service, server = &**server,
                why = lost.to_string().as_str();
                "a statement that was forwarded to an owner got no answer"
            );
            self.record_path_lost(&group.pool, route, lost);
            return;
        }
        if is_server_failure(lost) {
            group.pool.on_failure(server);
        }
        if *lost == ConnectionLost::TimedOut {
            group.pool.on_statement_timeout(server);
        }
        log::info!(
            event = "connection_lost", service = &**service, server = &**server,
            why = lost.to_string().as_str();
            "a connection to a server was lost"
        );
        self.probe(group, service, server);
    }

    /// Starts to probe a server, unless a probe is running.
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
                engine.record_unreachable(&group, &service, &server, asked_at);
                engine.search_tunnel(&group, &service, &server);
                // A timeout starts the next probe.
                let _ = timeout(PROBE_INTERVAL, group.probe_now.notified()).await;
                if group.pool.entry_of(&server).is_none() {
                    break;
                }
            }
            // Also clears the state of a server that is no longer listed.
            engine.record_reachable(&group, &service, &server);
        });
    }

    async fn is_alive(&self, entry: &ServerEntry) -> bool {
        let dialect = &self.endpoint_dialect;
        let identity = self.client_identity(&Principal::Daemon);
        let opened = EndpointConnection::open(dialect, entry, identity, PROBE_TIMEOUT).await;
        matches!(opened, Ok(_) | Err(ConnectionLost::Refused(ErrorCode::TooManyConnections)))
    }

    /// Records a read that was refused because replicas lag; reports to the control thread if such refusals persist.
    pub fn record_replicas_behind(&self, group: &Group<E>, service: &Name, primary: &Name) {
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
            // A full channel already holds enough observations.
            let _ = self.observations.try_send(observation);
        }
    }

    /// Whether the last probe of a server failed.
    pub fn is_unreachable(&self, group: &Group<E>, server: &Name) -> bool {
        group.probes.borrow().get(server) == Some(&ProbeState::Unreachable)
    }

    fn record_unreachable(
        &self,
        group: &Group<E>,
        service: &Name,
        server: &Name,
        asked_at: Instant,
    ) {
        let previous = group.probes.borrow_mut().insert(server.clone(), ProbeState::Unreachable);
        group.pool.on_unreachable(server, asked_at);
        group.server_unreachable.notify_waiters();
        if previous != Some(ProbeState::Unreachable) {
            log_reachability(service, server, false);
        }
        // Reported for each probe, since the control thread uses the time of the last one.
        self.observe(service, server, false, asked_at);
    }

    /// Probes a server at once, because its last probe failed or another daemon suspects the server.
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

    pub(crate) fn record_reachable(&self, group: &Group<E>, service: &Name, server: &Name) {
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
        // An observation is sent once for each change, so it must not be lost: with a full channel a task waits for
        // room and keeps the order.
        if let Err(flume::TrySendError::Full(observation)) = self.observations.try_send(observation)
        {
            let observations = self.observations.clone();
            tokio::task::spawn_local(async move {
                // An error means that the control thread has ended, and the daemon with it.
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
