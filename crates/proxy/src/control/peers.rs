//! What daemons of an availability zone tell each other of the store.
//!
//! One daemon of each zone watches and reads the store; the others ask one another, as a tree, for what
//! has changed and how old the last reading is. The question waits until there is something to tell.
//!
//! An answer counts from the moment at which it was made at the earliest, which is when the question
//! was sent and the time that it waited: whatever takes time only makes things seem older, so they may
//! pass through any number of daemons. A reading renews only rights of daemons and records that it
//! showed. See `docs/PLATFORM.md`, "Who leads" and "Following the store".

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{LogPoint, Name, Position, Term};
use prost::{Message, Oneof};

use crate::{
    control::mirror::StoreUpdates,
    metadata::{Change, Era, Item, Revision},
};

/// What one daemon asks another.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRequest {
    /// The question; none if it is of a later version than this daemon knows.
    #[prost(oneof = "PeerQuestion", tags = "1, 2, 3")]
    pub question: Option<PeerQuestion>,
}

/// The questions that there are.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerQuestion {
    /// What have you heard? Answered by [`FollowAnswer`]; more questions may follow.
    #[prost(message, tag = "1")]
    Follow(FollowRequest),
    /// Connect me to a server. Answered by [`TunnelAnswer`]; if it was reached, what follows is the
    /// server's.
    #[prost(message, tag = "2")]
    Tunnel(TunnelRequest),
    /// Run statements for me on your connections. What follows is of [`crate::relay`].
    #[prost(message, tag = "3")]
    Relay(RelayMessage),
}

/// Says that what follows on the link are statements.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RelayMessage {}

/// Names a server that the asker can't reach itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TunnelRequest {
    /// The server's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its identity; the asked daemon knows its address and connects to no other.
    #[prost(string, tag = "2")]
    pub server: String,
}

/// Whether a server was reached for another daemon.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TunnelAnswer {
    /// Whether the connection stands.
    #[prost(bool, tag = "1")]
    pub reached: bool,
}

/// What have you heard, and how old is your last reading?
#[derive(Clone, PartialEq, Message)]
pub struct FollowRequest {
    /// The asking daemon's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The asker knows every change up to this revision.
    #[prost(uint64, tag = "2")]
    pub applied_revision: u64,
    /// The latest change that this daemon told the asker of; what is later is news.
    #[prost(uint64, tag = "3")]
    pub received_revision: u64,
    /// The number of the last reading that the asker was told of.
    #[prost(uint64, tag = "4")]
    pub read_number: u64,
    /// The number of the last round of evidence that the asker was told of.
    #[prost(uint64, tag = "5")]
    pub evidence_number: u64,
    /// How long the answer may wait for something to tell, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub wait_ms: u64,
    /// The life and the clock of the last answer that the asker had from this daemon.
    #[prost(message, optional, tag = "7")]
    pub last_clock: Option<ClockMessage>,
    /// Samples that the asker took since it had that answer, one for each service at the most.
    #[prost(message, repeated, tag = "8")]
    pub samples: Vec<SampleMessage>,
    /// Services whose reads the asker refuses because every replica is behind; for whoever promotes.
    #[prost(string, repeated, tag = "9")]
    pub behind: Vec<String>,
    /// The store's era that `applied_revision` is of.
    #[prost(uint64, tag = "10")]
    pub era: u64,
    /// That of `received_revision`.
    #[prost(uint64, tag = "11")]
    pub received_era: u64,
    /// Whether the asker, which knows nothing yet, takes what the store holds in one packed piece.
    #[prost(bool, tag = "12")]
    pub accepts_compressed: bool,
}

/// A daemon's steady clock.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ClockMessage {
    /// A number of this life of the daemon; clocks of two lives have nothing in common.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Milliseconds since it began, rounded down.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
}

