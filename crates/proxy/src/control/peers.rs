//! Messages that the daemons of an availability zone exchange about the metadata store.
//!
//! One daemon of each zone watches and reads the store. The others form a tree below it and long-poll their upstream
//! for changes and for the age of its latest store read.
//!
//! An answer is dated to the earliest time at which it can have been made: the time the request was sent plus the
//! time it waited at the peer. Network delays therefore only make data look older, and data may pass through any
//! number of daemons. A store read renews primary leases only for the members and records that it showed. See
//! `docs/PLATFORM.md`, "Who leads" and "Following the store".

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

/// A request from one daemon to another.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRequest {
    /// The question; `None` if it belongs to a later protocol version.
    #[prost(oneof = "PeerQuestion", tags = "1, 2, 3")]
    pub question: Option<PeerQuestion>,
}

/// The kinds of request.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerQuestion {
    /// Asks for store updates. Answered by [`FollowAnswer`]; more requests may follow on the connection.
    #[prost(message, tag = "1")]
    Follow(FollowRequest),
    /// Asks for a tunnel to a server. Answered by [`TunnelAnswer`]; if the server was reached, all later bytes are
    /// exchanged with it.
    #[prost(message, tag = "2")]
    Tunnel(TunnelRequest),
    /// Asks to run statements over the peer's server connections. The messages of [`crate::relay`] follow.
    #[prost(message, tag = "3")]
    Relay(RelayMessage),
}

/// Announces that relayed statements follow on this connection.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RelayMessage {}

/// Names a server that the requester can't reach itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TunnelRequest {
    /// The server's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The server's identity. The peer connects only to the address that it knows for this server.
    #[prost(string, tag = "2")]
    pub server: String,
}

/// Whether the peer reached the server of a [`TunnelRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TunnelAnswer {
    /// Whether the connection to the server is open.
    #[prost(bool, tag = "1")]
    pub reached: bool,
}

/// Asks for store updates and for the age of the latest store read.
#[derive(Clone, PartialEq, Message)]
pub struct FollowRequest {
    /// The requesting daemon's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The requester has applied every change up to this revision.
    #[prost(uint64, tag = "2")]
    pub applied_revision: u64,
    /// The latest change that this peer has sent to the requester.
    #[prost(uint64, tag = "3")]
    pub received_revision: u64,
    /// The number of the last store read that the requester has received.
    #[prost(uint64, tag = "4")]
    pub read_number: u64,
    /// The number of the last set of evidence that the requester has received.
    #[prost(uint64, tag = "5")]
    pub evidence_number: u64,
    /// How long the peer may hold the request until there is something to send, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub wait_ms: u64,
    /// The clock in the last answer that the requester received from this peer.
    #[prost(message, optional, tag = "7")]
    pub last_clock: Option<ClockMessage>,
    /// Log samples that the requester took since that answer, at most one per service.
    #[prost(message, repeated, tag = "8")]
    pub samples: Vec<SampleMessage>,
    /// Services whose reads the requester refuses because every replica is behind; for the promoter.
    #[prost(string, repeated, tag = "9")]
    pub behind: Vec<String>,
    /// The store era of `applied_revision`.
    #[prost(uint64, tag = "10")]
    pub era: u64,
    /// The store era of `received_revision`.
    #[prost(uint64, tag = "11")]
    pub received_era: u64,
    /// Whether the requester, which has no data yet, accepts the store's content as one compressed snapshot.
    #[prost(bool, tag = "12")]
    pub accepts_compressed: bool,
}

/// A daemon's monotonic clock.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ClockMessage {
    /// Identifies the daemon process; clocks of different processes can't be compared.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Milliseconds since the process started, rounded down.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
}

/// The position of a primary's log.
#[derive(Clone, PartialEq, Message)]
pub struct SampleMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The primary's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The log position that the primary reported.
    #[prost(uint64, tag = "3")]
    pub position: u64,
    /// In an answer, the time since the primary was asked, in milliseconds, rounded up. In a request, the time from
    /// the answer named by `last_clock` until the primary was asked, rounded down. Both directions make a sample look
    /// older, never younger.
    #[prost(uint64, tag = "4")]
    pub ms: u64,
}

/// The position that a primary's log had reached at `asked_at`, or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimarySample {
    /// When the primary was asked, or earlier.
    pub asked_at: Instant,
    /// The reported log point.
    pub point: LogPoint,
}

impl PrimarySample {
    /// Returns the message for an answer sent at `now`.
    pub fn to_message(&self, service: &Name, now: Instant) -> SampleMessage {
        self.message(service, age_ms(self.asked_at, now))
    }

