//! The state that this daemon holds for a group: view, control links and pools.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use config::{Acknowledge, Configuration, Group, Service};
use failover::{Evidence, OtherServerStatus, assess_evidence};
use futures::{StreamExt, stream::FuturesUnordered};
use model::{GroupId, LogPoint, Refusal, RefusalReason, ServerId, ServerStatus};
use parking_lot::{Mutex, RwLock};
use routing::{Candidate, RetryBudget};
use tokio::{runtime::Handle, sync::Notify};
use wire::EndpointAddress;

use crate::{
    context::Context,
    control_link::{ControlLink, ControlLinkError, StatusAnswer},
    group_view::GroupView,
    pool::ServerPool,
    read_index::ReadIndex,
};

/// The parts of the configuration that a group's work depends on.
#[derive(Clone, Debug)]
pub(crate) struct GroupConfiguration {
    pub(crate) group: Arc<Group>,
    pub(crate) service: Arc<Service>,
    pub(crate) configuration: Arc<Configuration>,
}

/// A group with all state that this daemon holds for it.
pub(crate) struct GroupState {
    pub(crate) id: GroupId,
    pub(crate) in_force: ArcSwap<GroupConfiguration>,
    pub(crate) view: RwLock<GroupView>,
    /// Notified when the primary or the term changes.
    pub(crate) changed: Notify,
    pub(crate) links: Vec<ControlLink>,
    pub(crate) pools: Vec<Arc<ServerPool>>,
    pub(crate) read_index: ReadIndex,
    pub(crate) retries: Mutex<RetryBudget>,
    /// Running writes and writing transactions.
    pub(crate) writing: AtomicU32,
    next_sequence: AtomicU64,
    used_at: Mutex<Instant>,
}

/// A request for evidence from the other servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvidenceRequest<'a> {
    /// The rule by which the primary's writes are acknowledged.
    pub(crate) rule: Acknowledge,
    /// The log point to confirm.
    pub(crate) point: LogPoint,
    pub(crate) primary: ServerId,
    /// The status that came with the primary's answer.
    pub(crate) primary_status: &'a ServerStatus,
    pub(crate) deadline: Instant,
}

impl EvidenceRequest<'_> {
    fn assess(&self, answers: &[Arc<ServerStatus>], servers: usize) -> Evidence {
        let others: Vec<OtherServerStatus<'_>> =
            answers.iter().map(|status| OtherServerStatus { status }).collect();
        assess_evidence(self.rule, self.point, self.primary_status, &others, servers)
    }
}

/// Interval between two rounds of evidence queries.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(1);

impl GroupState {
    /// Creates the state of a group, with its control links on the watch runtime.
    pub(crate) fn new(
        context: &Context,
        in_force: GroupConfiguration,
        watch: &Handle,
    ) -> Arc<GroupState> {
        let _runtime = watch.enter();
        let limits = &in_force.configuration.limits;
        let timeout = Duration::from_millis(in_force.configuration.failover.status_timeout_ms);
        let target = |address| EndpointAddress {
            address,
            user: context.settings.endpoint.user.to_string(),
            database: in_force.group.id.service.to_string(),
            password: context.endpoint_password.clone(),
            application_name: format!("wardtiller:{}", context.settings.daemon.host),
        };
        let links: Vec<ControlLink> = in_force
            .group
            .servers
            .iter()
            .map(|server| ControlLink::start(target(server.address), timeout))
            .collect();
        let pools = in_force
            .group
            .servers
            .iter()
            .map(|server| {
                ServerPool::new(
                    target(server.address),
                    1,
                    limits.queue_length,
                    limits.prepared_statements,
                )
            })
            .collect();
        let now = Instant::now();
        let servers = in_force.group.servers.len();
        let retry_percent = limits.retry_percent;
        let (read_index, index_requests) = ReadIndex::new();
        let group = Arc::new(GroupState {
            id: in_force.group.id.clone(),
            in_force: ArcSwap::from_pointee(in_force),
            view: RwLock::new(GroupView::new(servers, now)),
            changed: Notify::new(),
            links,
            pools,
            read_index,
            retries: Mutex::new(RetryBudget::new(retry_percent)),
            writing: AtomicU32::new(0),
            next_sequence: AtomicU64::new(0),
            used_at: Mutex::new(now),
        });
        tokio::spawn(crate::read_index::serve_rounds(Arc::downgrade(&group), index_requests));
        group
    }

    /// Records that the group is used, so that its state is kept and its servers are watched.
    pub(crate) fn touch(&self) {
        *self.used_at.lock() = Instant::now();
    }

    /// Returns how long ago the group was last used.
    pub(crate) fn unused_for(&self) -> Duration {
        self.used_at.lock().elapsed()
    }

    /// Queries a server's status, and records the answer or that there was none.
    pub(crate) async fn query_status(
        &self,
        server: ServerId,
    ) -> Result<StatusAnswer, ControlLinkError> {
        let answer = self.links[server.index()].status().await;
        self.record_answer(server, &answer);
        answer
    }

