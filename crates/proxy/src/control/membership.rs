//! This daemon's lease and its key among the members.

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
    /// Keeps this daemon a member: takes a lease, renews it, takes another when it is over.
    pub(crate) async fn lease_loop(self: Rc<Self>) {
        let lasts = Duration::from_millis(self.settings.metadata.lease_ms);
        let mut backoff = Backoff::default();
        loop {
            let held = self.state.borrow().lease;
            let era = self.state.borrow().mirror.era();
            let outcome = match held {
                // The store has lost it, or gives its number to somebody else.
                Some(lease) if lease.id.era < era => {
                    self.await_join_slot().await;
                    self.join(lasts).await
                }
                Some(lease) => self.renew(lease, lasts).await,
                None => self.join(lasts).await,
            };
            match outcome {
                Ok(()) => {
                    backoff.reset();
                    tokio::select! {
                        () = tokio::time::sleep(lasts / RENEWALS_PER_LEASE) => {}
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
                        () = self.await_last_try() => {}
                    }
                }
            }
        }
    }

    /// Whether this daemon has a lease and a key by what it knows; who has not may use no primary by the store's word.
    fn is_member(&self) -> bool {
        let state = self.state.borrow();
        state.lease.is_some() && state.members.contains_key(&self.settings.host)
    }

    /// Waits until the lease has just the time left that one more try to renew it takes.
    async fn await_last_try(&self) {
        let lease = self.state.borrow().lease;
        let last_try = lease.and_then(|lease| lease.valid_until.checked_sub(self.write_timeout()));
        match last_try.filter(|at| *at > Instant::now()) {
            Some(at) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    }

    /// Takes a lease and writes the member key under it.
    pub(crate) async fn join(&self, lasts: Duration) -> Result<(), MetadataError> {
        let sent_at = Instant::now();
        let granted = self.store.grant(lasts, self.write_timeout()).await;
        self.count_call("grant", &granted);
        let id = granted?;
        self.put_member(id).await?;
        let mut state = self.state.borrow_mut();
        state.lease = Some(HeldLease { id, valid_until: sent_at + lasts });
        state.acknowledged.clear();
        state.reported_suspicions.forget_written();
        let is_read_before = state.servers_known;
        drop(state);
        log::info!(event = "joined", lease = id.number; "this daemon is a member");
        match is_read_before {
            // What was read as no member gave no right.
            true => self.refresh_now.notify_one(),
            false => self.joined.notify_one(),
        }
        Ok(())
    }

    /// Whether a reading after the member key was written shows that it is gone, as when the store
    /// took it away although the lease stands.
    pub(crate) fn is_member_key_missing(&self) -> bool {
        let state = self.state.borrow();
        let read_since = state.last_read_at > state.member_put_at;
        read_since && state.mirror.get(&self.member_key()).is_none()
    }

    /// Returns what the member key holds.
    pub(crate) fn member_value(&self) -> Bytes {
        let value = MemberValue {
            availability_zone: self.settings.availability_zone.to_string(),
            peer_address: self.settings.peer_address,
        };
        Bytes::from(serde_json::to_vec(&value).expect("a member's value is plain data"))
    }

    /// Writes the member key.
    pub(crate) async fn put_member(&self, id: LeaseId) -> Result<(), MetadataError> {
        let transaction = Transaction {
            puts: vec![(self.member_key(), self.member_value(), Some(id))],
            ..Transaction::default()
        };
        let put = self.store.commit(&transaction, self.write_timeout()).await;
        self.count_call("commit", &put);
        match put? {
            TransactionOutcome::Done(_) => {
                self.state.borrow_mut().member_put_at = Some(Instant::now());
                Ok(())
            }
            TransactionOutcome::Conflict | TransactionOutcome::LeaseOver => {
                Err(MetadataError::NotDone("the lease was over at once".to_owned()))
            }
        }
    }

    /// Renews the lease, and writes the member key again where it is gone.
    pub(crate) async fn renew(
        &self,
        lease: HeldLease,
        lasts: Duration,
    ) -> Result<(), MetadataError> {
        let sent_at = Instant::now();
        let renewed = self.store.renew(lease.id, self.read_timeout()).await;
        self.count_call("renew", &renewed);
        match renewed {
            Ok(true) => {
                let lease = HeldLease { valid_until: sent_at + lasts, ..lease };
                self.state.borrow_mut().lease = Some(lease);
                self.publish();
                if self.is_member_key_missing() {
                    log::info!(event = "member_key_gone"; "this daemon's key is written again");
                    self.put_member(lease.id).await?;
                    self.refresh_now.notify_one();
                }
                Ok(())
            }
            Ok(false) => {
                log::info!(event = "lease_lost", lease = lease.id.number; "the lease was over");
                self.state.borrow_mut().lease = None;
                self.join(lasts).await
            }
            Err(error) => {
                if Instant::now() >= lease.valid_until {
                    self.state.borrow_mut().lease = None;
                }
                Err(error)
            }
        }
    }

    /// Gives up what this daemon holds, so that others need not wait for it to run out.
    pub(crate) async fn stop(self: Rc<Self>) {
        let leases = {
            let mut state = self.state.borrow_mut();
            [state.promoter_lease.take(), state.lease.take()]
        };
        for lease in leases.into_iter().flatten() {
            let ended = self.store.revoke(lease.id, self.read_timeout()).await;
            self.count_call("revoke", &ended);
            if let Err(error) = ended {
                log::info!(
                    event = "lease_not_ended", why = error.to_string().as_str();
                    "the lease was not ended and runs out by itself"
                );
            }
        }
    }
}
