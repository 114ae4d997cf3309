//! Statements inside transactions, which keep one connection from the first to the last.

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
        execute::{Denied, Granted, ROUND_PAUSE, Sample, refused_as},
        job::{Job, Work},
        lent::Lent,
        primary_wait::Rounds,
        verdict::{NextStep, after_error, transaction_after_loss},
    },
    statement::{Answer, ErrorCode, Outcome, TransactionState},
};

/// How long a server may take to open or roll back a transaction, which takes none of its slots.
const BEGIN_WITHIN: Duration = Duration::from_millis(300);

/// A transaction as this daemon knows it.
pub struct Transaction<E: EndpointDialect> {
    /// The route in force when it began.
    pub route: Arc<Route>,
    /// The account that it began for; none for a caller without one.
    pub account: Option<Arc<Account>>,
    /// Whether it only reads.
    pub read_only: bool,
    /// Its connection; none before the first statement that a server has to run.
    pub lent: Option<Lent<E>>,
    /// The right under which it began, where it runs at the primary.
    pub(crate) lead: Option<GroupLeader>,
    /// Whether it may have written.
    pub wrote: bool,
    /// Whether it failed and waits for its end.
    pub failed: bool,
}

impl<E: EndpointDialect> Transaction<E> {
    /// A transaction of which no server knows yet.
    pub fn new(
        route: Arc<Route>,
        account: Option<Arc<Account>>,
        read_only: bool,
    ) -> Transaction<E> {
        Transaction {
            route,
            account,
            read_only,
            lent: None,
            lead: None,
            wrote: false,
            failed: false,
        }
    }

    /// Returns for whom it runs.
    pub fn principal(&self) -> Principal {
        Principal::of(self.account.as_ref())
    }
}

pub(crate) enum InTransaction {
    /// The caller gets this answer.
    Deliver,
    /// The server ran nothing and the transaction still stands: ask again.
    SameConnection,
    /// Nothing of the transaction has run: open it anew.
    Restart,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Runs a statement inside a transaction, which gets its connection with the first one.
    pub async fn run_in_transaction(
        self: &Rc<Self>,
        job: &Job<'_>,
        transaction: &mut Transaction<E>,
    ) -> Answer {
        let group = self.group(&job.route.service, &self.beliefs());
        let mut rounds = Rounds { opens_transaction: true, ..Rounds::default() };
        loop {
            let is_first = transaction.lent.is_none();
            if is_first
                && let Some(answer) =
                    self.open_transaction(&group, job, transaction, &mut rounds).await
            {
                transaction.failed = true;
                return answer;
            }
            let Some(lent) = transaction.lent.as_mut() else { continue };
            let reached = lent.reached();
            let sent_at = Instant::now();
            match self.send(&group, job, lent, None, false).await {
                Ok(answer) => {
                    let took = answer.error_code().is_none().then(|| sent_at.elapsed());
                    self.note_answer(&group, &job.route.service, &reached, answer.point, took);
                    match self.judge_in_transaction(&answer, is_first, job) {
                        InTransaction::Deliver => {
                            return self.finish_in_transaction(job, transaction, answer).await;
                        }
                        InTransaction::SameConnection => tokio::time::sleep(ROUND_PAUSE).await,
                        InTransaction::Restart => {
                            if let Some(lent) = transaction.lent.take() {
                                self.roll_back(lent);
                            }
                            tokio::time::sleep(ROUND_PAUSE).await;
                        }
                    }
                }
                Err((progress, lost)) => {
                    transaction.lent = None;
                    transaction.failed = true;
                    self.note_loss(&group, &job.route.service, &reached, &lost);
                    let is_commit = job.work == Work::Commit;
                    let code = transaction_after_loss(is_commit, transaction.wrote, progress);
                    let mut answer = self.unknown_outcome(job, &reached.server, code, &lost);
                    if !is_commit {
                        answer.state = TransactionState::Failed;
                    }
                    return answer;
                }
            }
        }
    }

    /// Rolls a transaction back behind the caller's back and gives its connection to others.
    pub fn roll_back(self: &Rc<Self>, mut lent: Lent<E>) {
        tokio::task::spawn_local(async move {
            let rollback = EndpointTask::internal(TaskKind::Rollback);
            let deadline = Instant::now() + BEGIN_WITHIN;
            match lent.run(&rollback, deadline).await {
                Ok(answer) if answer.state == TransactionState::Idle => lent.give_back(),
                // Closing the connection rolls back too.
                Ok(_) | Err(_) => drop(lent),
            }
        });
    }

