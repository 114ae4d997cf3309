//! Runs single statements: chooses a server, sends the statement, retries it and evaluates the answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use model::{LogPoint, Name, StatementClass};

use crate::{
    catalog::ReadRule,
    control::{
        control_view::{GroupLeader, Observation},
        peers::PrimarySample,
    },
    dialect::{CallerDialect, EndpointDialect},
    relay::messages::NotSent,
    serve::{
        connection::{ConnectionLost, ServerRoute, refusal},
        connection_request::ConnectionRequest,
        endpoint_task::EndpointTask,
        engine::{AcquireError, Engine, Group},
        job::Job,
        placement::STALENESS_MARGIN,
        pooled_connection::PooledConnection,
        primary_wait::Attempts,
        verdict::{NextStep, Progress, after_error, after_loss, is_write_kept},
    },
    statement::{Answer, ErrorCode, StatementError, TransactionState},
};

/// Multiple of a server's average latency after which a read may be sent to a second server.
const SLOW_ANSWER_FACTOR: u32 = 6;
/// Pause before a statement is sent again to a server that has already refused it.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Minimum interval at which samples of a primary's log point are shared with other daemons, or requested from the
/// control thread. Shorter than the staleness bounds of routes and than the interval at which the zone polls its
/// upstream.
const SAMPLE_SHARE_INTERVAL: Duration = Duration::from_millis(200);

const OVERLOADED_REASON: &str = "more urgent statements and those of others go first";

/// A connection on which a statement may run now, with the conditions that it runs under.
pub(crate) struct Assignment<E: EndpointDialect> {
    pub(crate) connection: PooledConnection<E>,
    pub(crate) leader: Option<GroupLeader>,
    pub(crate) min_point: Option<LogPoint>,
    /// The latest log point of the primary that was known before the statement was sent.
    pub(crate) known_point: Option<LogPoint>,
}

/// A log point returned by a primary, and the latest one known before the request.
#[derive(Clone, Copy)]
pub(crate) struct Sample {
    pub(crate) sent_at: Instant,
    pub(crate) known_point: Option<LogPoint>,
    pub(crate) point: Option<LogPoint>,
}

/// How a server is monitored while a task runs on it.
#[derive(Clone, Copy)]
pub(crate) struct Watch<'a> {
    pub(crate) service: &'a Name,
    /// After how long the task may be sent to a second server.
    pub(crate) slow_after: Duration,
    /// Whether the task may run again on another server.
    pub(crate) may_run_again: bool,
}

pub(crate) enum AssignError {
    Refuse(StatementError),
    Retry,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Runs a statement outside a transaction.
    pub async fn run_single(self: &Rc<Self>, job: &Job<'_>) -> Answer {
        let mut attempts = Attempts::default();
        loop {
            let group = self.group(&job.route.service, &self.control_view());
            self.report_usage(&group, &job.route.service);
            let class = job.statement.class();
            let mut assignment = match self.assign(&group, job, class, &mut attempts).await {
                Ok(assignment) => assignment,
                Err(AssignError::Refuse(error)) => return refusal(error, TransactionState::Idle),
                Err(AssignError::Retry) => continue,
            };
            let sent_at = Instant::now();
            attempts.sent += 1;
            group.hedge_budget.borrow_mut().on_request();
            let may_run_again = class == StatementClass::Read;
            let sent = self
                .send(&group, job, &mut assignment.connection, assignment.min_point, may_run_again)
                .await;
            let server_route = assignment.connection.server_route();
            let server = server_route.server.clone();
            self.record_own_health(&group, &server_route, &sent);
            let next = match sent {
                Ok(answer) => match answer.error_code() {
                    None if self.may_return_answer(job, &assignment) => {
                        return self.finish_single(&group, job, assignment, answer, sent_at).await;
                    }
                    None => {
                        assignment.connection.release();
                        NextStep::AwaitPrimary
                    }
                    Some(code) => {
                        self.record_path_answered(&group.pool, &server_route);
                        self.on_server_error(
                            &group,
                            job,
                            &server,
                            code,
                            assignment.min_point,
                            &answer,
                        );
                        assignment.connection.release();
                        let next = after_error(code, class);
                        if let NextStep::Report(_) = next {
                            return Answer { state: TransactionState::Idle, ..answer };
                        }
                        attempts.last_error = Some(code);
                        next
                    }
                },
                Err((progress, lost)) => {
                    drop(assignment);
                    if is_free_attempt(&lost) {
                        attempts.sent -= 1;
                    }
                    attempts.last_error = refusal_code(&lost);
                    self.on_connection_lost(&group, &job.route.service, &server_route, &lost);
                    if let Some(error) =
                        self.overload_refusal(&group, job, &attempts, &server, &lost)
                    {
                        return refusal(error, TransactionState::Idle);
                    }
                    match after_loss(progress, class) {
                        NextStep::Report(code) => {
                            return self.lost_connection_answer(job, &server, code, &lost);
                        }
                        next => next,
                    }
                }
            };
            if let Some(error) = self.prepare_next_attempt(&mut attempts, job, next, server).await {
                return refusal(error, TransactionState::Idle);
            }
        }
    }

