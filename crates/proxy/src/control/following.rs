//! Follows the store through another daemon of the zone, and serves the daemons that follow through this one.
//!
//! If every daemon watched the store itself, each change would cost one store call per daemon. See
//! `docs/PLATFORM.md`, "Following the store".

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::Name;
use overload::ZoneDistance;
use tokio::net::TcpListener;

use crate::{
    control::{
        adapter::Adapter,
        mirror::StoreUpdates,
        peer_link::{SplitAnswer, serve_peers},
        peers::{
            ClockMessage, DaemonKeys, FollowAnswer, FollowRequest, ReadEffect, StoreRead,
            TunnelRequest, evaluate_read,
        },
        runner::{Control, ServingRequest},
        tree::{TreeMember, select_upstream},
    },
    metadata::{Change, MetadataStore, Revision, Snapshot},
};

/// How long a request to the upstream may wait for updates; slightly longer than the interval between two store
/// reads, each of which is an update.
const UPDATE_WAIT: Duration = Duration::from_millis(750);
/// Factor of `right_ms` for which a shared read replaces a read of this daemon's own; the rest is left for reading
/// the store.
const SHARED_READ_TTL_FACTOR: f64 = 0.7;
/// Factor of `right_ms` after which a shared read is too old to renew primary leases.
const USEFUL_READ_FACTOR: f64 = 0.5;

/// What this daemon has received from its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamProgress {
    pub(crate) upstream: Option<SocketAddr>,
    pub(crate) received_revision: Revision,
    pub(crate) read_number: u64,
    pub(crate) evidence_number: u64,
    /// When the last received read was requested.
    pub(crate) read_at: Option<Instant>,
    /// The upstream's clock in its last answer, and when that answer arrived.
    pub(crate) clock: Option<(ClockMessage, Instant)>,
}

/// Older samples are not sent to followers. No configuration allows reads with such old samples.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(3);

impl<P: Adapter> Control<P> {
    /// Returns the daemon through which this one follows the store. `None` if it reads the store itself, as the first
    /// daemon of the fleet and the promoter do.
    pub(crate) fn upstream(&self) -> Option<SocketAddr> {
        if self.held_promoter_lease().is_some() {
            return None;
        }
        let now = Instant::now();
        let state = self.state.borrow();
        // A link between regions may be congested while the store is reachable, so an upstream in another region is
        // used only while the store does not answer.
        let crosses_regions = state.is_store_silent(self.store_silence_timeout());
        let candidates: Vec<TreeMember<'_>> = state
            .members
            .iter()
            .filter_map(|(host, member)| {
                let address = member.peer_address?;
                let availability_zone = &member.availability_zone;
                let distance = self.settings.layout.distance(availability_zone);
                let is_allowed = distance < ZoneDistance::OtherRegion || crosses_regions;
                let is_silent = self.requester.is_unresponsive(address, now);
                (is_allowed && !is_silent).then_some(TreeMember {
                    host,
                    availability_zone,
                    address,
                })
            })
            .collect();
        select_upstream(&candidates, &self.settings.host, &self.settings.availability_zone)
    }

    /// Whether another daemon's store read is recent enough that this daemon need not read the store.
    pub(crate) fn has_fresh_shared_read(&self) -> bool {
        let ttl = self.primary_lease_duration().mul_f64(SHARED_READ_TTL_FACTOR);
        let state = self.state.borrow();
        state.shared_read_at.is_some_and(|at| at.elapsed() < ttl)
    }

    /// Returns the maximum age of this daemon's store data, in milliseconds; 0 before the first read, when no caller
    /// is served.
    pub(crate) fn store_data_age_ms(&self) -> u64 {
        let age = self.state.borrow().freshness.age(Instant::now());
        age.map_or(0, |age| age.as_millis() as u64)
    }

