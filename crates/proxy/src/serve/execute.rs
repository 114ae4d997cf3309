//! Running one statement: where, on which connection, how often, and what the caller may be told.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{LogPoint, Name, StatementClass};
use session::Standing;

use crate::{
    catalog::{ReadRule, Route},
    control::beliefs::Lead,
    dialect::{CallerDialect, EndpointDialect},
    serve::{
        connection::{ConnectionLost, refusal},
        engine::{AcquireError, Engine, Group},
        floor::{Place, place_for},
        pool::{Lent, Wish},
        replay::SessionValues,
        verdict::{Next, Progress, after_error, after_loss, transaction_after_loss},
    },
    statement::{
        Answer, EndpointCommand, EndpointText, ErrorCode, Outcome, PreparedShape, StatementError,
        TransactionState,
    },
};

/// The part of a statement's time after which it is refused if it could not be sent. A caller that is
/// told early, and when to come back, has time left for another attempt.
const HOLD_SHARE: f64 = 0.35;
/// The same while a primary is being replaced: the gap is known to be short, so waiting serves better.
const HOLD_SHARE_CHANGING: f64 = 0.9;
/// How many times a server's average answering time a read waits before a second server is tried.
const SLOW_ANSWER_FACTOR: u32 = 6;
/// How long nothing is tried after every server refused, before they are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(15);
/// How long a server may take to open or roll back a transaction, which takes none of its slots.
const BEGIN_WITHIN: Duration = Duration::from_millis(300);
/// The part of its target latency that a statement waits for a connection. Under a lasting overload
/// every statement waits for as long as it may; with more, all of them would be late.
const WAIT_SHARE: f64 = 0.35;
/// What a caller is told to wait where nothing better is known.
const COME_BACK_MS: u64 = 100;
/// What a caller is told to wait while a primary is being replaced.
const COME_BACK_CHANGING_MS: u64 = 400;

/// A statement that only a server can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A read.
    Read(Bytes),
    /// A write.
    Write(Bytes),
    /// A prepared statement.
    Execute {
        /// What was prepared.
        shape: PreparedShape,
        /// The caller's arguments.
        arguments: Bytes,
    },
    /// The end of a transaction that keeps what it wrote.
    Commit,
}

impl Work {
    /// Whether it may write.
    pub fn class(&self) -> StatementClass {
        match self {
            Work::Read(_) => StatementClass::Read,
            Work::Write(_) => StatementClass::Write,
            Work::Execute { shape, .. } => shape.class,
            Work::Commit => StatementClass::Write,
        }
    }

    fn shape(&self) -> Option<&PreparedShape> {
        match self {
            Work::Execute { shape, .. } => Some(shape),
            _ => None,
        }
    }

    /// Returns the command's text; a prepared statement is named by the connection's own number.
    fn text<E: EndpointDialect>(&self, lent: &mut Lent<E>) -> Option<EndpointText> {
        Some(match self {
            Work::Read(body) => EndpointText::Read(body.clone()),
            Work::Write(body) => EndpointText::Write(body.clone()),
            Work::Commit => EndpointText::Commit,
            Work::Execute { shape, arguments } => EndpointText::Execute {
                number: lent.connection().environment.number_of(shape)?,
                arguments: arguments.clone(),
            },
        })
    }
}

/// A statement with what it needs to be run.
pub struct Job<'a> {
    /// The caller's identifier.
    pub id: Bytes,
    /// What is to be run.
    pub work: Work,
    /// The route in force for it.
    pub route: &'a Arc<Route>,
    /// The values of its session.
    pub values: &'a SessionValues,
    /// The point up to which the session's own writes reach.
    pub own: Option<LogPoint>,
    /// When it arrived.
    pub arrived: Instant,
}

impl Job<'_> {
    fn deadline(&self) -> Instant {
        self.arrived + self.route.timeout
    }

    /// Until when the statement may wait for a connection while all of them are in use.
    /// One that waited for a primary before has as long again, since all of them come at once then.
    fn wait_until(&self, now: Instant) -> Instant {
        let waits = self.route.target_latency.mul_f64(WAIT_SHARE);
        if now < self.arrived + waits { self.arrived + waits } else { now + waits }
    }

    /// Until when the statement may wait for a server that can run it.
    fn hold_until(&self, changing: bool) -> Instant {
        let share = if changing { HOLD_SHARE_CHANGING } else { HOLD_SHARE };
        self.arrived + self.route.timeout.mul_f64(share)
    }
}

