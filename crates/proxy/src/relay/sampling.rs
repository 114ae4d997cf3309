//! Samples of a primary's log point, shared by the owner of its connections in the zone.
//!
//! A bounded stale read may run at any server once a recent log point of the primary is known. After a start no
//! daemon knows one, and the first reads of all daemons would overload the primary. So the daemons ask the owner, which
//! lets one of them read at the primary while the others wait for its result. See `docs/PLATFORM.md`, "Owned
//! connections".

use std::time::{Duration, Instant};

use model::{LogPoint, Name};

use crate::{
    control::peers::age_ms,
    dialect::{CallerDialect, EndpointDialect},
    relay::{
        link::RelayLink,
        messages::{RelayOutcome, RelayRequest, RelayTask, SampledMessage},
    },
    serve::{
        engine::{Engine, Group},
        execute::Sample,
    },
};

/// How long a sample request may wait at the owner: about as long as a read at a busy primary takes. Without a sample
/// the read goes to the primary and needs the rest of its target latency.
const OWNER_WAIT: Duration = Duration::from_millis(60);
/// How long the requesting daemon waits for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(90);
/// How long the owner waits for the result of a daemon's read at the primary before it lets another daemon read there.
pub const SAMPLING_TIMEOUT: Duration = Duration::from_millis(60);

/// What an owner does about a sample request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleStep {
    /// Return this sample: when it was requested from the primary, and the log point.
    Return(Instant, LogPoint),
    /// Let the requesting daemon read at the primary.
    ReadPrimary,
    /// Wait for the result of a daemon that reads at the primary.
    Wait,
}

/// Decides on a sample request from the latest sample and the time until which a result from the primary is
/// expected.
pub fn next_sample_step(
    latest: Option<(Instant, LogPoint)>,
    max_age: Duration,
    sampling_until: Option<Instant>,
    now: Instant,
) -> SampleStep {
    if let Some((asked_at, point)) = latest
        && now.saturating_duration_since(asked_at) <= max_age
    {
        return SampleStep::Return(asked_at, point);
    }
    match sampling_until {
        Some(until) if now < until => SampleStep::Wait,
        Some(_) | None => SampleStep::ReadPrimary,
    }
}

/// Requests a sample of the primary's log point that is at most `max_age` old from the owner of its connections.
///
/// The sample's time is the send time of this request minus the age in the answer. The owner computed the age after
/// that, so the sample never seems younger than it is.
pub(crate) async fn request_sample(
    link: &RelayLink,
    service: &Name,
    primary: &Name,
    max_age: Duration,
) -> Option<(Instant, SampledMessage)> {
    let sent_at = Instant::now();
    let request = RelayRequest {
        service: service.to_string(),
        server: primary.to_string(),
        wait_ms: OWNER_WAIT.as_millis() as u64,
        task: Some(RelayTask::Sample(max_age.as_millis() as u64)),
        ..RelayRequest::default()
    };
    // On any other outcome the read goes to the primary, which returns its log point too.
    let Ok(RelayOutcome::Sampled(sampled)) = link.call(request, sent_at + ANSWER_TIMEOUT).await
    else {
        return None;
    };
    let asked_at = sent_at.checked_sub(Duration::from_millis(sampled.age_ms))?;
    Some((asked_at, sampled))
}

/// Answers a sample request with a recent sample, after waiting for one if another daemon is reading at the primary.
/// Otherwise the answer has no sample, and the requesting daemon reads at the primary.
pub(crate) async fn answer_sample<C: CallerDialect, E: EndpointDialect>(
    group: &Group<E>,
    engine: &Engine<C, E>,
    max_age: Duration,
    until: Instant,
) -> SampledMessage {
    let none = SampledMessage { point: None, age_ms: 0 };
    loop {
        let sampled = group.sample_added.notified();
        tokio::pin!(sampled);
        // Registers for the notification before the check, so that none is missed.
        sampled.as_mut().enable();
        let now = Instant::now();
        let latest = group.samples.borrow().latest_sample();
        match next_sample_step(latest, max_age, group.sampling_until.get(), now) {
            SampleStep::Return(asked_at, point) => {
                return SampledMessage { point: Some(point.into()), age_ms: age_ms(asked_at, now) };
            }
            SampleStep::ReadPrimary => {
                group.sampling_until.set(Some(now + SAMPLING_TIMEOUT));
                return none;
            }
            SampleStep::Wait if engine.is_stopping() => return none,
            SampleStep::Wait => {
                if tokio::time::timeout_at(until.into(), sampled).await.is_err() {
                    return none;
                }
            }
        }
    }
}

impl<C: CallerDialect, E: EndpointDialect> Engine<C, E> {
    /// Fetches a sample that is at most `max_age` old from the owner; returns whether there was one.
    pub(crate) async fn fetch_sample(
        &self,
        group: &Group<E>,
        service: &Name,
        primary: &Name,
        max_age: Duration,
    ) -> bool {
        let Some(link) = group.pool.owner_link(primary) else { return false };
        let answer = request_sample(&link, service, primary, max_age).await;
        let Some((asked_at, sampled)) = answer else { return false };
        let Some(point) = sampled.point else { return false };
        group.samples.borrow_mut().add(asked_at, point.into());
        true
    }

    /// Stores the sample from a forwarded statement, if this daemon also regards the server as the primary.
    pub(crate) fn record_forwarded_sample(
        &self,
        group: &Group<E>,
        service: &Name,
        server: &Name,
        sample: Sample,
    ) {
        let view = self.control_view();
        let leader = view.usable_leader(service, sample.sent_at);
        if let Some(leader) = leader.filter(|leader| leader.server == *server) {
            self.add_sample(group, service, leader, sample);
        }
    }
}