    /// Returns the message for the peer whose answer arrived at `answered_at`; `None` if the sample is older than
    /// that answer and so can't be dated by the peer's clock.
    pub fn to_message_since(&self, service: &Name, answered_at: Instant) -> Option<SampleMessage> {
        let after = self.asked_at.checked_duration_since(answered_at)?;
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
    /// Returns the revision up to which the requester has applied every change.
    pub fn applied(&self) -> Revision {
        Revision::new(Era(self.era), self.applied_revision)
    }

    /// Returns the latest change that this daemon has sent to the requester.
    pub fn received(&self) -> Revision {
        Revision::new(Era(self.received_era), self.received_revision)
    }

    /// Returns the samples, dated by this daemon's clock, which counts from `epoch` in this `incarnation`. Returns
    /// none if the requester's last answer came from another incarnation, and leaves out samples that are dated in
    /// the future.
    pub fn local_samples(
        &self,
        incarnation: u64,
        epoch: Instant,
        now: Instant,
    ) -> Vec<(Name, PrimarySample)> {
        let Some(last_clock) =
            self.last_clock.filter(|last_clock| last_clock.incarnation == incarnation)
        else {
            return Vec::new();
        };
        let answered_at = epoch + Duration::from_millis(last_clock.at_ms);
        let samples = self.samples.iter();
        let samples = samples.map(|it| it.sample(answered_at + Duration::from_millis(it.ms)));
        samples.filter(|(_, sample)| sample.asked_at <= now).collect()
    }
}

/// The answer to a [`FollowRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct FollowAnswer {
    /// How long the request was held, in milliseconds, rounded down.
    #[prost(uint64, tag = "1")]
    pub held_ms: u64,
    /// The latest store read known to the answering daemon.
    #[prost(message, optional, tag = "2")]
    pub store_read: Option<StoreReadMessage>,
    /// Changes that the requester may not have received, oldest first. They are sent in a frame of their own after
    /// the answer, see [`FollowAnswer::split`].
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<ChangeMessage>,
    /// Whether the changes are a full snapshot of all keys.
    #[prost(bool, tag = "4")]
    pub is_whole: bool,
    /// The answering daemon has applied every change up to this revision.
    #[prost(uint64, tag = "5")]
    pub applied_revision: u64,
    /// The latest change that the answering daemon has received.
    #[prost(uint64, tag = "6")]
    pub received_revision: u64,
    /// Leaders that a majority of their group's servers reported.
    #[prost(message, repeated, tag = "7")]
    pub evidence: Vec<EvidenceMessage>,
    /// Increases with each change of the evidence.
    #[prost(uint64, tag = "8")]
    pub evidence_number: u64,
    /// The answering daemon's clock when it made the answer.
    #[prost(message, optional, tag = "9")]
    pub clock: Option<ClockMessage>,
    /// The latest log samples of primaries taken by daemons of the zone.
    #[prost(message, repeated, tag = "10")]
    pub samples: Vec<SampleMessage>,
    /// The answering daemon has applied every change of the daemon keys up to this revision.
    #[prost(uint64, tag = "11")]
    pub daemon_keys_revision: u64,
    /// Whether the changes follow in a frame of their own.
    #[prost(bool, tag = "12")]
    pub changes_follow: bool,
    /// The store era of all revisions in the answer, as far as the answering daemon knows.
    #[prost(uint64, tag = "13")]
    pub era: u64,
}

/// The frame with the changes of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct ChangesMessage {
    /// The changes, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<ChangeMessage>,
    /// Earlier changes, as a compressed message of this type; see [`super::compression`].
    #[prost(bytes = "bytes", tag = "2")]
    pub compressed: Bytes,
}

/// A change of one key. Its revisions belong to the era of the answer.
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
    /// The value; `None` if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
    /// Whether the value is compressed; see [`super::compression`].
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

/// The leader of a service according to a majority of its servers.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The leading server.
    #[prost(string, tag = "2")]
    pub server: String,
    /// The leader's term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Time since the servers were asked when the answer was sent, in milliseconds, rounded up.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// The leader of a service according to a majority of its servers, and when they were asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The service.
    pub service: Name,
    /// The leading server.
    pub server: Name,
    /// The leader's term.
    pub term: Term,
    /// When the servers were asked.
    pub asked_at: Instant,
}

