//! Runs a job at a group that this daemon owns: chooses the server, proves the answer, retries what
//! may be retried, and waits for evidence before a write is acknowledged.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use config::{Acknowledge, ReadPolicy, UntrackedReads};
use failover::Evidence;
use model::{
    GroupId, LogPoint, Priority, Refusal, RefusalReason, ServerId, ServerStatus, Term, Verdict,
};
use peer::{Job, Point};
use routing::{ReadQuestion, ReadRoute, Request, WriteRoute, route_read, route_write};
use session::{ReadRequirement, Shown, judge};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    board::GroupBoard,
    context::Context,
    endpoint_connection::{AnswerSink, CancelKey, JobAnswer, Probe, Proof, RunError, RunOptions},
    group_state::{GroupOptionsInForce, GroupState, WritingGuard},
    pool::PooledConnection,
    read_index::NoIndex,
};

/// A connection that a transaction keeps until it ends.
pub(crate) struct Pinned {
    connection: PooledConnection,
    server: ServerId,
    wrote: bool,
    by_replica: bool,
    _writing: Option<WritingGuard>,
}

/// What runs for a session now, so that it can be cancelled.
pub(crate) type Running = parking_lot::Mutex<Option<CancelKey>>;

/// The end of a job that was answered.
#[derive(Debug)]
pub(crate) struct JobEnd {
    /// The messages that were not passed on yet.
    pub(crate) tail: Bytes,
    /// The transaction status byte.
    pub(crate) transaction: u8,
    /// Where an acknowledged write stands.
    pub(crate) written: Option<LogPoint>,
    /// The server that answered.
    pub(crate) served_by: String,
    /// Whether that was a replica.
    pub(crate) by_replica: bool,
}

/// A read is tried on at most this many servers.
const MOST_READ_ATTEMPTS: usize = 4;

/// Runs one job. An error tells the verdict; a transaction that it was part of is then over.
pub(crate) async fn execute<S: AnswerSink>(
    context: &Context,
    group: &Arc<GroupState>,
    pinned: &mut Option<Pinned>,
    running: &Running,
    job: &Job,
    sink: &mut S,
) -> Result<JobEnd, Refusal> {
    group.touch();
    group.retries.lock().on_request();
    let in_force = group.in_force.load_full();
    let deadline = Instant::now() + Duration::from_millis(job.deadline_ms);
    let run = JobRun { context, group, running, job, in_force: &in_force, deadline };
    if job.in_transaction {
        return run.in_transaction(pinned, sink).await;
    }
    // A transaction that the caller does not know of any more must not receive its statements.
    *pinned = None;
    if job.read_only { run.read(pinned, sink).await } else { run.write(pinned, sink).await }
}

struct JobRun<'a> {
    context: &'a Context,
    group: &'a Arc<GroupState>,
    running: &'a Running,
    job: &'a Job,
    in_force: &'a GroupOptionsInForce,
    deadline: Instant,
}

/// What to do after an attempt at a read.
enum ReadAttempt {
    /// It is answered.
    Answered(JobEnd),
    /// Another server is to be tried; this one was behind.
    Behind(ServerId),
    /// Another server is to be tried; this one failed before it passed anything on.
    Failed(ServerId, Refusal),
}

