//! Holds statements while no primary is usable, and builds the errors for statements that are refused.
//!
//! Statements are held at the daemon that received them from its caller, so the loss of a daemon affects
//! only its own callers. [`overload::hold`] makes the decisions; see `docs/design/hard-load.md`.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use model::{LogPoint, Name, StatementClass};
use overload::{
    account_retry_budget::{AccountRetryBudget, RetryCause},
    hold::{HoldDecision, OngoingOutage, Outage, OutageHistory, decide},
    retry_delay::add_jitter,
};

use crate::{
    catalog::ReadRule,
    control::control_view::GroupLeader,
    dialect::{CallerDialect, EndpointDialect},
    serve::{
        engine::{Engine, Group},
        error_reporting::Refusal,
        execute::{AssignError, RETRY_PAUSE},
        job::Job,
        outage::{OutageForecast, QueuedStatement, outage_of},
        placement::placement_for,
        verdict::NextStep,
    },
    statement::{ErrorCode, StatementError},
};

const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay sent to a caller while a primary is being replaced.
const RETRY_DELAY_CHANGING: Duration = Duration::from_millis(400);

/// The lengths of past outages, and the retry budgets of the client accounts.
#[derive(Default)]
pub(crate) struct HoldState {
    history: RefCell<OutageHistory>,
    retry_budget: RefCell<AccountRetryBudget>,
}

/// The attempts made so far to run one statement.
#[derive(Default)]
pub(crate) struct Attempts {
    pub(crate) avoid: Vec<Name>,
    pub(crate) last_error: Option<ErrorCode>,
    pub(crate) needs_primary: bool,
    pub(crate) opens_transaction: bool,
    /// Whether a sample of the primary's log point was requested from an owner.
    pub(crate) requested_sample: bool,
    /// How many times the statement was sent to a server or an owner.
    pub(crate) sent: u32,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Whether statements of a group are held according to the lengths of past outages.
    pub(crate) fn holds_statements(&self, group: &Group<E>) -> bool {
        self.settings.overload.holding && group.is_contended()
    }

    /// Adds jitter to a retry delay if statements are held.
    pub(crate) fn with_jitter(&self, retry_delay: Duration) -> Duration {
        match self.settings.overload.holding {
            true => add_jitter(retry_delay, rand::random()),
            false => retry_delay,
        }
    }

