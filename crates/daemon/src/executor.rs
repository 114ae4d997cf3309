//! Runs jobs of groups that this daemon owns: selects the server, checks the answer, retries where
//! that is safe, and waits for evidence before it acknowledges a write.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use membership::WorkAllowed;
use model::{GroupId, LogPoint, Priority, Refusal, RefusalReason, ServerId, ServerStatus, Term};
use peer::{Job, Point};
use routing::Request;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    context::Context,
    endpoint_connection::{AnswerSink, CancelKey, JobAnswer, RunError, RunOptions, StatusCheck},
    group_state::{GroupConfiguration, GroupState, WritingGuard},
    group_view::GroupView,
    pool::PooledConnection,
};

/// A connection that a transaction keeps until it ends.
pub(crate) struct PinnedConnection {
    pub(crate) connection: PooledConnection,
    pub(crate) server: ServerId,
    /// The term in which the transaction began.
    pub(crate) term: Term,
    pub(crate) wrote: bool,
    pub(crate) by_replica: bool,
    /// Counts the transaction as writing until it ends.
    pub(crate) _writing: Option<WritingGuard>,
}

/// The statement that a session is running, for cancellation.
pub(crate) type RunningStatement = parking_lot::Mutex<Option<CancelKey>>;

/// The result of a job that was answered.
#[derive(Debug)]
pub(crate) struct JobResult {
    /// Messages not yet forwarded.
    pub(crate) tail: Bytes,
    /// The transaction status byte.
    pub(crate) transaction: u8,
    /// The log point of an acknowledged write.
    pub(crate) write_point: Option<LogPoint>,
    /// The server that answered.
    pub(crate) served_by: String,
    /// Whether the server was a replica.
    pub(crate) by_replica: bool,
}

/// Runs one job. A refusal ends the transaction that the job belongs to.
pub(crate) async fn execute<S: AnswerSink>(
    context: &Context,
    group: &Arc<GroupState>,
    pinned: &mut Option<PinnedConnection>,
    running: &RunningStatement,
    job: &Job,
    sink: &mut S,
) -> Result<JobResult, Refusal> {
    group.touch();
    group.retries.lock().on_request();
    let in_force = group.in_force.load_full();
    let deadline = Instant::now() + Duration::from_millis(job.remaining_ms);
    let run = JobRun { context, group, running, job, in_force: &in_force, deadline };
    if job.in_transaction {
        return run.run_in_transaction(pinned, sink).await;
    }
    // For the caller no transaction is open, so a connection that is still pinned must not get new
    // statements.
    *pinned = None;
    if job.read_only { run.read(pinned, sink).await } else { run.write(pinned, sink).await }
}

/// A job with everything that its execution depends on.
pub(crate) struct JobRun<'a> {
    pub(crate) context: &'a Context,
    pub(crate) group: &'a Arc<GroupState>,
    running: &'a RunningStatement,
    pub(crate) job: &'a Job,
    pub(crate) in_force: &'a GroupConfiguration,
    pub(crate) deadline: Instant,
}

