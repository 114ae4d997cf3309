//! Answers that contradict the permission that a statement was sent under.
//!
//! None may ever be seen. If one is, something that was heard of another daemon, or of the store, was believed
//! for too long; it is logged with both sides, counted, and whatever the permission rested on is dropped.
//! `docs/PLATFORM.md`, "What is passed on", lists what that can be.

use model::{LogPoint, Name};

use crate::{
    control::control_view::{GroupLeader, Observation},
    dialect::{CallerDialect, EndpointDialect},
    serve::engine::{Engine, Group},
};

/// How an answer contradicts a permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contradiction {
    /// The primary's log is of a later term than the one that it was used in.
    LaterTerm,
    /// The primary's log stands before a point that it was known to have reached.
    BehindSample,
}

impl Contradiction {
    /// Returns the word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Contradiction::LaterTerm => "later_term",
            Contradiction::BehindSample => "behind_sample",
        }
    }
}

/// Compares what a primary showed with what it was used by: the right, and the latest sample of its log that was
/// known when the statement was sent.
pub fn find_contradiction(
    leader: &GroupLeader,
    known: Option<LogPoint>,
    shown: Option<LogPoint>,
) -> Option<Contradiction> {
    let shown = shown?;
    if shown.term > leader.term {
        return Some(Contradiction::LaterTerm);
    }
    let known = known.map(|known| leader.history.clamp(known))?;
    let is_comparable = known.term == shown.term;
    (is_comparable && shown.position < known.position).then_some(Contradiction::BehindSample)
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Looks whether an answer of a primary contradicts the right it was used by, which still holds.
    pub(crate) fn check_primary_answer(
        &self,
        group: &Group<E>,
        service: &Name,
        leader: &GroupLeader,
        known: Option<LogPoint>,
        shown: Option<LogPoint>,
    ) {
        let Some(found) = find_contradiction(leader, known, shown) else { return };
        self.metrics.contradictions.with_label_values(&[found.as_str()]).inc();
        log::error!(
            event = "permission_contradicted", service = &**service, server = &*leader.server,
            how = found.as_str(), term = leader.term.0, basis = leader.basis.as_str(),
            known = format!("{known:?}").as_str(), shown = format!("{shown:?}").as_str();
            "a primary's answer contradicts the right that it was used by"
        );
        group.samples.borrow_mut().clear();
        let observation = Observation::Contradicted { service: service.clone(), term: leader.term };
        // A full ring means that the control thread is behind; the next such answer tells it again.
        let _ = self.observations.try_send(observation);
    }
}