    /// Whether an answer may be returned to the caller. A read at the primary requires that the lease under which it
    /// was sent is still valid, since a read forwarded to an owner may have waited there for longer than the lease
    /// lasts.
    fn may_return_answer(&self, job: &Job<'_>, assignment: &Assignment<E>) -> bool {
        let is_primary_read =
            job.statement.class() == StatementClass::Read && assignment.leader.is_some();
        !is_primary_read
            || assignment.connection.server_route().is_own
            || self.is_current_leader(
                &job.route.service,
                assignment.leader.as_ref(),
                Instant::now(),
            )
    }

    /// Finds a connection on which the statement, or the transaction it opens, may run now.
    pub(crate) async fn assign(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        class: StatementClass,
        attempts: &mut Attempts,
    ) -> Result<Assignment<E>, AssignError> {
        let view = self.control_view();
        let service = &job.route.service;
        let known_leader = view.leaders.get(service);
        let now = Instant::now();
        let mut min_point = self.current_min_point(group, job, class);
        let bound = job.route.read_rule.bound().filter(|_| class == StatementClass::Read);
        if let Some(bound) = bound.filter(|_| min_point.is_none()) {
            self.report_sample_wanted(group, now);
            if let Some(leader) = known_leader.filter(|_| !attempts.requested_sample) {
                attempts.requested_sample = true;
                let max_age = max_sample_age(bound, leader.is_valid(now));
                if self.fetch_sample(group, service, &leader.server, max_age).await {
                    min_point = self.current_min_point(group, job, class);
                }
            }
        }
        attempts.needs_primary = min_point.is_none();
        let leader = match min_point {
            Some(_) => view.usable_leader(service, Instant::now()).cloned(),
            None => {
                let leader = self.await_primary(group, job, class, attempts).await?;
                if bound.is_some() && known_leader.is_none() {
                    // The primary was unknown before; the retry can request a sample from the owner of its connections.
                    return Err(AssignError::Retry);
                }
                Some(leader)
            }
        };
        let request = ConnectionRequest {
            only: leader
                .as_ref()
                .filter(|_| min_point.is_none())
                .map(|leader| leader.server.clone()),
            min_point,
            avoid: attempts.avoid.clone(),
            primary: known_leader.map(|leader| leader.server.clone()),
            priority: job.route.priority,
            yields: class == StatementClass::Read && job.route.read_rule != ReadRule::Primary,
            opens_transaction: attempts.opens_transaction,
            is_forwarded: false,
            previous_attempts: attempts.sent,
            cancellation: None,
            principal: Some(job.principal.clone()),
        };
        // Computed only now, since the wait for a connection starts after the wait for a primary.
        let wait_deadline = job.wait_deadline(Instant::now(), group.pool.has_queues());
        let connection = match self.acquire(group, request, job.values, wait_deadline).await {
            Ok(connection) => connection,
            Err(error) => return Err(self.on_acquire_failed(group, job, attempts, error).await),
        };
        // The primary lease may have expired while the statement waited for a connection.
        let now = Instant::now();
        if min_point.is_none() && !self.is_current_leader(service, leader.as_ref(), now) {
            connection.release();
            return Err(AssignError::Retry);
        }
        // A read at the primary needs no minimum point while the lease is valid. The lease is checked again, since it
        // may have been given up while the statement waited for its connection.
        let leader = leader.filter(|leader| {
            leader.server == *connection.server()
                && self.is_current_leader(service, Some(leader), now)
        });
        let min_point = if leader.is_some() { None } else { min_point };
        self.count_sent(&connection, group, leader.is_some());
        let known_point = group.samples.borrow().latest();
        Ok(Assignment { connection, leader, min_point, known_point })
    }

    /// Asks the control thread for a sample of the primary's log point, at a limited rate: one message per read could
    /// fill the channel, which also carries messages that are sent only once.
    fn report_sample_wanted(&self, group: &Group<E>, now: Instant) {
        let requested_at = group.sample_requested_at.get();
        if requested_at.is_some_and(|at| now.duration_since(at) < SAMPLE_SHARE_INTERVAL) {
            return;
        }
        group.sample_requested_at.set(Some(now));
        // The channel is full if the control thread is behind; a later read asks again.
        let _ = self.observations.try_send(Observation::SampleWanted);
    }

