//! Statements that wait for a primary, and what those are told that don't.
//!
//! Who waits stands here, at the daemon that took the statement from its caller; with the daemon nothing is lost but its own
//! callers' tries. [`overload::hold`] decides; `docs/design/hard-load.md` says what was weighed.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use model::{LogPoint, Name, StatementClass};
use overload::{
    come_back::spread,
    hold::{Hold, OngoingOutage, Outage, OutageHistory, decide},
    try_budget::{Cause, TryBudget},
};

use crate::{
    catalog::ReadRule,
    control::control_view::GroupLeader,
    dialect::{CallerDialect, EndpointDialect},
    serve::{
        engine::{Engine, Group},
        error_reporting::Refusal,
        execute::{Denied, ROUND_PAUSE},
        job::Job,
        outage::{Outlook, Place, outage_of},
        placement::placement_for,
        verdict::NextStep,
    },
    statement::{ErrorCode, StatementError},
};

/// What a caller is told to wait where nothing better is known.
const COME_BACK: Duration = Duration::from_millis(100);
/// What a caller is told to wait while a primary is being replaced.
const COME_BACK_CHANGING: Duration = Duration::from_millis(400);

/// What a daemon has learned of outages, and the tries that its callers' accounts have left.
#[derive(Default)]
pub(crate) struct Holding {
    history: RefCell<OutageHistory>,
    tries: RefCell<TryBudget>,
}

/// What earlier attempts of one statement have shown.
#[derive(Default)]
pub(crate) struct Rounds {
    pub(crate) avoid: Vec<Name>,
    pub(crate) last_error: Option<ErrorCode>,
    /// Whether only the primary will do.
    pub(crate) needs_primary: bool,
    /// Whether a transaction is to be opened.
    pub(crate) opens_transaction: bool,
    /// Whether an owner was asked where the primary's log stood.
    pub(crate) asked_for_sample: bool,
    /// How often it was sent to a server or an owner.
    pub(crate) sent: u32,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Whether statements of a group are held by what is known of outages.
    pub(crate) fn holds(&self, group: &Group<E>) -> bool {
        self.settings.overload.holding && group.is_contended()
    }

    /// Returns a time to come back that differs for each caller, where statements are held.
    pub(crate) fn with_jitter(&self, come_back: Duration) -> Duration {
        match self.settings.overload.holding {
            true => spread(come_back, rand::random()),
            false => come_back,
        }
    }

    /// Waits until there is a primary that may be used, or until a read can do without one.
    pub(crate) async fn await_primary(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        class: StatementClass,
        rounds: &mut Rounds,
    ) -> Result<GroupLeader, Denied> {
        if !self.holds(group) {
            return self.await_primary_briefly(group, job, rounds).await;
        }
        let mut beliefs = self.beliefs.clone();
        let mut stopping = self.stopping.clone();
        let mut place = None;
        loop {
            let current = beliefs.borrow_and_update().clone();
            let now = Instant::now();
            if let Some(lead) = current.usable_leader(&job.route.service, now) {
                if rounds.avoid.contains(&lead.server) {
                    rounds.avoid.clear();
                    tokio::time::sleep(ROUND_PAUSE).await;
                    continue;
                }
                let turn = self.on_primary(group, job, &lead.server, place.as_ref(), now);
                if turn <= now {
                    return Ok(lead.clone());
                }
                tokio::time::sleep_until(turn.into()).await;
                place = None;
                continue;
            }
            if self.current_min_point(group, job, class).is_some() {
                return Err(Denied::Again);
            }
            let (outage, began_at) = outage_of(&current, &job.route.service, now);
            let ongoing = self.observe_outage(group, outage, began_at, now);
            let held = place.get_or_insert_with(|| group.outage.join(job.rank()));
            let backlog = self.pace(group, &job.route.service) * held.ahead();
            let backlog = backlog.min(job.route.target_latency);
            let hold = self.decide(&ongoing, job, backlog, now);
            let was_stopping = stopping.borrow_and_update().is_some();
            let until = match hold {
                Hold::Wait { until } if !was_stopping && until > now => until,
                Hold::Wait { .. } | Hold::Refuse { .. } => {
                    return Err(Denied::Refuse(self.no_primary(group, job, rounds)));
                }
            };
            tokio::select! {
                changed = beliefs.changed() => {
                    if changed.is_err() {
                        return Err(Denied::Refuse(self.no_primary(group, job, rounds)));
                    }
                    rounds.avoid.clear();
                }
                () = tokio::time::sleep_until(until.into()) => {}
                _ = stopping.changed() => {}
            }
        }
    }

