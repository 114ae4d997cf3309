//! Circuit breaker for servers, kept by the owner of the connections.
//!
//! An owner runs the statements of many daemons, so it detects a failing server much sooner than each of them
//! would. While the circuit is open, the owner refuses reads that another server may run. Writes, reads at the
//! primary and reads without an alternative pass: no other server can run them, and a failing primary is replaced.

use std::time::Instant;

use model::Name;
use overload::{CircuitChange, PathOutcome};

use crate::{
    dialect::{CallerDialect, EndpointDialect},
    serve::{
        connection::{ConnectionLost, ServerRoute},
        engine::{Engine, Group},
        verdict::Progress,
    },
    statement::{Answer, ErrorCode},
};

/// Returns what an answer says about the health of its server. Statements that were not run, such as those refused
/// by a busy server, don't count as failures.
pub(crate) fn outcome_of(code: Option<ErrorCode>) -> PathOutcome {
    match code {
        Some(ErrorCode::Failed | ErrorCode::TimedOut) => PathOutcome::Failed,
        _ => PathOutcome::Answered,
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Returns whether a forwarded read may be sent to a server. A read that is admitted while the circuit is not
    /// closed is recorded as a probe.
    pub(crate) fn admit_read(&self, group: &Group<E>, server: &Name) -> bool {
        let now = Instant::now();
        let may_pass = group.pool.with_server(server, |pooled| {
            let may_pass = pooled.health.allows_request(now);
            if may_pass {
                pooled.health.on_request(now);
            }
            may_pass
        });
        may_pass.unwrap_or(true)
    }

    /// Records the result of a statement that a caller of this daemon ran on one of this daemon's connections.
    pub(crate) fn record_own_health(
        &self,
        group: &Group<E>,
        route: &ServerRoute,
        sent: &Result<Answer, (Progress, ConnectionLost)>,
    ) {
        let outcome = match sent {
            _ if !route.is_own => return,
            Ok(answer) => outcome_of(answer.error_code()),
            Err((Progress::Sent, _)) => PathOutcome::Failed,
            Err((Progress::NotSent, _)) => return,
        };
        self.record_health(group, &route.server, outcome);
    }

    /// Records the result of a statement on a connection of this daemon.
    pub(crate) fn record_health(&self, group: &Group<E>, server: &Name, outcome: PathOutcome) {
        if !group.pool.has_circuits() {
            return;
        }
        let now = Instant::now();
        let change =
            group.pool.with_server(server, |pooled| pooled.health.on_outcome(outcome, now));
        let Some(Some(change)) = change else { return };
        let state = match change {
            CircuitChange::Opened => "open",
            CircuitChange::Closed => "closed",
        };
        self.metrics.circuit_changes.with_label_values(&["server", state]).inc();
        log::info!(
            event = "circuit", hop = "server", server = &**server, state = state;
            "the circuit breaker of a server changed state"
        );
    }
}
