//! Detects answers that contradict the primary lease under which a statement was sent.
//!
//! Such an answer is not expected. It means that information from another daemon or from the store was trusted for too
//! long. It is logged and counted, and the information that the lease was based on is dropped.
//! `docs/PLATFORM.md`, "What is passed on", lists this information.

use model::{LogPoint, Name};

use crate::{
    control::control_view::{GroupLeader, Observation},
    dialect::{CallerDialect, EndpointDialect},
    serve::engine::{Engine, Group},
};

/// How an answer contradicts a primary lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contradiction {
    /// The primary's log is in a later term than the lease.
    LaterTerm,
    /// The primary's log is behind a point that it had reached before.
    BehindSample,
}

impl Contradiction {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Contradiction::LaterTerm => "later_term",
            Contradiction::BehindSample => "behind_sample",
        }
    }
}

/// Compares the log point returned by a primary with its lease and with the latest sample known when the
/// statement was sent.
pub fn find_contradiction(
    leader: &GroupLeader,
    known: Option<LogPoint>,
    returned: Option<LogPoint>,
) -> Option<Contradiction> {
    let returned = returned?;
    if returned.term > leader.term {
        return Some(Contradiction::LaterTerm);
    }
    let known = known.map(|known| leader.history.clamp(known))?;
    let is_comparable = known.term == returned.term;
    (is_comparable && returned.position < known.position).then_some(Contradiction::BehindSample)
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Checks the log point that a primary returned against the lease under which the statement was sent; the lease is
    /// still valid.
    pub(crate) fn check_primary_answer(
        &self,
        group: &Group<E>,
        service: &Name,
        leader: &GroupLeader,
        known: Option<LogPoint>,
        returned: Option<LogPoint>,
    ) {
        let Some(found) = find_contradiction(leader, known, returned) else { return };
        self.metrics.contradictions.with_label_values(&[found.as_str()]).inc();
        log::error!(
            event = "permission_contradicted", service = &**service, server = &*leader.server,
            how = found.as_str(), term = leader.term.0, basis = leader.basis.as_str(),
            known = format!("{known:?}").as_str(), shown = format!("{returned:?}").as_str();
            "a primary's answer contradicts the lease under which the statement was sent"
        );
        group.samples.borrow_mut().clear();
        let observation = Observation::Contradicted { service: service.clone(), term: leader.term };
        // The channel is full if the control thread is behind; the next such answer is reported again.
        let _ = self.observations.try_send(observation);
    }
}
