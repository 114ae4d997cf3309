//! Runs a write or a transaction: waits for a primary, and acknowledges a write once other servers
//! confirm it.

use std::time::{Duration, Instant};

use config::{Acknowledge, UntrackedReads};
use failover::Evidence;
use model::{LogPoint, Priority, Refusal, RefusalReason, ServerId, ServerStatus, Term, Verdict};
use routing::{WriteRoute, WriteRules, route_write};
use session::WriteStatus;

use crate::{
    endpoint_connection::{AnswerSink, JobAnswer, RunOptions, StatusCheck, StatusQuery},
    executor::{JobResult, JobRun, NO_FRESH_SERVER_RETRY_MS, PinnedConnection},
    group_state::{EvidenceRequest, WritingGuard},
};

/// SQLSTATE of a server that refuses writes.
const READ_ONLY_SERVER: &str = "25006";

/// Retry delay for a write while the replicas are too far behind.
const REPLICAS_BEHIND_RETRY_MS: u64 = 1_000;

/// Where a write runs, and the rule that acknowledges it.
#[derive(Clone, Copy, Debug)]
struct AdmittedWrite {
    server: ServerId,
    term: Term,
    rule: Acknowledge,
}

impl JobRun<'_> {
    pub(crate) async fn write<S: AnswerSink>(
        &self,
        pinned: &mut Option<PinnedConnection>,
        sink: &mut S,
    ) -> Result<JobResult, Refusal> {
        loop {
            let writing = WritingGuard::new(self.group);
            let Some(admitted) = self.admit_write()? else {
                drop(writing);
                if Instant::now() >= self.deadline {
                    return Err(self.group.no_primary());
                }
                self.group.wait_for_change(self.deadline).await;
                continue;
            };
            let server = admitted.server;
            self.check_session(admitted.term).await?;
            if self.needs_read_index() {
                self.read_index().await?;
            }
            let acquired = self.acquire(server, false, Priority::Urgent).await;
            let mut connection = match acquired {
                Ok(connection) => connection,
                Err(refusal) if refusal.reason == RefusalReason::Unreachable => {
                    self.group.record_failure(server);
                    self.wait_or_refuse(refusal).await?;
                    continue;
                }
                Err(refusal) => return Err(refusal),
            };
            let options = RunOptions {
                status_query: StatusQuery::After,
                hold_bytes: Some(self.hold_bytes()),
            };
            let accept = |_: &ServerStatus| StatusCheck::Accept;
            let answer = match self.run(&mut connection, server, false, options, accept, sink).await
            {
                Ok(answer) => answer,
                Err(refusal) if refusal.verdict == Verdict::NotRun => {
                    self.wait_or_refuse(refusal).await?;
                    continue;
                }
                Err(refusal) => return Err(refusal),
            };
            if let Some(status) = &answer.status {
                self.group.record_job_status(server, status);
            }
            let began_on_old_primary = !self.job.writes
                && answer
                    .status
                    .as_ref()
                    .is_some_and(|status| !status.leads() || status.log_term != admitted.term);
            if began_on_old_primary && !sink.has_begun() {
                // The former primary only began a transaction, which ends when the connection is dropped.
                self.wait_or_refuse(self.group.no_primary()).await?;
                continue;
            }
            if self.was_refused_by_sealed_server(&answer) && !sink.has_begun() {
                // The server refused the statement because it is not the primary, so the next primary may
                // run it.
                let _ = self.group.query_status(server).await;
                self.wait_or_refuse(self.group.no_primary()).await?;
                continue;
            }
            if answer.transaction != b'I' {
                let result = self.result(server, false, None, &answer);
                *pinned = Some(PinnedConnection {
                    connection,
                    server,
                    term: admitted.term,
                    wrote: self.job.writes,
                    by_replica: false,
                    _writing: Some(writing),
                });
                return Ok(result);
            }
            connection.release();
            return self.acknowledge(admitted, self.job.writes, answer).await;
        }
    }

    /// Returns where a write may run now, or `None` while it has to wait.
    fn admit_write(&self) -> Result<Option<AdmittedWrite>, Refusal> {
        let group_view = self.group.view.read();
        let now = Instant::now();
        let usable = group_view.primary.is_some_and(|primary| {
            let address = &self.in_force.group.servers[primary.index()].address;
            group_view.is_responding(primary)
                && self.context.may_get_new_work(address, &self.in_force.configuration)
        });
        let view = group_view.primary_view(usable, now);
        let options = self.options();
        let rules = WriteRules {
            acknowledge: options.acknowledge,
            when_behind: options.when_behind,
            behind_positions: options.behind_positions,
        };
        match route_write(rules, &view) {
            WriteRoute::Primary(server, rule) => {
                Ok(Some(AdmittedWrite { server, term: view.term, rule }))
            }
            WriteRoute::AwaitPrimary | WriteRoute::NoMajority => Ok(None),
            WriteRoute::ReplicasBehind => Err(Refusal::not_run(
                RefusalReason::NoEvidence,
                "the replicas are too far behind to confirm a write in time",
            )
            .retry_after(REPLICAS_BEHIND_RETRY_MS)),
        }
    }

    /// Whether a new transaction must see all acknowledged writes, which only a confirmed primary has.
    fn needs_read_index(&self) -> bool {
        !self.job.writes
            && !self.job.tracked
            && self.options().untracked_reads != UntrackedReads::Connection
    }

    /// Checks that the history of the primary's term contains the session's writes, since a
    /// transaction must see them.
    async fn check_session(&self, term: Term) -> Result<(), Refusal> {
        let Some(min_point) = self.min_point() else { return Ok(()) };
        let write_status = self.group.view.read().history.write_status(min_point);
        match write_status {
            WriteStatus::Kept => Ok(()),
            WriteStatus::Lost => Err(self.write_lost_refusal()),
            WriteStatus::UnknownTerm if min_point.term <= term => Ok(()),
            WriteStatus::UnknownTerm => {
                // The session token has a newer term than this daemon knows, so the servers are
                // queried.
                for index in 0..self.group.links.len() {
                    let _ = self.group.query_status(ServerId::from_index(index)).await;
                }
                if self.group.view.read().term >= min_point.term {
                    return Ok(());
                }
                Err(Refusal::not_run(
                    RefusalReason::NoFreshServer,
                    format!(
                        "the session has seen the term {}, which no server here knows",
                        min_point.term
                    ),
                )
                .retry_after(NO_FRESH_SERVER_RETRY_MS))
            }
        }
    }

    async fn wait_or_refuse(&self, refusal: Refusal) -> Result<(), Refusal> {
        if Instant::now() >= self.deadline {
            return Err(refusal);
        }
        self.group.wait_for_change(self.deadline).await;
        Ok(())
    }

    /// Whether the server refused the first statement because it is not the primary.
    fn was_refused_by_sealed_server(&self, answer: &JobAnswer) -> bool {
        answer.error_code.as_deref() == Some(READ_ONLY_SERVER)
            && !answer.completed
            && answer.status.as_ref().is_some_and(|status| !status.leads())
    }

    /// Acknowledges a committed write once there is enough evidence.
    async fn acknowledge(
        &self,
        admitted: AdmittedWrite,
        wrote: bool,
        answer: JobAnswer,
    ) -> Result<JobResult, Refusal> {
        let AdmittedWrite { server, term, rule } = admitted;
        let nothing_committed = !wrote || (answer.error_code.is_some() && !answer.completed);
        let Some(status) = answer.status.as_ref().filter(|_| !nothing_committed) else {
            return Ok(self.result(server, false, None, &answer));
        };
        // The write belongs to the term in which it was admitted, even if the server's term has changed
        // since.
        let write = LogPoint { term, position: status.held_position };
        let started = Instant::now();
        let wait = Duration::from_millis(self.options().acknowledge_timeout_ms);
        let request = EvidenceRequest {
            rule,
            point: write,
            primary: server,
            primary_status: status,
            deadline: started + wait,
        };
        let evidence = self.group.wait_for_evidence(request).await;
        let service = &*self.group.id.service;
        let seconds = started.elapsed().as_secs_f64();
        self.context.metrics.evidence_seconds.with_label_values(&[service]).observe(seconds);
        match evidence {
            Evidence::Sufficient => Ok(self.result(server, false, Some(write), &answer)),
            Evidence::Insufficient => Err(Refusal::may_have_run(
                RefusalReason::NoEvidence,
                "the primary ran the request, but too few servers confirmed it in time",
            )),
            Evidence::Deposed => Err(Refusal::may_have_run(
                RefusalReason::Deposed,
                "the primary was replaced while it ran the request",
            )),
        }
    }

    pub(crate) async fn run_in_transaction<S: AnswerSink>(
        &self,
        pinned: &mut Option<PinnedConnection>,
        sink: &mut S,
    ) -> Result<JobResult, Refusal> {
        let Some(mut pin) = pinned.take() else {
            return Err(Refusal::not_run(
                RefusalReason::AnswerLost,
                "the transaction's connection is gone, so the transaction was rolled back",
            ));
        };
        let server = pin.server;
        let commits = self.job.may_commit;
        let hold = commits && (pin.wrote || self.job.writes);
        let options = RunOptions {
            status_query: if hold { StatusQuery::After } else { StatusQuery::None },
            hold_bytes: hold.then_some(self.hold_bytes()),
        };
        let accept = |_: &ServerStatus| StatusCheck::Accept;
        let answer = self
            .run(&mut pin.connection, server, pin.by_replica, options, accept, sink)
            .await
            .map_err(|refusal| self.transaction_verdict(refusal, commits))?;
        pin.wrote |= self.job.writes;
        if answer.transaction != b'I' {
            let by_replica = pin.by_replica;
            *pinned = Some(pin);
            return Ok(self.result(server, by_replica, None, &answer));
        }
        pin.connection.release();
        if hold {
            let rule = self.options().acknowledge;
            let admitted = AdmittedWrite { server, term: pin.term, rule };
            return self.acknowledge(admitted, pin.wrote, answer).await;
        }
        Ok(self.result(server, pin.by_replica, None, &answer))
    }

    /// Adjusts the verdict on a failed request of a transaction: if the connection is lost before the
    /// commit is sent, the transaction is rolled back, so nothing ran.
    fn transaction_verdict(&self, refusal: Refusal, commits: bool) -> Refusal {
        if commits {
            return refusal;
        }
        Refusal {
            verdict: Verdict::NotRun,
            detail: format!("{}; the transaction was rolled back", refusal.detail),
            ..refusal
        }
    }
}
