//! How old what a daemon knows of the store may be, by its own clock.
//!
//! A daemon that hears of the store through others can't see by itself that it stopped hearing: whoever it follows may be
//! silent, or behind too. A reading, by whomever, shows the store's revision at a moment; whoever knows every change
//! up to it knows all that there was at that moment. See `docs/PLATFORM.md`, "Following the store".

use std::time::{Duration, Instant};

use crate::metadata::Revision;

/// How long a reading may have shown a change that is not known here before the store is asked for it. Through three steps
/// of daemons a change of a few kilobytes takes some 10 ms, and goes along with the next reading, within 450 ms, where it
/// is none to be told at once.
pub(crate) const BEHIND_FOR: Duration = Duration::from_millis(900);
/// The same for a daemon that follows another one, which asks first and passes on what it hears: with one time for all,
/// 71 daemons read everything because the watch of the first one had heard nothing for a second.
const FOLLOWER_BEHIND_FOR: Duration = Duration::from_millis(1_400);
/// How long changes that another daemon has begun to send are waited for beyond [`FOLLOWER_BEHIND_FOR`]: a configuration
/// of a megabyte, packed to a tenth, over the links of three daemons that each pass it on to eight others.
const RECEIVES_FOR: Duration = Duration::from_millis(2_500);

/// How much later twice as many daemons of a zone may ask.
const TURN: Duration = Duration::from_millis(300);

/// Returns how much later a daemon of a large fleet asks the store for what it misses, with so many others of its zone
/// before it. Those ask first and pass on what they hear, so that a zone which is behind as a whole, as behind a full link,
/// draws it once or twice instead of once for each daemon. The fiftieth asks 1.5 s after the first.
pub fn catch_up_delay(daemons_before: usize) -> Duration {
    TURN * (daemons_before + 1).ilog2()
}

/// That the store stood at a revision when it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedRevision {
    /// The store's revision.
    pub revision: Revision,
    /// When it was asked, or before.
    pub asked_at: Instant,
}

/// Up to which moment everything is known, and since when something is missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Everything that there was at this moment is known.
    complete_at: Option<Instant>,
    /// The first and the latest sighting of what is not known yet. Two are enough for any number: once the first is
    /// made up for, the latest takes its place.
    missing: Option<(ObservedRevision, ObservedRevision)>,
}

impl Freshness {
    /// Notes a reading of the store by a daemon that knows every change up to `applied_revision`.
    pub fn note_store_read(&mut self, seen: ObservedRevision, applied_revision: Revision) {
        if seen.revision <= applied_revision {
            self.complete_at = self.complete_at.max(Some(seen.asked_at));
            return;
        }
        self.missing = match self.missing {
            Some((first, latest)) if latest.asked_at < seen.asked_at => Some((first, seen)),
            Some(known) => Some(known),
            None => Some((seen, seen)),
        };
    }

    /// Notes that every change up to a revision is known now.
    pub fn note_applied(&mut self, applied_revision: Revision) {
        let Some((first, latest)) = self.missing else { return };
        if first.revision > applied_revision {
            return;
        }
        let is_all = latest.revision <= applied_revision;
        let made_up_for = if is_all { latest } else { first };
        self.missing = (!is_all).then_some((latest, latest));
        self.complete_at = self.complete_at.max(Some(made_up_for.asked_at));
    }

    /// Returns how old what is known may be; `None` before the first reading.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns for how long a reading has shown something that is not known; `None` if nothing is missing.
    pub fn behind_for(&self, now: Instant) -> Option<Duration> {
        self.missing.map(|(first, _)| now.saturating_duration_since(first.asked_at))
    }
}

/// Whether a daemon that has missed something for `behind_for` asks the store itself, if it follows another daemon, and
/// for how long that one has been sending changes, if it does.
///
/// Changes that are on their way come sooner than they would from the store, over the same link and beside them: three
/// hundred daemons that asked while a large configuration came down to them each read the whole store.
pub fn must_read_store(
    behind_for: Duration,
    follows: bool,
    receives_for: Option<Duration>,
) -> bool {
    if !follows {
        return behind_for > BEHIND_FOR;
    }
    let is_on_its_way = receives_for.is_some_and(|time| time < RECEIVES_FOR);
    behind_for > FOLLOWER_BEHIND_FOR && !is_on_its_way
}