    /// Runs a statement that changes a server's role, and records the answer.
    pub(crate) async fn run_statement(
        &self,
        server: ServerId,
        statement: String,
    ) -> Result<StatusAnswer, ControlLinkError> {
        let answer = self.links[server.index()].call(statement).await;
        if answer.is_ok() {
            self.record_answer(server, &answer);
        }
        answer
    }

    fn record_answer(&self, server: ServerId, answer: &Result<StatusAnswer, ControlLinkError>) {
        match answer {
            Ok(answer) => self.record_status(server, answer.status.clone(), answer.requested_at),
            Err(_) => self.view.write().record_silence(server, Instant::now()),
        }
    }

    /// Records a status from any source.
    pub(crate) fn record_status(
        &self,
        server: ServerId,
        status: Arc<ServerStatus>,
        requested_at: Instant,
    ) {
        if self.view.write().record_status(server, status, requested_at) {
            self.changed.notify_waiters();
        }
    }

    /// Records the status that came with a job's answer, unless it is already known.
    pub(crate) fn record_job_status(&self, server: ServerId, status: &ServerStatus) {
        if !self.view.read().is_already_known(server, status) {
            self.record_status(server, Arc::new(status.clone()), Instant::now());
        }
    }

    /// Records that a server failed to answer a request.
    pub(crate) fn record_failure(&self, server: ServerId) {
        self.view.write().record_silence(server, Instant::now());
    }

    /// Returns a number that differs from call to call.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the servers as candidates for a read.
    pub(crate) fn candidates(&self, context: &Context) -> Vec<Candidate> {
        let in_force = self.in_force.load();
        let view = self.view.read();
        let own_zone = &context.settings.daemon.availability_zone;
        in_force
            .group
            .servers
            .iter()
            .enumerate()
            .map(|(index, server)| {
                let id = ServerId::from_index(index);
                Candidate {
                    server: id,
                    usable: view.is_responding(id)
                        && context.may_get_new_work(&server.address, &in_force.configuration),
                    primary: view.primary == Some(id),
                    applied: view.applied(id),
                    in_flight: self.pools[index].in_flight(),
                    slots: in_force.group.options.slots,
                    latency_us: self.pools[index].latency().get_us(),
                    same_zone: server.availability_zone == *own_zone,
                }
            })
            .collect()
    }

    /// Queries the other servers until the evidence is decisive or the deadline passes.
    pub(crate) async fn wait_for_evidence(&self, request: EvidenceRequest<'_>) -> Evidence {
        loop {
            match self.query_evidence(&request).await {
                Evidence::Insufficient
                    if self.links.len() > 1 && Instant::now() < request.deadline =>
                {
                    tokio::time::sleep(EVIDENCE_INTERVAL).await;
                }
                evidence => return evidence,
            }
        }
    }

    /// Queries every other server once. Returns as soon as the answers are decisive.
    async fn query_evidence(&self, request: &EvidenceRequest<'_>) -> Evidence {
        let servers = self.links.len();
        let mut answers: Vec<Arc<ServerStatus>> = Vec::with_capacity(servers);
        let mut queries: FuturesUnordered<_> = (0..servers)
            .map(ServerId::from_index)
            .filter(|server| *server != request.primary)
            .map(|server| self.query_status(server))
            .collect();
        let until = tokio::time::Instant::from_std(request.deadline);
        let mut evidence = request.assess(&answers, servers);
        while evidence == Evidence::Insufficient {
            match tokio::time::timeout_at(until, queries.next()).await {
                Ok(Some(Ok(answer))) => answers.push(answer.status),
                Ok(Some(Err(_))) => continue,
                Ok(None) | Err(_) => return evidence,
            }
            evidence = request.assess(&answers, servers);
        }
        evidence
    }

    /// Waits until the primary or the term changes, or the deadline passes. May return earlier.
    pub(crate) async fn wait_for_change(&self, deadline: Instant) {
        let until = tokio::time::Instant::from_std(deadline);
        // A change after the caller's last check and before this wait is missed, so the wait is short.
        let until = until.min(tokio::time::Instant::now() + Duration::from_millis(20));
        let _ = tokio::time::timeout_at(until, self.changed.notified()).await;
    }

    /// Closes the group's pools. Running work is finished.
    pub(crate) fn close(&self) {
        for pool in &self.pools {
            pool.close();
        }
    }

    /// Returns the refusal for a request that finds no primary.
    pub(crate) fn no_primary(&self) -> Refusal {
        Refusal::not_run(
            RefusalReason::NoPrimary,
            format!("the group {} has no primary at present", self.id),
        )
        .retry_after(NO_PRIMARY_RETRY_MS)
    }
}

/// Retry delay for a request that finds no primary, about the duration of a promotion.
const NO_PRIMARY_RETRY_MS: u64 = 1_000;

/// Counts a write as running until it is dropped.
pub(crate) struct WritingGuard {
    group: Arc<GroupState>,
}

impl WritingGuard {
    pub(crate) fn new(group: &Arc<GroupState>) -> WritingGuard {
        group.writing.fetch_add(1, Ordering::AcqRel);
        WritingGuard { group: group.clone() }
    }
}

impl Drop for WritingGuard {
    fn drop(&mut self) {
        self.group.writing.fetch_sub(1, Ordering::AcqRel);
    }
}
