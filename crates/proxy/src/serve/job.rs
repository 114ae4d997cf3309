//! A statement to be run on a server, with its context and its time limits.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{LogPoint, StatementClass};
use overload::{Rank, hold::HoldLimits, retry_delay::RetryDelay};

use crate::{
    accounts::Principal,
    catalog::Route,
    serve::{
        endpoint_task::{EndpointTask, TaskKind},
        replay::SessionValues,
    },
    statement::PreparedStatement,
};

/// Share of a statement's timeout after which it is refused if it could not be sent, including while a failed
/// primary is being replaced. An early refusal with a retry delay leaves the caller time for another attempt.
const HOLD_SHARE: f64 = 0.1;
/// The same during a planned change of the primary, which is short. Less than half, so that a caller with a
/// shorter deadline of its own can still try another daemon.
const HOLD_SHARE_PLANNED: f64 = 0.45;
/// Share of its target latency that a statement may wait for a connection. During a sustained overload every
/// statement waits for all of it, and the rest must suffice to run the statement.
const WAIT_SHARE: f64 = 0.35;
/// The same where an owner's queue rejects on arrival what it can't serve in time. Nothing queues inside the
/// server then, so a statement that has started needs less time to complete.
const QUEUED_WAIT_SHARE: f64 = 0.6;

/// A statement that has to run on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointStatement {
    /// A read.
    Read(Bytes),
    /// A write.
    Write(Bytes),
    /// A prepared statement.
    Execute {
        /// The prepared statement.
        statement: PreparedStatement,
        /// The caller's arguments.
        arguments: Bytes,
    },
    /// The commit of a transaction.
    Commit,
}

impl EndpointStatement {
    /// Returns whether it is a read or a write.
    pub fn class(&self) -> StatementClass {
        match self {
            EndpointStatement::Read(_) => StatementClass::Read,
            EndpointStatement::Write(_) => StatementClass::Write,
            EndpointStatement::Execute { statement, .. } => statement.class,
            EndpointStatement::Commit => StatementClass::Write,
        }
    }

    pub(crate) fn prepared(&self) -> Option<&PreparedStatement> {
        match self {
            EndpointStatement::Execute { statement, .. } => Some(statement),
            _ => None,
        }
    }
}

/// A statement with the context in which it runs.
pub struct Job<'a> {
    /// The caller's identifier for the request.
    pub id: Bytes,
    /// The statement.
    pub statement: EndpointStatement,
    /// The route that applies to it.
    pub route: &'a Arc<Route>,
    /// The values of its session.
    pub values: &'a SessionValues,
    /// The log point of the session's latest write.
    pub own_point: Option<LogPoint>,
    /// When it arrived.
    pub arrived: Instant,
    /// The principal for which it runs.
    pub principal: Principal,
}

impl Job<'_> {
    pub(crate) fn endpoint_task(&self, min_point: Option<LogPoint>) -> EndpointTask {
        EndpointTask {
            id: Some(self.id.clone()),
            kind: TaskKind::Statement(self.statement.clone()),
            values: self.values.clone(),
            min_point,
        }
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.arrived + self.route.timeout
    }

    /// Returns how long the statement may wait for a connection; `has_queues` is set if owners queue statements
    /// per server.
    pub(crate) fn max_wait(&self, has_queues: bool) -> Duration {
        let share = if has_queues { QUEUED_WAIT_SHARE } else { WAIT_SHARE };
        self.route.target_latency.mul_f64(share)
    }

    /// Returns until when the statement may wait for a connection while all are in use. A statement that has
    /// waited for a primary gets the full time again, since all held statements arrive at once.
    pub(crate) fn wait_deadline(&self, now: Instant, has_queues: bool) -> Instant {
        let max_wait = self.max_wait(has_queues);
        if now < self.arrived + max_wait { self.arrived + max_wait } else { now + max_wait }
    }

    pub(crate) fn rank(&self) -> Rank {
        Rank::of_priority(self.route.priority)
    }

    /// Returns the time limits within which the statement may be held.
    pub(crate) fn hold_limits(&self) -> HoldLimits {
        HoldLimits {
            arrived: self.arrived,
            target: self.route.target_latency,
            timeout: self.route.timeout,
        }
    }

    /// Returns the time limits from which the retry delay is computed if the statement is refused.
    pub(crate) fn retry_delay(&self) -> RetryDelay {
        RetryDelay { target: self.route.target_latency, timeout: self.route.timeout }
    }

    pub(crate) fn hold_until(&self, is_planned_gap: bool) -> Instant {
        let share = if is_planned_gap { HOLD_SHARE_PLANNED } else { HOLD_SHARE };
        self.arrived + self.route.timeout.mul_f64(share)
    }
}

/// Returns the identifier of a request as text for the log.
pub fn id_text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