impl JobRun<'_> {
    fn seen(&self) -> Option<LogPoint> {
        self.job.seen.as_ref().map(|point| LogPoint::new(point.term, point.position))
    }

    fn options(&self) -> &config::ServiceOptions {
        &self.in_force.service.options
    }

    fn server_name(&self, server: ServerId) -> String {
        self.in_force.group.servers[server.index()].name.to_string()
    }

    fn request(&self, priority: Priority) -> Request {
        Request { caller: xxh3_64(self.job.user.as_bytes()), priority, deadline: self.deadline }
    }

    /// The longest staleness that the read's kind accepts, if it has a kind.
    fn staleness(&self) -> Option<Duration> {
        if self.job.read_kind.is_empty() {
            return None;
        }
        let kind = self.in_force.service.kinds.get(self.job.read_kind.as_str())?;
        Some(Duration::from_millis(kind.staleness_ms))
    }

    // ---- reads ----

    async fn read<S: AnswerSink>(
        &self,
        pinned: &mut Option<Pinned>,
        sink: &mut S,
    ) -> Result<JobEnd, Refusal> {
        let mut avoid = None;
        let mut last_refusal = None;
        let mut attempts = 0;
        while attempts < MOST_READ_ATTEMPTS {
            let requirement = self.read_requirement().await?;
            let route = self.route(requirement, avoid);
            let server = match route {
                ReadRoute::Replica(server) | ReadRoute::Primary(server) => server,
                ReadRoute::Nowhere => {
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
                ReadAttempt::Answered(end) => return Ok(end),
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
            .retry_after(NO_FRESH_RETRY_MS)
        }))
    }

    fn count_retry(&self, cause: &str) {
        let service = &*self.group.id.service;
        self.context.metrics.read_retries.with_label_values(&[service, cause]).inc();
    }

    /// Works out what the read has to see.
    async fn read_requirement(&self) -> Result<ReadRequirement, Refusal> {
        let session = self.seen();
        if let Some(staleness) = self.staleness() {
            let freshness = self.group.board.read().samples.point_for(staleness, Instant::now());
            if let Some(freshness) = freshness {
                return Ok(ReadRequirement { session, freshness: Some(freshness) });
            }
            // Without a sample that is young enough the primary has to be asked.
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
        Ok(ReadRequirement { session: session.max(Some(point)), freshness: None })
    }

    /// Asks for the read index until there is one or the deadline passes.
    async fn read_index(&self) -> Result<LogPoint, Refusal> {
        loop {
            let index = tokio::time::timeout_at(
                tokio::time::Instant::from_std(self.deadline),
                self.group.read_index.get(),
            );
            match index.await {
                Ok(Ok(point)) => return Ok(point),
                Ok(Err(NoIndex::NoPrimary | NoIndex::NotConfirmed))
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
                    .retry_after(NO_FRESH_RETRY_MS));
                }
            }
        }
    }

    fn route(&self, requirement: ReadRequirement, avoid: Option<ServerId>) -> ReadRoute {
        let candidates = self.group.candidates(self.context);
        let point = requirement.session.max(requirement.freshness).unwrap_or_default();
        let primary_only = self.options().untracked_reads == UntrackedReads::Primary
            && !self.job.tracked
            && self.staleness().is_none();
        let question = ReadQuestion {
            point,
            has_written: primary_only || self.job.seen.is_some(),
            policy: if primary_only {
                ReadPolicy::PrimaryAfterWrite
            } else {
                self.options().read_policy
            },
            turn: self.group.next_turn(),
            avoid,
        };
        route_read(&question, &candidates)
    }

    fn priority_of_read(&self) -> Priority {
        if self.staleness().is_some() { Priority::Relaxed } else { Priority::Normal }
    }

    async fn try_read<S: AnswerSink>(
        &self,
        server: ServerId,
        by_replica: bool,
        requirement: ReadRequirement,
        pinned: &mut Option<Pinned>,
        sink: &mut S,
    ) -> Result<ReadAttempt, Refusal> {
        let pool = &self.group.pools[server.index()];
        let acquired = self.acquire(server, by_replica, self.priority_of_read()).await;
        let mut connection = match acquired {
            Ok(connection) => connection,
            Err(refusal) if refusal.reason == RefusalReason::Unreachable => {
                self.group.note_failure(server);
                return Ok(ReadAttempt::Failed(server, refusal));
            }
            Err(refusal) => return Err(refusal),
        };
        let known = self.group.board.read().history.clone();
        let mut shown = Shown::Behind;
        let prove = |status: &ServerStatus| {
            shown = judge(requirement, status, &known);
            if shown == Shown::Enough { Proof::Accept } else { Proof::Reject }
        };
        let confirm = self.options().untracked_reads == UntrackedReads::Primary
            && !self.job.tracked
            && self.staleness().is_none();
        let options =
            RunOptions { probe: Probe::Before, hold_bytes: confirm.then_some(self.hold_bytes()) };
        let started = Instant::now();
        let answer = self.run(&mut connection, server, by_replica, options, prove, sink).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(refusal) if sink.has_begun() => return Err(refusal),
            Err(refusal) => return Ok(ReadAttempt::Failed(server, refusal)),
        };
        let elapsed = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        pool.latency().add(elapsed);
        if let Some(status) = &answer.status {
            self.group.note_proof(server, status);
        }
        if answer.rejected {
            return self.rejected(server, shown, connection, &answer);
        }
        if confirm && let Some(status) = &answer.status {
            let point = status.held();
            let evidence =
                self.group.evidence(Acknowledge::Term, point, server, status, self.deadline);
            if evidence.await != Evidence::Enough {
                let refusal = Refusal::not_run(
                    RefusalReason::NoFreshServer,
                    "no second server confirms that the primary still leads",
                );
                return Ok(ReadAttempt::Failed(server, refusal));
            }
        }
        let end = self.end(server, by_replica, None, &answer);
        if answer.transaction == b'I' {
            connection.give_back();
        } else {
            *pinned = Some(Pinned { connection, server, wrote: false, by_replica, _writing: None });
        }
        Ok(ReadAttempt::Answered(end))
    }

    fn rejected(
        &self,
        server: ServerId,
        shown: Shown,
        connection: PooledConnection,
        answer: &JobAnswer,
    ) -> Result<ReadAttempt, Refusal> {
        // A read-only transaction that was begun on the server is ended with its connection.
        if answer.transaction == b'I' {
            connection.give_back();
        }
        if shown == Shown::Lost {
            return Err(self.write_lost());
        }
        Ok(ReadAttempt::Behind(server))
    }

    fn write_lost(&self) -> Refusal {
        let point = self.seen().unwrap_or_default();
        Refusal::not_run(
            RefusalReason::WriteLost,
            format!(
                "a write of this session at {point} in the group {} did not survive a change of \
                 primary; set wardtiller.session to '' to go on without it",
                self.group.id
            ),
        )
    }

    // ---- writes ----

    async fn write<S: AnswerSink>(
        &self,
        pinned: &mut Option<Pinned>,
        sink: &mut S,
    ) -> Result<JobEnd, Refusal> {
        loop {
            let writing = WritingGuard::new(self.group);
            let Some((server, term)) = self.admit_write()? else {
                drop(writing);
                if Instant::now() >= self.deadline {
                    return Err(self.group.no_primary());
                }
                self.group.wait_for_change(self.deadline).await;
                continue;
            };
            self.check_session(term).await?;
            if self.needs_index() {
                self.read_index().await?;
            }
            let acquired = self.acquire(server, false, Priority::Urgent).await;
            let mut connection = match acquired {
                Ok(connection) => connection,
                Err(refusal) if refusal.reason == RefusalReason::Unreachable => {
                    self.group.note_failure(server);
                    self.wait_or_refuse(refusal).await?;
                    continue;
                }
                Err(refusal) => return Err(refusal),
            };
            let options = RunOptions { probe: Probe::After, hold_bytes: Some(self.hold_bytes()) };
            let accept = |_: &ServerStatus| Proof::Accept;
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
                self.group.note_proof(server, status);
            }
            let began_at_old =
                !self.job.writes && answer.status.as_ref().is_some_and(|status| !status.leads());
            if began_at_old && !sink.has_begun() {
                // Nothing but a transaction was begun there, and it ends with the connection.
                self.wait_or_refuse(self.group.no_primary()).await?;
                continue;
            }
            if self.was_refused_as_sealed(&answer) && !sink.has_begun() {
                // The server refused the statement with proof, so it may run on the next primary.
                let _ = self.group.ask(server).await;
                self.wait_or_refuse(self.group.no_primary()).await?;
                continue;
            }
            if answer.transaction != b'I' {
                let end = self.end(server, false, None, &answer);
                *pinned = Some(Pinned {
                    connection,
                    server,
                    wrote: self.job.writes,
                    by_replica: false,
                    _writing: Some(writing),
                });
                return Ok(end);
            }
            connection.give_back();
            return self.acknowledge(server, self.job.writes, answer).await;
        }
    }

    /// Says where a write may run now; `None` while it has to wait.
    fn admit_write(&self) -> Result<Option<(ServerId, Term)>, Refusal> {
        let board = self.group.board.read();
        let now = Instant::now();
        let usable = board.primary.is_some_and(|primary| {
            let address = &self.in_force.group.servers[primary.index()].address;
            board.answers(primary)
                && self.context.may_get_new_work(address, &self.in_force.configuration)
        });
        let view = board.primary_view(usable, now);
        match route_write(self.options().acknowledge, &view) {
            WriteRoute::Primary(server) => Ok(Some((server, view.term))),
            WriteRoute::AwaitPrimary | WriteRoute::NoMajority => Ok(None),
        }
    }

    /// Whether a transaction that begins has to see writes that only the primary can tell of.
    fn needs_index(&self) -> bool {
        !self.job.writes
            && !self.job.tracked
            && self.options().untracked_reads != UntrackedReads::Connection
    }

    /// A transaction must see its session's writes too, so the primary has to be of their term.
    async fn check_session(&self, term: Term) -> Result<(), Refusal> {
        let Some(seen) = self.seen() else { return Ok(()) };
        let standing = self.group.board.read().history.standing(seen);
        match standing {
            session::Standing::Kept => Ok(()),
            session::Standing::Lost => Err(self.write_lost()),
            session::Standing::Ahead if seen.term <= term => Ok(()),
            session::Standing::Ahead => {
                // The token knows of a newer term than this daemon; the servers are asked.
                for index in 0..self.group.links.len() {
                    let _ = self.group.ask(ServerId::from_index(index)).await;
                }
                if self.group.board.read().term >= seen.term {
                    return Ok(());
                }
                Err(Refusal::not_run(
                    RefusalReason::NoFreshServer,
                    format!(
                        "the session has seen the term {}, which no server here knows",
                        seen.term
                    ),
                )
                .retry_after(NO_FRESH_RETRY_MS))
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

    /// Whether the server refused the first statement because it does not lead.
    fn was_refused_as_sealed(&self, answer: &JobAnswer) -> bool {
        answer.error_code.as_deref() == Some(READ_ONLY_SERVER)
            && !answer.completed
            && answer.status.as_ref().is_some_and(|status| !status.leads())
    }

    /// Waits for evidence and acknowledges a write that has been committed.
    async fn acknowledge(
        &self,
        server: ServerId,
        wrote: bool,
        answer: JobAnswer,
    ) -> Result<JobEnd, Refusal> {
        let nothing_committed = !wrote || (answer.error_code.is_some() && !answer.completed);
        let Some(status) = answer.status.as_ref().filter(|_| !nothing_committed) else {
            return Ok(self.end(server, false, None, &answer));
        };
        let write = status.held();
        let started = Instant::now();
        let wait = Duration::from_millis(self.options().acknowledge_timeout_ms);
        let rule = self.options().acknowledge;
        let evidence = self.group.evidence(rule, write, server, status, started + wait).await;
        let service = &*self.group.id.service;
        let seconds = started.elapsed().as_secs_f64();
        self.context.metrics.evidence_seconds.with_label_values(&[service]).observe(seconds);
        match evidence {
            Evidence::Enough => Ok(self.end(server, false, Some(write), &answer)),
            Evidence::Wait => Err(Refusal::may_have_run(
                RefusalReason::NoEvidence,
                "the primary ran the request, but too few servers confirmed it in time",
            )),
            Evidence::Deposed => Err(Refusal::may_have_run(
                RefusalReason::Deposed,
                "the primary was replaced while it ran the request",
            )),
        }
    }

    // ---- transactions ----

    async fn in_transaction<S: AnswerSink>(
        &self,
        pinned: &mut Option<Pinned>,
        sink: &mut S,
    ) -> Result<JobEnd, Refusal> {
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
            probe: if hold { Probe::After } else { Probe::None },
            hold_bytes: hold.then_some(self.hold_bytes()),
        };
        let accept = |_: &ServerStatus| Proof::Accept;
        let answer = self
            .run(&mut pin.connection, server, pin.by_replica, options, accept, sink)
            .await
            .map_err(|refusal| self.transaction_verdict(refusal, commits))?;
        pin.wrote |= self.job.writes;
        if answer.transaction != b'I' {
            let by_replica = pin.by_replica;
            *pinned = Some(pin);
            return Ok(self.end(server, by_replica, None, &answer));
        }
        pin.connection.give_back();
        if hold {
            return self.acknowledge(server, pin.wrote, answer).await;
        }
        Ok(self.end(server, pin.by_replica, None, &answer))
    }

    /// Until its commit is sent, a transaction whose connection is lost is rolled back.
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

    // ---- common ----

    /// Gets a connection to a server, giving up when the server is silent or replaced: nothing was
    /// sent yet, so the request may go elsewhere.
    async fn acquire(
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
            () = self.replaced(server), if !by_replica => Err(unreachable()),
            () = self.silent(server) => Err(unreachable()),
        }
    }

    fn hold_bytes(&self) -> usize {
        usize::try_from(self.in_force.configuration.limits.held_answer_bytes).unwrap_or(usize::MAX)
    }

    /// Runs the job on a connection, giving up when it takes too long or its server is replaced.
    async fn run<S: AnswerSink>(
        &self,
        connection: &mut PooledConnection,
        server: ServerId,
        by_replica: bool,
        options: RunOptions,
        prove: impl FnMut(&ServerStatus) -> Proof + Send,
        sink: &mut S,
    ) -> Result<JobAnswer, Refusal> {
        *self.running.lock() = Some(connection.get().cancel_key());
        let run = connection.get().run(self.job, options, prove, sink);
        let outcome = tokio::select! {
            outcome = run => outcome,
            refusal = self.given_up(server, by_replica) => {
                *self.running.lock() = None;
                return Err(refusal);
            }
        };
        *self.running.lock() = None;
        outcome.map_err(|error| match error {
            RunError::NotSent(error) => {
                self.group.note_failure(server);
                Refusal::not_run(RefusalReason::Unreachable, error.to_string())
            }
            RunError::Lost(error) => {
                self.group.note_failure(server);
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

    /// Ends when there is no more use in waiting for the server's answer.
    async fn given_up(&self, server: ServerId, by_replica: bool) -> Refusal {
        let limit = match self.options().run_timeout_ms {
            0 => Duration::MAX,
            limit => Duration::from_millis(limit),
        };
        tokio::select! {
            () = self.silent(server), if by_replica => Refusal::may_have_run(
                RefusalReason::AnswerLost,
                "the server stopped answering while it ran the request",
            ),
            () = self.replaced(server), if !by_replica => Refusal::may_have_run(
                RefusalReason::Deposed,
                "the primary was replaced before it answered",
            ),
            () = tokio::time::sleep(limit) => Refusal::may_have_run(
                RefusalReason::DeadlinePassed,
                format!("the server did not answer within {} ms", limit.as_millis()),
            ),
        }
    }

    /// Ends when another server leads in a newer term.
    async fn replaced(&self, server: ServerId) {
        self.until(|board| board.primary.is_some_and(|primary| primary != server)).await;
    }

    /// Ends when a server has been silent for as long as it takes to be suspected.
    async fn silent(&self, server: ServerId) {
        let suspect_after =
            Duration::from_millis(self.in_force.configuration.failover.suspect_after_ms);
        self.until(|board| {
            let silent = board.silent_for(server, Instant::now());
            silent.is_some_and(|silent| silent >= suspect_after)
        })
        .await;
    }

    /// Waits until the board fulfils a condition. It is looked at now and then, too, since a silence
    /// grows without being told of.
    async fn until(&self, condition: impl Fn(&GroupBoard) -> bool) {
        loop {
            let changed = self.group.changed.notified();
            if condition(&self.group.board.read()) {
                return;
            }
            let _ = tokio::time::timeout(CONDITION_LOOK, changed).await;
        }
    }

    fn end(
        &self,
        server: ServerId,
        by_replica: bool,
        written: Option<LogPoint>,
        answer: &JobAnswer,
    ) -> JobEnd {
        JobEnd {
            tail: Bytes::copy_from_slice(&answer.tail),
            transaction: answer.transaction,
            written,
            served_by: self.server_name(server),
            by_replica,
        }
    }
}

/// PostgreSQL's code for a write that a server refused because it does not take writes.
const READ_ONLY_SERVER: &str = "25006";

/// How often a condition is looked at that nothing is told of.
const CONDITION_LOOK: Duration = Duration::from_millis(100);

/// When a read that found no fresh server may try again.
const NO_FRESH_RETRY_MS: u64 = 200;

/// Names a job's group.
pub(crate) fn group_of(job: &Job) -> GroupId {
    GroupId::new(job.service.as_str(), job.group.as_str())
}

/// Turns a point into its message.
pub(crate) fn point_message(point: LogPoint) -> Point {
    Point { term: point.term.0, position: point.position.0 }
}
