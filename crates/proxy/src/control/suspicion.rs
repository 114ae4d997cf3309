//! Telling other daemons which servers can't be reached, and writes that need no answer.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;

use crate::{
    catalog::CatalogFormat,
    control::{beliefs::Observation, runner::Control},
    dialect::EndpointDialect,
    metadata::{MetadataStore, Transaction},
    order::PromotionOrders,
};

impl<M, O, F, E> Control<M, O, F, E>
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    /// Tells the other daemons which primaries this one can't reach.
    pub(crate) async fn observation_loop(self: Rc<Self>) {
        while let Ok(observation) = self.observations.recv_async().await {
            let (service, server, reachable) = match observation {
                Observation::Reachability { service, server, reachable } => {
                    (service, server, reachable)
                }
                Observation::PrimarySampled { service, sample } => {
                    self.take_samples([(service, sample)]);
                    continue;
                }
                Observation::ReplicasBehind { service } => {
                    self.state.borrow_mut().replicas_behind.insert(service, Instant::now());
                    continue;
                }
            };
            let pair = (service.clone(), server.clone());
            let lease = {
                let mut state = self.state.borrow_mut();
                let changed = if reachable {
                    state.suspected.remove(&pair)
                } else {
                    state.suspected.insert(pair)
                };
                if !changed {
                    continue;
                }
                state.lease
            };
            let Some(lease) = lease else { continue };
            let key = self.key(&format!("suspicions/{service}/{server}/{}", self.settings.host));
            let transaction = if reachable {
                Transaction { removes: vec![key], ..Transaction::default() }
            } else {
                let put = (key, Bytes::from_static(b"{}"), Some(lease.id));
                Transaction { puts: vec![put], ..Transaction::default() }
            };
            self.write_soon(transaction, "suspicion");
        }
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