/// Where a primary's log stood.
#[derive(Clone, PartialEq, Message)]
pub struct SampleMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The primary's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The position that it showed.
    #[prost(uint64, tag = "3")]
    pub position: u64,
    /// In an answer, how long ago the primary was asked, rounded up. In a question, how long after the
    /// answer that it names, rounded down. Either way the sample never seems younger than it is.
    #[prost(uint64, tag = "4")]
    pub ms: u64,
}

/// Where a primary's log stood when it was asked, or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimarySample {
    /// When it was asked, or before.
    pub asked_at: Instant,
    /// What it showed.
    pub point: LogPoint,
}

impl PrimarySample {
    /// Returns what an asker is told at `now`.
    pub fn to_message(&self, service: &Name, now: Instant) -> SampleMessage {
        self.message(service, age_ms(self.asked_at, now))
    }

    /// Returns what the daemon is told whose answer came at `heard_at`; nothing if the sample is from
    /// before, since the other's clock then says nothing of it.
    pub fn to_message_since(&self, service: &Name, heard_at: Instant) -> Option<SampleMessage> {
        let after = self.asked_at.checked_duration_since(heard_at)?;
        Some(self.message(service, after.as_millis() as u64))
    }

    fn message(&self, service: &Name, ms: u64) -> SampleMessage {
        let LogPoint { term, position } = self.point;
        SampleMessage { service: service.to_string(), term: term.0, position: position.0, ms }
    }
}

impl SampleMessage {
    fn sample(&self, asked_at: Instant) -> (Name, PrimarySample) {
        let point = LogPoint { term: Term(self.term), position: Position(self.position) };
        (Name::from(self.service.as_str()), PrimarySample { asked_at, point })
    }
}

impl FollowRequest {
    /// Returns the revision up to which the asker knows every change.
    pub fn applied(&self) -> Revision {
        Revision::new(Era(self.era), self.applied_revision)
    }

    /// Returns the latest change that the asker was told of here.
    pub fn received(&self) -> Revision {
        Revision::new(Era(self.received_era), self.received_revision)
    }

    /// Returns the samples by this daemon's clock, which counts from `epoch` in this `life`; none if the
    /// asker's last answer was from another life, or claims to be from a time that has not come.
    pub fn samples_here(
        &self,
        life: u64,
        epoch: Instant,
        now: Instant,
    ) -> Vec<(Name, PrimarySample)> {
        let Some(heard) = self.last_clock.filter(|heard| heard.incarnation == life) else {
            return Vec::new();
        };
        let heard_at = epoch + Duration::from_millis(heard.at_ms);
        let samples = self.samples.iter();
        let samples = samples.map(|it| it.sample(heard_at + Duration::from_millis(it.ms)));
        samples.filter(|(_, sample)| sample.asked_at <= now).collect()
    }
}

/// What there is to tell.
#[derive(Clone, PartialEq, Message)]
pub struct FollowAnswer {
    /// How long the question waited here, in milliseconds, rounded down.
    #[prost(uint64, tag = "1")]
    pub held_ms: u64,
    /// The last reading of the store that the answering daemon knows of.
    #[prost(message, optional, tag = "2")]
    pub store_read: Option<StoreReadMessage>,
    /// Changes that the asker may not have heard of, oldest first. They travel in a frame of their own
    /// behind the answer, see [`FollowAnswer::split`].
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<ChangeMessage>,
    /// Whether the changes are all keys that there are.
    #[prost(bool, tag = "4")]
    pub is_whole: bool,
    /// Every change up to this revision is known to the answering daemon.
    #[prost(uint64, tag = "5")]
    pub applied_revision: u64,
    /// The latest change that it knows of.
    #[prost(uint64, tag = "6")]
    pub received_revision: u64,
    /// Who leads by the word of a majority of the servers.
    #[prost(message, repeated, tag = "7")]
    pub evidence: Vec<EvidenceMessage>,
    /// A number that rises when there is more evidence to tell.
    #[prost(uint64, tag = "8")]
    pub evidence_number: u64,
    /// The answering daemon's clock as it made the answer.
    #[prost(message, optional, tag = "9")]
    pub clock: Option<ClockMessage>,
    /// Where primaries' logs stood, as the daemons of the zone saw last.
    #[prost(message, repeated, tag = "10")]
    pub samples: Vec<SampleMessage>,
    /// Every change of the daemons' own keys up to this revision is known to the answering daemon.
    #[prost(uint64, tag = "11")]
    pub own_applied_revision: u64,
    /// Whether the changes come in a frame of their own.
    #[prost(bool, tag = "12")]
    pub changes_follow: bool,
    /// The store's era that all revisions of the answer are of, as far as the answering daemon knows.
    #[prost(uint64, tag = "13")]
    pub era: u64,
}

