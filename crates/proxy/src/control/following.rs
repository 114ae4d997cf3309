//! Following the store through another daemon of the zone, and telling others what this one knows.
//!
//! A watch of its own on each daemon would make every change cost a call for each of them. See
//! `docs/PLATFORM.md`, "Following the store".

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::Name;
use overload::Reach;
use tokio::net::TcpListener;

use crate::{
    control::{
        adapter::Adapter,
        mirror::StoreUpdates,
        peer_link::{SplitAnswer, answer_askers},
        peers::{
            ClockMessage, FollowAnswer, FollowRequest, OwnKeys, SharedRead, StoreRead,
            TunnelRequest, evaluate_read,
        },
        runner::{Control, ServingRequest},
        tree::{TreeMember, select_upstream},
    },
    metadata::{Change, MetadataStore, Revision, Snapshot},
};

/// How long a question to the zone's reader waits for news; a little longer than the time between two
/// readings, each of which is news.
const NEWS_WAIT: Duration = Duration::from_millis(750);
/// The part of `right_ms` for which a shared reading is enough; after it the store is read, with the
/// rest of the time for that.
const SHARED_LASTS_PART: f64 = 0.7;
/// The part of `right_ms` after which a reading is of no use to another daemon.
const USEFUL_PART: f64 = 0.5;

/// How far this daemon has heard what another one tells.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamProgress {
    pub(crate) reader: Option<SocketAddr>,
    pub(crate) received_revision: Revision,
    pub(crate) read_number: u64,
    pub(crate) evidence_number: u64,
    /// When the last reading that it told of was asked for.
    pub(crate) reading_at: Option<Instant>,
    /// The reader's clock in its last answer, and when that came.
    pub(crate) clock: Option<(ClockMessage, Instant)>,
}

/// Samples older than this are not told; no configuration asks for fresher data than that by far.
const SAMPLES_TOLD_FOR: Duration = Duration::from_secs(3);

impl<P: Adapter> Control<P> {
    /// Returns the daemon of this zone that this one follows the store through; `None` if it follows the
    /// store itself, as the first of the zone does and the holder of the duty to promote.
    pub(crate) fn upstream(&self) -> Option<SocketAddr> {
        if self.held_promoter_lease().is_some() {
            return None;
        }
        let now = Instant::now();
        let state = self.state.borrow();
        // What a region hears through another one, it hears through the link between them, which a start of either
        // may fill; the store itself may be near.
        let crosses_regions = state.is_store_silent(self.store_silence_timeout());
        let askable: Vec<TreeMember<'_>> = state
            .members
            .iter()
            .filter_map(|(host, member)| {
                let address = member.peer_address?;
                let availability_zone = &member.availability_zone;
                let reach = self.settings.layout.reach(availability_zone);
                let is_near = reach < Reach::OtherRegion || crosses_regions;
                let is_silent = self.requester.is_silent(address, now);
                (is_near && !is_silent).then_some(TreeMember { host, availability_zone, address })
            })
            .collect();
        select_upstream(&askable, &self.settings.host, &self.settings.availability_zone)
    }

    /// Whether another daemon's reading of the store is young enough to need none of one's own.
    pub(crate) fn has_fresh_shared_read(&self) -> bool {
        let lasts = self.primary_lease_duration().mul_f64(SHARED_LASTS_PART);
        let state = self.state.borrow();
        state.shared_read_at.is_some_and(|at| at.elapsed() < lasts)
    }

    /// Returns how old what is known of the store may be, in milliseconds; 0 before the first reading, when nothing
    /// is served.
    pub(crate) fn knowledge_age_ms(&self) -> u64 {
        let age = self.state.borrow().freshness.age(Instant::now());
        age.map_or(0, |age| age.as_millis() as u64)
    }

    /// Says whom this daemon follows now, so that a change that did not come can be traced from its log.
    pub(crate) fn log_upstream(&self, before: Option<SocketAddr>, now: Option<SocketAddr>) {
        let name =
            |reader: Option<SocketAddr>| reader.map_or("store".to_owned(), |it| it.to_string());
        log::info!(
            event = "following", peer = name(now).as_str(), before = name(before).as_str(),
            knowledge_age_ms = self.knowledge_age_ms(), revision = self.state.borrow().mirror.applied_revision().number();
            "changes are heard from somebody else now"
        );
    }

