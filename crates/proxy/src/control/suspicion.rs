//! Telling other daemons which servers can't be reached, and writes that need no answer.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Instant};

use bytes::Bytes;
use model::Name;

use crate::{
    control::{
        beliefs::{Detours, Observation},
        outside::Outside,
        runner::{Ask, Control},
        state::State,
    },
    metadata::{MetadataStore, Transaction},
};

impl<P: Outside> Control<P> {
    /// Tells the other daemons which primaries this one can't reach.
    pub(crate) async fn observation_loop(self: Rc<Self>) {
        while let Ok(observation) = self.observations.recv_async().await {
            let (service, server, reachable, asked_at) = match observation {
                Observation::Reachability { service, server, reachable, asked_at } => {
                    (service, server, reachable, asked_at)
                }
                Observation::PrimarySampled { service, sample } => {
                    self.take_samples([(service, sample)]);
                    continue;
                }
                Observation::Used { service } => {
                    self.state.borrow_mut().used_at.insert(service, Instant::now());
                    continue;
                }
                Observation::SampleWanted => {
                    self.ask_for_samples();
                    continue;
                }
                Observation::Contradicted { service, term } => {
                    self.drop_right(&service, term);
                    continue;
                }
                Observation::ReplicasBehind { service } => {
                    self.tell_behind(service);
                    continue;
                }
            };
            let pair = (service.clone(), server.clone());
            let changed = {
                let mut state = self.state.borrow_mut();
                match reachable {
                    true => state.suspected.remove(&pair).is_some(),
                    false => state.suspected.insert(pair, asked_at).is_none(),
                }
            };
            if changed {
                self.publish();
                self.tell_suspicion(self.suspicion_key(&service, &server), !reachable);
            } else if !reachable {
                self.retell_suspicions();
            }
        }
    }

    /// Writes again what the store does not show of this daemon's suspicions, as it should after a
    /// reading that is as young as the mirror. A primary that fails while the store is away would else
    /// never be replaced: the daemons told of it once, in vain, and their leases may have ended too.
    ///
    /// What cut a daemon from a server has often cut it from the store as well, and ends for both at once. So
    /// after a time without the store a suspicion counts only once the server was tried again in vain: forty
    /// daemons that came back with what they had found behind a partition had a healthy primary replaced.
    pub(crate) fn retell_suspicions(&self) {
        let (wanted, shown) = {
            let state = self.state.borrow();
            if state.mirror.get(&self.member_key()).is_none() {
                return;
            }
            let is_confirmed =
                |asked_at: &Instant| state.store_back_at.is_none_or(|back_at| *asked_at >= back_at);
            let suspected = state.suspected.iter().filter(|(_, asked_at)| is_confirmed(asked_at));
            let wanted: BTreeSet<String> = suspected
                .map(|((service, server), _)| self.suspicion_key(service, server))
                .collect();
            let (prefix, own) = (self.key("suspicions/"), format!("/{}", self.settings.host));
            let items = state.mirror.below(&prefix).map(|item| &item.key);
            let shown: BTreeSet<String> =
                items.filter(|key| key.ends_with(&own)).cloned().collect();
            (wanted, shown)
        };
        for missing in wanted.difference(&shown) {
            self.tell_suspicion(missing.clone(), true);
        }
        for surplus in shown.difference(&wanted) {
            self.tell_suspicion(surplus.clone(), false);
        }
    }

    /// Has the servers tried again that this daemon could not reach before the store was back.
    pub(crate) fn try_suspected_again(&self) {
        let unconfirmed: Vec<(Name, Name)> = {
            let state = self.state.borrow();
            let is_older =
                |asked_at: &Instant| state.store_back_at.is_some_and(|at| *asked_at < at);
            let suspected = state.suspected.iter().filter(|(_, asked_at)| is_older(asked_at));
            suspected.map(|(pair, _)| pair.clone()).collect()
        };
        for (service, server) in unconfirmed {
            // A full ring means that the serving thread is behind; it tries again by itself soon.
            let _ = self.asks.try_send(Ask::Probe { service, server });
        }
    }

    /// Returns, for each server that this daemon can't reach, the daemons that have not said so too.
    pub(crate) fn detours(&self, state: &State, now: Instant) -> Detours {
        let mut detours = Detours::new();
        for (service, server) in state.suspected.keys() {
            let mut near = Vec::new();
            let mut far = Vec::new();
            for (host, member) in &state.members {
                let suspicion = self.key(&format!("suspicions/{service}/{server}/{host}"));
                let is_other = *host != self.settings.host;
                let Some(address) = member.peer_address.filter(|_| is_other) else { continue };
                if state.mirror.get(&suspicion).is_some() || self.asker.is_silent(address, now) {
                    continue;
                }
                match member.availability_zone == *self.settings.availability_zone {
                    true => near.push(address),
                    false => far.push(address),
                }
            }
            near.append(&mut far);
            if !near.is_empty() {
                detours.insert(server.clone(), Arc::from(near));
            }
        }
        detours
    }

    fn suspicion_key(&self, service: &Name, server: &Name) -> String {
        self.key(&format!("suspicions/{service}/{server}/{}", self.settings.host))
    }

    /// Writes or removes the key by which this daemon suspects a primary; it ends with the lease.
    fn tell_suspicion(&self, key: String, suspects: bool) {
        let Some(lease) = self.state.borrow().lease else { return };
        let transaction = if suspects {
            let put = (key, Bytes::from_static(b"{}"), Some(lease.id));
            Transaction { puts: vec![put], ..Transaction::default() }
        } else {
            Transaction { removes: vec![key], ..Transaction::default() }
        };
        self.write_soon(transaction, "suspicion");
    }

    /// Starts a write whose failure costs time and nothing else.
    pub(crate) fn write_soon(&self, transaction: Transaction, what: &'static str) {
        // A full ring means that the store has been silent for long; a later reading makes up for it.
        if self.writes.0.try_send((transaction, what)).is_err() {
            log::warn!(event = "write_dropped", what = what; "too many writes wait for the store");
        }
    }

    /// Carries those writes out, each as soon as it comes.
    pub(crate) async fn write_loop(self: Rc<Self>) {
        while let Ok((transaction, what)) = self.writes.1.recv_async().await {
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