/// A transaction as this daemon knows it.
pub struct Transaction<E: EndpointDialect> {
    /// The route in force when it began.
    pub route: Arc<Route>,
    /// Whether it only reads.
    pub read_only: bool,
    /// Its connection; none before the first statement that a server has to run.
    pub lent: Option<Lent<E>>,
    /// The right under which it began, where it runs at the primary.
    lead: Option<Lead>,
    /// Whether it may have written.
    pub wrote: bool,
    /// Whether it failed and waits for its end.
    pub failed: bool,
}

impl<E: EndpointDialect> Transaction<E> {
    /// A transaction of which no server knows yet.
    pub fn new(route: Arc<Route>, read_only: bool) -> Transaction<E> {
        Transaction { route, read_only, lent: None, lead: None, wrote: false, failed: false }
    }
}

/// A connection on which a statement may run now, with what it has to show.
struct Granted<E: EndpointDialect> {
    lent: Lent<E>,
    lead: Option<Lead>,
    floor: Option<LogPoint>,
}

/// Why nothing was granted.
enum Denied {
    Refuse(StatementError),
    Again,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Runs a statement outside a transaction.
    pub async fn run_single(self: &Rc<Self>, job: &Job<'_>) -> Answer {
        let mut rounds = Rounds::default();
        loop {
            let group = self.group(&job.route.service, &self.beliefs());
            let class = job.work.class();
            let mut granted = match self.grant(&group, job, class, &mut rounds).await {
                Ok(granted) => granted,
                Err(Denied::Refuse(error)) => return refusal(error, TransactionState::Idle),
                Err(Denied::Again) => continue,
            };
            let sent_at = Instant::now();
            group.retries.borrow_mut().on_request();
            let may_run_again = class == StatementClass::Read;
            let sent =
                self.send(&group, job, &mut granted.lent, granted.floor, may_run_again).await;
            let server = granted.lent.server().clone();
            let next = match sent {
                Ok(answer) => match answer.error_code() {
                    None => return self.finish_single(&group, job, granted, answer, sent_at).await,
                    Some(code) => {
                        self.note_refused(&group, job, &server, code, granted.floor, &answer);
                        granted.lent.give_back();
                        let next = after_error(code, class);
                        if let Next::Tell(_) = next {
                            return Answer { state: TransactionState::Idle, ..answer };
                        }
                        rounds.last_error = Some(code);
                        next
                    }
                },
                Err((progress, lost)) => {
                    drop(granted);
                    self.note_loss(&group, &job.route.service, &server, &lost);
                    match after_loss(progress, class) {
                        Next::Tell(code) => {
                            return self.unknown_outcome(job, &server, code, &lost);
                        }
                        next => next,
                    }
                }
            };
            if let Some(error) = self.prepare_next_round(&mut rounds, job, next, server).await {
                return refusal(error, TransactionState::Idle);
            }
        }
    }

    /// Runs a statement inside a transaction, which gets its connection with the first one.
    pub async fn run_in_transaction(
        self: &Rc<Self>,
        job: &Job<'_>,
        transaction: &mut Transaction<E>,
    ) -> Answer {
        let group = self.group(&job.route.service, &self.beliefs());
        let mut rounds = Rounds::default();
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
            let server = lent.server().clone();
            let sent_at = Instant::now();
            match self.send(&group, job, lent, None, false).await {
                Ok(answer) => {
                    let took = sent_at.elapsed();
                    self.note_answer(&group, &job.route.service, &server, answer.point, took);
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
                    self.note_loss(&group, &job.route.service, &server, &lost);
                    let is_commit = job.work == Work::Commit;
                    let code = transaction_after_loss(is_commit, transaction.wrote, progress);
                    let mut answer = self.unknown_outcome(job, &server, code, &lost);
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
            let command = EndpointCommand::own(EndpointText::Rollback);
            let deadline = Instant::now() + BEGIN_WITHIN;
            match lent.connection().ask(&command, deadline).await {
                Ok(answer) if answer.state == TransactionState::Idle => lent.give_back(),
                // Closing the connection rolls back too.
                Ok(_) | Err(_) => drop(lent),
            }
        });
    }