    /// Passes the zone's reader over if its readings are old although the store answers this daemon.
    pub(crate) fn drop_stale_upstream(&self) {
        let upstream_progress = self.state.borrow().upstream_progress;
        let lasts = self.primary_lease_duration().mul_f64(SHARED_LASTS_PART);
        let is_old = upstream_progress.reading_at.is_none_or(|at| at.elapsed() > lasts);
        // Readings wait behind changes that are on their way.
        let is_old = is_old && self.requester.receives_for(Instant::now()).is_none();
        if let Some(reader) = upstream_progress.reader.filter(|_| is_old) {
            log::info!(
                event = "peer_behind", peer = reader.to_string().as_str();
                "the zone's reader does not reach the store and is passed over"
            );
            self.requester.pass_over(reader, Instant::now());
            self.state.borrow_mut().upstream_progress = UpstreamProgress::default();
        }
    }

    /// Asks the zone's reader once what has changed, and takes that over.
    pub(crate) async fn follow_upstream(&self, reader: SocketAddr) {
        let upstream_progress = {
            let mut state = self.state.borrow_mut();
            if state.upstream_progress.reader != Some(reader) {
                state.upstream_progress =
                    UpstreamProgress { reader: Some(reader), ..UpstreamProgress::default() };
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
            wait_ms: NEWS_WAIT.as_millis() as u64,
            last_clock: upstream_progress.clock.map(|(clock, _)| clock),
            samples: self.samples_since(upstream_progress.clock.map(|(_, heard_at)| heard_at)),
            behind: Vec::new(),
            accepts_compressed: true,
        };
        let sent_at = Instant::now();
        let is_starting = !self.state.borrow().servers_known;
        match self.requester.ask(reader, &request, is_starting).await {
            Some(answer) => self.apply_answer(answer, sent_at),
            None => {
                log::info!(
                    event = "peer_silent", peer = reader.to_string().as_str();
                    "the zone's reader did not answer and is passed over"
                );
                self.state.borrow_mut().upstream_progress = UpstreamProgress::default();
            }
        }
    }

    fn apply_answer(&self, mut answer: FollowAnswer, sent_at: Instant) {
        let contents = answer.take_contents(sent_at);
        self.store.note_era(answer.era());
        let reading = answer.store_read.take();
        {
            let mut state = self.state.borrow_mut();
            state.upstream_progress.received_revision = answer.revision(answer.received_revision);
            state.upstream_progress.evidence_number = answer.evidence_number;
            state.upstream_progress.clock = answer.clock.map(|clock| (clock, Instant::now()));
        }
        self.apply_updates(contents.updates);
        {
            let mut state = self.state.borrow_mut();
            let own_applied_revision = answer.revision(answer.own_applied_revision);
            state.own_applied_revision = state.own_applied_revision.max(own_applied_revision);
        }
        if let Some(told) = reading
            && let Some(reading) = told.reading(answer.made_at(sent_at), answer.era())
        {
            {
                let mut state = self.state.borrow_mut();
                state.upstream_progress.read_number = told.number;
                state.upstream_progress.reading_at = Some(reading.asked_at);
            }
            self.apply_shared_read(reading);
            self.report_and_probe_suspicions();
        }
        for evidence in contents.evidence {
            self.accept_evidence(&evidence);
        }
        self.merge_samples(contents.samples);
        self.updates_available.notify_waiters();
        self.note_members(Instant::now());
        self.publish();
    }

    /// Takes over a reading by another daemon, for what it is worth here.
    fn apply_shared_read(&self, reading: StoreRead) {
        let now = Instant::now();
        self.state.borrow_mut().note_observed_revision(&reading);
        let useful_for = self.primary_lease_duration().mul_f64(USEFUL_PART);
        let judged = evaluate_read(&reading, now, useful_for, &self.own_keys());
        let SharedRead::Renews(services) = judged else { return };
        let is_back = {
            let mut state = self.state.borrow_mut();
            state.shared_read_at = Some(reading.asked_at);
            state.keep_latest_read(reading);
            state.note_read(now, self.store_silence_timeout())
        };
        if is_back {
            self.reprobe_suspected_servers();
        }
        self.grant_primary_leases(reading.asked_at, Some(&services));
    }

    /// Returns what this daemon knows of the daemons' own keys.
    pub(crate) fn own_keys(&self) -> OwnKeys {
        let state = self.state.borrow();
        OwnKeys {
            applied_revision: state.own_applied_revision,
            member: state.mirror.get(&self.member_key()).map(|item| item.revision),
            records: state
                .records
                .iter()
                .map(|(service, known)| (service.clone(), known.revision))
                .collect(),
        }
    }

    fn apply_updates(&self, news: StoreUpdates) {
        let StoreUpdates { changes, is_whole, applied_revision } = news;
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
        self.state.borrow_mut().note_applied(applied_revision);
    }

    /// Answers a daemon that follows the store through this one, as soon as there is news for it.
    pub(crate) async fn answer_follower(&self, request: FollowRequest) -> SplitAnswer {
        let received_at = Instant::now();
        // An asker that was in another zone's reach may have heard of a restore first.
        self.store.note_era(request.applied().era());
        self.merge_samples(request.samples_here(self.incarnation, self.epoch, received_at));
        for service in &request.behind {
            self.note_replicas_behind(Name::from(service.as_str()));
        }
        let until = received_at + Duration::from_millis(request.wait_ms).min(NEWS_WAIT);
        loop {
            let news = self.updates_available.notified();
            tokio::pin!(news);
            // From here on nothing is missed between the look and the wait.
            news.as_mut().enable();
            if self.has_updates_for(&request) || Instant::now() >= until {
                return self.build_answer(&request, received_at);
            }
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = news => {}
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
        let reading = state.latest_read.filter(|_| state.read_number != request.read_number);
        // Only whoever changes a primary asks who has stopped, and that one reads the store itself.
        let stopped = self.key("stopped/");
        let is_wanted = |change: &Change| !change.key().starts_with(&stopped);
        let is_starting = request.accepts_compressed && request.applied_revision == 0;
        let whole = (is_starting && state.mirror.applied_revision() > Revision::ABSENT)
            .then(|| self.compressor.whole(&state.mirror, now, is_wanted))
            // Where removals since then are forgotten, what is known now is told in the usual way.
            .filter(|whole| !state.mirror.updates_since(whole.applied_revision).is_whole);
        let known_to = whole.as_ref().map_or(request.applied(), |whole| whole.applied_revision);
        let news = state.mirror.updates_since(known_to);
        let changes: Vec<_> = news.changes.into_iter().filter(is_wanted).collect();
        let span = (known_to, news.applied_revision);
        let changes: Vec<_> =
            changes.into_iter().map(|change| self.compressor.compress(change)).collect();
        let (changes, compressed) = match whole {
            Some(whole) => (changes, whole.compressed),
            None if request.accepts_compressed => self.compressor.compress_together(span, changes),
            None => (changes, Bytes::new()),
        };
        let answer = FollowAnswer {
            held_ms: now.duration_since(received_at).as_millis() as u64,
            store_read: reading.map(|reading| reading.to_message(state.read_number, now)),
            changes,
            is_whole: news.is_whole,
            applied_revision: news.applied_revision.number(),
            received_revision: state.mirror.last_revision().number(),
            era: state.mirror.era().0,
            // Set as the changes are split off.
            changes_follow: false,
            own_applied_revision: state.own_applied_revision.number(),
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
                .filter(|(_, sample)| now.duration_since(sample.asked_at) < SAMPLES_TOLD_FOR)
                .map(|(service, sample)| sample.to_message(service, now))
                .collect(),
        };
        answer.split(compressed)
    }

    /// Returns where a server listens that another daemon wants a detour to; nothing once this daemon
    /// stops, since its connections end soon.
    fn address_for(&self, request: &TunnelRequest) -> Option<SocketAddr> {
        if self.stopping.borrow().is_some() {
            return None;
        }
        let state = self.state.borrow();
        let entries = state.published_servers.get(&*request.service)?;
        let entry = entries.iter().find(|entry| *entry.server == *request.server)?;
        Some(entry.address)
    }

    /// Tells other daemons what this one hears.
    pub(crate) async fn peer_loop(self: Rc<Self>, listener: Option<std::net::TcpListener>) {
        let Some(listener) = listener else { return };
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                let control = self.clone();
                let answer = async move |request| control.answer_follower(request).await;
                let control = self.clone();
                let find_server = move |request: &TunnelRequest| control.address_for(request);
                let serving_requests = self.serving_requests.clone();
                let hand_over = move |link| {
                    // A full ring means that the serving thread is behind; the link ends and is made again.
                    if serving_requests.try_send(ServingRequest::Relay(link)).is_err() {
                        log::info!(event = "relay_refused"; "a link of another daemon was not taken");
                    }
                };
                answer_askers(listener, answer, find_server, hand_over).await;
            }
            Err(error) => log::error!(
                event = "listen_failed", why = error.to_string().as_str();
                "other daemons can't be answered"
            ),
        }
    }
}
