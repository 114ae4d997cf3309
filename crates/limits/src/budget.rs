//! The operations that a limit allows in a window, and their division into parts.

use std::time::Duration;

/// The limit of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained operations per second.
    pub rate_per_s: f64,
    /// Operations beyond the rate that may run at once.
    pub burst: f64,
}

/// How a limit is applied to windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowRule {
    /// The length of a window. The limit holds for every span of this length.
    pub window: Duration,
    /// Permitted excess, as a share of a window's operations.
    pub overage: f64,
    /// Further permitted excess, in operations, independent of the limit.
    pub slack: f64,
}

/// The parts of a window's operations; their sum is within the bound.
///
/// The coordinator grants the whole rate. The operations of the bound beyond the rate are divided among the causes
/// that make a window exceed the rate; see `docs/ACCOUNTS.md`, "The bound".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Operations per second that the coordinator grants.
    pub rate_per_s: f64,
    /// Maximum number of operations that the coordinator may save up.
    pub burst: f64,
    /// Maximum number of operations that may be granted and unused.
    pub outstanding: f64,
    /// Operations per window that candidates may grant before they are elected.
    pub provisional: f64,
    /// The length of a window.
    pub window: Duration,
}

impl Budget {
    /// Returns the part of the budget that a daemon with this share of the votes grants.
    pub fn scaled(&self, share: f64) -> Budget {
        Budget {
            rate_per_s: self.rate_per_s * share,
            burst: self.burst * share,
            outstanding: (self.outstanding * share).max(1.0),
            ..*self
        }
    }
}

/// The share of a window's spare operations that the coordinator may save up.
const BURST_SHARE: f64 = 0.3;
/// The share of the spare operations that may be granted and unused.
const OUTSTANDING_SHARE: f64 = 0.25;
/// The share of the spare operations for grants without a coordinator. The remaining share covers operations that are
/// delayed on their way to a server.
const PROVISIONAL_SHARE: f64 = 0.4;

impl WindowRule {
    /// Returns the maximum number of operations in any window.
    pub fn bound(&self, limit: &RateLimit) -> f64 {
        let within = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        within * (1.0 + self.overage) + self.slack
    }

    /// Divides a window's bound into its parts.
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
