//! Asynchronous replication between the servers of a group.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use model::ServerRole;
use parking_lot::Mutex;

use crate::server_core::{LogRecord, ServerCore};

/// How often a replica asks its primary for more.
const PULL_INTERVAL: Duration = Duration::from_millis(1);

/// The servers that can reach each other, by address.
#[derive(Clone, Default)]
pub(crate) struct Peers {
    servers: Arc<Mutex<HashMap<SocketAddr, Weak<ServerCore>>>>,
}

impl Peers {
    pub(crate) fn add(&self, core: &Arc<ServerCore>) {
        self.servers.lock().insert(core.address, Arc::downgrade(core));
    }

    fn find(&self, address: SocketAddr) -> Option<Arc<ServerCore>> {
        self.servers.lock().get(&address)?.upgrade()
    }
}

/// Pulls the log of whichever primary the server follows, until the server is dropped.
pub(crate) async fn replicate(core: Weak<ServerCore>, peers: Peers) {
    let mut interval = tokio::time::interval(PULL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Some(core) = core.upgrade() else { return };
        if is_cut(&core) {
            continue;
        }
        pull(&core, &peers);
        apply(&core);
    }
}

fn is_cut(core: &ServerCore) -> bool {
    let faults = core.faults.read();
    faults.crashed || faults.paused || faults.cut_from_servers
}

/// What a primary sends: its log and terms, as shared records.
struct Shipment {
    log_term: model::Term,
    log: Vec<Arc<LogRecord>>,
    term_starts: Vec<model::TermStart>,
    from: usize,
}

fn pull(core: &ServerCore, peers: &Peers) {
    let (leader, held, last_term) = {
        let state = core.state.lock();
        if state.role != ServerRole::Replica {
            return;
        }
        let last_term = state.log.last().map(|record| record.term);
        (state.leader, state.log.len(), last_term)
    };
    let Some(leader) = leader.and_then(|address| peers.find(address)) else { return };
    if is_cut(&leader) {
        return;
    }
    let Some(shipment) = ship(&leader, held, last_term) else { return };
    take(core, shipment);
}

/// Takes what the leader has beyond `held`, or its whole log when the two differ below that.
fn ship(leader: &ServerCore, held: usize, last_term: Option<model::Term>) -> Option<Shipment> {
    let state = leader.state.lock();
    if state.role != ServerRole::Primary {
        return None;
    }
    let same = match (held, last_term) {
        (0, _) => true,
        (held, term) => state.log.get(held - 1).map(|record| record.term) == term,
    };
    let from = if same { held } else { 0 };
    Some(Shipment {
        log_term: state.log_term,
        log: state.log[from..].to_vec(),
        term_starts: state.term_starts.clone(),
        from,
    })
}

fn take(core: &ServerCore, shipment: Shipment) {
    let delay = *core.receive_delay.lock();
    let mut state = core.state.lock();
    // A server that promised a newer term takes nothing from the primary of an older one.
    if state.role != ServerRole::Replica || shipment.log_term < state.promised_term {
        return;
    }
    state.last_heard = Instant::now();
    let common = shipment
        .log
        .iter()
        .zip(&state.log[shipment.from.min(state.log.len())..])
        .take_while(|(theirs, ours)| theirs.term == ours.term)
        .count();
    if shipment.from > state.log.len() {
        return;
    }
    state.truncate(shipment.from + common);
    for record in &shipment.log[common..] {
        if record.committed_at.elapsed() < delay {
            break;
        }
        state.log.push(record.clone());
    }
    state.promised_term = shipment.log_term;
    state.log_term = shipment.log_term;
    state.term_starts = shipment.term_starts;
}

fn apply(core: &ServerCore) {
    let lag = *core.apply_lag.lock();
    let mut state = core.state.lock();
    if state.role != ServerRole::Replica {
        return;
    }
    let ready = state.log[state.applied..]
        .iter()
        .take_while(|record| record.committed_at.elapsed() >= lag)
        .count();
    let until = state.applied + ready;
    state.apply_until(until);
}
