//! Reports unreachable servers to the other daemons, probes the servers that they report, and queues background writes.

use std::{
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    ops::Bound::{Excluded, Unbounded},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::Name;

use crate::{
    control::{
        adapter::Adapter,
        backoff::Backoff,
        control_view::{Observation, TunnelPeers},
        reported_suspicions::PendingSuspicionWrites,
        runner::{Control, ServingRequest},
        state::State,
        witnesses::is_witness,
    },
    metadata::{LeaseId, MetadataStore, Transaction, TransactionOutcome},
};

/// The delay between two writes of suspicions. The first one is written immediately.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The number of daemons that report a server although they are not its witnesses.
const MAX_OTHER_REPORTERS: usize = 3;
/// The largest number of tunnel peers for a server from the same availability zone, and from the others.
const MAX_TUNNEL_PEERS: usize = 3;

/// Daemons that can be asked for a tunnel, with their peer addresses.
type ReachablePeers<'a> = Vec<(&'a Name, SocketAddr)>;

impl<P: Adapter> Control<P> {
    /// Applies the observations of the serving thread, and triggers reports of unreachable servers.
    pub(crate) async fn observation_loop(self: Rc<Self>) {
        while let Ok(observation) = self.observations.recv_async().await {
            let mut has_changed = self.apply_observation(observation);
            // When a region is disconnected, hundreds of observations arrive together; they are published once.
            while let Ok(more) = self.observations.try_recv() {
                has_changed |= self.apply_observation(more);
            }
            if has_changed {
                self.publish();
            }
        }
    }

    /// Applies an observation; returns whether the reachability of a server changed.
    fn apply_observation(self: &Rc<Self>, observation: Observation) -> bool {
        match observation {
            Observation::Reachability { service, server, reachable, asked_at } => {
                return self.apply_reachability((service, server), reachable, asked_at);
            }
            Observation::PrimarySampled { service, sample } => {
                self.merge_samples([(service, sample)]);
            }
            Observation::Used { service } => {
                self.state.borrow_mut().used_at.insert(service, Instant::now());
            }
            Observation::SampleWanted => self.request_samples(),
            Observation::Contradicted { service, term } => self.drop_primary_lease(&service, term),
            Observation::ReplicasBehind { service } => self.report_replicas_behind(service),
        }
        false
    }

    fn apply_reachability(&self, pair: (Name, Name), reachable: bool, asked_at: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let has_changed = match reachable {
            true => state.suspected.remove(&pair).is_some(),
            false => state.suspected.insert(pair, asked_at).is_none(),
        };
        if has_changed || !reachable {
            self.suspicions_due.notify_one();
        }
        has_changed
    }

