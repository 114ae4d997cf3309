//! Where a primary's log stood, as the owner of its connections in the zone knows it.
//!
//! A read that may be a little old runs at any server once somebody knows where the primary's log stood. After a start
//! nobody does, and the first read of each daemon and group would go to the primary, which runs three at a time, while
//! the replicas had nothing to do. The owner sees all of its zone's statements there, so it is asked first; of those that
//! ask at the same time one reads at the primary and the others wait for what that shows.
//!
//! With 295 daemons, of the requests in the two seconds in which all are killed 0.53 were worth their time in place of
//! 0.46, and 0.999 in place of 0.955 in the first two seconds of a day. See `docs/PLATFORM.md`, "Owned connections".

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

/// How long an owner may let a question for a sample wait: a read of some 20 ms at the primary behind two others. A read
/// that gets no sample then goes to the primary, with a quarter of its target latency of 250 ms spent.
const OWNER_WAIT: Duration = Duration::from_millis(60);
/// How long the asker waits for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(90);
/// How long whoever was sent to the primary is waited for before another one is sent.
pub const SAMPLING_TIMEOUT: Duration = Duration::from_millis(60);

/// What an owner does about a question for a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleStep {
    /// Tell this sample: when the primary was asked, and what it showed.
    Return(Instant, LogPoint),
    /// Send the asker to the primary.
    ReadPrimary,
    /// Wait for what somebody shows who was sent there.
    Wait,
}

/// Says what to do about a question by the latest sample and the moment until which somebody is expected to show one.
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

/// Asks the owner of a primary's connections where its log stood at most `max_age` ago.
///
/// The sample counts from when this question was sent less the age that the answer tells: the answer was made later, so
/// the sample never seems younger than it is, however long the answer was on its way.
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
    // Whatever else comes, the read goes to the primary, which tells the same.
    let Ok(RelayOutcome::Sampled(sampled)) = link.call(request, sent_at + ANSWER_TIMEOUT).await
    else {
        return None;
    };
    let asked_at = sent_at.checked_sub(Duration::from_millis(sampled.age_ms))?;
    Some((asked_at, sampled))
}

/// Answers such a question: at once with a sample that is young enough, or by sending the asker to the primary, or with what
/// somebody shows who was sent there a moment ago.
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
        // From here on nothing is missed between the look and the wait.
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
    /// Takes over from an owner where the primary's log stood at most `max_age` ago; `true` if it knows.
    pub(crate) async fn fetch_sample(
        &self,
        group: &Group<E>,
        service: &Name,
        primary: &Name,
        max_age: Duration,
    ) -> bool {
        let Some(link) = group.pool.owner_link(primary) else { return false };
        let heard = request_sample(&link, service, primary, max_age).await;
        let Some((asked_at, sampled)) = heard else { return false };
        let Some(point) = sampled.point else { return false };
        group.samples.borrow_mut().add(asked_at, point.into());
        true
    }

    /// Keeps what a statement showed that was handed over for the primary, if it is the primary by what this daemon
    /// knows itself.
    pub(crate) fn note_handed_over(
        &self,
        group: &Group<E>,
        service: &Name,
        server: &Name,
        sample: Sample,
    ) {
        let beliefs = self.control_view();
        let lead = beliefs.usable_leader(service, sample.sent_at);
        if let Some(lead) = lead.filter(|lead| lead.server == *server) {
            self.add_sample(group, service, lead, sample);
        }
    }
}
