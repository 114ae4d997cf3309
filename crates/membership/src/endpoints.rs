//! Endpoints that are leaving.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// What a leaving endpoint may still be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkAllowed {
    /// Anything.
    All,
    /// Only what runs on it already.
    Running,
    /// Nothing; what still runs is cut.
    Nothing,
}

/// When each leaving endpoint was first seen to leave, by whichever sign came first.
///
/// Three signs count: the platform's host list, the operators' configuration, and the endpoint's own
/// refusal of new connections while it shuts down. The bound on new work runs from the first.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpoints {
    since: HashMap<SocketAddr, Instant>,
}

impl LeavingEndpoints {
    /// Notes a sign that an endpoint is leaving; only the first one counts.
    pub fn note(&mut self, address: SocketAddr, now: Instant) {
        self.since.entry(address).or_insert(now);
    }

    /// Forgets endpoints for which no sign holds any more, as when one was put back.
    pub fn retain(&mut self, mut still_leaving: impl FnMut(&SocketAddr) -> bool) {
        self.since.retain(|address, _| still_leaving(address));
    }

    /// Whether the endpoint is leaving.
    pub fn is_leaving(&self, address: &SocketAddr) -> bool {
        self.since.contains_key(address)
    }

    /// Says what an endpoint may be used for. `finish` of zero lets running work take any time.
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