    /// Writes this daemon's suspicions that the store does not hold, whenever that may have changed, in batches with a
    /// delay between them.
    ///
    /// Repeating failed writes ensures that a primary that fails during an outage of the store is replaced. Batching
    /// limits the load on the store and the links when many daemons suspect many servers.
    pub(crate) async fn suspicion_loop(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            self.suspicions_due.notified().await;
            let Some((pending, lease)) = self.pending_suspicion_writes() else { continue };
            let put = |key: &String| (key.clone(), Bytes::from_static(b"{}"), Some(lease));
            let transaction = Transaction {
                puts: pending.puts.iter().map(put).collect(),
                removes: pending.removes.clone(),
                ..Transaction::default()
            };
            let written = self.store.commit(&transaction, self.write_timeout()).await;
            self.count_call("commit", &written);
            match written {
                Ok(TransactionOutcome::Done(_)) => {
                    backoff.reset();
                    self.state
                        .borrow_mut()
                        .reported_suspicions
                        .on_written(&pending, Instant::now());
                    // The writes beyond the limit of a transaction follow.
                    self.suspicions_due.notify_one();
                    tokio::time::sleep(REPORT_INTERVAL).await;
                }
                Ok(TransactionOutcome::Conflict | TransactionOutcome::LeaseOver) => {
                    log::info!(event = "write_failed", what = "suspicions"; "the lease had expired");
                    backoff.wait().await;
                }
                Err(error) => {
                    log::info!(
                        event = "write_failed", what = "suspicions",
                        why = error.to_string().as_str();
                        "a write to the store may not have been applied"
                    );
                    backoff.wait().await;
                }
            }
        }
    }

    /// Returns the suspicion writes that the store needs, with the lease to write them under.
    ///
    /// A network partition often disconnects a daemon from a server and from the store at the same time. So after an
    /// outage of the store a suspicion counts only once the server was probed again; otherwise a healthy primary would
    /// be replaced after a partition.
    ///
    /// Only a few daemons that are not witnesses report a server, which is enough for the witnesses to probe it.
    fn pending_suspicion_writes(&self) -> Option<(PendingSuspicionWrites, LeaseId)> {
        let mut state = self.state.borrow_mut();
        let lease = state.lease?.id;
        let is_confirmed = |asked_at: &Instant| {
            state.store_recovered_at.is_none_or(|back_at| *asked_at >= back_at)
        };
        let suspected = state.suspected.iter().filter(|(_, asked_at)| is_confirmed(asked_at));
        let wanted: BTreeSet<String> =
            suspected.map(|((service, server), _)| self.suspicion_key(service, server)).collect();
        let State { reported_suspicions, witness_cache, members, members_version, mirror, .. } =
            &mut *state;
        let may_put = |key: &str| {
            let Some((below, _)) = key.rsplit_once('/') else { return false };
            let Some((_, server)) = below.rsplit_once('/') else { return false };
            let hosts = || members.keys().map(|host| &**host);
            let compute = || is_witness(server, &self.settings.host, hosts());
            witness_cache.is_witness(&Name::from(server), *members_version, compute)
                || mirror.below(&format!("{below}/")).nth(MAX_OTHER_REPORTERS - 1).is_none()
        };
        let pending = reported_suspicions.pending_writes(&wanted, Instant::now(), may_put);
        (!pending.is_empty()).then_some((pending, lease))
    }

    /// Records that one of this daemon's own suspicions was added to or removed from the store.
    pub(crate) fn on_own_suspicion(&self, key: &str) {
        let is_own = key.rsplit_once('/').is_some_and(|(_, host)| *host == *self.settings.host);
        if is_own {
            let mut state = self.state.borrow_mut();
            let is_present = state.mirror.get(key).is_some();
            state.reported_suspicions.on_store_change(key, is_present);
        }
    }

    /// Probes a server that another daemon suspects, if this daemon is a witness and does not suspect the server
    /// itself. Suspected servers are probed repeatedly by the serving thread.
    pub(crate) fn probe_suspected_server(&self, key: &str, suspicion: &str) {
        let mut parts = suspicion.split('/');
        let (Some(service), Some(server)) = (parts.next(), parts.next()) else { return };
        let pair = (Name::from(service), Name::from(server));
        {
            let mut state = self.state.borrow_mut();
            if state.mirror.get(key).is_none() || state.suspected.contains_key(&pair) {
                return;
            }
            let State { witness_cache, members, members_version, probe_schedule, .. } = &mut *state;
            let hosts = || members.keys().map(|host| &**host);
            let compute = || is_witness(server, &self.settings.host, hosts());
            if !witness_cache.is_witness(&pair.1, *members_version, compute)
                || !probe_schedule.on_suspected(&pair, Instant::now())
            {
                return;
            }
        }
        self.request_probe(pair);
    }

    /// Called after each store read: triggers missing suspicion writes and due probes.
    pub(crate) fn report_and_probe_suspicions(&self) {
        self.suspicions_due.notify_one();
        self.probe_again();
    }

    /// Probes servers again that other daemons still suspect.
    fn probe_again(&self) {
        let due = self.state.borrow_mut().probe_schedule.take_due(Instant::now());
        for (service, server) in due {
            let prefix = self.key(&format!("suspicions/{service}/{server}/"));
            let is_suspected = self.state.borrow().mirror.below(&prefix).next().is_some();
            if is_suspected {
                self.request_probe((service, server));
            }
        }
    }

    /// Asks the serving thread to probe a server.
    fn request_probe(&self, (service, server): (Name, Name)) {
        // If the queue is full, the serving thread is overloaded; later probes or requests show whether the server
        // answers.
        let _ = self.serving_requests.try_send(ServingRequest::Probe { service, server });
    }

    /// Probes the servers again that this daemon could not reach before the store recovered.
    pub(crate) fn reprobe_suspected_servers(&self) {
        let unconfirmed: Vec<(Name, Name)> = {
            let state = self.state.borrow();
            let is_older =
                |asked_at: &Instant| state.store_recovered_at.is_some_and(|at| *asked_at < at);
            let suspected = state.suspected.iter().filter(|(_, asked_at)| is_older(asked_at));
            suspected.map(|(pair, _)| pair.clone()).collect()
        };
        unconfirmed.into_iter().for_each(|pair| self.request_probe(pair));
    }

    /// Returns, for each server that this daemon can't reach, some daemons that have not reported it as unreachable.
    pub(crate) fn tunnel_peers(&self, state: &State, now: Instant) -> TunnelPeers {
        let mut tunnel_peers = TunnelPeers::new();
        if state.suspected.is_empty() {
            return tunnel_peers;
        }
        let (near, far) = self.tunnel_candidates(state, now);
        for (service, server) in state.suspected.keys() {
            let prefix = self.key(&format!("suspicions/{service}/{server}/"));
            let suspecting: HashSet<&str> = state
                .mirror
                .below(&prefix)
                .filter_map(|item| item.key.strip_prefix(&prefix))
                .collect();
            let select = |peers: &[(&Name, SocketAddr)]| {
                let reaching = peers.iter().filter(|(host, _)| !suspecting.contains(&***host));
                reaching.map(|(_, address)| *address).take(MAX_TUNNEL_PEERS).collect::<Vec<_>>()
            };
            let chosen: Vec<SocketAddr> = select(&near).into_iter().chain(select(&far)).collect();
            if !chosen.is_empty() {
                tunnel_peers.insert(server.clone(), Arc::from(chosen));
            }
        }
        tunnel_peers
    }

    /// Returns the daemons that may provide a tunnel, those of this availability zone and the others. Each daemon
    /// starts after its own place in the list, so that the requests are distributed.
    fn tunnel_candidates<'a>(
        &self,
        state: &'a State,
        now: Instant,
    ) -> (ReachablePeers<'a>, ReachablePeers<'a>) {
        let own_host = &self.settings.host;
        let after = state.members.range::<Name, _>((Excluded(own_host), Unbounded));
        let others = after.chain(state.members.range::<Name, _>(..own_host));
        let reachable = others.filter_map(|(host, member)| {
            let address =
                member.peer_address.filter(|it| !self.requester.is_unresponsive(*it, now))?;
            Some((&*member.availability_zone, (host, address)))
        });
        let (near, far): (Vec<_>, Vec<_>) =
            reachable.partition(|(zone, _)| *zone == &*self.settings.availability_zone);
        let peers =
            |of: Vec<(&str, (&'a Name, SocketAddr))>| of.into_iter().map(|it| it.1).collect();
        (peers(near), peers(far))
    }

    fn suspicion_key(&self, service: &Name, server: &Name) -> String {
        self.key(&format!("suspicions/{service}/{server}/{}", self.settings.host))
    }

    /// Queues a background write that may fail without consequences except a delay.
    pub(crate) fn queue_write(&self, transaction: Transaction, what: &'static str) {
        // The queue is full only after a long outage of the store; the write is repeated after a later store read.
        if self.pending_writes.0.try_send((transaction, what)).is_err() {
            log::warn!(event = "write_dropped", what = what; "too many pending writes to the store");
        }
    }

    /// Executes the queued writes in order.
    pub(crate) async fn write_loop(self: Rc<Self>) {
        while let Ok((transaction, what)) = self.pending_writes.1.recv_async().await {
            let written = self.store.commit(&transaction, self.write_timeout()).await;
            self.count_call("commit", &written);
            if let Err(error) = written {
                log::info!(
                    event = "write_failed", what = what, why = error.to_string().as_str();
                    "a write to the store may not have been applied"
                );
            }
        }
    }
}