    /// The same where daemons have connections enough: a fixed part of the statement's time.
    async fn await_primary_briefly(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        rounds: &mut Rounds,
    ) -> Result<GroupLeader, Denied> {
        let mut beliefs = self.beliefs.clone();
        loop {
            let current = beliefs.borrow_and_update().clone();
            let lead = current.usable_leader(&job.route.service, Instant::now());
            if let Some(lead) = lead
                && !rounds.avoid.contains(&lead.server)
            {
                return Ok(lead.clone());
            }
            let hold_until = self.hold_until(job);
            let changed = tokio::time::timeout_at(hold_until.into(), beliefs.changed()).await;
            match changed {
                Ok(Ok(())) => rounds.avoid.clear(),
                Ok(Err(_)) | Err(_) => {
                    return Err(Denied::Refuse(self.no_primary(group, job, rounds)));
                }
            }
        }
    }

    /// Until when a statement may wait for a server that can run it.
    pub(crate) fn hold_until(&self, job: &Job<'_>) -> Instant {
        job.hold_until(self.beliefs().is_planned_gap(&job.route.service, Instant::now()))
    }

    /// Returns the point that a read's server must hold, if it may run at others than the primary by what is known now.
    pub(crate) fn current_min_point(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        class: StatementClass,
    ) -> Option<LogPoint> {
        let beliefs = self.beliefs();
        let service = &job.route.service;
        if let Some(sample) = beliefs.samples.get(service) {
            group.samples.borrow_mut().add(sample.asked_at, sample.point);
        }
        let history = beliefs.leaders.get(service).map(|lead| lead.history.clone());
        let samples = group.samples.borrow();
        let history = history.unwrap_or_default();
        placement_for(job.route.reads, class, job.own_point, &samples, &history, Instant::now())
            .min_point()
    }

    /// Returns when a statement goes on, now that there is a primary.
    fn on_primary(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        server: &Name,
        place: Option<&Place<'_>>,
        now: Instant,
    ) -> Instant {
        let ongoing = group.outage.ongoing.get();
        if ongoing.is_some_and(|ongoing| ongoing.outage != Outage::Unreachable) {
            self.end_outage(group, &job.route.service, now);
        }
        let Some(place) = place else { return now };
        let outage = ongoing.map_or(Outage::Failover, |ongoing| ongoing.outage);
        self.metrics.held.with_label_values(&[outage.as_str(), "released"]).inc();
        let pace = self.pace_at(group, server);
        place.turn(pace, job.patience().turn_until(outage, now), now)
    }

    /// Notes that a statement was answered by the primary, which so was in reach.
    pub(crate) fn note_served(&self, group: &Group<E>, job: &Job<'_>, at_primary: bool) {
        let account = Name::from(job.principal.told());
        self.holding.tries.borrow_mut().on_success(&account, job.rank());
        if at_primary && group.outage.ongoing.get().is_some() {
            self.end_outage(group, &job.route.service, Instant::now());
        }
    }

    fn end_outage(&self, group: &Group<E>, service: &Name, now: Instant) {
        let Some(ongoing) = group.outage.ongoing.take() else { return };
        let length = ongoing.length(now);
        if let Some(length) = length {
            self.holding.history.borrow_mut().note(ongoing.outage, length);
        }
        log::info!(
            event = "outage_over", service = &**service, outage = ongoing.outage.as_str(),
            took_ms = ongoing.elapsed(now).as_millis() as u64, counts = length.is_some(),
            expected_ms = group.outage.expected.get().as_millis() as u64,
            waiting = group.outage.line.borrow().len();
            "a primary can be used again"
        );
    }

    fn observe_outage(
        &self,
        group: &Group<E>,
        outage: Outage,
        began_at: Instant,
        now: Instant,
    ) -> OngoingOutage {
        group.outage.observe(outage, began_at, &self.holding.history.borrow(), now)
    }

    fn decide(
        &self,
        ongoing: &OngoingOutage,
        job: &Job<'_>,
        backlog: Duration,
        now: Instant,
    ) -> Hold {
        decide(&self.holding.history.borrow(), ongoing, &job.patience(), backlog, now)
    }

    /// How long the primary takes for a statement of this daemon's, as one of all that send it theirs.
    fn pace(&self, group: &Group<E>, service: &Name) -> Duration {
        let beliefs = self.beliefs();
        beliefs
            .leaders
            .get(service)
            .map_or(Duration::ZERO, |lead| self.pace_at(group, &lead.server))
    }

    fn pace_at(&self, group: &Group<E>, server: &Name) -> Duration {
        let slots = group.pool.entry_of(server).map_or(1, |entry| entry.slots).max(1);
        let daemons = self.beliefs().sharers.daemons.max(1);
        group.pool.latency_of(server) * daemons / slots
    }

