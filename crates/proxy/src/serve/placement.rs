//! Decides where a statement may run, by the log point that its server must hold.

use std::time::{Duration, Instant};

use model::{LogPoint, StatementClass};
use session::{StalenessSamples, TermHistory};

use crate::catalog::ReadRule;

/// Safety margin subtracted from a staleness bound, for the time between the choice of a sample and the
/// first byte of the answer to the caller.
pub(crate) const STALENESS_MARGIN: Duration = Duration::from_millis(50);

/// Where a statement may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// At the primary, while its lease holds.
    Primary,
    /// At any server whose log holds this point; the server checks it.
    AtLeast(LogPoint),
}

impl Placement {
    /// Returns the point that the server's log must hold; `None` at the primary.
    pub fn min_point(self) -> Option<LogPoint> {
        match self {
            Placement::Primary => None,
            Placement::AtLeast(min_point) => Some(min_point),
        }
    }
}

/// Returns where a statement, or the transaction that it opens, may run.
///
/// `own_point` is the log point of the session's latest write. A point of an ended term is clamped to the end of
/// that term, since entries beyond it were rolled back and no log holds them.
pub fn placement_for(
    rule: ReadRule,
    class: StatementClass,
    own_point: Option<LogPoint>,
    samples: &StalenessSamples,
    history: &TermHistory,
    now: Instant,
) -> Placement {
    if class == StatementClass::Write {
        return Placement::Primary;
    }
    let (bound, own_point) = match rule {
        ReadRule::Primary => return Placement::Primary,
        ReadRule::BoundedStaleness { bound } => (bound, None),
        ReadRule::OwnWrites { bound } => (bound, own_point),
    };
    let Some(sample) = samples.point_for(bound.saturating_sub(STALENESS_MARGIN), now) else {
        return Placement::Primary;
    };
    let sample = history.clamp(sample);
    let own_point = own_point.map(|own_point| history.clamp(own_point));
    Placement::AtLeast(own_point.map_or(sample, |own_point| own_point.max(sample)))
}