impl Evidence {
    /// Returns the message for an answer sent at `now`.
    pub fn to_message(&self, now: Instant) -> EvidenceMessage {
        EvidenceMessage {
            service: self.service.to_string(),
            server: self.server.to_string(),
            term: self.term.0,
            age_ms: age_ms(self.asked_at, now),
        }
    }
}

/// The parts of an answer other than its store read.
pub struct AnswerContents {
    /// The changes, or a full snapshot.
    pub updates: StoreUpdates,
    /// The evidence, dated to the latest time at which the servers can have been asked.
    pub evidence: Vec<Evidence>,
    /// Log samples by service.
    pub samples: Vec<(Name, PrimarySample)>,
}

impl FollowAnswer {
    /// Splits off the changes, to be sent after the answer. The answer itself is small and shows at once that the
    /// daemon responds, while a large configuration may take seconds over a slow link.
    ///
    /// `compressed` is sent before the changes, to a requester that has no data yet; it is empty otherwise.
    pub fn split(mut self, compressed: Bytes) -> (FollowAnswer, Option<ChangesMessage>) {
        let changes = std::mem::take(&mut self.changes);
        self.changes_follow = !changes.is_empty() || !compressed.is_empty();
        let changes = self.changes_follow.then_some(ChangesMessage { changes, compressed });
        (self, changes)
    }

    /// Returns the earliest time at which the answer to a request sent at `sent_at` was made.
    pub fn made_at(&self, sent_at: Instant) -> Instant {
        sent_at + Duration::from_millis(self.held_ms)
    }

    /// Returns the store era of the answer.
    pub fn era(&self) -> Era {
        Era(self.era)
    }

    /// Returns the revision with this number in the answer's era.
    pub fn revision(&self, number: u64) -> Revision {
        Revision::new(self.era(), number)
    }

    /// Takes the changes, the evidence and the samples out of the answer.
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

/// Returns an age in milliseconds, rounded up, so that data never looks younger than it is.
pub(crate) fn age_ms(since: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(since).as_millis() as u64 + 1
}

/// A linearizable read of the daemon keys.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StoreReadMessage {
    /// Numbers the reads of the answering daemon, from 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Time since the read was requested when the answer was sent, in milliseconds, rounded up.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The store's revision at the read.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// A linearizable read of the daemon keys, by any daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// When the read was requested, or earlier.
    pub asked_at: Instant,
    /// The store's revision at the read.
    pub revision: Revision,
}

impl StoreRead {
    /// Returns the message for an answer sent at `now`.
    pub fn to_message(&self, number: u64, now: Instant) -> StoreReadMessage {
        let revision = self.revision.number();
        StoreReadMessage { number, age_ms: age_ms(self.asked_at, now), revision }
    }
}

impl StoreReadMessage {
    /// Returns the read of a store in `era`, dated by an answer made at `made_at` or later.
    pub fn to_store_read(&self, made_at: Instant, era: Era) -> Option<StoreRead> {
        let asked_at = made_at.checked_sub(Duration::from_millis(self.age_ms))?;
        Some(StoreRead { asked_at, revision: Revision::new(era, self.revision) })
    }
}

/// The daemon keys (those below this installation's prefix in the store) that this daemon has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DaemonKeys {
    /// Every change up to this revision has been applied.
    pub applied_revision: Revision,
    /// The revision of this daemon's member key, if it exists.
    pub member: Option<Revision>,
    /// The revisions of the leadership records, by service.
    pub records: HashMap<Name, Revision>,
}

/// The effect of a store read on this daemon's primary leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadEffect {
    /// The read renews the primary leases of these services.
    Renews(Vec<Name>),
    /// The read renews no lease, since it is too old or this daemon lacks data that it showed.
    RenewsNothing,
}

/// Evaluates a store read by this or another daemon. A daemon that has applied every change up to the read's revision
/// knows what the read showed without receiving its content.
pub fn evaluate_read(
    read: &StoreRead,
    now: Instant,
    max_age: Duration,
    keys: &DaemonKeys,
) -> ReadEffect {
    let is_shown = |revision: Revision| revision <= read.revision;
    let is_old = now.saturating_duration_since(read.asked_at) > max_age;
    // A daemon that lacks a change which the read showed may have missed a change of primary.
    if is_old || !keys.member.is_some_and(is_shown) || keys.applied_revision < read.revision {
        return ReadEffect::RenewsNothing;
    }
    // The read says nothing about a record that has changed since.
    let shown = keys.records.iter().filter(|(_, revision)| is_shown(**revision));
    ReadEffect::Renews(shown.map(|(service, _)| service.clone()).collect())
}
