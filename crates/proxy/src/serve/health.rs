//! Whether a server does what it is given, as the owner of its connections sees it.
//!
//! An owner runs what the daemons of its zone, or of all zones, have for the server, so some tens of statements show it what
//! each of them alone would find out in a minute. While the circuit is open it refuses reads that another server may run; the
//! asker says where it knows no other one. Writes and what must be read at the primary are let through: nobody else can run
//! them, and a primary that fails is replaced.

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

/// Returns what an answer says of its server. What was not run, such as a refusal of a busy server, says nothing against it.
pub(crate) fn outcome_of(code: Option<ErrorCode>) -> PathOutcome {
    match code {
        Some(ErrorCode::Failed | ErrorCode::TimedOut) => PathOutcome::Missed,
        _ => PathOutcome::Answered,
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Lets a read pass to a server, or says no. One that passes while the circuit is not closed is a try, and noted as such.
    pub(crate) fn pass_read(&self, group: &Group<E>, server: &Name) -> bool {
        let now = Instant::now();
        let may_pass = group.pool.with_slot(server, |slot| {
            let may_pass = slot.health.may_pass(now);
            if may_pass {
                slot.health.on_pass(now);
            }
            may_pass
        });
        may_pass.unwrap_or(true)
    }

    /// Takes note of what became of a statement of this daemon's own callers on a connection of its own.
    pub(crate) fn note_own_health(
        &self,
        group: &Group<E>,
        reached: &ServerRoute,
        sent: &Result<Answer, (Progress, ConnectionLost)>,
    ) {
        let outcome = match sent {
            _ if !reached.is_own => return,
            Ok(answer) => outcome_of(answer.error_code()),
            Err((Progress::Sent, _)) => PathOutcome::Missed,
            Err((Progress::NotSent, _)) => return,
        };
        self.note_health(group, &reached.server, outcome);
    }

    /// Takes note of what became of a statement that ran on a connection of this daemon.
    pub(crate) fn note_health(&self, group: &Group<E>, server: &Name, outcome: PathOutcome) {
        if !group.pool.has_circuits() {
            return;
        }
        let now = Instant::now();
        let change = group.pool.with_slot(server, |slot| slot.health.on_outcome(outcome, now));
        let Some(Some(change)) = change else { return };
        let state = match change {
            CircuitChange::Opened => "open",
            CircuitChange::Closed => "closed",
        };
        self.metrics.circuits.with_label_values(&["server", state]).inc();
        log::info!(
            event = "circuit", hop = "server", server = &**server, state = state;
            "the circuit of a server changed"
        );
    }
}