    /// Whether the given leader is still the usable leader of the service, in the same term.
    pub(crate) fn is_current_leader(
        &self,
        service: &Name,
        leader: Option<&GroupLeader>,
        now: Instant,
    ) -> bool {
        let view = self.control_view();
        let current = view.usable_leader(service, now);
        leader.zip(current).is_some_and(|(leader, current)| {
            leader.server == current.server && leader.term == current.term
        })
    }

    pub(crate) fn count_sent(
        &self,
        connection: &PooledConnection<E>,
        group: &Group<E>,
        is_primary: bool,
    ) {
        let role = if is_primary { "primary" } else { "replica" };
        let is_same_zone = group
            .pool
            .entry_of(connection.server())
            .is_some_and(|entry| entry.availability_zone == self.settings.availability_zone);
        let zone = if is_same_zone { "same" } else { "other" };
        self.metrics.statements_sent.with_label_values(&[role, zone]).inc();
    }

    pub(crate) async fn on_acquire_failed(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        attempts: &mut Attempts,
        error: AcquireError,
    ) -> AssignError {
        if job.statement.class() == StatementClass::Read
            && job.route.read_rule != ReadRule::Primary
            && let Some(leader) = self.control_view().leaders.get(&job.route.service)
        {
            self.record_replicas_behind(group, &job.route.service, &leader.server);
        }
        let expected = group.pool.expected_wait();
        match error {
            AcquireError::QueueFull => {
                let why = "too many statements wait";
                AssignError::Refuse(self.no_room_error(group, job, why, expected, attempts.sent))
            }
            AcquireError::TooLate => {
                let why = "no connection was free in time";
                AssignError::Refuse(self.no_room_error(group, job, why, expected, attempts.sent))
            }
            AcquireError::Overloaded { retry_delay } => AssignError::Refuse(self.no_room_error(
                group,
                job,
                OVERLOADED_REASON,
                retry_delay,
                attempts.sent,
            )),
            AcquireError::NoServer => {
                let next = NextStep::TryElsewhere;
                match self.prepare_next_attempt(attempts, job, next, Name::from("")).await {
                    Some(error) => AssignError::Refuse(error),
                    None => AssignError::Retry,
                }
            }
        }
    }

    /// Sends a statement, preceded by the commands that restore its session state, and reads its answer.
    pub(crate) async fn send(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        connection: &mut PooledConnection<E>,
        min_point: Option<LogPoint>,
        may_run_again: bool,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        if let Err(why) = connection.await_permit(job.deadline()).await {
            return Err((Progress::NotSent, ConnectionLost::NotGranted(why.into())));
        }
        let average = group.pool.latency_of(connection.server());
        let watch = Watch {
            service: &job.route.service,
            slow_after: job.route.target_latency.max(average * SLOW_ANSWER_FACTOR),
            may_run_again,
        };
        self.run_watched(group, &job.endpoint_task(min_point), connection, job.deadline(), watch)
            .await
    }

    /// Runs a task on a connection while monitoring whether its server is alive.
    pub(crate) async fn run_watched(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        task: &EndpointTask,
        connection: &mut PooledConnection<E>,
        deadline: Instant,
        watch: Watch<'_>,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        let server_route = connection.server_route();
        let answered = connection.run(task, deadline);
        tokio::pin!(answered);
        tokio::select! {
            answered = &mut answered => answered,
            () = self.until_abandoned(group, &server_route, watch) => {
                Err((Progress::Sent, ConnectionLost::TimedOut))
            }
        }
    }