    /// Logs a change of upstream, so that a missing change can be traced.
    pub(crate) fn log_upstream(&self, before: Option<SocketAddr>, now: Option<SocketAddr>) {
        let name =
            |upstream: Option<SocketAddr>| upstream.map_or("store".to_owned(), |it| it.to_string());
        log::info!(
            event = "following", peer = name(now).as_str(), before = name(before).as_str(),
            knowledge_age_ms = self.store_data_age_ms(),
            revision = self.state.borrow().mirror.applied_revision().number();
            "the upstream for store updates changed"
        );
    }

    /// Excludes the upstream if its reads are old although the store answers this daemon.
    pub(crate) fn drop_stale_upstream(&self) {
        let upstream_progress = self.state.borrow().upstream_progress;
        let ttl = self.primary_lease_duration().mul_f64(SHARED_READ_TTL_FACTOR);
        let is_old = upstream_progress.read_at.is_none_or(|at| at.elapsed() > ttl);
        // The upstream sends its next read only after the changes that are still being received.
        let is_old = is_old && self.requester.receiving_for(Instant::now()).is_none();
        if let Some(upstream) = upstream_progress.upstream.filter(|_| is_old) {
            log::info!(
                event = "peer_behind", peer = upstream.to_string().as_str();
                "the upstream does not reach the store and is excluded for a while"
            );
            self.requester.exclude(upstream, Instant::now());
            self.state.borrow_mut().upstream_progress = UpstreamProgress::default();
        }
    }

    /// Requests updates from the upstream once and applies them.
    pub(crate) async fn follow_upstream(&self, upstream: SocketAddr) {
        let upstream_progress = {
            let mut state = self.state.borrow_mut();
            if state.upstream_progress.upstream != Some(upstream) {
                state.upstream_progress =
                    UpstreamProgress { upstream: Some(upstream), ..UpstreamProgress::default() };
            }
            state.upstream_progress
        };
        let applied_revision = self.state.borrow().mirror.applied_revision();
        let request = FollowRequest {
            host: self.settings.host.to_string(),
            applied_revision: applied_revision.number(),
            era: applied_revision.era().0,
            received_revision: upstream_progress.received_revision.number(),
            received_era: upstream_progress.received_revision.era().0,
            read_number: upstream_progress.read_number,
            evidence_number: upstream_progress.evidence_number,
            wait_ms: UPDATE_WAIT.as_millis() as u64,
            last_clock: upstream_progress.clock.map(|(clock, _)| clock),
            samples: self
                .samples_since(upstream_progress.clock.map(|(_, answered_at)| answered_at)),
            behind: Vec::new(),
            accepts_compressed: true,
        };
        let sent_at = Instant::now();
        let is_starting = !self.state.borrow().store_loaded;
        match self.requester.request(upstream, &request, is_starting).await {
            Some(answer) => self.apply_answer(answer, sent_at),
            None => {
                log::info!(
                    event = "peer_silent", peer = upstream.to_string().as_str();
                    "the upstream did not answer and is excluded for a while"
                );
                self.state.borrow_mut().upstream_progress = UpstreamProgress::default();
            }
        }
    }

    fn apply_answer(&self, mut answer: FollowAnswer, sent_at: Instant) {
        let contents = answer.take_contents(sent_at);
        self.store.record_era(answer.era());
        let read = answer.store_read.take();
        {
            let mut state = self.state.borrow_mut();
            state.upstream_progress.received_revision = answer.revision(answer.received_revision);
            state.upstream_progress.evidence_number = answer.evidence_number;
            state.upstream_progress.clock = answer.clock.map(|clock| (clock, Instant::now()));
        }
        self.apply_updates(contents.updates);
        {
            let mut state = self.state.borrow_mut();
            let daemon_keys_revision = answer.revision(answer.daemon_keys_revision);
            state.daemon_keys_revision = state.daemon_keys_revision.max(daemon_keys_revision);
        }
        if let Some(message) = read
            && let Some(read) = message.to_store_read(answer.made_at(sent_at), answer.era())
        {
            {
                let mut state = self.state.borrow_mut();
                state.upstream_progress.read_number = message.number;
                state.upstream_progress.read_at = Some(read.asked_at);
            }
            self.apply_shared_read(read);
            self.report_and_probe_suspicions();
        }
        for evidence in contents.evidence {
            self.accept_evidence(&evidence);
        }
        self.merge_samples(contents.samples);
        self.updates_available.notify_waiters();
        self.update_seen_members(Instant::now());
        self.publish();
    }