/// Changes on their way.
#[derive(Clone, PartialEq, Message)]
pub struct ChangesMessage {
    /// The changes, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<ChangeMessage>,
    /// What comes before these, packed as a message of this kind; see [`super::compression`].
    #[prost(bytes = "bytes", tag = "2")]
    pub compressed: Bytes,
}

/// A change of one key; the answer that it comes with tells the era of its revisions.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeMessage {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The revision of the change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The revision at which the key was created.
    #[prost(uint64, tag = "3")]
    pub created: u64,
    /// The value; none if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
    /// Whether the value is packed; see [`super::compression`].
    #[prost(bool, tag = "5")]
    pub is_compressed: bool,
}

impl From<Change> for ChangeMessage {
    fn from(change: Change) -> ChangeMessage {
        match change {
            Change::Put(Item { key, value, revision, created }) => ChangeMessage {
                key,
                revision: revision.number(),
                created: created.number(),
                value: Some(value),
                is_compressed: false,
            },
            Change::Removed { key, revision } => {
                ChangeMessage { key, revision: revision.number(), ..ChangeMessage::default() }
            }
        }
    }
}

impl ChangeMessage {
    fn change(self, era: Era) -> Change {
        let ChangeMessage { key, revision, created, value, .. } = self;
        let revision = Revision::new(era, revision);
        match value {
            Some(value) => {
                Change::Put(Item { key, value, revision, created: Revision::new(era, created) })
            }
            None => Change::Removed { key, revision },
        }
    }
}

/// Who leads a service by the word of a majority.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The server that leads.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Its term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// How long ago the servers were asked, in milliseconds, as the answer is sent; rounded up.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Who leads a service by the word of a majority, and when the servers were asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The service.
    pub service: Name,
    /// The server that leads.
    pub server: Name,
    /// Its term.
    pub term: Term,
    /// When the servers were asked.
    pub asked_at: Instant,
}

impl Evidence {
    /// Returns what an asker is told at `now`.
    pub fn to_message(&self, now: Instant) -> EvidenceMessage {
        EvidenceMessage {
            service: self.service.to_string(),
            server: self.server.to_string(),
            term: self.term.0,
            age_ms: age_ms(self.asked_at, now),
        }
    }
}

/// What an answer tells besides its reading, taken apart.
pub struct AnswerContents {
    /// Changes, or everything that there is.
    pub updates: StoreUpdates,
    /// Evidence, each with the latest moment at which the servers can have been asked.
    pub evidence: Vec<Evidence>,
    /// Samples by service.
    pub samples: Vec<(Name, PrimarySample)>,
}

impl FollowAnswer {
    /// Takes the changes out, to be sent behind the answer: the answer itself is small and shows at once
    /// that the daemon lives, while a configuration may take seconds over a slow link.
    ///
    /// `packed` goes before the changes, for an asker that knows nothing yet; empty for any other.
    pub fn split(mut self, compressed: Bytes) -> (FollowAnswer, Option<ChangesMessage>) {
        let changes = std::mem::take(&mut self.changes);
        self.changes_follow = !changes.is_empty() || !compressed.is_empty();
        let changes = self.changes_follow.then_some(ChangesMessage { changes, compressed });
        (self, changes)
    }

    /// Returns the earliest moment at which the answer to a question sent at `sent_at` was made.
    pub fn made_at(&self, sent_at: Instant) -> Instant {
        sent_at + Duration::from_millis(self.held_ms)
    }

