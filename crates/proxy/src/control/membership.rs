//! This daemon's lease and its member key.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::{
    control::adapter::Adapter,
    control::backoff::Backoff,
    control::runner::{Control, RENEWALS_PER_LEASE},
    control::state::{HeldLease, MemberValue},
    metadata::{LeaseId, MetadataError, MetadataStore, Transaction, TransactionOutcome},
};

impl<P: Adapter> Control<P> {
    /// Keeps this daemon a member: takes a lease, renews it, and takes another one when it ends.
    pub(crate) async fn lease_loop(self: Rc<Self>) {
        let duration = Duration::from_millis(self.settings.metadata.lease_ms);
        let mut backoff = Backoff::default();
        loop {
            let held = self.state.borrow().lease;
            let era = self.state.borrow().mirror.era();
            let outcome = match held {
                // The restored store has lost the lease, or may have granted its id to another daemon.
                Some(lease) if lease.id.era < era => {
                    self.await_join_slot().await;
                    self.join(duration).await
                }
                Some(lease) => self.renew(lease, duration).await,
                None => self.join(duration).await,
            };
            match outcome {
                Ok(()) => {
                    backoff.reset();
                    tokio::select! {
                        () = tokio::time::sleep(duration / RENEWALS_PER_LEASE) => {}
                        () = self.rejoin.notified() => {}
                    }
                }
                Err(error) => {
                    log::info!(
                        event = "store_unreachable", call = "lease",
                        why = error.to_string().as_str();
                        "the lease was not renewed"
                    );
                    if !self.is_member() {
                        backoff.wait().await;
                        continue;
                    }
                    tokio::select! {
                        () = self.await_store(&mut backoff) => {}
                        () = self.await_last_renewal() => {}
                    }
                }
            }
        }
    }

    /// Whether this daemon has a lease and a member key, as far as it knows. Without them it may not use a primary
    /// based on store reads.
    fn is_member(&self) -> bool {
        let state = self.state.borrow();
        state.lease.is_some() && state.members.contains_key(&self.settings.host)
    }

    /// Waits until the lease only lasts long enough for one more attempt to renew it.
    async fn await_last_renewal(&self) {
        let lease = self.state.borrow().lease;
        let last_attempt =
            lease.and_then(|lease| lease.valid_until.checked_sub(self.write_timeout()));
        match last_attempt.filter(|at| *at > Instant::now()) {
            Some(at) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    }

    /// Takes a lease and writes the member key under it.
    pub(crate) async fn join(&self, duration: Duration) -> Result<(), MetadataError> {
        let sent_at = Instant::now();
        let granted = self.store.grant(duration, self.write_timeout()).await;
        self.count_call("grant", &granted);
        let id = granted?;
        self.write_member_key(id).await?;
        let mut state = self.state.borrow_mut();
        state.lease = Some(HeldLease { id, valid_until: sent_at + duration });
        state.acknowledged.clear();
        state.reported_suspicions.forget_written();
        let was_loaded_before = state.store_loaded;
        drop(state);
        log::info!(event = "joined", lease = id.number; "joined as a member");
        match was_loaded_before {
            // Reads made before this daemon was a member granted no primary lease.
            true => self.refresh_now.notify_one(),
            false => self.joined.notify_one(),
        }
        Ok(())
    }

    /// Whether a read after the member key was written shows that the key is missing, as when the store removed it
    /// while the lease is still valid.
    pub(crate) fn is_member_key_missing(&self) -> bool {
        let state = self.state.borrow();
        let read_since = state.last_read_at > state.member_written_at;
        read_since && state.mirror.get(&self.member_key()).is_none()
    }

    pub(crate) fn member_value(&self) -> Bytes {
        let value = MemberValue {
            availability_zone: self.settings.availability_zone.to_string(),
            peer_address: self.settings.peer_address,
        };
        Bytes::from(serde_json::to_vec(&value).expect("a member's value is plain data"))
    }

    pub(crate) async fn write_member_key(&self, id: LeaseId) -> Result<(), MetadataError> {
        let transaction = Transaction {
            puts: vec![(self.member_key(), self.member_value(), Some(id))],
            ..Transaction::default()
        };
        let put = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &put);
        match put? {
            TransactionOutcome::Done(_) => {
                self.state.borrow_mut().member_written_at = Some(Instant::now());
                Ok(())
            }
            TransactionOutcome::Conflict | TransactionOutcome::LeaseOver => {
                Err(MetadataError::NotDone("the lease expired at once".to_owned()))
            }
        }
    }

    /// Renews the lease, and writes the member key again if it is missing.
    pub(crate) async fn renew(
        &self,
        lease: HeldLease,
        duration: Duration,
    ) -> Result<(), MetadataError> {
        let sent_at = Instant::now();
        let renewed = self.store.renew(lease.id, self.read_timeout()).await;
        self.count_call("renew", &renewed);
        match renewed {
            Ok(true) => {
                let lease = HeldLease { valid_until: sent_at + duration, ..lease };
                self.state.borrow_mut().lease = Some(lease);
                self.publish();
                if self.is_member_key_missing() {
                    log::info!(event = "member_key_gone"; "the member key is missing and is written again");
                    self.write_member_key(lease.id).await?;
                    self.refresh_now.notify_one();
                }
                Ok(())
            }
            Ok(false) => {
                log::info!(event = "lease_lost", lease = lease.id.number; "the lease has expired");
                self.state.borrow_mut().lease = None;
                self.join(duration).await
            }
            Err(error) => {
                if Instant::now() >= lease.valid_until {
                    self.state.borrow_mut().lease = None;
                }
                Err(error)
            }
        }
    }

    /// Revokes this daemon's leases, so that others need not wait until they expire.
    pub(crate) async fn stop(self: Rc<Self>) {
        let leases = {
            let mut state = self.state.borrow_mut();
            [state.promoter_lease.take(), state.lease.take()]
        };
        for lease in leases.into_iter().flatten() {
            let revoked = self.store.revoke(lease.id, self.read_timeout()).await;
            self.count_call("revoke", &revoked);
            if let Err(error) = revoked {
                log::info!(
                    event = "lease_not_ended", why = error.to_string().as_str();
                    "the lease was not revoked and expires by itself"
                );
            }
        }
    }
}
