//! What a daemon holds of an account's limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How far ahead a daemon asks for operations, by the rate that it has seen: one question a fifth of a second, and no
/// more is held by daemons whose callers have gone than they would use in that time.
const REQUEST_AHEAD: Duration = Duration::from_millis(200);
/// The part of an allotment that is left when the next is asked for, ahead of need.
const LOW_SHARE: f64 = 0.4;
/// How long an account must have been at its limit before its operations are refused at once. A new keeper begins with
/// nothing saved up, and what is short for a moment is there in the next.
const SUSTAINED_AFTER: Duration = Duration::from_millis(250);
/// The time over which the rate is averaged.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Whether an operation may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// It may.
    Allowed {
        /// Whether more should be asked for meanwhile.
        request_ahead: bool,
    },
    /// Nothing is held: the keeper has to be asked.
    RequestQuota,
    /// The account is at its limit until this moment, at the least.
    AtLimit {
        /// When the keeper may be asked again.
        until: Instant,
        /// Whether it has been at its limit for so long that whoever asks now would wait in vain.
        is_sustained: bool,
    },
}

/// Operations that the keeper granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedQuota {
    /// How many.
    pub count: u32,
    /// When they were asked for; they last from then on, by this daemon's clock.
    pub requested_at: Instant,
    /// For how long.
    pub lifetime: Duration,
}

/// What this daemon holds of one account's limit.
#[derive(Clone, Debug, Default)]
pub struct HeldQuota {
    /// What was lent and not used, with until when; oldest first. Nothing lengthens it: another keeper does not know of it.
    held: VecDeque<(u32, Instant)>,
    last_grant: u32,
    exhausted_until: Option<Instant>,
    /// Since when nothing was granted.
    exhausted_since: Option<Instant>,
    /// Operations a second, lately.
    rate_per_s: f64,
    last_at: Option<Instant>,
}

impl HeldQuota {
    /// Takes one operation.
    pub fn take(&mut self, now: Instant) -> TakeResult {
        while self.held.front().is_some_and(|(count, until)| *count == 0 || now >= *until) {
            self.held.pop_front();
        }
        if let Some((count, _)) = self.held.front_mut() {
            *count -= 1;
            let low = (f64::from(self.last_grant) * LOW_SHARE) as u32;
            return TakeResult::Allowed {
                request_ahead: self.last_grant > 1 && self.unused(now) <= low,
            };
        }
        match self.exhausted_until {
            Some(until) if now < until => {
                let since = self.exhausted_since.unwrap_or(now);
                TakeResult::AtLimit {
                    until,
                    is_sustained: now.duration_since(since) >= SUSTAINED_AFTER,
                }
            }
            _ => TakeResult::RequestQuota,
        }
    }

    /// Returns how many operations are held and how many to ask for beside them, where `waiting` wait already.
    pub fn request_amounts(&self, waiting: u32, now: Instant) -> (u32, u32) {
        let ahead = (self.rate_per_s * REQUEST_AHEAD.as_secs_f64()).round() as u32;
        (self.unused(now), (waiting + ahead).max(1))
    }

    fn unused(&self, now: Instant) -> u32 {
        let held = self.held.iter().filter(|(_, until)| now < *until);
        held.map(|(count, _)| *count).sum()
    }

    /// Takes over what was granted.
    pub fn add_grant(&mut self, granted: GrantedQuota) {
        self.held.push_back((granted.count, granted.requested_at + granted.lifetime));
        self.last_grant = granted.count;
        self.exhausted_until = None;
        self.exhausted_since = None;
    }

    /// Notes that nothing was left.
    pub fn note_exhausted(&mut self, now: Instant, until: Instant) {
        self.exhausted_since = self.exhausted_since.or(Some(now));
        self.exhausted_until = Some(until);
    }

    /// Notes that a caller asks for an operation.
    pub fn note_demand(&mut self, now: Instant) {
        let over = RATE_WINDOW.as_secs_f64();
        if let Some(last_at) = self.last_at {
            let gap = now.saturating_duration_since(last_at).as_secs_f64();
            self.rate_per_s *= (-gap / over).exp();
        }
        self.rate_per_s += 1.0 / over;
        self.last_at = Some(now);
    }
}
