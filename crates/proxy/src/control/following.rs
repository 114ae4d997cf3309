//! Following the store through another daemon of the zone, and telling others what this one knows.
//!
//! A watch of its own on each daemon would make every change cost a call for each of them. See
//! `docs/PLATFORM.md`, "Following the store".

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use model::Name;
use tokio::net::TcpListener;

use crate::{
    catalog::CatalogFormat,
    control::{
        mirror::News,
        peer_link::answer_askers,
        peers::{
            ClockMessage, FollowAnswer, FollowRequest, PrimarySample, SampleMessage, SharedReading,
            judge_reading,
        },
        runner::{Control, MemberValue},
    },
    dialect::EndpointDialect,
    metadata::{Change, MetadataStore, Revision, Snapshot},
    order::PromotionOrders,
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
pub(crate) struct HeardOf {
    pub(crate) reader: Option<SocketAddr>,
    pub(crate) heard_to: Revision,
    pub(crate) reading_number: u64,
    pub(crate) evidence_number: u64,
    /// Whether the reader's last reading was too old to be of use.
    pub(crate) reading_is_old: bool,
    /// The reader's clock in its last answer, and when that came.
    pub(crate) clock: Option<(ClockMessage, Instant)>,
}

/// Samples older than this are not told; no configuration asks for fresher data than that by far.
const SAMPLES_TOLD_FOR: Duration = Duration::from_secs(3);

impl<M, O, F, E> Control<M, O, F, E>
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    /// Returns the daemon of this zone that reads the store for the others; `None` if it is this one,
    /// which it also is while it holds the duty to promote.
    pub(crate) fn zone_reader(&self) -> Option<SocketAddr> {
        if self.held_duty().is_some() {
            return None;
        }
        let now = Instant::now();
        let prefix = self.key("members/");
        let state = self.state.borrow();
        let members = state.mirror.below(&prefix);
        let mut readers = members.filter_map(|item| {
            let value: MemberValue = serde_json::from_slice(&item.value).ok()?;
            let same_zone = value.availability_zone == *self.settings.availability_zone;
            let address = value.peer_address.filter(|_| same_zone)?;
            let host = &item.key[prefix.len()..];
            (!self.asker.is_silent(address, now)).then(|| (host.to_owned(), address))
        });
        // Members come in the order of their names, so that all choose the same one.
        let (host, address) = readers.next()?;
        (host != *self.settings.host).then_some(address)
    }

    /// Whether another daemon's reading of the store is young enough to need none of one's own.
    pub(crate) fn is_reading_shared(&self) -> bool {
        let lasts = self.right().mul_f64(SHARED_LASTS_PART);
        let state = self.state.borrow();
        state.shared_reading_at.is_some_and(|at| at.elapsed() < lasts)
    }

    /// Passes the zone's reader over if its readings are old although the store answers this daemon.
    pub(crate) fn doubt_reader(&self) {
        let heard_of = self.state.borrow().heard_of;
        if let Some(reader) = heard_of.reader.filter(|_| heard_of.reading_is_old) {
            log::info!(
                event = "peer_behind", peer = reader.to_string().as_str();
                "the zone's reader does not reach the store and is passed over"
            );
            self.asker.pass_over(reader, Instant::now());
            self.state.borrow_mut().heard_of = HeardOf::default();
        }
    }

    /// Asks the zone's reader once what has changed, and takes that over.
    pub(crate) async fn follow_reader(&self, reader: SocketAddr) {
        let heard_of = {
            let mut state = self.state.borrow_mut();
            if state.heard_of.reader != Some(reader) {
                state.heard_of = HeardOf { reader: Some(reader), ..HeardOf::default() };
            }
            state.heard_of
        };
        let request = FollowRequest {
            host: self.settings.host.to_string(),
            followed_to: self.state.borrow().mirror.followed_to(),
            heard_to: heard_of.heard_to,
            reading_number: heard_of.reading_number,
            evidence_number: heard_of.evidence_number,
            wait_ms: NEWS_WAIT.as_millis() as u64,
            heard: heard_of.clock.map(|(clock, _)| clock),
            samples: self.samples_since(heard_of.clock.map(|(_, heard_at)| heard_at)),
        };
        let sent_at = Instant::now();
        match self.asker.ask(reader, &request).await {
            Some(answer) => self.take_answer(answer, sent_at),
            None => {
                log::info!(
                    event = "peer_silent", peer = reader.to_string().as_str();
                    "the zone's reader did not answer and is passed over"
                );
                self.state.borrow_mut().heard_of = HeardOf::default();
            }
        }
    }

    /// Returns the samples that were taken after the reader's last answer came.
    fn samples_since(&self, heard_at: Option<Instant>) -> Vec<SampleMessage> {
        let Some(heard_at) = heard_at else { return Vec::new() };
        let state = self.state.borrow();
        let samples = state.samples.iter();
        samples.filter_map(|(service, sample)| sample.told_since(service, heard_at)).collect()
    }

    /// Keeps the latest sample of each primary's log.
    pub(crate) fn take_samples(&self, samples: impl IntoIterator<Item = (Name, PrimarySample)>) {
        let mut state = self.state.borrow_mut();
        for (service, sample) in samples {
            let known = state.samples.get(&service);
            if known.is_none_or(|known| known.asked_at < sample.asked_at) {
                Arc::make_mut(&mut state.samples).insert(service, sample);
            }
        }
    }

    fn take_answer(&self, mut answer: FollowAnswer, sent_at: Instant) {
        let told = answer.take_told(sent_at);
        let reading = answer.reading.take();
        {
            let mut state = self.state.borrow_mut();
            state.heard_of.heard_to = answer.heard_to;
            state.heard_of.evidence_number = answer.evidence_number;
            state.heard_of.clock = answer.clock.map(|clock| (clock, Instant::now()));
        }
        self.take_over_news(told.news);
        let useful_for = self.right().mul_f64(USEFUL_PART);
        let known = self.record_revisions();
        let made_at = answer.made_at(sent_at);
        let is_old =
            reading.as_ref().is_none_or(|it| Duration::from_millis(it.age_ms) > useful_for);
        self.state.borrow_mut().heard_of.reading_is_old = is_old;
        if let Some(reading) = reading {
            self.state.borrow_mut().heard_of.reading_number = reading.number;
            let judged = judge_reading(&reading, made_at, useful_for, &known);
            if let SharedReading::Renews { asked_at, services } = judged {
                {
                    let mut state = self.state.borrow_mut();
                    state.last_read_at = Some(Instant::now());
                    state.shared_reading_at = Some(asked_at);
                }
                self.grant_rights(asked_at, Some(&services));
            }
        }
        for evidence in told.evidence {
            self.take_evidence(&evidence);
        }
        self.take_samples(told.samples);
        self.note_members(Instant::now());
        self.publish();
    }

    fn take_over_news(&self, news: News) {
        let News { changes, is_whole, followed_to } = news;
        let changes = if is_whole {
            let items = changes.into_iter().filter_map(|change| match change {
                Change::Put(item) => Some(item),
                Change::Removed { .. } => None,
            });
            let snapshot = Snapshot { items: items.collect(), revision: followed_to };
            self.state.borrow().mirror.changes_to("", snapshot)
        } else {
            changes
        };
        self.take_over(changes);
        self.state.borrow_mut().mirror.note_followed(followed_to);
    }

    /// Answers a daemon that follows the store through this one, as soon as there is news for it.
    pub(crate) async fn answer_follower(&self, request: FollowRequest) -> FollowAnswer {
        let received_at = Instant::now();
        self.take_samples(request.samples_here(self.life, self.epoch, received_at));
        let until = received_at + Duration::from_millis(request.wait_ms).min(NEWS_WAIT);
        loop {
            let news = self.news.notified();
            tokio::pin!(news);
            // From here on nothing is missed between the look and the wait.
            news.as_mut().enable();
            if self.has_news_for(&request) || Instant::now() >= until {
                return self.tell_follower(&request, received_at);
            }
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = news => {}
            }
        }
    }

    fn has_news_for(&self, request: &FollowRequest) -> bool {
        let state = self.state.borrow();
        let reading = state.own_reading.as_ref().map_or(0, |reading| reading.number);
        state.mirror.has_news(request.followed_to.max(request.heard_to))
            || reading != request.reading_number
            || state.evidence_number != request.evidence_number
    }

    fn tell_follower(&self, request: &FollowRequest, received_at: Instant) -> FollowAnswer {
        let now = Instant::now();
        let state = self.state.borrow();
        let news = state.mirror.news_since(request.followed_to);
        let reading = state.own_reading.as_ref();
        FollowAnswer {
            held_ms: now.duration_since(received_at).as_millis() as u64,
            reading: reading.map(|reading| reading.answer_to(&request.host, now)),
            changes: news.changes.into_iter().map(Into::into).collect(),
            is_whole: news.is_whole,
            followed_to: news.followed_to,
            heard_to: state.mirror.last_revision(),
            evidence: state.own_evidence.iter().map(|it| it.told_at(now)).collect(),
            evidence_number: state.evidence_number,
            clock: Some(ClockMessage {
                life: self.life,
                at_ms: now.duration_since(self.epoch).as_millis() as u64,
            }),
            samples: state
                .samples
                .iter()
                .filter(|(_, sample)| now.duration_since(sample.asked_at) < SAMPLES_TOLD_FOR)
                .map(|(service, sample)| sample.told_at(service, now))
                .collect(),
        }
    }

    /// Tells other daemons what this one hears.
    pub(crate) async fn peer_loop(self: Rc<Self>, listener: Option<std::net::TcpListener>) {
        let Some(listener) = listener else { return };
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                let control = self.clone();
                let answer = async move |request| control.answer_follower(request).await;
                answer_askers(listener, answer).await;
            }
            Err(error) => log::error!(
                event = "listen_failed", why = error.to_string().as_str();
                "other daemons can't be answered"
            ),
        }
    }
}