    /// Returns the store's era that the answer is of.
    pub fn era(&self) -> Era {
        Era(self.era)
    }

    /// Returns a revision of this answer.
    pub fn revision(&self, number: u64) -> Revision {
        Revision::new(self.era(), number)
    }

    /// Takes the changes and the evidence out.
    pub fn take_contents(&mut self, sent_at: Instant) -> AnswerContents {
        let made_at = self.made_at(sent_at);
        let era = Era(self.era);
        let changes = std::mem::take(&mut self.changes).into_iter();
        let updates = StoreUpdates {
            changes: changes.map(|change| change.change(era)).collect(),
            is_whole: self.is_whole,
            applied_revision: Revision::new(era, self.applied_revision),
        };
        let evidence = std::mem::take(&mut self.evidence).into_iter().filter_map(|it| {
            Some(Evidence {
                service: Name::from(it.service.as_str()),
                server: Name::from(it.server.as_str()),
                term: Term(it.term),
                asked_at: made_at.checked_sub(Duration::from_millis(it.age_ms))?,
            })
        });
        let samples = self
            .samples
            .iter()
            .filter_map(|it| Some(it.sample(made_at.checked_sub(Duration::from_millis(it.ms))?)));
        AnswerContents { updates, evidence: evidence.collect(), samples: samples.collect() }
    }
}

/// Returns an age in milliseconds, rounded up, so that nothing seems younger than it is.
pub(crate) fn age_ms(since: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(since).as_millis() as u64 + 1
}

/// A linearizable reading of the daemons' own keys.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StoreReadMessage {
    /// Its number in the life of the answering daemon, from 1 on.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How long ago it was asked for, in milliseconds, as the answer is sent; rounded up.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The store's revision as it was made.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// A linearizable reading of the daemons' own keys, by whomever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// When it was asked for, or before.
    pub asked_at: Instant,
    /// The store's revision as it was made.
    pub revision: Revision,
}

impl StoreRead {
    /// Returns what an asker is told at `now`.
    pub fn to_message(&self, number: u64, now: Instant) -> StoreReadMessage {
        let revision = self.revision.number();
        StoreReadMessage { number, age_ms: age_ms(self.asked_at, now), revision }
    }
}

impl StoreReadMessage {
    /// Returns the reading, of a store in this era, as it was told at `made_at` at the earliest.
    pub fn reading(&self, made_at: Instant, era: Era) -> Option<StoreRead> {
        let asked_at = made_at.checked_sub(Duration::from_millis(self.age_ms))?;
        Some(StoreRead { asked_at, revision: Revision::new(era, self.revision) })
    }
}

/// What a daemon knows of the daemons' own keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnKeys {
    /// Every change up to here is known.
    pub applied_revision: Revision,
    /// The revision of this daemon's member key, if there is one.
    pub member: Option<Revision>,
    /// The revisions of the leadership records, by service.
    pub records: HashMap<Name, Revision>,
}

/// What a reading by another daemon is worth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SharedRead {
    /// It renews the rights to these services.
    Renews(Vec<Name>),
    /// The store has to be read.
    Useless,
}

/// Judges a reading by what this daemon knows of the keys that it showed: whoever knows every change up
/// to the reading's revision knows what it showed without being told.
pub fn evaluate_read(
    reading: &StoreRead,
    now: Instant,
    useful_for: Duration,
    known: &OwnKeys,
) -> SharedRead {
    let is_shown = |revision: Revision| revision <= reading.revision;
    let is_old = now.saturating_duration_since(reading.asked_at) > useful_for;
    // Who does not know all that the reading showed may have missed a change of primary.
    if is_old || !known.member.is_some_and(is_shown) || known.applied_revision < reading.revision {
        return SharedRead::Useless;
    }
    // Of a record that has changed since, the reading says nothing.
    let shown = known.records.iter().filter(|(_, revision)| is_shown(**revision));
    SharedRead::Renews(shown.map(|(service, _)| service.clone()).collect())
}