    /// Opens the transaction on a server; an answer is what its first statement is told instead.
    pub(crate) async fn open_transaction(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        transaction: &mut Transaction<E>,
        rounds: &mut Rounds,
    ) -> Option<Answer> {
        let class =
            if transaction.read_only { StatementClass::Read } else { StatementClass::Write };
        loop {
            let mut granted = match self.grant(group, job, class, rounds).await {
                Ok(granted) => granted,
                Err(Denied::Refuse(error)) => {
                    return Some(refusal(error, TransactionState::Failed));
                }
                Err(Denied::Again) => continue,
            };
            let kind = TaskKind::Begin { read_only: transaction.read_only };
            let begin =
                EndpointTask { min_point: granted.min_point, ..EndpointTask::internal(kind) };
            let sent_at = Instant::now();
            rounds.sent += 1;
            let reached = granted.lent.reached();
            // Where an owner is asked the wait for its connection comes first.
            let is_queued = group.pool.has_queues();
            let waits = if reached.is_own { Duration::ZERO } else { job.waits(is_queued) };
            let deadline = job.deadline().min(sent_at + waits + BEGIN_WITHIN);
            let begun = granted.lent.run(&begin, deadline).await;
            let server = reached.server.clone();
            let next = match begun {
                Ok(answer) => match answer.error_code() {
                    None if !self.may_begin(job, &granted) => {
                        self.roll_back(granted.lent);
                        NextStep::AwaitPrimary
                    }
                    None => {
                        self.note_served(group, job, granted.lead.is_some());
                        if let Some(lead) = &granted.lead {
                            let known = granted.known;
                            let sample = Sample { sent_at, known, point: answer.point };
                            self.add_sample(group, &job.route.service, lead, sample);
                        }
                        transaction.lent = Some(granted.lent);
                        transaction.lead = granted.lead;
                        return None;
                    }
                    Some(code) => {
                        self.note_refused(group, job, &server, code, granted.min_point, &answer);
                        rounds.last_error = Some(code);
                        match answer.state {
                            TransactionState::Idle => granted.lent.give_back(),
                            _ => self.roll_back(granted.lent),
                        }
                        match after_error(code, StatementClass::Read) {
                            NextStep::Report(_) => NextStep::TryElsewhere,
                            next => next,
                        }
                    }
                },
                Err((_, lost)) => {
                    drop(granted);
                    rounds.last_error = refused_as(&lost);
                    self.note_loss(group, &job.route.service, &reached, &lost);
                    if let Some(error) = self.turned_away(group, job, rounds, &server, &lost) {
                        return Some(refusal(error, TransactionState::Failed));
                    }
                    NextStep::TryElsewhere
                }
            };
            if let Some(error) = self.prepare_next_round(rounds, job, next, server).await {
                return Some(refusal(error, TransactionState::Failed));
            }
        }
    }

    /// Whether a transaction that has been opened at the primary may go on there: where an owner opened it, it
    /// may have waited for longer than the right lasted that it was sent under.
    fn may_begin(&self, job: &Job<'_>, granted: &Granted<E>) -> bool {
        granted.lead.is_none()
            || granted.lent.reached().is_own
            || self.may_still_use(&job.route.service, granted.lead.as_ref(), Instant::now())
    }

    pub(crate) fn judge_in_transaction(
        &self,
        answer: &Answer,
        is_first: bool,
        job: &Job<'_>,
    ) -> InTransaction {
        let Some(code) = answer.error_code() else { return InTransaction::Deliver };
        let in_time = Instant::now() + ROUND_PAUSE < self.hold_until(job);
        if !code.was_not_run() || !in_time {
            return InTransaction::Deliver;
        }
        match answer.state {
            TransactionState::Open if code == ErrorCode::Overloaded => {
                InTransaction::SameConnection
            }
            TransactionState::Failed | TransactionState::Idle if is_first => InTransaction::Restart,
            _ => InTransaction::Deliver,
        }
    }

    pub(crate) async fn finish_in_transaction(
        self: &Rc<Self>,
        job: &Job<'_>,
        transaction: &mut Transaction<E>,
        answer: Answer,
    ) -> Answer {
        if let Some(code) = answer.error_code() {
            self.log_server_error(job, transaction.lent.as_ref().map(Lent::server), code);
        }
        match answer.state {
            TransactionState::Open => {
                transaction.wrote |= job.work.class() == StatementClass::Write;
                return answer;
            }
            TransactionState::Failed => {
                transaction.failed = true;
                if let Some(lent) = transaction.lent.take() {
                    self.roll_back(lent);
                }
                return answer;
            }
            TransactionState::Idle => {}
        }
        if let Some(lent) = transaction.lent.take() {
            lent.give_back();
        }
        let Some(lead) = transaction.lead.clone() else { return answer };
        let committed = matches!(answer.outcome, Outcome::Complete(_)) && job.work == Work::Commit;
        if committed
            && transaction.wrote
            && !self.confirm(&job.route.service, &lead, answer.point, job.deadline()).await
        {
            return self.unconfirmed(job, &lead);
        }
        answer
    }
}
