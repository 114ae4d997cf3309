//! Telling other daemons which servers can't be reached, and writes that need no answer.

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

/// The rest between two writes of suspicions. The first one goes out at once, which is what a lost primary waits for.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// Daemons that tell of a server although they are not its witnesses.
const MOST_OTHERS: usize = 3;
/// Daemons of each kind, of the same availability zone and of others, that are tried as a way around.
const DETOURS_EACH: usize = 3;

/// Daemons that can be asked for a way around, with where.
type Ways<'a> = Vec<(&'a Name, SocketAddr)>;

impl<P: Adapter> Control<P> {
    /// Takes over what the serving thread observes, and has the other daemons told which primaries this one can't reach.
    pub(crate) async fn observation_loop(self: Rc<Self>) {
        while let Ok(observation) = self.observations.recv_async().await {
            let mut has_changed = self.take_observation(observation);
            // Hundreds come at once where a region is cut off, and each publication looks at all of them.
            while let Ok(more) = self.observations.try_recv() {
                has_changed |= self.take_observation(more);
            }
            if has_changed {
                self.publish();
            }
        }
    }

    /// Takes over one; returns whether a server has come within reach or got out of it.
    fn take_observation(self: &Rc<Self>, observation: Observation) -> bool {
        match observation {
            Observation::Reachability { service, server, reachable, asked_at } => {
                return self.take_reachability((service, server), reachable, asked_at);
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

    fn take_reachability(&self, pair: (Name, Name), reachable: bool, asked_at: Instant) -> bool {
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

    /// Writes what the store does not show of this daemon's suspicions, whenever that may have changed: many at a time, and
    /// not in the next moment again. A primary that fails while the store is away would never be replaced if they were
    /// told once, in vain; the daemons' leases may have ended too.
    ///
    /// A write for each suspicion, without a rest, is what a large fleet can't bear: daemons that start together and
    /// are slow to reach many servers fill the store's rate and every daemon's link with them.
    pub(crate) async fn suspicion_loop(self: Rc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            self.suspicions_due.notified().await;
            let Some((untold, lease)) = self.pending_suspicion_writes() else { continue };
            let put = |key: &String| (key.clone(), Bytes::from_static(b"{}"), Some(lease));
            let transaction = Transaction {
                puts: untold.puts.iter().map(put).collect(),
                removes: untold.removes.clone(),
                ..Transaction::default()
            };
            let written = self.store.commit(&transaction, self.write_timeout()).await;
            self.count_call("commit", &written);
            match written {
                Ok(TransactionOutcome::Done(_)) => {
                    backoff.reset();
                    self.state.borrow_mut().reported_suspicions.on_written(&untold, Instant::now());
                    // What did not fit is told next.
                    self.suspicions_due.notify_one();
                    tokio::time::sleep(TELL_EVERY).await;
                }
                Ok(TransactionOutcome::Conflict | TransactionOutcome::LeaseOver) => {
                    log::info!(event = "write_failed", what = "suspicions"; "the lease was over");
                    backoff.wait().await;
                }
                Err(error) => {
                    log::info!(
                        event = "write_failed", what = "suspicions",
                        why = error.to_string().as_str();
                        "a write to the store may not have been done"
                    );
                    backoff.wait().await;
                }
            }
        }
    }

    /// Returns what the store should show and does not, with the lease to write it under.
    ///
    /// What cut a daemon from a server has often cut it from the store as well, and ends for both at once. So
    /// after a time without the store a suspicion counts only once the server was tried again in vain: else what
    /// daemons found behind a partition would have a healthy primary replaced.
    ///
    /// Of daemons that are no witnesses of a server a few are enough to have the witnesses look at it.
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
            let look = || is_witness(server, &self.settings.host, hosts());
            witness_cache.is_witness(&Name::from(server), *members_version, look)
                || mirror.below(&format!("{below}/")).nth(MOST_OTHERS - 1).is_none()
        };
        let untold = reported_suspicions.untold(&wanted, Instant::now(), may_put);
        (!untold.is_empty()).then_some((untold, lease))
    }

    /// Notes that the store shows a suspicion of this daemon's own, or does not any more.
    pub(crate) fn note_own_suspicion(&self, key: &str) {
        let is_own = key.rsplit_once('/').is_some_and(|(_, host)| *host == *self.settings.host);
        if is_own {
            let mut state = self.state.borrow_mut();
            let is_there = state.mirror.get(key).is_some();
            state.reported_suspicions.on_shown(key, is_there);
        }
    }

    /// Has a server looked at that another daemon suspects, if this one is a witness: one daemon alone may be wrong, and
    /// the witnesses may have no reason of their own to notice. A server that this one can't reach either is tried again
    /// and again anyhow.
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
            let look = || is_witness(server, &self.settings.host, hosts());
            if !witness_cache.is_witness(&pair.1, *members_version, look)
                || !probe_schedule.on_suspected(&pair, Instant::now())
            {
                return;
            }
        }
        self.have_probed(pair);
    }

    /// Does what follows from a reading: suspicions that the store should show by now and does not are told, and servers
    /// that were suspected again are looked at.
    pub(crate) fn report_and_probe_suspicions(&self) {
        self.suspicions_due.notify_one();
        self.look_again();
    }

    /// Looks again at servers that somebody still suspects a while after this daemon found them alive.
    fn look_again(&self) {
        let due = self.state.borrow_mut().probe_schedule.take_due(Instant::now());
        for (service, server) in due {
            let prefix = self.key(&format!("suspicions/{service}/{server}/"));
            let is_suspected = self.state.borrow().mirror.below(&prefix).next().is_some();
            if is_suspected {
                self.have_probed((service, server));
            }
        }
    }

    fn have_probed(&self, (service, server): (Name, Name)) {
        // A full ring means that the serving thread is behind; it tries by itself soon, or its own traffic shows it.
        let _ = self.serving_requests.try_send(ServingRequest::Probe { service, server });
    }

    /// Has the servers tried again that this daemon could not reach before the store was back.
    pub(crate) fn reprobe_suspected_servers(&self) {
        let unconfirmed: Vec<(Name, Name)> = {
            let state = self.state.borrow();
            let is_older =
                |asked_at: &Instant| state.store_recovered_at.is_some_and(|at| *asked_at < at);
            let suspected = state.suspected.iter().filter(|(_, asked_at)| is_older(asked_at));
            suspected.map(|(pair, _)| pair.clone()).collect()
        };
        unconfirmed.into_iter().for_each(|pair| self.have_probed(pair));
    }

    /// Returns, for each server that this daemon can't reach, some daemons that have not said so too.
    pub(crate) fn tunnel_peers(&self, state: &State, now: Instant) -> TunnelPeers {
        let mut detours = TunnelPeers::new();
        if state.suspected.is_empty() {
            return detours;
        }
        let (near, far) = self.ways_around(state, now);
        for (service, server) in state.suspected.keys() {
            let prefix = self.key(&format!("suspicions/{service}/{server}/"));
            let cut_off: HashSet<&str> = state
                .mirror
                .below(&prefix)
                .filter_map(|item| item.key.strip_prefix(&prefix))
                .collect();
            let some = |ways: &[(&Name, SocketAddr)]| {
                let reaching = ways.iter().filter(|(host, _)| !cut_off.contains(&***host));
                reaching.map(|(_, address)| *address).take(DETOURS_EACH).collect::<Vec<_>>()
            };
            let tried: Vec<SocketAddr> = some(&near).into_iter().chain(some(&far)).collect();
            if !tried.is_empty() {
                detours.insert(server.clone(), Arc::from(tried));
            }
        }
        detours
    }

    /// Returns the daemons that can be asked, those of this availability zone and the others. Each daemon begins behind
    /// itself in the list, so that one that many need is not the same for all of them.
    fn ways_around<'a>(&self, state: &'a State, now: Instant) -> (Ways<'a>, Ways<'a>) {
        let own = &self.settings.host;
        let behind = state.members.range::<Name, _>((Excluded(own), Unbounded));
        let around = behind.chain(state.members.range::<Name, _>(..own));
        let askable = around.filter_map(|(host, member)| {
            let address =
                member.peer_address.filter(|it| !self.requester.is_unresponsive(*it, now))?;
            Some((&*member.availability_zone, (host, address)))
        });
        let (near, far): (Vec<_>, Vec<_>) =
            askable.partition(|(zone, _)| *zone == &*self.settings.availability_zone);
        let ways =
            |of: Vec<(&str, (&'a Name, SocketAddr))>| of.into_iter().map(|it| it.1).collect();
        (ways(near), ways(far))
    }

    fn suspicion_key(&self, service: &Name, server: &Name) -> String {
        self.key(&format!("suspicions/{service}/{server}/{}", self.settings.host))
    }

    /// Starts a write whose failure costs time and nothing else.
    pub(crate) fn queue_write(&self, transaction: Transaction, what: &'static str) {
        // A full ring means that the store has been silent for long; a later reading makes up for it.
        if self.pending_writes.0.try_send((transaction, what)).is_err() {
            log::warn!(event = "write_dropped", what = what; "too many writes wait for the store");
        }
    }

    /// Carries those writes out, each as soon as it comes.
    pub(crate) async fn write_loop(self: Rc<Self>) {
        while let Ok((transaction, what)) = self.pending_writes.1.recv_async().await {
            let written = self.store.commit(&transaction, self.write_timeout()).await;
            self.count_call("commit", &written);
            if let Err(error) = written {
                log::info!(
                    event = "write_failed", what = what, why = error.to_string().as_str();
                    "a write to the store may not have been done"
                );
            }
        }
    }
}
