//! A statement with what it needs to be run, and how long it may wait.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{LogPoint, StatementClass};
use overload::{Rank, come_back::ComeBack, hold::Patience};

use crate::{
    accounts::Principal,
    catalog::Route,
    serve::{
        endpoint_task::{EndpointTask, TaskKind},
        replay::SessionValues,
    },
    statement::PreparedShape,
};

/// The part of a statement's time after which it is refused if it could not be sent, also while a primary
/// that failed is being replaced. A caller that is told early, and when to come back, has time left for
/// another attempt; a larger part holds statements in vain until their callers have gone.
const HOLD_SHARE: f64 = 0.1;
/// The same while a primary is replaced as planned: the gap is known to be short, so most of those that wait
/// never learn of it. Under half, so that a caller whose own deadline is nearer can still go elsewhere.
const HOLD_SHARE_PLANNED: f64 = 0.45;
/// The part of its target latency that a statement waits for a connection. Under a lasting overload
/// every statement waits for as long as it may; with more, all of them would be late.
const WAIT_SHARE: f64 = 0.35;
/// The same where an owner's queue refuses on arrival what would wait in vain: then nothing waits inside the server, and a
/// statement that has begun needs little more than its own work.
const QUEUED_WAIT_SHARE: f64 = 0.6;

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

    pub(crate) fn shape(&self) -> Option<&PreparedShape> {
        match self {
            Work::Execute { shape, .. } => Some(shape),
            _ => None,
        }
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
    pub own_point: Option<LogPoint>,
    /// When it arrived.
    pub arrived: Instant,
    /// For whom it runs.
    pub principal: Principal,
}

impl Job<'_> {
    /// Returns what is to run on a connection.
    pub(crate) fn endpoint_task(&self, min_point: Option<LogPoint>) -> EndpointTask {
        EndpointTask {
            id: Some(self.id.clone()),
            kind: TaskKind::Work(self.work.clone()),
            values: self.values.clone(),
            min_point,
        }
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.arrived + self.route.timeout
    }

    /// How long the statement may wait for a connection; `has_queues` says that servers have queues of their own.
    pub(crate) fn max_wait(&self, has_queues: bool) -> Duration {
        let share = if has_queues { QUEUED_WAIT_SHARE } else { WAIT_SHARE };
        self.route.target_latency.mul_f64(share)
    }

    /// Until when the statement may wait for a connection while all of them are in use.
    /// One that waited for a primary before has as long again, since all of them come at once then.
    pub(crate) fn wait_deadline(&self, now: Instant, has_queues: bool) -> Instant {
        let max_wait = self.max_wait(has_queues);
        if now < self.arrived + max_wait { self.arrived + max_wait } else { now + max_wait }
    }

    /// How urgent it is.
    pub(crate) fn rank(&self) -> Rank {
        Rank::of_priority(self.route.priority)
    }

    /// Returns what it bears.
    pub(crate) fn hold_limits(&self) -> Patience {
        Patience {
            arrived: self.arrived,
            target: self.route.target_latency,
            timeout: self.route.timeout,
        }
    }

    /// Returns what its caller is told by if it is refused.
    pub(crate) fn retry_delay(&self) -> ComeBack {
        ComeBack { target: self.route.target_latency, timeout: self.route.timeout }
    }

    /// Until when the statement may wait for a server that can run it.
    pub(crate) fn hold_until(&self, is_planned_gap: bool) -> Instant {
        let share = if is_planned_gap { HOLD_SHARE_PLANNED } else { HOLD_SHARE };
        self.arrived + self.route.timeout.mul_f64(share)
    }
}

/// Returns a request's identifier as text for the log.
pub fn id_text(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}
