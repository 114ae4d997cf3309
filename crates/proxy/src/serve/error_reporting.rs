//! Builds and logs the errors for statements that were refused or whose outcome is unknown.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use model::{LogPoint, Name};
use overload::hold::Outage;

use crate::{
    control::control_view::GroupLeader,
    dialect::{CallerDialect, EndpointDialect},
    serve::{
        connection::{ConnectionLost, refusal},
        engine::{Engine, Group},
        job::{Job, id_text},
    },
    statement::{Answer, ErrorCode, StatementError, TransactionState},
};

/// Why a statement is refused, and when its caller should retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) code: ErrorCode,
    pub(crate) why: &'static str,
    pub(crate) retry_delay: Duration,
    /// The outage that the statement would have had to wait for, if there is one.
    pub(crate) outage: Option<Outage>,
    /// The expected remaining length of the outage.
    pub(crate) remaining: Duration,
    /// How many times the statement was sent to a server or an owner.
    pub(crate) sent: u32,
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    pub(crate) fn on_server_error(
        &self,
        group: &Rc<Group<E>>,
        job: &Job<'_>,
        server: &Name,
        code: ErrorCode,
        min_point: Option<LogPoint>,
        answer: &Answer,
    ) {
        if code == ErrorCode::NotFresh {
            log::debug!(
                event = "not_fresh", id = id_text(&job.id).as_str(),
                service = &*job.route.service, server = &**server,
                floor = format!("{min_point:?}").as_str(), own = format!("{:?}", job.own_point).as_str(),
                shown = format!("{:?}", answer.point).as_str();
                "a server's log does not hold the minimum point of a read"
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

    pub(crate) fn log_server_error(&self, job: &Job<'_>, server: Option<&Name>, code: ErrorCode) {
        log::debug!(
            event = "server_refused", id = id_text(&job.id).as_str(),
            service = &*job.route.service, server = server.map_or("", |server| &**server),
            code = code.as_str();
            "a server answered with an error"
        );
    }

    pub(crate) fn refuse_statement(
        &self,
        group: &Group<E>,
        job: &Job<'_>,
        refusal: Refusal,
    ) -> StatementError {
        let view = self.control_view();
        let leader = view.leaders.get(&job.route.service);
        let retry_after_ms = refusal.retry_delay.as_millis() as u64;
        log::info!(
            event = "refused", id = id_text(&job.id).as_str(), service = &*job.route.service,
            reads = job.route.read_rule.as_str(), code = refusal.code.as_str(), why = refusal.why,
            primary = leader.map_or("", |leader| &*leader.server),
            lead_valid = leader.is_some_and(|leader| leader.is_valid(Instant::now())),
            changing = view.is_changing(&job.route.service),
            outage = refusal.outage.map_or("", Outage::as_str),
            remaining_ms = refusal.remaining.as_millis() as u64, sent = refusal.sent,
            expected_wait_ms = group.pool.expected_wait().as_millis() as u64,
            held_ms = job.arrived.elapsed().as_millis() as u64, retry_after_ms = retry_after_ms,
            configuration = view.catalog.version;
            "a statement was refused"
        );
        StatementError::with_retry_delay(refusal.code, refusal.why, retry_after_ms)
    }

    pub(crate) fn lost_connection_answer(
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

    pub(crate) fn unconfirmed_write(&self, job: &Job<'_>, leader: &GroupLeader) -> Answer {
        log::info!(
            event = "outcome", id = id_text(&job.id).as_str(), service = &*job.route.service,
            server = &*leader.server, term = leader.term.0, code = ErrorCode::InDoubt.as_str(),
            held_ms = job.arrived.elapsed().as_millis() as u64;
            "a write ran, but its server may no longer be the primary"
        );
        let error = StatementError::new(ErrorCode::InDoubt, "the primary changed while it ran");
        refusal(error, TransactionState::Idle)
    }
}