    /// Applies another daemon's store read and renews the primary leases that it covers.
    fn apply_shared_read(&self, read: StoreRead) {
        let now = Instant::now();
        self.state.borrow_mut().on_observed_revision(&read);
        let useful_for = self.primary_lease_duration().mul_f64(USEFUL_READ_FACTOR);
        let evaluated = evaluate_read(&read, now, useful_for, &self.daemon_keys());
        let ReadEffect::Renews(services) = evaluated else { return };
        let has_recovered = {
            let mut state = self.state.borrow_mut();
            state.shared_read_at = Some(read.asked_at);
            state.keep_latest_read(read);
            state.on_store_read(now, self.store_silence_timeout())
        };
        if has_recovered {
            self.reprobe_suspected_servers();
        }
        self.grant_primary_leases(read.asked_at, Some(&services));
    }

    /// Returns the revisions of the daemon keys that this daemon has.
    pub(crate) fn daemon_keys(&self) -> DaemonKeys {
        let state = self.state.borrow();
        DaemonKeys {
            applied_revision: state.daemon_keys_revision,
            member: state.mirror.get(&self.member_key()).map(|item| item.revision),
            records: state
                .records
                .iter()
                .map(|(service, known)| (service.clone(), known.revision))
                .collect(),
        }
    }

    fn apply_updates(&self, updates: StoreUpdates) {
        let StoreUpdates { changes, is_whole, applied_revision } = updates;
        let changes = if is_whole {
            let items = changes.into_iter().filter_map(|change| match change {
                Change::Put(item) => Some(item),
                Change::Removed { .. } => None,
            });
            let snapshot = Snapshot { items: items.collect(), revision: applied_revision };
            self.enter_era(applied_revision);
            self.state.borrow().mirror.changes_to("", snapshot)
        } else {
            changes
        };
        self.apply_changes(changes);
        self.state.borrow_mut().on_applied(applied_revision);
    }