    /// Finds a connection on which the statement, or the transaction it opens, may run now.
    async fn grant(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        class: StatementClass,
        rounds: &mut Rounds,
    ) -> Result<Granted<E>, Denied> {
        let beliefs = self.beliefs();
        let service = &job.route.service;
        let known = beliefs.leads.get(service);
        let history = known.map(|lead| lead.history.clone()).unwrap_or_default();
        let now = Instant::now();
        let place =
            place_for(job.route.reads, class, job.own, &group.samples.borrow(), &history, now);
        let floor = match place {
            Place::AtLeast(floor) if !rounds.primary_only => Some(floor),
            _ => None,
        };
        let lead = match floor {
            Some(_) => beliefs.lead_in_force(service, now).cloned(),
            None => Some(self.await_primary(group, job, rounds).await?),
        };
        let wish = Wish {
            only: lead.as_ref().filter(|_| floor.is_none()).map(|lead| lead.server.clone()),
            floor,
            avoid: rounds.avoid.clone(),
            primary: known.map(|lead| lead.server.clone()),
            priority: job.route.priority,
            yields: class == StatementClass::Read && job.route.reads != ReadRule::Primary,
        };
        // The wait for a primary is over only now, and the wait for a connection begins.
        let wait_until = job.wait_until(Instant::now());
        let lent = match self.acquire(group, wish, job.values, wait_until).await {
            Ok(lent) => lent,
            Err(error) => return Err(self.on_not_acquired(group, job, rounds, error).await),
        };
        // Time may have passed, and with it the right to use this primary.
        let now = Instant::now();
        if floor.is_none() && !self.may_still_use(service, lead.as_ref(), now) {
            lent.give_back();
            return Err(Denied::Again);
        }
        // A read at the primary needs no floor: under a valid lead it shows every write.
        let lead = lead.filter(|lead| lead.server == *lent.server() && lead.is_valid(now));
        let floor = if lead.is_some() { None } else { floor };
        self.count_sent(&lent, group, lead.is_some());
        Ok(Granted { lent, lead, floor })
    }

    fn may_still_use(&self, service: &Name, lead: Option<&Lead>, now: Instant) -> bool {
        let beliefs = self.beliefs();
        let current = beliefs.lead_in_force(service, now);
        lead.zip(current).is_some_and(|(lead, current)| {
            lead.server == current.server && lead.term == current.term
        })
    }

    fn count_sent(&self, lent: &Lent<E>, group: &Group<E>, leads: bool) {
        let role = if leads { "primary" } else { "replica" };
        let near = group
            .pool
            .entry_of(lent.server())
            .is_some_and(|entry| entry.availability_zone == self.settings.availability_zone);
        let zone = if near { "same" } else { "other" };
        self.metrics.sent.with_label_values(&[role, zone]).inc();
    }

    /// Waits until there is a primary that may be used.
    async fn await_primary(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        rounds: &mut Rounds,
    ) -> Result<Lead, Denied> {
        let mut beliefs = self.beliefs.clone();
        loop {
            let current = beliefs.borrow_and_update().clone();
            let lead = current.lead_in_force(&job.route.service, Instant::now());
            if let Some(lead) = lead
                && !rounds.avoid.contains(&lead.server)
            {
                return Ok(lead.clone());
            }
            let hold_until = job.hold_until(self.is_gap_short(job));
            let changed = tokio::time::timeout_at(hold_until.into(), beliefs.changed()).await;
            match changed {
                Ok(Ok(())) => rounds.avoid.clear(),
                Ok(Err(_)) | Err(_) => {
                    return Err(Denied::Refuse(self.no_primary(group, job)));
                }
            }
        }
    }

    /// Whether the want of a primary will soon be over: it is being replaced, or is about to be.
    fn is_gap_short(&self, job: &Job<'_>) -> bool {
        let beliefs = self.beliefs();
        let Some(lead) = beliefs.leads.get(&job.route.service) else { return false };
        let group = self.group(&job.route.service, &beliefs);
        lead.is_right_coming(Instant::now()) || self.is_unreachable(&group, &lead.server)
    }