impl JobRun<'_> {
    pub(crate) fn min_point(&self) -> Option<LogPoint> {
        self.job.min_point.as_ref().map(|point| LogPoint::new(point.term, point.position))
    }

    pub(crate) fn options(&self) -> &config::ServiceOptions {
        &self.in_force.service.options
    }

    pub(crate) fn server_name(&self, server: ServerId) -> String {
        self.in_force.group.servers[server.index()].name.to_string()
    }

    pub(crate) fn request(&self, priority: Priority) -> Request {
        let user = self.in_force.configuration.users.get(self.job.user.as_str());
        Request {
            caller: xxh3_64(self.job.user.as_bytes()),
            weight: user.map_or(1, |user| user.weight),
            priority,
            deadline: self.deadline,
        }
    }

    /// Returns the maximum staleness that the read's kind accepts, or `None` without a kind.
    pub(crate) fn staleness(&self) -> Option<Duration> {
        if self.job.read_kind.is_empty() {
            return None;
        }
        let kind = self.in_force.service.kinds.get(self.job.read_kind.as_str())?;
        Some(Duration::from_millis(kind.staleness_ms))
    }

    /// Gets a connection to a server. Fails if the server stops answering or is replaced as primary;
    /// nothing was sent yet, so the request may run on another server.
    pub(crate) async fn acquire(
        &self,
        server: ServerId,
        by_replica: bool,
        priority: Priority,
    ) -> Result<PooledConnection, Refusal> {
        let pool = &self.group.pools[server.index()];
        let unreachable =
            || Refusal::not_run(RefusalReason::Unreachable, "the server does not answer");
        tokio::select! {
            acquired = pool.acquire(self.request(priority)) => acquired,
            () = self.wait_until_replaced(server), if !by_replica => Err(unreachable()),
            () = self.wait_until_silent(server) => Err(unreachable()),
        }
    }

    pub(crate) fn hold_bytes(&self) -> usize {
        usize::try_from(self.in_force.configuration.limits.held_answer_bytes).unwrap_or(usize::MAX)
    }

    /// Runs the job on a connection, unless [`Self::wait_for_abort`] returns before the answer.
    pub(crate) async fn run<S: AnswerSink>(
        &self,
        connection: &mut PooledConnection,
        server: ServerId,
        by_replica: bool,
        options: RunOptions,
        check_status: impl FnMut(&ServerStatus) -> StatusCheck + Send,
        sink: &mut S,
    ) -> Result<JobAnswer, Refusal> {
        *self.running.lock() = Some(connection.get().cancel_key());
        let run = connection.get().run(self.job, options, check_status, sink);
        let outcome = tokio::select! {
            outcome = run => outcome,
            refusal = self.wait_for_abort(server, by_replica) => {
                *self.running.lock() = None;
                return Err(refusal);
            }
        };
        *self.running.lock() = None;
        outcome.map_err(|error| match error {
            RunError::NotSent(error) => {
                self.group.record_failure(server);
                Refusal::not_run(RefusalReason::Unreachable, error.to_string())
            }
            RunError::Lost(error) => {
                self.group.record_failure(server);
                Refusal::may_have_run(RefusalReason::AnswerLost, error.to_string())
            }
            RunError::TooLarge => Refusal::may_have_run(
                RefusalReason::AnswerTooLarge,
                "the answer to a write is larger than held_answer_bytes",
            ),
            RunError::CallerGone => {
                Refusal::may_have_run(RefusalReason::AnswerLost, "the caller is gone")
            }
        })
    }

    /// Waits for a reason to give up a server's answer, and returns the refusal: a replica stopped
    /// answering, the primary was replaced, a leaving server must end its work, or the time limit
    /// has passed.
    pub(crate) async fn wait_for_abort(&self, server: ServerId, by_replica: bool) -> Refusal {
        let limit = match self.options().run_timeout_ms {
            0 => Duration::MAX,
            limit => Duration::from_millis(limit),
        };
        tokio::select! {
            () = self.wait_until_silent(server), if by_replica => Refusal::may_have_run(
                RefusalReason::AnswerLost,
                "the server stopped answering while it ran the request",
            ),
            () = self.wait_until_work_ends(server) => Refusal::may_have_run(
                RefusalReason::Unreachable,
                "the endpoint was leaving and its time for running work was over",
            ),
            () = self.wait_until_replaced(server), if !by_replica => Refusal::may_have_run(
                RefusalReason::Deposed,
                "the primary was replaced before it answered",
            ),
            () = tokio::time::sleep(limit) => Refusal::may_have_run(
                RefusalReason::DeadlinePassed,
                format!("the server did not answer within {} ms", limit.as_millis()),
            ),
        }
    }

    /// Returns when another server is the primary.
    pub(crate) async fn wait_until_replaced(&self, server: ServerId) {
        self.wait_until(|view| view.primary.is_some_and(|primary| primary != server)).await;
    }

    /// Returns when a server has not answered for `suspect_after_ms`.
    pub(crate) async fn wait_until_silent(&self, server: ServerId) {
        let suspect_after =
            Duration::from_millis(self.in_force.configuration.failover.suspect_after_ms);
        self.wait_until(|view| {
            let silent = view.silent_for(server, Instant::now());
            silent.is_some_and(|silent| silent >= suspect_after)
        })
        .await;
    }

    /// Returns when a leaving server may no longer run any work.
    pub(crate) async fn wait_until_work_ends(&self, server: ServerId) {
        let address = &self.in_force.group.servers[server.index()].address;
        let configuration = &self.in_force.configuration;
        self.wait_until(|_| {
            self.context.work_allowed(address, configuration) == WorkAllowed::Nothing
        })
        .await;
    }

    /// Waits until the view fulfils a condition. The condition is also checked at an interval,
    /// since no notification is sent while a server does not answer.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&GroupView) -> bool) {
        loop {
            let changed = self.group.changed.notified();
            if condition(&self.group.view.read()) {
                return;
            }
            let _ = tokio::time::timeout(CONDITION_POLL_INTERVAL, changed).await;
        }
    }

    pub(crate) fn result(
        &self,
        server: ServerId,
        by_replica: bool,
        write_point: Option<LogPoint>,
        answer: &JobAnswer,
    ) -> JobResult {
        JobResult {
            tail: Bytes::copy_from_slice(&answer.tail),
            transaction: answer.transaction,
            write_point,
            served_by: self.server_name(server),
            by_replica,
        }
    }
}

/// How often a condition is checked without a notification.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) fn group_of(job: &Job) -> GroupId {
    GroupId::new(job.service.as_str(), job.group.as_str())
}

pub(crate) fn point_message(point: LogPoint) -> Point {
    Point { term: point.term.0, position: point.position.0 }
}

/// Retry delay for a read that finds no server fresh enough.
pub(crate) const NO_FRESH_SERVER_RETRY_MS: u64 = 200;
