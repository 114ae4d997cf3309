//! What a limit allows in a window, and how it is divided.

use std::time::Duration;

/// How much an account may ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Operations a second that it may ask for ever.
    pub rate_per_s: f64,
    /// Operations beyond the rate that may come at once.
    pub burst: f64,
}

/// By which windows a limit is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowRule {
    /// The length of a window; every span of that length counts.
    pub window: Duration,
    /// The part of a window's operations that may be run beyond the limit.
    pub overage: f64,
    /// Operations that may be run beyond that, whatever the limit.
    pub slack: f64,
}

/// The parts into which a limit's window is divided; their sum stays within the bound.
///
/// The rate goes to the keeper in whole. What the bound allows beyond it is divided among what makes a window hold more
/// than the rate: see `docs/ACCOUNTS.md`, "The bound".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Operations a second that the keeper lends.
    pub rate_per_s: f64,
    /// Operations that the keeper may have saved up.
    pub burst: f64,
    /// Operations that may be lent and not be used yet.
    pub outstanding: f64,
    /// Operations in a window that candidates lend who are not proved to be the keeper.
    pub provisional: f64,
    /// The length of a window.
    pub window: Duration,
}

impl Budget {
    /// Returns the part of it that a daemon lends which has that share of the members' votes.
    pub fn scaled(&self, share: f64) -> Budget {
        Budget {
            rate_per_s: self.rate_per_s * share,
            burst: self.burst * share,
            outstanding: (self.outstanding * share).max(1.0),
            ..*self
        }
    }
}

/// The part of a window's spare operations that the keeper may have saved up.
const BURST_SHARE: f64 = 0.3;
/// The part that may be lent and unused: a quarter of a second of the rate where bursts are a second of it.
const OUTSTANDING_SHARE: f64 = 0.25;
/// The part that serves accounts while there is no keeper. The rest, a twentieth, is for operations that are late on
/// their way to a server.
const PROVISIONAL_SHARE: f64 = 0.4;

impl WindowRule {
    /// Returns how many operations any window may hold.
    pub fn bound(&self, limit: &RateLimit) -> f64 {
        let within = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        within * (1.0 + self.overage) + self.slack
    }

    /// Divides a window's bound.
    pub fn budget(&self, limit: &RateLimit) -> Budget {
        let spare = self.bound(limit) - limit.rate_per_s * self.window.as_secs_f64();
        Budget {
            rate_per_s: limit.rate_per_s,
            burst: spare * BURST_SHARE,
            outstanding: (spare * OUTSTANDING_SHARE).max(1.0),
            provisional: spare * PROVISIONAL_SHARE,
            window: self.window,
        }
    }
}