    /// Answers a follower as soon as there are updates for it.
    pub(crate) async fn answer_follower(&self, request: FollowRequest) -> SplitAnswer {
        let received_at = Instant::now();
        // The follower may have learned of a restore from another zone first.
        self.store.record_era(request.applied().era());
        self.merge_samples(request.local_samples(self.incarnation, self.epoch, received_at));
        for service in &request.behind {
            self.on_replicas_behind(Name::from(service.as_str()));
        }
        let until = received_at + Duration::from_millis(request.wait_ms).min(UPDATE_WAIT);
        loop {
            let updates = self.updates_available.notified();
            tokio::pin!(updates);
            // Registered before the check, so that no update is missed between the check and the wait.
            updates.as_mut().enable();
            if self.has_updates_for(&request) || Instant::now() >= until {
                return self.build_answer(&request, received_at);
            }
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = updates => {}
            }
        }
    }

    fn has_updates_for(&self, request: &FollowRequest) -> bool {
        let state = self.state.borrow();
        state.urgent_revision > request.applied().max(request.received())
            || state.read_number != request.read_number
            || state.evidence_number != request.evidence_number
    }

    fn build_answer(&self, request: &FollowRequest, received_at: Instant) -> SplitAnswer {
        let now = Instant::now();
        let state = self.state.borrow();
        let read = state.latest_read.filter(|_| state.read_number != request.read_number);
        // Only the promoter needs the `stopped/` keys, and it reads the store itself.
        let stopped = self.key("stopped/");
        let is_wanted = |change: &Change| !change.key().starts_with(&stopped);
        let is_starting = request.accepts_compressed && request.applied_revision == 0;
        let snapshot = (is_starting && state.mirror.applied_revision() > Revision::ABSENT)
            .then(|| self.compressor.snapshot(&state.mirror, now, is_wanted))
            // If removals since the snapshot are no longer recorded, all keys are sent uncompressed.
            .filter(|snapshot| !state.mirror.updates_since(snapshot.applied_revision).is_whole);
        let sent_revision =
            snapshot.as_ref().map_or(request.applied(), |snapshot| snapshot.applied_revision);
        let updates = state.mirror.updates_since(sent_revision);
        let changes: Vec<_> = updates.changes.into_iter().filter(is_wanted).collect();
        let span = (sent_revision, updates.applied_revision);
        let changes: Vec<_> =
            changes.into_iter().map(|change| self.compressor.compress(change)).collect();
        let (changes, compressed) = match snapshot {
            Some(snapshot) => (changes, snapshot.compressed),
            None if request.accepts_compressed => self.compressor.compress_batch(span, changes),
            None => (changes, Bytes::new()),
        };
        let answer = FollowAnswer {
            held_ms: now.duration_since(received_at).as_millis() as u64,
            store_read: read.map(|read| read.to_message(state.read_number, now)),
            changes,
            is_whole: updates.is_whole,
            applied_revision: updates.applied_revision.number(),
            received_revision: state.mirror.last_revision().number(),
            era: state.mirror.era().0,
            // Set by `FollowAnswer::split`.
            changes_follow: false,
            daemon_keys_revision: state.daemon_keys_revision.number(),
            evidence: state
                .evidence
                .iter()
                .filter(|it| now.duration_since(it.asked_at) < self.evidence_duration())
                .map(|it| it.to_message(now))
                .collect(),
            evidence_number: state.evidence_number,
            clock: Some(ClockMessage {
                incarnation: self.incarnation,
                at_ms: now.duration_since(self.epoch).as_millis() as u64,
            }),
            samples: state
                .samples
                .iter()
                .filter(|(_, sample)| now.duration_since(sample.asked_at) < MAX_SAMPLE_AGE)
                .map(|(service, sample)| sample.to_message(service, now))
                .collect(),
        };
        answer.split(compressed)
    }

    /// Returns the address of the server that a tunnel is requested to; `None` while this daemon stops, because its
    /// connections are about to close.
    fn server_address(&self, request: &TunnelRequest) -> Option<SocketAddr> {
        if self.stopping.borrow().is_some() {
            return None;
        }
        let state = self.state.borrow();
        let entries = state.published_servers.get(&*request.service)?;
        let entry = entries.iter().find(|entry| *entry.server == *request.server)?;
        Some(entry.address)
    }

    /// Answers the requests of other daemons.
    pub(crate) async fn peer_loop(self: Rc<Self>, listener: Option<std::net::TcpListener>) {
        let Some(listener) = listener else { return };
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                let control = self.clone();
                let answer = async move |request| control.answer_follower(request).await;
                let control = self.clone();
                let find_server = move |request: &TunnelRequest| control.server_address(request);
                let serving_requests = self.serving_requests.clone();
                let pass_link = move |link| {
                    // If the queue is full, the serving thread is overloaded; the other daemon will reconnect.
                    if serving_requests.try_send(ServingRequest::Relay(link)).is_err() {
                        log::info!(event = "relay_refused"; "closed the connection of another daemon; the serving thread did not accept it");
                    }
                };
                serve_peers(listener, answer, find_server, pass_link).await;
            }
            Err(error) => log::error!(
                event = "listen_failed", why = error.to_string().as_str();
                "requests of other daemons can't be answered"
            ),
        }
    }
}