    /// Returns what a statement is told that finds no primary.
    fn no_primary(&self, group: &Group<E>, job: &Job<'_>, rounds: &Rounds) -> StatementError {
        let changing = self.beliefs().is_changing(&job.route.service);
        let (why, come_back) = if changing {
            ("the primary is being replaced", COME_BACK_CHANGING)
        } else {
            ("no primary may be used at present", COME_BACK)
        };
        let refusal = Refusal {
            code: ErrorCode::Overloaded,
            why,
            come_back,
            outage: None,
            remaining: Duration::ZERO,
            sent: rounds.sent,
        };
        self.refuse(group, job, self.with_outlook(group, job, refusal))
    }

    /// Has a refusal tell what is expected of the group's outage, where there is one.
    fn with_outlook(&self, group: &Group<E>, job: &Job<'_>, refusal: Refusal) -> Refusal {
        let ongoing = group.outage.ongoing.get().filter(|_| self.holds(group));
        let Some(ongoing) = ongoing else { return refusal };
        let elapsed = ongoing.elapsed(Instant::now());
        let history = self.holding.history.borrow();
        let remaining = history.remaining(ongoing.outage, elapsed);
        let outlook = Outlook { outage: ongoing.outage, elapsed, remaining };
        let come_back = outlook.come_back(job.come_back(), &history, self.settings.primary_lease);
        self.metrics.held.with_label_values(&[ongoing.outage.as_str(), "refused"]).inc();
        Refusal { come_back, outage: Some(ongoing.outage), remaining, ..refusal }
    }

    /// Sets up another attempt; an error is what the caller is told instead.
    pub(crate) async fn prepare_next_round(
        &self,
        rounds: &mut Rounds,
        job: &Job<'_>,
        next: NextStep,
        server: Name,
    ) -> Option<StatementError> {
        let group = self.group(&job.route.service, &self.beliefs());
        let until = match self.holds(&group) && rounds.sent > 0 {
            true => job.patience().tries_until(),
            false => self.hold_until(job),
        };
        if Instant::now() + ROUND_PAUSE >= until || self.is_in_vain(&group, job, rounds, &server) {
            return Some(self.no_answer(&group, job, rounds));
        }
        match next {
            NextStep::TryElsewhere if !rounds.avoid.contains(&server) && !rounds.needs_primary => {
                rounds.avoid.push(server);
            }
            _ => {
                rounds.avoid.clear();
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
        None
    }

    /// Whether another attempt would go where it can't be answered, or take room from others.
    fn is_in_vain(&self, group: &Group<E>, job: &Job<'_>, rounds: &Rounds, server: &Name) -> bool {
        if !self.holds(group) {
            return false;
        }
        let now = Instant::now();
        let beliefs = self.beliefs();
        let lead = beliefs.usable_leader(&job.route.service, now);
        // An empty name: no server was found, so it was the primary that wasn't.
        if needs_primary(job)
            && lead.is_some_and(|lead| lead.server == *server || server.is_empty())
        {
            let ongoing = self.observe_outage(group, Outage::Unreachable, now, now);
            if let Hold::Refuse { .. } = self.decide(&ongoing, job, Duration::ZERO, now) {
                return true;
            }
        }
        let cause = match rounds.last_error {
            Some(ErrorCode::Overloaded | ErrorCode::TooManyConnections) => Cause::NoRoom,
            Some(_) | None => Cause::Path,
        };
        let account = Name::from(job.principal.told());
        let mut tries = self.holding.tries.borrow_mut();
        let may = tries.may_send_again(&account, job.rank(), rounds.sent, cause);
        if !may {
            self.metrics.tries_denied.with_label_values(&[cause.as_str()]).inc();
        }
        !may
    }

    fn no_answer(&self, group: &Group<E>, job: &Job<'_>, rounds: &Rounds) -> StatementError {
        let come_back = match self.holds(group) {
            true => job.come_back().elsewhere(rand::random()),
            false => COME_BACK,
        };
        let refusal = Refusal {
            code: rounds.last_error.unwrap_or(ErrorCode::Overloaded),
            why: "no server gave an answer",
            come_back,
            outage: None,
            remaining: Duration::ZERO,
            sent: rounds.sent,
        };
        let refusal = match needs_primary(job) {
            true => self.with_outlook(group, job, refusal),
            false => refusal,
        };
        self.refuse(group, job, refusal)
    }

    /// Returns what a statement is told that found no free connection.
    pub(crate) fn no_room(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        why: &'static str,
        expected: Duration,
        sent: u32,
    ) -> StatementError {
        let expected = expected + Duration::from_millis(1);
        let come_back = match self.holds(group) {
            true => job.come_back().after(expected, rand::random()),
            false => expected,
        };
        let code = ErrorCode::Overloaded;
        let refusal =
            Refusal { code, why, come_back, outage: None, remaining: Duration::ZERO, sent };
        self.refuse(group, job, refusal)
    }
}

/// Whether only the primary can run a statement, whatever is known of where its log stood.
fn needs_primary(job: &Job<'_>) -> bool {
    job.work.class() == StatementClass::Write || job.route.reads == ReadRule::Primary
}
