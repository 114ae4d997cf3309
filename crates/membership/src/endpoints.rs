//! Endpoints that are being taken out of service.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// What a leaving endpoint may still be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkAllowed {
    /// Any work.
    All,
    /// Only work that is already running on it.
    Running,
    /// No work; what is still running is aborted.
    Nothing,
}

/// The endpoints that are leaving, each with the time of the first signal.
///
/// There are three signals: the platform's host list, the operators' configuration, and an endpoint
/// that refuses new connections because it shuts down. The time limits start with the first signal.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpoints {
    since: HashMap<SocketAddr, Instant>,
}

impl LeavingEndpoints {
    /// Records a signal that an endpoint is leaving; later signals don't change the time.
    pub fn mark_leaving(&mut self, address: SocketAddr, now: Instant) {
        self.since.entry(address).or_insert(now);
    }

    /// Keeps only the endpoints that are still leaving, for example after one was returned to service.
    pub fn retain(&mut self, mut still_leaving: impl FnMut(&SocketAddr) -> bool) {
        self.since.retain(|address, _| still_leaving(address));
    }

    /// Returns whether the endpoint is leaving.
    pub fn is_leaving(&self, address: &SocketAddr) -> bool {
        self.since.contains_key(address)
    }

    /// Returns what an endpoint may be used for: any work for `new_work` after the first signal, and
    /// only running work for `finish` after that. A `finish` of zero sets no limit.
    pub fn work_allowed(
        &self,
        address: &SocketAddr,
        new_work: Duration,
        finish: Duration,
        now: Instant,
    ) -> WorkAllowed {
        let Some(since) = self.since.get(address) else { return WorkAllowed::All };
        let leaving_for = now.saturating_duration_since(*since);
        if leaving_for < new_work {
            return WorkAllowed::All;
        }
        if !finish.is_zero() && leaving_for >= new_work + finish {
            return WorkAllowed::Nothing;
        }
        WorkAllowed::Running
    }
}
