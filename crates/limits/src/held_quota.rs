//! The quota of an account's limit that a daemon holds.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A daemon requests quota for this time ahead, at the current rate. The longer it is, the fewer requests are sent, but
/// the more quota expires unused when the callers move to other daemons.
const REQUEST_AHEAD: Duration = Duration::from_millis(200);
/// The next request is sent when this share of the last grant is left.
const LOW_SHARE: f64 = 0.4;
/// How long an account must have been at its limit before its operations are refused at once. Longer than a new
/// coordinator, which has no saved tokens, needs to grant quota.
const SUSTAINED_AFTER: Duration = Duration::from_millis(250);
/// Time constant of the moving average of the rate of operations.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Whether an operation may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// The operation may run.
    Allowed {
        /// Whether to request more quota now, ahead of need.
        request_ahead: bool,
    },
    /// No quota is held; request it from the coordinator.
    RequestQuota,
    /// The account is at its limit.
    AtLimit {
        /// When quota may be requested again.
        until: Instant,
        /// Whether the account has been at its limit for so long that further operations should be refused at once.
        is_sustained: bool,
    },
}

/// Quota granted by the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedQuota {
    /// Number of operations.
    pub count: u32,
    /// When the quota was requested, by this daemon's clock. It expires `lifetime` after that.
    pub requested_at: Instant,
    /// The lifetime of the quota.
    pub lifetime: Duration,
}

/// The quota of one account's limit that this daemon holds.
#[derive(Clone, Debug, Default)]
pub struct HeldQuota {
    /// Unused operations and their expiry, the oldest first. The expiry is never extended, because a new coordinator
    /// does not know of the grant.
    held: VecDeque<(u32, Instant)>,
    last_grant: u32,
    exhausted_until: Option<Instant>,
    exhausted_since: Option<Instant>,
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

    /// Returns the number of unused operations and the number to request, if `waiting` operations wait for quota.
    pub fn request_amounts(&self, waiting: u32, now: Instant) -> (u32, u32) {
        let ahead = (self.rate_per_s * REQUEST_AHEAD.as_secs_f64()).round() as u32;
        (self.unused(now), (waiting + ahead).max(1))
    }

    fn unused(&self, now: Instant) -> u32 {
        let held = self.held.iter().filter(|(_, until)| now < *until);
        held.map(|(count, _)| *count).sum()
    }

    /// Adds granted quota.
    pub fn add_grant(&mut self, granted: GrantedQuota) {
        self.held.push_back((granted.count, granted.requested_at + granted.lifetime));
        self.last_grant = granted.count;
        self.exhausted_until = None;
        self.exhausted_since = None;
    }

    /// Records that no quota is left.
    pub fn record_exhausted(&mut self, now: Instant, until: Instant) {
        self.exhausted_since = self.exhausted_since.or(Some(now));
        self.exhausted_until = Some(until);
    }

    /// Records that a caller requests an operation.
    pub fn record_demand(&mut self, now: Instant) {
        let window_s = RATE_WINDOW.as_secs_f64();
        if let Some(last_at) = self.last_at {
            let gap = now.saturating_duration_since(last_at).as_secs_f64();
            self.rate_per_s *= (-gap / window_s).exp();
        }
        self.rate_per_s += 1.0 / window_s;
        self.last_at = Some(now);
    }
}