    fn no_primary(&self, group: &Group<E>, job: &Job<'_>) -> StatementError {
        let changing = self.beliefs().is_changing(&job.route.service);
        let (why, come_back_ms) = if changing {
            ("the primary is being replaced", COME_BACK_CHANGING_MS)
        } else {
            ("no primary may be used at present", COME_BACK_MS)
        };
        self.refuse(group, job, ErrorCode::Overloaded, why, come_back_ms)
    }

    async fn on_not_acquired(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        rounds: &mut Rounds,
        error: AcquireError,
    ) -> Denied {
        let wait_ms = group.pool.expected_wait().as_millis() as u64 + 1;
        if job.work.class() == StatementClass::Read
            && job.route.reads != ReadRule::Primary
            && let Some(lead) = self.beliefs().leads.get(&job.route.service)
        {
            self.note_starved(group, &job.route.service, &lead.server);
        }
        match error {
            AcquireError::QueueFull => Denied::Refuse(self.refuse(
                group,
                job,
                ErrorCode::Overloaded,
                "too many statements wait",
                wait_ms,
            )),
            AcquireError::TooLate => Denied::Refuse(self.refuse(
                group,
                job,
                ErrorCode::Overloaded,
                "no connection was free in time",
                wait_ms,
            )),
            AcquireError::Nowhere => {
                let next = Next::TryElsewhere;
                match self.prepare_next_round(rounds, job, next, Name::from("")).await {
                    Some(error) => Denied::Refuse(error),
                    None => Denied::Again,
                }
            }
        }
    }

    /// Sends a statement with all that has to go before it, and reads its answer.
    async fn send(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        lent: &mut Lent<E>,
        floor: Option<LogPoint>,
        may_run_again: bool,
    ) -> Result<Answer, (Progress, ConnectionLost)> {
        let deadline = job.deadline();
        let own = lent.connection().environment.prepare_for(job.values, job.work.shape());
        let Some(text) = job.work.text(lent) else {
            let lost = ConnectionLost::Garbled("a shape that was not prepared".to_owned());
            return Err((Progress::NotSent, lost));
        };
        let server = lent.server().clone();
        let connection = lent.connection();
        let own_commands = own.len();
        for text in own {
            connection.queue(&EndpointCommand::own(text));
        }
        connection.queue(&EndpointCommand { id: Some(job.id.clone()), floor, text });
        let sent = |lost| (Progress::Sent, lost);
        connection.flush(deadline).await.map_err(sent)?;
        let answers = async {
            for _ in 0..own_commands {
                let answer = connection.read_answer(deadline).await?;
                if answer.error_code().is_some() {
                    let why = "the server refused a value or a shape".to_owned();
                    return Err(ConnectionLost::Garbled(why));
                }
            }
            connection.read_answer(deadline).await
        };
        tokio::pin!(answers);
        let answered = tokio::select! {
            answered = &mut answers => answered,
            () = self.give_up_waiting(group, job, &server, may_run_again) => Err(ConnectionLost::Silent),
        };
        answered.map_err(sent)
    }

