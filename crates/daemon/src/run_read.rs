//! Runs a read: determines the log points that it must see, checks the answer, and tries other
//! servers.

use std::time::Instant;

use config::{Acknowledge, ReadPolicy, UntrackedReads};
use failover::Evidence;
use model::{LogPoint, Priority, Refusal, RefusalReason, ServerId, ServerStatus};
use routing::{ReadCriteria, ReadRoute, route_read};
use session::{ReadCheck, ReadRequirement, check_read};

use crate::{
    endpoint_connection::{AnswerSink, JobAnswer, RunOptions, StatusCheck, StatusQuery},
    executor::{JobResult, JobRun, NO_FRESH_SERVER_RETRY_MS, PinnedConnection},
    group_state::EvidenceRequest,
    pool::PooledConnection,
    read_index::ReadIndexError,
};

/// Maximum number of servers on which a read is tried.
const MAX_READ_ATTEMPTS: usize = 4;

/// The outcome of one attempt at a read.
enum ReadAttempt {
    Answered(JobResult),
    /// The server was behind, so another one is tried.
    Behind(ServerId),
    /// The server failed before any part of the answer was forwarded, so another one is tried.
    Failed(ServerId, Refusal),
}

impl JobRun<'_> {
    pub(crate) async fn read<S: AnswerSink>(
        &self,
        pinned: &mut Option<PinnedConnection>,
        sink: &mut S,
    ) -> Result<JobResult, Refusal> {
        let mut avoid = None;
        let mut last_refusal = None;
        let mut attempts = 0;
        while attempts < MAX_READ_ATTEMPTS {
            let requirement = self.read_requirement().await?;
            let route = self.route(requirement, avoid);
            let server = match route {
                ReadRoute::Replica(server) | ReadRoute::Primary(server) => server,
                ReadRoute::NoServer => {
                    if Instant::now() >= self.deadline {
                        break;
                    }
                    avoid = None;
                    self.group.wait_for_change(self.deadline).await;
                    continue;
                }
            };
            attempts += 1;
            let by_replica = matches!(route, ReadRoute::Replica(_));
            match self.try_read(server, by_replica, requirement, pinned, sink).await? {
                ReadAttempt::Answered(result) => return Ok(result),
                ReadAttempt::Behind(server) => {
                    self.count_retry("behind");
                    avoid = Some(server);
                }
                ReadAttempt::Failed(server, refusal) => {
                    self.count_retry("failed");
                    avoid = Some(server);
                    last_refusal = Some(refusal);
                }
            }
            if !self.group.retries.lock().try_retry() {
                break;
            }
        }
        Err(last_refusal.unwrap_or_else(|| {
            Refusal::not_run(
                RefusalReason::NoFreshServer,
                "no server within reach is known to show what this read has to see",
            )
            .retry_after(NO_FRESH_SERVER_RETRY_MS)
        }))
    }

    fn count_retry(&self, cause: &str) {
        let service = &*self.group.id.service;
        self.context.metrics.read_retries.with_label_values(&[service, cause]).inc();
    }

    /// Determines the log points that the read must see.
    async fn read_requirement(&self) -> Result<ReadRequirement, Refusal> {
        let session = self.min_point();
        if let Some(staleness) = self.staleness() {
            let freshness = self.group.view.read().samples.point_for(staleness, Instant::now());
            if let Some(freshness) = freshness {
                return Ok(ReadRequirement { session, freshness: Some(freshness) });
            }
            // Without a recent enough sample, the read index is needed.
            let point = self.read_index().await?;
            return Ok(ReadRequirement { session, freshness: Some(point) });
        }
        let untracked = self.options().untracked_reads;
        if self.job.tracked || untracked == UntrackedReads::Connection {
            return Ok(ReadRequirement { session, freshness: None });
        }
        if untracked == UntrackedReads::Primary {
            return Ok(ReadRequirement { session, freshness: None });
        }
        let point = self.read_index().await?;
        Ok(ReadRequirement { session, freshness: Some(point) })
    }

    /// Gets the read index, retrying until the deadline.
    pub(crate) async fn read_index(&self) -> Result<LogPoint, Refusal> {
        loop {
            let index = tokio::time::timeout_at(
                tokio::time::Instant::from_std(self.deadline),
                self.group.read_index.get(),
            );
            match index.await {
                Ok(Ok(point)) => return Ok(point),
                Ok(Err(ReadIndexError::NoPrimary | ReadIndexError::NotConfirmed))
                    if Instant::now() < self.deadline =>
                {
                    self.group.wait_for_change(self.deadline).await;
                }
                Ok(Err(_)) | Err(_) => {
                    return Err(Refusal::not_run(
                        RefusalReason::NoFreshServer,
                        "no primary confirms what has been written; a read that accepts stated \
                         staleness may still be served",
                    )
                    .retry_after(NO_FRESH_SERVER_RETRY_MS));
                }
            }
        }
    }

    fn route(&self, requirement: ReadRequirement, avoid: Option<ServerId>) -> ReadRoute {
        let candidates = self.group.candidates(self.context);
        let freshness =
            requirement.freshness.map(|point| self.group.view.read().history.clamp(point));
        let point = requirement.session.max(freshness).unwrap_or_default();
        let primary_only = self.options().untracked_reads == UntrackedReads::Primary
            && !self.job.tracked
            && self.staleness().is_none();
        let criteria = ReadCriteria {
            point,
            has_written: primary_only || self.job.min_point.is_some(),
            policy: if primary_only {
                ReadPolicy::PrimaryAfterWrite
            } else {
                self.options().read_policy
            },
            sequence: self.group.next_sequence(),
            avoid,
        };
        route_read(&criteria, &candidates)
    }

    fn read_priority(&self) -> Priority {
        if self.staleness().is_some() { Priority::Relaxed } else { Priority::Normal }
    }

    async fn try_read<S: AnswerSink>(
        &self,
        server: ServerId,
        by_replica: bool,
        requirement: ReadRequirement,
        pinned: &mut Option<PinnedConnection>,
        sink: &mut S,
    ) -> Result<ReadAttempt, Refusal> {
        let pool = &self.group.pools[server.index()];
        let acquired = self.acquire(server, by_replica, self.read_priority()).await;
        let mut connection = match acquired {
            Ok(connection) => connection,
            Err(refusal) if refusal.reason == RefusalReason::Unreachable => {
                self.group.record_failure(server);
                return Ok(ReadAttempt::Failed(server, refusal));
            }
            Err(refusal) => return Err(refusal),
        };
        let history = self.group.view.read().history.clone();
        let mut read_check = ReadCheck::Behind;
        let check_status = |status: &ServerStatus| {
            read_check = check_read(requirement, status, &history);
            if read_check == ReadCheck::Sufficient {
                StatusCheck::Accept
            } else {
                StatusCheck::Reject
            }
        };
        let needs_evidence = self.options().untracked_reads == UntrackedReads::Primary
            && !self.job.tracked
            && self.staleness().is_none();
        let options = RunOptions {
            status_query: StatusQuery::Before,
            hold_bytes: needs_evidence.then_some(self.hold_bytes()),
        };
        let started = Instant::now();
        let answer =
            self.run(&mut connection, server, by_replica, options, check_status, sink).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(refusal) if sink.has_begun() => return Err(refusal),
            Err(refusal) => return Ok(ReadAttempt::Failed(server, refusal)),
        };
        let elapsed = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        pool.latency().add(elapsed);
        if let Some(status) = &answer.status {
            self.group.record_job_status(server, status);
        }
        if answer.rejected {
            return self.rejected(server, read_check, connection, &answer);
        }
        if needs_evidence && let Some(status) = &answer.status {
            let request = EvidenceRequest {
                rule: Acknowledge::Term,
                point: status.held(),
                primary: server,
                primary_status: status,
                deadline: self.deadline,
            };
            if self.group.wait_for_evidence(request).await != Evidence::Sufficient {
                let refusal = Refusal::not_run(
                    RefusalReason::NoFreshServer,
                    "no second server confirms that the primary still leads",
                );
                return Ok(ReadAttempt::Failed(server, refusal));
            }
        }
        let result = self.result(server, by_replica, None, &answer);
        if answer.transaction == b'I' {
            connection.release();
        } else {
            let term = answer.status.as_ref().map(|status| status.log_term).unwrap_or_default();
            let wrote = false;
            *pinned = Some(PinnedConnection {
                connection,
                server,
                term,
                wrote,
                by_replica,
                _writing: None,
            });
        }
        Ok(ReadAttempt::Answered(result))
    }

    fn rejected(
        &self,
        server: ServerId,
        read_check: ReadCheck,
        connection: PooledConnection,
        answer: &JobAnswer,
    ) -> Result<ReadAttempt, Refusal> {
        // A connection with an open transaction is dropped, which ends the transaction.
        if answer.transaction == b'I' {
            connection.release();
        }
        if read_check == ReadCheck::Lost {
            return Err(self.write_lost_refusal());
        }
        Ok(ReadAttempt::Behind(server))
    }

    pub(crate) fn write_lost_refusal(&self) -> Refusal {
        let point = self.min_point().unwrap_or_default();
        Refusal::not_run(
            RefusalReason::WriteLost,
            format!(
                "a write of this session at {point} in the group {} did not survive a change of \
                 primary; set wardtiller.session to '' to go on without it",
                self.group.id
            ),
        )
    }
}
