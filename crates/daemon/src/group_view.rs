//! What a daemon knows of a group's servers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{LogPoint, Position, ServerId, ServerStatus, Term};
use routing::PrimaryView;
use session::{StalenessSamples, TermHistory};

/// Samples of the primary's position that are kept for each group.
const MAX_SAMPLES: usize = 256;

/// What is known of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedServer {
    /// Its last status.
    pub(crate) status: Option<Arc<ServerStatus>>,
    /// When that was asked for.
    pub(crate) asked_at: Option<Instant>,
    /// Since when it has not answered; `None` while it answers.
    pub(crate) silent_since: Option<Instant>,
}

/// What is known of a group.
#[derive(Debug)]
pub(crate) struct GroupView {
    pub(crate) servers: Vec<ObservedServer>,
    pub(crate) history: TermHistory,
    pub(crate) samples: StalenessSamples,
    pub(crate) primary: Option<ServerId>,
    pub(crate) term: Term,
    /// Until when a planned switch holds new transactions back.
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

    /// Notes a status. Returns whether the group's primary or term changed with it.
    pub(crate) fn record_status(
        &mut self,
        server: ServerId,
        status: Arc<ServerStatus>,
        asked_at: Instant,
    ) -> bool {
        let known = &mut self.servers[server.index()];
        if known.asked_at.is_some_and(|known_at| known_at > asked_at) {
            return false;
        }
        self.history.replace_if_newer(&TermHistory::new(status.term_starts.clone()));
        known.status = Some(status);
        known.asked_at = Some(asked_at);
        known.silent_since = None;
        self.update_primary()
    }

    /// Whether a status tells nothing that is not known, so that it need not be noted.
    pub(crate) fn is_already_known(&self, server: ServerId, status: &ServerStatus) -> bool {
        let known = &self.servers[server.index()];
        known.silent_since.is_none()
            && known.status.as_ref().is_some_and(|known| {
                known.promised_term == status.promised_term
                    && known.log_term == status.log_term
                    && known.applied_position >= status.applied_position
                    && known.held_position >= status.held_position
                    && known.role == status.role
            })
    }

    /// Notes that a server did not answer.
    pub(crate) fn record_silence(&mut self, server: ServerId, now: Instant) {
        let known = &mut self.servers[server.index()];
        if known.silent_since.is_none() {
            known.silent_since = Some(known.asked_at.unwrap_or(self.watched_since).min(now));
        }
    }

    /// Finds the server that leads in the newest term.
    ///
    /// A claim to lead counts for nothing once a majority is sealed above its term: no write there
    /// could be acknowledged, so none is sent.
    fn update_primary(&mut self) -> bool {
        let before = (self.primary, self.term);
        let leading = self
            .servers
            .iter()
            .enumerate()
            .filter_map(|(index, known)| {
                let status = known.status.as_ref().filter(|status| status.leads())?;
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
        self.servers.iter().enumerate().filter_map(|(index, known)| {
            Some((ServerId::from_index(index), known.status.as_ref()?))
        })
    }

    /// Whether a server answered when it was last asked.
    pub(crate) fn is_responding(&self, server: ServerId) -> bool {
        let known = &self.servers[server.index()];
        known.silent_since.is_none() && known.status.is_some()
    }

    pub(crate) fn applied(&self, server: ServerId) -> LogPoint {
        let status = self.servers[server.index()].status.as_ref();
        status.map(|status| status.applied()).unwrap_or_default()
    }

    /// Returns what the admission of a write needs; `usable` is for the primary.
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

    /// How long a server has not answered.
    pub(crate) fn silent_for(&self, server: ServerId, now: Instant) -> Option<Duration> {
        let since = self.servers[server.index()].silent_since?;
        Some(now.saturating_duration_since(since))
    }
}