    /// Ends when another server should be tried instead of waiting for this one; a server that is
    /// silent is asked meanwhile whether it lives. Whatever may not run twice is waited for.
    async fn give_up_waiting(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        server: &Name,
        may_run_again: bool,
    ) {
        let average = group.pool.latency_of(server);
        let slow_after = job.route.target_latency.max(average * SLOW_ANSWER_FACTOR);
        let sent_at = Instant::now();
        let probe_at = sent_at + self.settings.suspect_after;
        let slow_at = sent_at + slow_after;
        let mut probed = false;
        let mut slow = false;
        loop {
            let lost = group.lost_server.notified();
            if may_run_again && self.is_unreachable(group, server) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(probe_at.into()), if !probed => {
                    probed = true;
                    self.probe(group, &job.route.service, server);
                }
                () = tokio::time::sleep_until(slow_at.into()), if may_run_again && !slow => {
                    slow = true;
                    if group.retries.borrow_mut().try_retry() {
                        return;
                    }
                }
                () = lost => {}
            }
        }
    }

    async fn finish_single(
        self: &Rc<Self>,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        granted: Granted<E>,
        answer: Answer,
        sent_at: Instant,
    ) -> Answer {
        let server = granted.lent.server().clone();
        granted.lent.give_back();
        let service = &job.route.service;
        self.note_answer(group, service, &server, answer.point, sent_at.elapsed());
        let Some(lead) = granted.lead else { return answer };
        self.add_sample(group, service, &lead, sent_at, answer.point);
        if job.work.class() == StatementClass::Write
            && !self.confirm(service, &lead, answer.point, job.deadline()).await
        {
            return self.unconfirmed(job, &lead);
        }
        answer
    }

    /// Keeps where the primary's log stood, if it was the primary from the question to the answer.
    fn add_sample(
        &self,
        group: &Group<E>,
        service: &Name,
        lead: &Lead,
        sent_at: Instant,
        point: Option<LogPoint>,
    ) {
        if let Some(point) = point
            && self.may_still_use(service, Some(lead), Instant::now())
        {
            group.samples.borrow_mut().add(sent_at, point);
        }
    }

    /// Whether a write's answer may be given: its server still led when the answer came, or the write
    /// is known to stand in the history of the server that leads now.
    async fn confirm(
        &self,
        service: &Name,
        lead: &Lead,
        point: Option<LogPoint>,
        deadline: Instant,
    ) -> bool {
        let mut beliefs = self.beliefs.clone();
        loop {
            let current = beliefs.borrow_and_update().clone();
            if let Some(known) = current.lead_in_force(service, Instant::now()) {
                if known.server == lead.server && known.term == lead.term {
                    return true;
                }
                return point.is_some_and(|point| known.history.standing(point) == Standing::Kept);
            }
            match tokio::time::timeout_at(deadline.into(), beliefs.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    }

    /// Opens the transaction on a server; an answer is what its first statement is told instead.
    async fn open_transaction(
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
            let text = EndpointText::Begin { read_only: transaction.read_only };
            let begin = EndpointCommand { id: None, floor: granted.floor, text };
            let sent_at = Instant::now();
            let deadline = job.deadline().min(sent_at + BEGIN_WITHIN);
            let begun = granted.lent.connection().ask(&begin, deadline).await;
            let server = granted.lent.server().clone();
            let next = match begun {
                Ok(answer) => match answer.error_code() {
                    None => {
                        if let Some(lead) = &granted.lead {
                            self.add_sample(group, &job.route.service, lead, sent_at, answer.point);
                        }
                        transaction.lent = Some(granted.lent);
                        transaction.lead = granted.lead;
                        return None;
                    }
                    Some(code) => {
                        self.note_refused(group, job, &server, code, granted.floor, &answer);
                        rounds.last_error = Some(code);
                        match answer.state {
                            TransactionState::Idle => granted.lent.give_back(),
                            _ => self.roll_back(granted.lent),
                        }
                        match after_error(code, StatementClass::Read) {
                            Next::Tell(_) => Next::TryElsewhere,
                            next => next,
                        }
                    }
                },
                Err(lost) => {
                    drop(granted);
                    self.note_loss(group, &job.route.service, &server, &lost);
                    Next::TryElsewhere
                }
            };
            if let Some(error) = self.prepare_next_round(rounds, job, next, server).await {
                return Some(refusal(error, TransactionState::Failed));
            }
        }
    }

    fn judge_in_transaction(
        &self,
        answer: &Answer,
        is_first: bool,
        job: &Job<'_>,
    ) -> InTransaction {
        let Some(code) = answer.error_code() else { return InTransaction::Deliver };
        let in_time = Instant::now() + ROUND_PAUSE < job.hold_until(false);
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

    async fn finish_in_transaction(
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

    /// Sets up another attempt; an error is what the caller is told instead.
    async fn prepare_next_round(
        &self,
        rounds: &mut Rounds,
        job: &Job<'_>,
        next: Next,
        server: Name,
    ) -> Option<StatementError> {
        if Instant::now() + ROUND_PAUSE >= job.hold_until(self.is_gap_short(job)) {
            let code = rounds.last_error.unwrap_or(ErrorCode::Overloaded);
            let group = self.group(&job.route.service, &self.beliefs());
            return Some(self.refuse(&group, job, code, "no server could run it", COME_BACK_MS));
        }
        let reads_anywhere = job.route.reads != ReadRule::Primary;
        match next {
            Next::TryElsewhere if !rounds.avoid.contains(&server) && reads_anywhere => {
                rounds.avoid.push(server);
            }
            _ => {
                rounds.avoid.clear();
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
        None
    }

    fn note_refused(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        server: &Name,
        code: ErrorCode,
        floor: Option<LogPoint>,
        answer: &Answer,
    ) {
        if code == ErrorCode::NotFresh {
            log::debug!(
                event = "not_fresh", id = id_text(&job.id).as_str(),
                service = &*job.route.service, server = &**server,
                floor = format!("{floor:?}").as_str(), own = format!("{:?}", job.own).as_str(),
                shown = format!("{:?}", answer.point).as_str();
                "a server's log lacks the point that a read must have seen"
            );
        }
        match code {
            ErrorCode::NotFresh => group.pool.on_lagging(server),
            ErrorCode::NotPrimary | ErrorCode::WrongServer | ErrorCode::TooManyConnections => {
                group.pool.on_failure(server);
            }
            _ => {}
        }
        self.log_server_error(job, Some(server), code);
    }

    fn log_server_error(&self, job: &Job<'_>, server: Option<&Name>, code: ErrorCode) {
        log::debug!(
            event = "server_refused", id = id_text(&job.id).as_str(),
            service = &*job.route.service, server = server.map_or("", |server| &**server),
            code = code.as_str();
            "a server answered with an error"
        );
    }

    fn refuse(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        code: ErrorCode,
        why: &str,
        retry_after_ms: u64,
    ) -> StatementError {
        let beliefs = self.beliefs();
        let lead = beliefs.leads.get(&job.route.service);
        log::info!(
            event = "refused", id = id_text(&job.id).as_str(), service = &*job.route.service,
            reads = job.route.reads.as_str(), code = code.as_str(), why = why,
            primary = lead.map_or("", |lead| &*lead.server),
            lead_valid = lead.is_some_and(|lead| lead.is_valid(Instant::now())),
            changing = beliefs.is_changing(&job.route.service),
            expected_wait_ms = group.pool.expected_wait().as_millis() as u64,
            held_ms = job.arrived.elapsed().as_millis() as u64, retry_after_ms = retry_after_ms,
            configuration = beliefs.catalog.version;
            "a statement was refused and not run"
        );
        StatementError::come_back(code, why, retry_after_ms)
    }

    fn unknown_outcome(
        &self,
        job: &Job<'_>,
        server: &Name,
        code: ErrorCode,
        lost: &ConnectionLost,
    ) -> Answer {
        log::info!(
            event = "outcome", id = id_text(&job.id).as_str(), service = &*job.route.service,
            server = &**server, code = code.as_str(), why = lost.to_string().as_str(),
            held_ms = job.arrived.elapsed().as_millis() as u64;
            "a statement's connection was lost"
        );
        let error = StatementError::new(code, "the connection to the server was lost");
        refusal(error, TransactionState::Idle)
    }

    fn unconfirmed(&self, job: &Job<'_>, lead: &Lead) -> Answer {
        log::info!(
            event = "outcome", id = id_text(&job.id).as_str(), service = &*job.route.service,
            server = &*lead.server, term = lead.term.0, code = ErrorCode::InDoubt.as_str(),
            held_ms = job.arrived.elapsed().as_millis() as u64;
            "a write ran, but its server may not lead any more"
        );
        let error = StatementError::new(ErrorCode::InDoubt, "the primary changed while it ran");
        refusal(error, TransactionState::Idle)
    }
}

enum InTransaction {
    /// The caller gets this answer.
    Deliver,
    /// The server ran nothing and the transaction still stands: ask again.
    SameConnection,
    /// Nothing of the transaction has run: open it anew.
    Restart,
}

/// What earlier attempts of one statement have shown.
#[derive(Default)]
struct Rounds {
    avoid: Vec<Name>,
    primary_only: bool,
    last_error: Option<ErrorCode>,
}

/// Returns a request's identifier as text for the log.
pub fn id_text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
