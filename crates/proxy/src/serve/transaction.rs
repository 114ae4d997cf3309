//! Runs statements inside transactions; a transaction keeps one connection from its first statement on.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::StatementClass;

use crate::{
    accounts::{Account, Principal},
    catalog::Route,
    control::control_view::GroupLeader,
    dialect::{CallerDialect, EndpointDialect},
    serve::{
        connection::refusal,
        endpoint_task::{EndpointTask, TaskKind},
        engine::{Engine, Group},
        execute::{AssignError, Assignment, RETRY_PAUSE, Sample, refusal_code},
        job::{EndpointStatement, Job},
        pooled_connection::PooledConnection,
        primary_wait::Attempts,
        verdict::{NextStep, after_error, transaction_after_loss},
    },
    statement::{Answer, ErrorCode, Outcome, TransactionState},
};

/// Timeout for opening or rolling back a transaction at a server, which takes no slot there.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(300);

/// An open transaction of a session.
pub struct Transaction<E: EndpointDialect> {
    /// The route when the transaction began.
    pub route: Arc<Route>,
    /// The client account that opened it; `None` for a caller without one.
    pub account: Option<Arc<Account>>,
    /// Whether it is read-only.
    pub read_only: bool,
    /// Its connection; `None` before the first statement that runs on a server.
    pub connection: Option<PooledConnection<E>>,
    /// The leader under whose lease it began, if it runs at the primary.
    pub(crate) leader: Option<GroupLeader>,
    /// Whether it may have written.
    pub wrote: bool,
    /// Whether it has failed, so that only its end is accepted.
    pub failed: bool,
}

impl<E: EndpointDialect> Transaction<E> {
    /// Creates a transaction that has not been opened on a server yet.
    pub fn new(
        route: Arc<Route>,
        account: Option<Arc<Account>>,
        read_only: bool,
    ) -> Transaction<E> {
        Transaction {
            route,
            account,
            read_only,
            connection: None,
            leader: None,
            wrote: false,
            failed: false,
        }
    }

    /// Returns the principal for which it runs.
    pub fn principal(&self) -> Principal {
        Principal::of(self.account.as_ref())
    }
}

/// What to do after a statement inside a transaction was answered.
pub(crate) enum TransactionStep {
    /// Return the answer to the caller.
    Deliver,
    /// The server ran nothing and the transaction is intact: send the statement again.
    RetryOnConnection,
    /// No statement of the transaction has run: open it again.
    Restart,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Runs a statement inside a transaction; the first statement acquires the connection.
    pub async fn run_in_transaction(
        self: &Rc<Self>,
        job: &Job<'_>,
        transaction: &mut Transaction<E>,
    ) -> Answer {
        let group = self.group(&job.route.service, &self.control_view());
        let mut attempts = Attempts { opens_transaction: true, ..Attempts::default() };
        loop {
            let is_first = transaction.connection.is_none();
            if is_first
                && let Some(answer) =
                    self.open_transaction(&group, job, transaction, &mut attempts).await
            {
                transaction.failed = true;
                return answer;
            }
            let Some(connection) = transaction.connection.as_mut() else { continue };
            let server_route = connection.server_route();
            let sent_at = Instant::now();
            match self.send(&group, job, connection, None, false).await {
                Ok(answer) => {
                    let took = answer.error_code().is_none().then(|| sent_at.elapsed());
                    self.record_answer(
                        &group,
                        &job.route.service,
                        &server_route,
                        answer.point,
                        took,
                    );
                    match self.transaction_step(&answer, is_first, job) {
                        TransactionStep::Deliver => {
                            return self
                                .finish_transaction_statement(job, transaction, answer)
                                .await;
                        }
                        TransactionStep::RetryOnConnection => tokio::time::sleep(RETRY_PAUSE).await,
                        TransactionStep::Restart => {
                            if let Some(connection) = transaction.connection.take() {
                                self.roll_back(connection);
                            }
                            tokio::time::sleep(RETRY_PAUSE).await;
                        }
                    }
                }
                Err((progress, lost)) => {
                    transaction.connection = None;
                    transaction.failed = true;
                    self.on_connection_lost(&group, &job.route.service, &server_route, &lost);
                    let is_commit = job.statement == EndpointStatement::Commit;
                    let code = transaction_after_loss(is_commit, transaction.wrote, progress);
                    let mut answer =
                        self.lost_connection_answer(job, &server_route.server, code, &lost);
                    if !is_commit {
                        answer.state = TransactionState::Failed;
                    }
                    return answer;
                }
            }
        }
    }

    /// Rolls a transaction back in the background and returns its connection to the pool.
    pub fn roll_back(self: &Rc<Self>, mut connection: PooledConnection<E>) {
        tokio::task::spawn_local(async move {
            let rollback = EndpointTask::internal(TaskKind::Rollback);
            let deadline = Instant::now() + BEGIN_TIMEOUT;
            match connection.run(&rollback, deadline).await {
                Ok(answer) if answer.state == TransactionState::Idle => connection.release(),
                // Closing the connection also rolls the transaction back.
                Ok(_) | Err(_) => drop(connection),
            }
        });
    }

