//! What a daemon has observed of a group's servers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{LogPoint, Position, ServerId, ServerStatus, Term};
use routing::PrimaryView;
use session::{StalenessSamples, TermHistory};

/// Samples of the primary's position kept for each group.
const MAX_SAMPLES: usize = 256;

/// The last observation of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedServer {
    pub(crate) status: Option<Arc<ServerStatus>>,
    /// When the status was requested.
    pub(crate) requested_at: Option<Instant>,
    /// Since when the server has not answered, or `None` while it answers.
    pub(crate) silent_since: Option<Instant>,
}

/// The observed state of a group.
#[derive(Debug)]
pub(crate) struct GroupView {
    pub(crate) servers: Vec<ObservedServer>,
    pub(crate) history: TermHistory,
    pub(crate) samples: StalenessSamples,
    pub(crate) primary: Option<ServerId>,
    pub(crate) term: Term,
    /// Until when a planned switch holds back new transactions.
    pub(crate) held_until: Option<Instant>,
    pub(crate) watched_since: Instant,
}

impl GroupView {
    pub(crate) fn new(servers: usize, now: Instant) -> GroupView {
        GroupView {
            servers: vec![ObservedServer::default(); servers],
            history: TermHistory::default(),
            samples: StalenessSamples::new(MAX_SAMPLES),
            primary: None,
            term: Term::default(),
            held_until: None,
            watched_since: now,
        }
    }

    /// Records a status. Returns whether the primary or the term changed.
    pub(crate) fn record_status(
        &mut self,
        server: ServerId,
        status: Arc<ServerStatus>,
        requested_at: Instant,
    ) -> bool {
        let observed = &mut self.servers[server.index()];
        if observed.requested_at.is_some_and(|known_at| known_at > requested_at) {
            return false;
        }
        self.history.replace_if_newer(&TermHistory::new(status.term_starts.clone()));
        observed.status = Some(status);
        observed.requested_at = Some(requested_at);
        observed.silent_since = None;
        self.update_primary()
    }

    /// Whether the last recorded status of a server already covers a status.
    pub(crate) fn is_already_known(&self, server: ServerId, status: &ServerStatus) -> bool {
        let observed = &self.servers[server.index()];
        observed.silent_since.is_none()
            && observed.status.as_ref().is_some_and(|last| {
                last.promised_term == status.promised_term
                    && last.log_term == status.log_term
                    && last.applied_position >= status.applied_position
                    && last.held_position >= status.held_position
                    && last.role == status.role
            })
    }

    /// Records that a server did not answer.
    pub(crate) fn record_silence(&mut self, server: ServerId, now: Instant) {
        let observed = &mut self.servers[server.index()];
        if observed.silent_since.is_none() {
            observed.silent_since =
                Some(observed.requested_at.unwrap_or(self.watched_since).min(now));
        }
    }

    /// Sets the primary to the server that leads in the newest term. Returns whether the primary or
    /// the term changed.
    ///
    /// A leader is ignored once a majority of the servers is sealed above its term, since none of its
    /// writes could be acknowledged.
    fn update_primary(&mut self) -> bool {
        let before = (self.primary, self.term);
        let leading = self
            .servers
            .iter()
            .enumerate()
            .filter_map(|(index, observed)| {
                let status = observed.status.as_ref().filter(|status| status.leads())?;
                Some((status.log_term, index))
            })
            .max();
        self.primary = leading
            .filter(|(term, _)| *term >= self.term && !self.is_sealed_above(*term))
            .map(|(_, index)| ServerId::from_index(index));
        if let Some((term, _)) = leading {
            self.term = self.term.max(term);
        }
        (self.primary, self.term) != before
    }

    fn is_sealed_above(&self, term: Term) -> bool {
        let sealed = self.statuses().filter(|(_, status)| status.promised_term > term).count();
        sealed > self.servers.len() / 2
    }

    pub(crate) fn statuses(&self) -> impl Iterator<Item = (ServerId, &Arc<ServerStatus>)> {
        self.servers.iter().enumerate().filter_map(|(index, observed)| {
            Some((ServerId::from_index(index), observed.status.as_ref()?))
        })
    }

    /// Whether a server answered the last query.
    pub(crate) fn is_responding(&self, server: ServerId) -> bool {
        let observed = &self.servers[server.index()];
        observed.silent_since.is_none() && observed.status.is_some()
    }

    pub(crate) fn applied(&self, server: ServerId) -> LogPoint {
        let status = self.servers[server.index()].status.as_ref();
        status.map(|status| status.applied()).unwrap_or_default()
    }

    /// Returns the view from which writes are admitted. `usable` is whether the primary may get new
    /// work.
    pub(crate) fn primary_view(&self, usable: bool, now: Instant) -> PrimaryView {
        let held = self.held_until.is_some_and(|until| until > now);
        let in_term = |status: &ServerStatus| status.promised_term == self.term;
        let answering = self
            .statuses()
            .filter(|(server, status)| self.is_responding(*server) && in_term(status))
            .count();
        let mut positions: Vec<Position> = self
            .statuses()
            .filter(|(_, status)| status.log_term == self.term)
            .map(|(_, status)| status.held_position)
            .collect();
        positions.sort_unstable_by(|left, right| right.cmp(left));
        let majority = self.servers.len() / 2 + 1;
        let primary_position = self.primary.and_then(|primary| {
            self.servers[primary.index()].status.as_ref().map(|status| status.held_position)
        });
        PrimaryView {
            primary: self.primary,
            term: self.term,
            usable: usable && !held,
            primary_position: primary_position.unwrap_or_default(),
            majority_position: positions.get(majority - 1).copied().unwrap_or_default(),
            answering,
            majority,
        }
    }

    /// Returns for how long a server has not answered.
    pub(crate) fn silent_for(&self, server: ServerId, now: Instant) -> Option<Duration> {
        let since = self.servers[server.index()].silent_since?;
        Some(now.saturating_duration_since(since))
    }
}
