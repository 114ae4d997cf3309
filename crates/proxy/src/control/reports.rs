//! Reports between daemons other than store changes: samples of primaries' logs, and groups whose replicas are too
//! far behind.

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

/// Shortest interval between reports to the promoter that a service's replicas are behind; the promoter uses a report
/// for twice as long.
const BEHIND_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest interval between requests for samples from another zone; a fraction of the staleness bounds of routes.
const SAMPLE_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl<P: Adapter> Control<P> {
    /// Reports to the promoter that a service's replicas are too far behind for its reads. The promoter itself may not
    /// notice this if its callers rarely use the service.
    pub(crate) fn report_replicas_behind(self: &Rc<Self>, service: Name) {
        let now = Instant::now();
        if self.held_promoter_lease().is_some() {
            self.on_replicas_behind(service);
            return;
        }
        let Some(promoter) = self.promoter_address() else { return };
        let reported_at = self.state.borrow_mut().behind_reported_at.insert(service.clone(), now);
        if reported_at.is_some_and(|at| now.duration_since(at) < BEHIND_REPORT_INTERVAL) {
            // No report is sent now, so the time of the last one is restored.
            self.state.borrow_mut().behind_reported_at.insert(service, reported_at.unwrap_or(now));
            return;
        }
        let request =
            FollowRequest { behind: vec![service.to_string()], ..self.request_without_updates() };
        let control = self.clone();
        tokio::task::spawn_local(async move {
            // If the promoter does not answer, the requester excludes it from requests for some seconds.
            let _ = control.requester.request(promoter, &request, false).await;
        });
    }

    /// Records that a service's replicas are behind, and wakes the promoter to check whether to move the leader.
    pub(crate) fn on_replicas_behind(&self, service: Name) {
        self.state.borrow_mut().replicas_behind_at.insert(service, Instant::now());
        self.mirror_changed.notify_waiters();
    }

    /// Returns the request address of the promoter, if it is another daemon.
    fn promoter_address(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let item = state.mirror.get(&self.promoter_key())?;
        let value = std::str::from_utf8(&item.value).ok()?;
        let (promoter, _) = value.split_once(' ')?;
        let member = state.members.get(promoter)?;
        let is_unresponsive =
            |address: &SocketAddr| self.requester.is_unresponsive(*address, Instant::now());
        member.peer_address.filter(|address| !is_unresponsive(address))
    }

    /// Returns a request that does not ask for store updates.
    fn request_without_updates(&self) -> FollowRequest {
        FollowRequest {
            host: self.settings.host.to_string(),
            applied_revision: Revision::MAX.number(),
            received_revision: Revision::MAX.number(),
            era: Revision::MAX.era().0,
            received_era: Revision::MAX.era().0,
            ..FollowRequest::default()
        }
    }

    /// Requests log samples from a daemon of another zone. After a restart, a server may still count so many earlier
    /// connections that no daemon of this zone gets one to the primary. With samples from another zone, reads can run
    /// at replicas meanwhile.
    pub(crate) fn request_samples(self: &Rc<Self>) {
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            let requested_at = state.samples_requested_at;
            if requested_at.is_some_and(|at| now.duration_since(at) < SAMPLE_REQUEST_INTERVAL) {
                return;
            }
            state.samples_requested_at = Some(now);
        }
        let peers = self.other_zone_peers(now);
        let request = self.request_without_updates();
        let Some(peer) = peers.choose(&mut rand::rng()).copied() else { return };
        let control = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = Instant::now();
            let Some(mut answer) = control.requester.request(peer, &request, false).await else {
                return;
            };
            let samples = answer.take_contents(sent_at).samples;
            log::debug!(
                event = "samples_heard", peer = peer.to_string().as_str(), samples = samples.len();
                "received log samples of primaries from another zone"
            );
            control.merge_samples(samples);
            control.publish();
        });
    }

    /// Returns the first daemon of each other zone, which holds the samples of its zone.
    fn other_zone_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let mut zones = vec![self.settings.availability_zone.to_string()];
        let mut peers = Vec::new();
        for member in state.members.values() {
            let Some(address) = member.peer_address else { continue };
            if !zones.contains(&member.availability_zone)
                && !self.requester.is_unresponsive(address, now)
            {
                zones.push(member.availability_zone.clone());
                peers.push(address);
            }
        }
        peers
    }

    /// Returns the samples that were taken after the upstream's last answer arrived.
    pub(crate) fn samples_since(&self, answered_at: Option<Instant>) -> Vec<SampleMessage> {
        let Some(answered_at) = answered_at else { return Vec::new() };
        let state = self.state.borrow();
        let samples = state.samples.iter();
        samples
            .filter_map(|(service, sample)| sample.to_message_since(service, answered_at))
            .collect()
    }

    /// Keeps the latest sample of each primary's log.
    pub(crate) fn merge_samples(&self, samples: impl IntoIterator<Item = (Name, PrimarySample)>) {
        let mut state = self.state.borrow_mut();
        for (service, sample) in samples {
            let previous = state.samples.get(&service);
            if previous.is_none_or(|previous| previous.asked_at < sample.asked_at) {
                Arc::make_mut(&mut state.samples).insert(service, sample);
            }
        }
    }
}
