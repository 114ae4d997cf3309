//! What a daemon holds of an account's limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How far ahead a daemon asks for operations, by the rate that it has seen: one question a fifth of a second, and no
/// more is held by daemons whose callers have gone than they would use in that time.
const AHEAD: Duration = Duration::from_millis(200);
/// The part of an allotment that is left when the next is asked for, ahead of need.
const LOW_PART: f64 = 0.4;
/// How long an account must have been at its limit before its operations are refused at once. A new keeper begins with
/// nothing saved up, and what is short for a moment is there in the next.
const WAITS_FOR: Duration = Duration::from_millis(250);
/// The time over which the rate is averaged.
const RATE_OVER: Duration = Duration::from_millis(500);

/// Whether an operation may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It may.
    Yes {
        /// Whether more should be asked for meanwhile.
        ask_ahead: bool,
    },
    /// Nothing is held: the keeper has to be asked.
    Ask,
    /// The account is at its limit until this moment, at the least.
    Full {
        /// When the keeper may be asked again.
        until: Instant,
        /// Whether it has been at its limit for so long that whoever asks now would wait in vain.
        lasts: bool,
    },
}

/// Operations that the keeper lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lent {
    /// How many.
    pub count: u32,
    /// When they were asked for; they last from then on, by this daemon's clock.
    pub asked_at: Instant,
    /// For how long.
    pub lasts: Duration,
}

/// What this daemon holds of one account's limit.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    /// What was lent and not used, with until when; oldest first. Nothing lengthens it: another keeper does not know of it.
    held: VecDeque<(u32, Instant)>,
    asked_for: u32,
    full_until: Option<Instant>,
    /// Since when nothing was lent.
    full_since: Option<Instant>,
    /// Operations a second, lately.
    rate_per_s: f64,
    last_at: Option<Instant>,
}

impl Allotment {
    /// Takes one operation.
    pub fn take(&mut self, now: Instant) -> Taken {
        while self.held.front().is_some_and(|(count, until)| *count == 0 || now >= *until) {
            self.held.pop_front();
        }
        if let Some((count, _)) = self.held.front_mut() {
            *count -= 1;
            let low = (f64::from(self.asked_for) * LOW_PART) as u32;
            return Taken::Yes { ask_ahead: self.asked_for > 1 && self.unused(now) <= low };
        }
        match self.full_until {
            Some(until) if now < until => {
                let since = self.full_since.unwrap_or(now);
                Taken::Full { until, lasts: now.duration_since(since) >= WAITS_FOR }
            }
            _ => Taken::Ask,
        }
    }

    /// Returns how many operations are held and how many to ask for beside them, where `waiting` wait already.
    pub fn wanted(&self, waiting: u32, now: Instant) -> (u32, u32) {
        let ahead = (self.rate_per_s * AHEAD.as_secs_f64()).round() as u32;
        (self.unused(now), (waiting + ahead).max(1))
    }

    fn unused(&self, now: Instant) -> u32 {
        let held = self.held.iter().filter(|(_, until)| now < *until);
        held.map(|(count, _)| *count).sum()
    }

    /// Takes over what was lent.
    pub fn take_over(&mut self, lent: Lent) {
        self.held.push_back((lent.count, lent.asked_at + lent.lasts));
        self.asked_for = lent.count;
        self.full_until = None;
        self.full_since = None;
    }

    /// Notes that nothing was left.
    pub fn note_full(&mut self, now: Instant, until: Instant) {
        self.full_since = self.full_since.or(Some(now));
        self.full_until = Some(until);
    }

    /// Notes that a caller asks for an operation.
    pub fn note_demand(&mut self, now: Instant) {
        let over = RATE_OVER.as_secs_f64();
        if let Some(last_at) = self.last_at {
            let gap = now.saturating_duration_since(last_at).as_secs_f64();
            self.rate_per_s *= (-gap / over).exp();
        }
        self.rate_per_s += 1.0 / over;
        self.last_at = Some(now);
    }
}
