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

/// The interval at which a replica pulls from its primary.
const PULL_INTERVAL: Duration = Duration::from_millis(1);

/// The servers of a group by address.
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

/// Replicates the log of the primary that the server follows, until the server is dropped.
pub(crate) async fn replicate(core: Weak<ServerCore>, peers: Peers) {
    let mut interval = tokio::time::interval(PULL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Some(core) = core.upgrade() else { return };
        if is_disconnected(&core) {
            continue;
        }
        pull(&core, &peers);
        apply(&core);
    }
}

fn is_disconnected(core: &ServerCore) -> bool {
    let faults = core.faults.read();
    faults.crashed || faults.paused || faults.replication_disconnected
}

/// Log records of the primary and its terms.
struct LogBatch {
    log_term: model::Term,
    log: Vec<Arc<LogRecord>>,
    term_starts: Vec<model::TermStart>,
    /// The index of the first record in the primary's log.
    first_index: usize,
}

/// Copies new log records from the leader.
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
    if is_disconnected(&leader) {
        return;
    }
    let Some(batch) = read_batch(&leader, held, last_term) else { return };
    append_batch(core, batch);
}

/// Returns the leader's records after the first `held` ones, or its whole log if the last held record has another term
/// there.
fn read_batch(
    leader: &ServerCore,
    held: usize,
    last_term: Option<model::Term>,
) -> Option<LogBatch> {
    let state = leader.state.lock();
    if state.role != ServerRole::Primary {
        return None;
    }
    let is_same = match (held, last_term) {
        (0, _) => true,
        (held, term) => state.log.get(held - 1).map(|record| record.term) == term,
    };
    let first_index = if is_same { held } else { 0 };
    Some(LogBatch {
        log_term: state.log_term,
        log: state.log[first_index..].to_vec(),
        term_starts: state.term_starts.clone(),
        first_index,
    })
}

fn append_batch(core: &ServerCore, batch: LogBatch) {
    let delay = *core.receive_delay.lock();
    let mut state = core.state.lock();
    // A server that promised a newer term accepts no records from the primary of an older one.
    if state.role != ServerRole::Replica || batch.log_term < state.promised_term {
        return;
    }
    state.last_leader_contact = Instant::now();
    let common = batch
        .log
        .iter()
        .zip(&state.log[batch.first_index.min(state.log.len())..])
        .take_while(|(theirs, ours)| theirs.term == ours.term)
        .count();
    if batch.first_index > state.log.len() {
        return;
    }
    state.truncate(batch.first_index + common);
    for record in &batch.log[common..] {
        if record.committed_at.elapsed() < delay {
            break;
        }
        state.log.push(record.clone());
    }
    state.promised_term = batch.log_term;
    state.log_term = batch.log_term;
    state.term_starts = batch.term_starts;
}

/// Applies the records that are older than the apply lag.
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
    let count = state.applied + ready;
    state.apply_up_to(count);
}