    /// Completes when the task should be sent to another server instead of waiting for this one; never for a
    /// task that may not run twice. If this daemon owns the connection, it probes a server that does not answer.
    async fn until_abandoned(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        server_route: &ServerRoute,
        watch: Watch<'_>,
    ) {
        let Watch { service, slow_after, may_run_again } = watch;
        let server = &server_route.server;
        let sent_at = Instant::now();
        let probe_at = sent_at + self.settings.suspect_after;
        let slow_at = sent_at + slow_after;
        let mut probed = !server_route.is_own;
        let mut slow = false;
        loop {
            let unreachable = group.server_unreachable.notified();
            if may_run_again && server_route.is_direct && self.is_unreachable(group, server) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(probe_at.into()), if !probed => {
                    probed = true;
                    self.probe(group, service, server);
                }
                () = tokio::time::sleep_until(slow_at.into()), if may_run_again && !slow => {
                    slow = true;
                    if group.hedge_budget.borrow_mut().try_retry() {
                        return;
                    }
                }
                () = unreachable => {}
            }
        }
    }

    pub(crate) async fn finish_single(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        assignment: Assignment<E>,
        answer: Answer,
        sent_at: Instant,
    ) -> Answer {
        let server_route = assignment.connection.server_route();
        assignment.connection.release();
        let service = &job.route.service;
        self.record_answer(group, service, &server_route, answer.point, Some(sent_at.elapsed()));
        self.record_success(group, job, assignment.leader.is_some());
        let Some(leader) = assignment.leader else { return answer };
        let sample = Sample { sent_at, known_point: assignment.known_point, point: answer.point };
        self.add_sample(group, service, &leader, sample);
        if job.statement.class() == StatementClass::Write
            && !self.confirm_write(service, &leader, answer.point, job.deadline()).await
        {
            return self.unconfirmed_write(job, &leader);
        }
        answer
    }

    /// Stores a sample of the primary's log point, if the server was the primary from request to answer.
    pub(crate) fn add_sample(
        &self,
        group: &Group<E>,
        service: &Name,
        leader: &GroupLeader,
        sample: Sample,
    ) {
        let Sample { sent_at, known_point, point } = sample;
        if let Some(point) = point
            && self.is_current_leader(service, Some(leader), Instant::now())
        {
            self.check_primary_answer(group, service, leader, known_point, Some(point));
            group.samples.borrow_mut().add(sent_at, point);
            group.sample_added.notify_waiters();
            self.share_sample(group, service, PrimarySample { asked_at: sent_at, point });
        }
    }

    /// Shares a sample with the other daemons of the zone, at a limited rate.
    fn share_sample(&self, group: &Group<E>, service: &Name, sample: PrimarySample) {
        let now = Instant::now();
        let shared_at = group.sample_shared_at.get();
        if shared_at.is_some_and(|at| now.duration_since(at) < SAMPLE_SHARE_INTERVAL) {
            return;
        }
        group.sample_shared_at.set(Some(now));
        let observation = Observation::PrimarySampled { service: service.clone(), sample };
        // The channel is full if the control thread is behind; a later sample is shared instead.
        let _ = self.observations.try_send(observation);
    }

    /// Whether a write may be acknowledged: its server was still the primary when the answer arrived, or the
    /// write is known to be kept in the history of the current primary.
    pub(crate) async fn confirm_write(
        &self,
        service: &Name,
        leader: &GroupLeader,
        point: Option<LogPoint>,
        deadline: Instant,
    ) -> bool {
        let mut view = self.control_view.clone();
        loop {
            let current = view.borrow_and_update().clone();
            if let Some(known) = current.usable_leader(service, Instant::now()) {
                if known.server == leader.server && known.term == leader.term {
                    return true;
                }
                return is_write_kept(point, known.term, &known.history);
            }
            match tokio::time::timeout_at(deadline.into(), view.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    }

    /// Returns the error for a statement that only the primary can run and that the primary's queue refused;
    /// an immediate retry would be refused as well.
    pub(crate) fn overload_refusal(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        attempts: &Attempts,
        server: &Name,
        lost: &ConnectionLost,
    ) -> Option<StatementError> {
        let is_overloaded = *lost == ConnectionLost::NotGranted(NotSent::Overloaded);
        let expected = group.pool.expected_wait_at(server, job.rank());
        (is_overloaded && attempts.needs_primary)
            .then(|| self.no_room_error(group, job, OVERLOADED_REASON, expected, attempts.sent))
    }
}

/// Returns the maximum age of a sample requested from an owner: half of the staleness bound while the primary lease is
/// valid, so that later reads can use the sample too. Without a valid lease nearly the whole bound is allowed, since
/// there may be no newer sample.
fn max_sample_age(bound: Duration, is_lease_valid: bool) -> Duration {
    match is_lease_valid {
        true => bound / 2,
        false => bound.saturating_sub(2 * STALENESS_MARGIN),
    }
}

/// Returns the error code if an owner refused the request for lack of capacity.
pub(crate) fn refusal_code(lost: &ConnectionLost) -> Option<ErrorCode> {
    match lost {
        ConnectionLost::NotGranted(NotSent::TooLate | NotSent::Overloaded) => {
            Some(ErrorCode::Overloaded)
        }
        _ => None,
    }
}

/// Whether an owner rejected the request at once because the server is unavailable. This costs no server
/// time and does not count as an attempt, so that an attempt remains for a working server.
fn is_free_attempt(lost: &ConnectionLost) -> bool {
    matches!(lost, ConnectionLost::NotGranted(NotSent::Unreachable | NotSent::SetAside))
}