    /// Opens the transaction on a server. If that fails, returns the answer for the transaction's first statement.
    pub(crate) async fn open_transaction(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        transaction: &mut Transaction<E>,
        attempts: &mut Attempts,
    ) -> Option<Answer> {
        let class =
            if transaction.read_only { StatementClass::Read } else { StatementClass::Write };
        loop {
            let mut assignment = match self.assign(group, job, class, attempts).await {
                Ok(assignment) => assignment,
                Err(AssignError::Refuse(error)) => {
                    return Some(refusal(error, TransactionState::Failed));
                }
                Err(AssignError::Retry) => continue,
            };
            let kind = TaskKind::Begin { read_only: transaction.read_only };
            let begin =
                EndpointTask { min_point: assignment.min_point, ..EndpointTask::internal(kind) };
            let sent_at = Instant::now();
            attempts.sent += 1;
            let server_route = assignment.connection.server_route();
            // An owner first waits for a connection, within the same deadline.
            let has_queues = group.pool.has_queues();
            let max_wait =
                if server_route.is_own { Duration::ZERO } else { job.max_wait(has_queues) };
            let deadline = job.deadline().min(sent_at + max_wait + BEGIN_TIMEOUT);
            let opened = assignment.connection.run(&begin, deadline).await;
            let server = server_route.server.clone();
            let next = match opened {
                Ok(answer) => match answer.error_code() {
                    None if !self.is_begin_valid(job, &assignment) => {
                        self.roll_back(assignment.connection);
                        NextStep::AwaitPrimary
                    }
                    None => {
                        self.record_success(group, job, assignment.leader.is_some());
                        if let Some(leader) = &assignment.leader {
                            let known_point = assignment.known_point;
                            let sample = Sample { sent_at, known_point, point: answer.point };
                            self.add_sample(group, &job.route.service, leader, sample);
                        }
                        transaction.connection = Some(assignment.connection);
                        transaction.leader = assignment.leader;
                        return None;
                    }
                    Some(code) => {
                        self.on_server_error(
                            group,
                            job,
                            &server,
                            code,
                            assignment.min_point,
                            &answer,
                        );
                        attempts.last_error = Some(code);
                        match answer.state {
                            TransactionState::Idle => assignment.connection.release(),
                            _ => self.roll_back(assignment.connection),
                        }
                        match after_error(code, StatementClass::Read) {
                            NextStep::Report(_) => NextStep::TryElsewhere,
                            next => next,
                        }
                    }
                },
                Err((_, lost)) => {
                    drop(assignment);
                    attempts.last_error = refusal_code(&lost);
                    self.on_connection_lost(group, &job.route.service, &server_route, &lost);
                    if let Some(error) = self.overload_refusal(group, job, attempts, &server, &lost)
                    {
                        return Some(refusal(error, TransactionState::Failed));
                    }
                    NextStep::TryElsewhere
                }
            };
            if let Some(error) = self.prepare_next_attempt(attempts, job, next, server).await {
                return Some(refusal(error, TransactionState::Failed));
            }
        }
    }

    /// Whether a transaction opened at the primary may continue there. Its begin may have waited at an owner for longer
    /// than the primary lease under which it was sent.
    fn is_begin_valid(&self, job: &Job<'_>, assignment: &Assignment<E>) -> bool {
        assignment.leader.is_none()
            || assignment.connection.server_route().is_own
            || self.is_current_leader(
                &job.route.service,
                assignment.leader.as_ref(),
                Instant::now(),
            )
    }

    pub(crate) fn transaction_step(
        &self,
        answer: &Answer,
        is_first: bool,
        job: &Job<'_>,
    ) -> TransactionStep {
        let Some(code) = answer.error_code() else { return TransactionStep::Deliver };
        let in_time = Instant::now() + RETRY_PAUSE < self.hold_until(job);
        if !code.was_not_run() || !in_time {
            return TransactionStep::Deliver;
        }
        match answer.state {
            TransactionState::Open if code == ErrorCode::Overloaded => {
                TransactionStep::RetryOnConnection
            }
            TransactionState::Failed | TransactionState::Idle if is_first => {
                TransactionStep::Restart
            }
            _ => TransactionStep::Deliver,
        }
    }

    pub(crate) async fn finish_transaction_statement(
        self: &Rc<Self>,
        job: &Job<'_>,
        transaction: &mut Transaction<E>,
        answer: Answer,
    ) -> Answer {
        if let Some(code) = answer.error_code() {
            self.log_server_error(
                job,
                transaction.connection.as_ref().map(PooledConnection::server),
                code,
            );
        }
        match answer.state {
            TransactionState::Open => {
                transaction.wrote |= job.statement.class() == StatementClass::Write;
                return answer;
            }
            TransactionState::Failed => {
                transaction.failed = true;
                if let Some(connection) = transaction.connection.take() {
                    self.roll_back(connection);
                }
                return answer;
            }
            TransactionState::Idle => {}
        }
        if let Some(connection) = transaction.connection.take() {
            connection.release();
        }
        let Some(leader) = transaction.leader.clone() else { return answer };
        let committed = matches!(answer.outcome, Outcome::Complete(_))
            && job.statement == EndpointStatement::Commit;
        if committed
            && transaction.wrote
            && !self.confirm_write(&job.route.service, &leader, answer.point, job.deadline()).await
        {
            return self.unconfirmed_write(job, &leader);
        }
        answer
    }
}
