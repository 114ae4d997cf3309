//! Tracks the age of a daemon's store data by its own clock.
//!
//! A daemon that follows the store through others can't tell by itself whether it misses changes, because its
//! upstream may be silent or behind. A store read by any daemon shows the store's revision at a point in time; a
//! daemon that has applied every change up to that revision held all data as of then. See `docs/PLATFORM.md`,
//! "Following the store".

use std::time::{Duration, Instant};

use crate::metadata::Revision;

/// How long a change shown by a store read may be missing before it is read from the store; enough for it to pass
/// through three levels of daemons together with the next read.
pub(crate) const MAX_BEHIND: Duration = Duration::from_millis(900);
/// [`MAX_BEHIND`] for a daemon with an upstream. It is longer, so that the upstream reads first and passes the changes
/// on. With the same time for all, a whole fleet reads the store when the first daemon's watch stays silent for a second.
const FOLLOWER_MAX_BEHIND: Duration = Duration::from_millis(1_400);
/// How long changes that the upstream is already sending are waited for, such as a configuration of a megabyte that
/// passes through three daemons over slow links.
const MAX_RECEIVING: Duration = Duration::from_millis(2_500);

/// Added delay for each doubling of the daemons that read first.
const CATCH_UP_STEP: Duration = Duration::from_millis(300);

/// Returns how much later than the first daemon of its zone a daemon of a large fleet reads missing changes from the
/// store. The first daemons pass the changes on, so a zone that is behind as a whole reads them once or twice instead
/// of once per daemon.
pub fn catch_up_delay(daemons_before: usize) -> Duration {
    CATCH_UP_STEP * (daemons_before + 1).ilog2()
}

/// The store's revision at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedRevision {
    /// The store's revision.
    pub revision: Revision,
    /// When the revision was requested, or earlier.
    pub asked_at: Instant,
}

/// The time up to which the data is complete, and the observed revisions that are missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// All data as of this time has been applied.
    complete_at: Option<Instant>,
    /// The first and the latest observed revision that is not yet applied. Two are enough: once the first is applied,
    /// the latest takes its place.
    missing: Option<(ObservedRevision, ObservedRevision)>,
}

impl Freshness {
    /// Records a store read; every change up to `applied_revision` has been applied.
    pub fn on_store_read(&mut self, observed: ObservedRevision, applied_revision: Revision) {
        if observed.revision <= applied_revision {
            self.complete_at = self.complete_at.max(Some(observed.asked_at));
            return;
        }
        self.missing = match self.missing {
            Some((first, latest)) if latest.asked_at < observed.asked_at => Some((first, observed)),
            Some(known) => Some(known),
            None => Some((observed, observed)),
        };
    }

    /// Records that every change up to a revision has been applied.
    pub fn on_applied(&mut self, applied_revision: Revision) {
        let Some((first, latest)) = self.missing else { return };
        if first.revision > applied_revision {
            return;
        }
        let is_all = latest.revision <= applied_revision;
        let applied = if is_all { latest } else { first };
        self.missing = (!is_all).then_some((latest, latest));
        self.complete_at = self.complete_at.max(Some(applied.asked_at));
    }

    /// Returns the maximum age of the data; `None` before the first read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns how long a store read has shown a change that is missing; `None` if nothing is missing.
    pub fn behind_for(&self, now: Instant) -> Option<Duration> {
        self.missing.map(|(first, _)| now.saturating_duration_since(first.asked_at))
    }
}

/// Whether a daemon that misses a change for `behind_for` reads it from the store. `follows` tells whether it has an
/// upstream, and `receiving_for` for how long changes have been arriving from it.
///
/// Changes that are already arriving come sooner than a read over the same congested link would.
pub fn must_read_store(
    behind_for: Duration,
    follows: bool,
    receiving_for: Option<Duration>,
) -> bool {
    if !follows {
        return behind_for > MAX_BEHIND;
    }
    let is_arriving = receiving_for.is_some_and(|time| time < MAX_RECEIVING);
    behind_for > FOLLOWER_MAX_BEHIND && !is_arriving
}