    /// Waits until a primary is usable, or until a read can run at a replica.
    pub(crate) async fn await_primary(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        class: StatementClass,
        attempts: &mut Attempts,
    ) -> Result<GroupLeader, AssignError> {
        if !self.holds_statements(group) {
            return self.await_primary_fixed(group, job, attempts).await;
        }
        let mut view = self.control_view.clone();
        let mut stopping = self.stopping.clone();
        let mut queued = None;
        loop {
            let current = view.borrow_and_update().clone();
            let now = Instant::now();
            if let Some(leader) = current.usable_leader(&job.route.service, now) {
                if attempts.avoid.contains(&leader.server) {
                    attempts.avoid.clear();
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
                let resume_at = self.resume_at(group, job, &leader.server, queued.as_ref(), now);
                if resume_at <= now {
                    return Ok(leader.clone());
                }
                tokio::time::sleep_until(resume_at.into()).await;
                queued = None;
                continue;
            }
            if self.current_min_point(group, job, class).is_some() {
                return Err(AssignError::Retry);
            }
            let (outage, began_at) = outage_of(&current, &job.route.service, now);
            let ongoing = self.observe_outage(group, outage, began_at, now);
            let entry = queued.get_or_insert_with(|| group.outage.enqueue(job.rank()));
            let backlog = self.service_interval(group, &job.route.service) * entry.ahead();
            let backlog = backlog.min(job.route.target_latency);
            let hold = self.decide_hold(&ongoing, job, backlog, now);
            let was_stopping = stopping.borrow_and_update().is_some();
            let until = match hold {
                HoldDecision::Wait { until } if !was_stopping && until > now => until,
                HoldDecision::Wait { .. } | HoldDecision::Refuse { .. } => {
                    return Err(AssignError::Refuse(self.no_primary_error(group, job, attempts)));
                }
            };
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() {
                        return Err(AssignError::Refuse(self.no_primary_error(group, job, attempts)));
                    }
                    attempts.avoid.clear();
                }
                () = tokio::time::sleep_until(until.into()) => {}
                _ = stopping.changed() => {}
            }
        }
    }

    /// Waits for a usable primary for a fixed share of the statement's timeout. Used where connections are not
    /// scarce.
    async fn await_primary_fixed(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        attempts: &mut Attempts,
    ) -> Result<GroupLeader, AssignError> {
        let mut view = self.control_view.clone();
        loop {
            let current = view.borrow_and_update().clone();
            let leader = current.usable_leader(&job.route.service, Instant::now());
            if let Some(leader) = leader
                && !attempts.avoid.contains(&leader.server)
            {
                return Ok(leader.clone());
            }
            let hold_until = self.hold_until(job);
            let changed = tokio::time::timeout_at(hold_until.into(), view.changed()).await;
            match changed {
                Ok(Ok(())) => attempts.avoid.clear(),
                Ok(Err(_)) | Err(_) => {
                    return Err(AssignError::Refuse(self.no_primary_error(group, job, attempts)));
                }
            }
        }
    }

    pub(crate) fn hold_until(&self, job: &Job<'_>) -> Instant {
        job.hold_until(self.control_view().is_planned_gap(&job.route.service, Instant::now()))
    }

    /// Returns the point that a server's log must hold to run a read; `None` if only the primary may run it now.
    pub(crate) fn current_min_point(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        class: StatementClass,
    ) -> Option<LogPoint> {
        let view = self.control_view();
        let service = &job.route.service;
        if let Some(sample) = view.samples.get(service) {
            group.samples.borrow_mut().add(sample.asked_at, sample.point);
        }
        let history = view.leaders.get(service).map(|leader| leader.history.clone());
        let samples = group.samples.borrow();
        let history = history.unwrap_or_default();
        placement_for(job.route.read_rule, class, job.own_point, &samples, &history, Instant::now())
            .min_point()
    }

    /// Returns when a held statement may continue after a primary has become usable.
    fn resume_at(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        server: &Name,
        queued: Option<&QueuedStatement<'_>>,
        now: Instant,
    ) -> Instant {
        let ongoing = group.outage.ongoing.get();
        if ongoing.is_some_and(|ongoing| ongoing.outage != Outage::Unreachable) {
            self.end_outage(group, &job.route.service, now);
        }
        let Some(queued) = queued else { return now };
        let outage = ongoing.map_or(Outage::Failover, |ongoing| ongoing.outage);
        self.metrics.statements_held.with_label_values(&[outage.as_str(), "released"]).inc();
        let interval = self.service_interval_at(group, server);
        queued.resume_at(interval, job.hold_limits().release_deadline(outage, now), now)
    }

    /// Records that a statement or the begin of a transaction succeeded; a success at the primary ends the group's
    /// outage.
    pub(crate) fn record_success(&self, group: &Group<E>, job: &Job<'_>, at_primary: bool) {
        let account = Name::from(job.principal.account_name());
        self.hold_state.retry_budget.borrow_mut().on_success(&account, job.rank());
        if at_primary && group.outage.ongoing.get().is_some() {
            self.end_outage(group, &job.route.service, Instant::now());
        }
    }

    fn end_outage(&self, group: &Group<E>, service: &Name, now: Instant) {
        let Some(ongoing) = group.outage.ongoing.take() else { return };
        let length = ongoing.length(now);
        if let Some(length) = length {
            self.hold_state.history.borrow_mut().record(ongoing.outage, length);
        }
        log::info!(
            event = "outage_over", service = &**service, outage = ongoing.outage.as_str(),
            took_ms = ongoing.elapsed(now).as_millis() as u64, counts = length.is_some(),
            expected_ms = group.outage.expected.get().as_millis() as u64,
            waiting = group.outage.queue.borrow().len();
            "the primary is usable again"
        );
    }

    fn observe_outage(
        &self,
        group: &Group<E>,
        outage: Outage,
        began_at: Instant,
        now: Instant,
    ) -> OngoingOutage {
        group.outage.observe(outage, began_at, &self.hold_state.history.borrow(), now)
    }

    fn decide_hold(
        &self,
        ongoing: &OngoingOutage,
        job: &Job<'_>,
        backlog: Duration,
        now: Instant,
    ) -> HoldDecision {
        decide(&self.hold_state.history.borrow(), ongoing, &job.hold_limits(), backlog, now)
    }

    /// Returns the average interval at which the primary completes statements of this daemon, given that all
    /// daemons share it.
    fn service_interval(&self, group: &Group<E>, service: &Name) -> Duration {
        let view = self.control_view();
        view.leaders
            .get(service)
            .map_or(Duration::ZERO, |leader| self.service_interval_at(group, &leader.server))
    }

    fn service_interval_at(&self, group: &Group<E>, server: &Name) -> Duration {
        let slots = group.pool.entry_of(server).map_or(1, |entry| entry.slots).max(1);
        let daemons = self.control_view().daemon_counts.daemons.max(1);
        group.pool.latency_of(server) * daemons / slots
    }

    fn no_primary_error(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        attempts: &Attempts,
    ) -> StatementError {
        let changing = self.control_view().is_changing(&job.route.service);
        let (why, retry_delay) = if changing {
            ("the primary is being replaced", RETRY_DELAY_CHANGING)
        } else {
            ("no primary may be used at present", RETRY_DELAY)
        };
        let refusal = Refusal {
            code: ErrorCode::Overloaded,
            why,
            retry_delay,
            outage: None,
            remaining: Duration::ZERO,
            sent: attempts.sent,
        };
        self.refuse_statement(group, job, self.with_forecast(group, job, refusal))
    }

    /// Adds the forecast of the group's outage to a refusal, if there is one.
    fn with_forecast(&self, group: &Group<E>, job: &Job<'_>, refusal: Refusal) -> Refusal {
        let ongoing = group.outage.ongoing.get().filter(|_| self.holds_statements(group));
        let Some(ongoing) = ongoing else { return refusal };
        let elapsed = ongoing.elapsed(Instant::now());
        let history = self.hold_state.history.borrow();
        let remaining = history.remaining(ongoing.outage, elapsed);
        let forecast = OutageForecast { outage: ongoing.outage, elapsed, remaining };
        let retry_delay =
            forecast.retry_delay(job.retry_delay(), &history, self.settings.primary_lease);
        self.metrics.statements_held.with_label_values(&[ongoing.outage.as_str(), "refused"]).inc();
        Refusal { retry_delay, outage: Some(ongoing.outage), remaining, ..refusal }
    }

    /// Prepares another attempt, or returns the error for the caller if there is to be none.
    pub(crate) async fn prepare_next_attempt(
        &self,
        attempts: &mut Attempts,
        job: &Job<'_>,
        next: NextStep,
        server: Name,
    ) -> Option<StatementError> {
        let group = self.group(&job.route.service, &self.control_view());
        let until = match self.holds_statements(&group) && attempts.sent > 0 {
            true => job.hold_limits().retry_deadline(),
            false => self.hold_until(job),
        };
        if Instant::now() + RETRY_PAUSE >= until
            || self.is_retry_futile(&group, job, attempts, &server)
        {
            return Some(self.no_answer_error(&group, job, attempts));
        }
        match next {
            NextStep::TryElsewhere
                if !attempts.avoid.contains(&server) && !attempts.needs_primary =>
            {
                attempts.avoid.push(server);
            }
            _ => {
                attempts.avoid.clear();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        None
    }

    /// Whether another attempt can't succeed or would exceed the retry budget.
    fn is_retry_futile(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        attempts: &Attempts,
        server: &Name,
    ) -> bool {
        if !self.holds_statements(group) {
            return false;
        }
        let now = Instant::now();
        let view = self.control_view();
        let leader = view.usable_leader(&job.route.service, now);
        // An empty name means that no server was available, which for this statement means the primary.
        if needs_primary(job)
            && leader.is_some_and(|leader| leader.server == *server || server.is_empty())
        {
            let ongoing = self.observe_outage(group, Outage::Unreachable, now, now);
            if let HoldDecision::Refuse { .. } =
                self.decide_hold(&ongoing, job, Duration::ZERO, now)
            {
                return true;
            }
        }
        let cause = match attempts.last_error {
            Some(ErrorCode::Overloaded | ErrorCode::TooManyConnections) => RetryCause::NoCapacity,
            Some(_) | None => RetryCause::Path,
        };
        let account = Name::from(job.principal.account_name());
        let mut retry_budget = self.hold_state.retry_budget.borrow_mut();
        let may_retry = retry_budget.may_retry(&account, job.rank(), attempts.sent, cause);
        if !may_retry {
            self.metrics.attempts_denied.with_label_values(&[cause.as_str()]).inc();
        }
        !may_retry
    }

    fn no_answer_error(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        attempts: &Attempts,
    ) -> StatementError {
        let retry_delay = match self.holds_statements(group) {
            true => job.retry_delay().for_other_daemon(rand::random()),
            false => RETRY_DELAY,
        };
        let refusal = Refusal {
            code: attempts.last_error.unwrap_or(ErrorCode::Overloaded),
            why: "no server gave an answer",
            retry_delay,
            outage: None,
            remaining: Duration::ZERO,
            sent: attempts.sent,
        };
        let refusal = match needs_primary(job) {
            true => self.with_forecast(group, job, refusal),
            false => refusal,
        };
        self.refuse_statement(group, job, refusal)
    }

    pub(crate) fn no_room_error(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        why: &'static str,
        expected: Duration,
        sent: u32,
    ) -> StatementError {
        let expected = expected + Duration::from_millis(1);
        let retry_delay = match self.holds_statements(group) {
            true => job.retry_delay().for_wait(expected, rand::random()),
            false => expected,
        };
        let code = ErrorCode::Overloaded;
        let refusal =
            Refusal { code, why, retry_delay, outage: None, remaining: Duration::ZERO, sent };
        self.refuse_statement(group, job, refusal)
    }
}

/// Whether only the primary can run a statement, regardless of samples of its log point.
fn needs_primary(job: &Job<'_>) -> bool {
    job.statement.class() == StatementClass::Write || job.route.read_rule == ReadRule::Primary
}
