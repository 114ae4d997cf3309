//! What daemons tell and ask each other beside the store's changes: where primaries' logs stand, and that the
//! replicas of a group are too far behind.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;
use rand::seq::IndexedRandom;

use crate::{
    control::{
        adapter::Adapter,
        peers::{FollowRequest, PrimarySample, SampleMessage},
        runner::Control,
    },
    metadata::Revision,
};

/// How often the holder of the duty is told at the most that the replicas of a service are behind; it counts a
/// report for twice as long.
const BEHIND_TOLD_EVERY: Duration = Duration::from_millis(300);
/// How often another zone is asked for samples at the most; a fraction of the bounds that routes name.
const SAMPLES_ASKED_EVERY: Duration = Duration::from_millis(200);

impl<P: Adapter> Control<P> {
    /// Tells whoever promotes that the replicas of a service are too far behind for the reads there are. Its
    /// own callers may ask that service little, and then it would not notice for seconds.
    pub(crate) fn report_replicas_behind(self: &Rc<Self>, service: Name) {
        let now = Instant::now();
        if self.held_promoter_lease().is_some() {
            self.note_replicas_behind(service);
            return;
        }
        let Some(holder) = self.promoter_address() else { return };
        let told_at = self.state.borrow_mut().behind_reported_at.insert(service.clone(), now);
        if told_at.is_some_and(|at| now.duration_since(at) < BEHIND_TOLD_EVERY) {
            // The time of the report that was sent counts, not of those that were not.
            self.state.borrow_mut().behind_reported_at.insert(service, told_at.unwrap_or(now));
            return;
        }
        let request = FollowRequest { behind: vec![service.to_string()], ..self.bare_question() };
        let control = self.clone();
        tokio::task::spawn_local(async move {
            // One that does not answer is passed over for a while and logged where it matters.
            let _ = control.requester.ask(holder, &request, false).await;
        });
    }

    /// Notes such a report, and looks whether the lead should move.
    pub(crate) fn note_replicas_behind(&self, service: Name) {
        self.state.borrow_mut().replicas_behind_at.insert(service, Instant::now());
        self.mirror_changed.notify_waiters();
    }

    /// Returns where the daemon that holds the duty to promote is asked, if that is another one.
    fn promoter_address(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let item = state.mirror.get(&self.promoter_key())?;
        let value = std::str::from_utf8(&item.value).ok()?;
        let (holder, _) = value.split_once(' ')?;
        let member = state.members.get(holder)?;
        let is_silent = |address: &SocketAddr| self.requester.is_silent(*address, Instant::now());
        member.peer_address.filter(|address| !is_silent(address))
    }

    /// A question that wants no news of the store.
    fn bare_question(&self) -> FollowRequest {
        FollowRequest {
            host: self.settings.host.to_string(),
            applied_revision: Revision::MAX.number(),
            received_revision: Revision::MAX.number(),
            era: Revision::MAX.era().0,
            received_era: Revision::MAX.era().0,
            ..FollowRequest::default()
        }
    }

    /// Asks a daemon of another zone where the primaries' logs stand. After a restart a server may count
    /// so many former connections for 3 s that none of a zone's daemons gets one to the primary; with a
    /// sample from elsewhere their reads run at replicas meanwhile instead of being refused.
    pub(crate) fn request_samples(self: &Rc<Self>) {
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            let asked_at = state.samples_requested_at;
            if asked_at.is_some_and(|at| now.duration_since(at) < SAMPLES_ASKED_EVERY) {
                return;
            }
            state.samples_requested_at = Some(now);
        }
        let peers = self.other_zones_readers(now);
        let request = self.bare_question();
        let Some(peer) = peers.choose(&mut rand::rng()).copied() else { return };
        let control = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = Instant::now();
            let Some(mut answer) = control.requester.ask(peer, &request, false).await else {
                return;
            };
            let samples = answer.take_contents(sent_at).samples;
            log::debug!(
                event = "samples_heard", peer = peer.to_string().as_str(), samples = samples.len();
                "a daemon of another zone told where primaries' logs stand"
            );
            control.merge_samples(samples);
            control.publish();
        });
    }

    /// Returns the first daemon of each other zone, which knows the samples of all of its zone.
    fn other_zones_readers(&self, now: Instant) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let mut zones = vec![self.settings.availability_zone.to_string()];
        let mut readers = Vec::new();
        for member in state.members.values() {
            let Some(address) = member.peer_address else { continue };
            if !zones.contains(&member.availability_zone) && !self.requester.is_silent(address, now)
            {
                zones.push(member.availability_zone.clone());
                readers.push(address);
            }
        }
        readers
    }

    /// Returns the samples that were taken after the reader's last answer came.
    pub(crate) fn samples_since(&self, heard_at: Option<Instant>) -> Vec<SampleMessage> {
        let Some(heard_at) = heard_at else { return Vec::new() };
        let state = self.state.borrow();
        let samples = state.samples.iter();
        samples.filter_map(|(service, sample)| sample.to_message_since(service, heard_at)).collect()
    }

    /// Keeps the latest sample of each primary's log.
    pub(crate) fn merge_samples(&self, samples: impl IntoIterator<Item = (Name, PrimarySample)>) {
        let mut state = self.state.borrow_mut();
        for (service, sample) in samples {
            let known = state.samples.get(&service);
            if known.is_none_or(|known| known.asked_at < sample.asked_at) {
                Arc::make_mut(&mut state.samples).insert(service, sample);
            }
        }
    }
}
