//! The messages, as `prost` structs written by hand so that the build needs no generator.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// A frame between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Joins an answer to its request, within one connection; never 0 in a request.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub body: Option<Body>,
}

/// The message within a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Run a request for a caller of the sending daemon.
    #[prost(message, tag = "2")]
    Job(Job),
    /// A part of the answer to a job.
    #[prost(message, tag = "3")]
    Chunk(RelayChunk),
    /// The end of the answer to a job.
    #[prost(message, tag = "4")]
    End(RelayEnd),
    /// The caller of a session is gone; roll its transaction back.
    #[prost(message, tag = "5")]
    Abandon(RelayAbandon),
    /// The caller of a session asked to cancel what runs.
    #[prost(message, tag = "6")]
    Cancel(RelayCancel),
    /// The receiver has taken some chunks of an answer.
    #[prost(message, tag = "7")]
    Credit(Credit),
    /// What do you see of a group's primary?
    #[prost(message, tag = "8")]
    ViewRequest(ViewRequest),
    /// What is seen of a group's primary.
    #[prost(message, tag = "9")]
    ViewAnswer(ViewAnswer),
    /// Notes to compare; answered by the other side's.
    #[prost(message, tag = "10")]
    Gossip(GossipNote),
    /// Which configuration is in force?
    #[prost(message, tag = "11")]
    HeadRequest(HeadRequest),
    /// The configuration's head.
    #[prost(message, tag = "12")]
    HeadAnswer(HeadAnswer),
    /// Give me a chunk of the configuration.
    #[prost(message, tag = "13")]
    ChunkRequest(ChunkRequest),
    /// A chunk of the configuration.
    #[prost(message, tag = "14")]
    ChunkAnswer(ChunkAnswer),
    /// Hold new transactions of a group back, for a planned switch.
    #[prost(message, tag = "15")]
    HoldRequest(HoldRequest),
    /// How many transactions of the group still run.
    #[prost(message, tag = "16")]
    HoldAnswer(HoldAnswer),
    /// Give me the host list.
    #[prost(message, tag = "17")]
    HostListRequest(HostListRequest),
    /// The host list.
    #[prost(message, tag = "18")]
    HostListAnswer(HostListAnswer),
    /// A new primary leads a group; ask its servers now rather than at the next heartbeat.
    #[prost(message, tag = "19")]
    TermNotice(TermNotice),
}

/// A term and a position.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Point {
    /// The term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The position.
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

/// A session setting to replay.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Setting {
    /// Its name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// A prepared statement that a job refers to.
#[derive(Clone, PartialEq, Message)]
pub struct Statement {
    /// The hash of its text and parameter types; its name on the endpoint follows from it.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The encoded `Parse` message with that name.
    #[prost(bytes = "bytes", tag = "2")]
    pub parse: Bytes,
}

/// What kind of answer a step of a job has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum StepShape {
    /// A simple query: anything up to `ReadyForQuery`.
    Query = 0,
    /// `ParseComplete`; not sent when the connection has the statement already.
    Parse = 1,
    /// `BindComplete`.
    Bind = 2,
    /// `ParameterDescription` and a row description, or one of the latter alone.
    Describe = 3,
    /// Rows up to `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Execute = 4,
    /// `CloseComplete` of a portal.
    Close = 5,
    /// Nothing is sent; the step's message is itself the answer.
    Canned = 6,
}

/// One message of a job.
#[derive(Clone, PartialEq, Message)]
pub struct Step {
    /// What kind of answer it has.
    #[prost(enumeration = "StepShape", tag = "1")]
    pub shape: i32,
    /// The encoded message, with statement names as they are on the endpoint.
    #[prost(bytes = "bytes", tag = "2")]
    pub message: Bytes,
    /// The prepared statement that it needs; 0 for none.
    #[prost(uint64, tag = "3")]
    pub statement: u64,
}

/// A request as its owner runs it: one simple query, or extended messages up to a `Sync`.
#[derive(Clone, PartialEq, Message)]
pub struct Job {
    /// The caller's session, unique among all daemons.
    #[prost(uint64, tag = "1")]
    pub session_id: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "3")]
    pub group: String,
    /// The user, whom fairness is for.
    #[prost(string, tag = "4")]
    pub user: String,
    /// What the session has to see in this group.
    #[prost(message, optional, tag = "5")]
    pub seen: Option<Point>,
    /// Whether the session carries a token; without one the read-index rule applies.
    #[prost(bool, tag = "6")]
    pub tracked: bool,
    /// The kind of read, empty for none.
    #[prost(string, tag = "7")]
    pub read_kind: String,
    /// Whether it may run on a replica: it neither writes nor begins a transaction that may.
    #[prost(bool, tag = "8")]
    pub read_only: bool,
    /// Whether the end of this job may commit something, now or written earlier.
    #[prost(bool, tag = "9")]
    pub may_commit: bool,
    /// Whether the session is in a transaction that an earlier job began.
    #[prost(bool, tag = "10")]
    pub in_transaction: bool,
    /// The messages.
    #[prost(message, repeated, tag = "11")]
    pub steps: Vec<Step>,
    /// The prepared statements that the messages refer to.
    #[prost(message, repeated, tag = "12")]
    pub statements: Vec<Statement>,
    /// The session's settings.
    #[prost(message, repeated, tag = "13")]
    pub settings: Vec<Setting>,
    /// How long the job may still take, in milliseconds.
    #[prost(uint64, tag = "14")]
    pub deadline_ms: u64,
    /// The W3C trace context of the sending hop; empty when the request is not traced.
    #[prost(string, tag = "15")]
    pub traceparent: String,
    /// Whether any statement may change data.
    #[prost(bool, tag = "16")]
    pub writes: bool,
}

/// A part of an answer: whole encoded backend messages.
#[derive(Clone, PartialEq, Message)]
pub struct RelayChunk {
    /// The messages.
    #[prost(bytes = "bytes", tag = "1")]
    pub messages: Bytes,
}

/// The end of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct RelayEnd {
    /// The verdict's word when the job was refused or given up; empty when it was answered.
    #[prost(string, tag = "1")]
    pub verdict: String,
    /// The reason's word.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// One sentence for people.
    #[prost(string, tag = "3")]
    pub detail: String,
    /// When to ask again.
    #[prost(uint64, optional, tag = "4")]
    pub retry_after_ms: Option<u64>,
    /// The transaction status byte after the job: `I`, `T` or `E`.
    #[prost(uint32, tag = "5")]
    pub transaction: u32,
    /// Where an acknowledged write stands.
    #[prost(message, optional, tag = "6")]
    pub written: Option<Point>,
    /// The server that answered.
    #[prost(string, tag = "7")]
    pub served_by: String,
    /// Whether a replica answered.
    #[prost(bool, tag = "8")]
    pub by_replica: bool,
    /// The last messages, to be passed on after the token.
    #[prost(bytes = "bytes", tag = "9")]
    pub messages: Bytes,
}

/// A session's caller is gone.
#[derive(Clone, PartialEq, Message)]
pub struct RelayAbandon {
    /// The session.
    #[prost(uint64, tag = "1")]
    pub session_id: u64,
}

/// A session's caller asked to cancel.
#[derive(Clone, PartialEq, Message)]
pub struct RelayCancel {
    /// The session.
    #[prost(uint64, tag = "1")]
    pub session_id: u64,
}

/// Chunks taken.
#[derive(Clone, PartialEq, Message)]
pub struct Credit {
    /// How many.
    #[prost(uint32, tag = "1")]
    pub chunks: u32,
}

/// Asks for a view of a group's primary.
#[derive(Clone, PartialEq, Message)]
pub struct ViewRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
}

/// A new primary leads a group.
#[derive(Clone, PartialEq, Message)]
pub struct TermNotice {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Its term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// A view of a group's primary.
#[derive(Clone, PartialEq, Message)]
pub struct ViewAnswer {
    /// Whether the primary answered the daemon lately.
    #[prost(bool, tag = "1")]
    pub reachable: bool,
    /// The newest term that the daemon knows.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// What two daemons compare.
#[derive(Clone, PartialEq, Message)]
pub struct GossipNote {
    /// The sender's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The configuration revision in force at the sender.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The version of the sender's host list.
    #[prost(uint64, tag = "3")]
    pub host_list_version: u64,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "4")]
    pub stopping: bool,
    /// The sender's use of connections, for the groups that it owns with the receiver.
    #[prost(message, repeated, tag = "5")]
    pub demands: Vec<GroupDemand>,
}

/// The use of a group's connections by one owner.
#[derive(Clone, PartialEq, Message)]
pub struct GroupDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Connections wanted at each server, in the group's order.
    #[prost(uint32, repeated, tag = "3")]
    pub wanted: Vec<u32>,
}

/// Asks for the configuration's head.
#[derive(Clone, PartialEq, Message)]
pub struct HeadRequest {}

/// The configuration's head as JSON, the form in which the store holds it.
#[derive(Clone, PartialEq, Message)]
pub struct HeadAnswer {
    /// The head; empty when no configuration is known.
    #[prost(bytes = "bytes", tag = "1")]
    pub head: Bytes,
}

/// Asks for chunks of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ChunkRequest {
    /// The chunk's hash.
    #[prost(string, tag = "1")]
    pub hash: String,
}

/// A chunk of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ChunkAnswer {
    /// Its text; `None` when the daemon does not have it.
    #[prost(string, optional, tag = "1")]
    pub text: Option<String>,
}

/// Asks for a group's new transactions to be held back.
#[derive(Clone, PartialEq, Message)]
pub struct HoldRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// For how long at most; 0 ends the hold.
    #[prost(uint64, tag = "3")]
    pub hold_ms: u64,
}

/// What still runs in a held group.
#[derive(Clone, PartialEq, Message)]
pub struct HoldAnswer {
    /// Transactions and writes.
    #[prost(uint32, tag = "1")]
    pub running: u32,
}

/// Asks for the host list.
#[derive(Clone, PartialEq, Message)]
pub struct HostListRequest {}

/// The host list.
#[derive(Clone, PartialEq, Message)]
pub struct HostListAnswer {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The hosts.
    #[prost(message, repeated, tag = "2")]
    pub hosts: Vec<HostNote>,
}

/// A host of the list.
#[derive(Clone, PartialEq, Message)]
pub struct HostNote {
    /// Its name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub availability_zone: String,
    /// The address of what runs there.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether it is an endpoint rather than a daemon.
    #[prost(bool, tag = "4")]
    pub endpoint: bool,
    /// Whether it is leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Its region.
    #[prost(string, tag = "6")]
    pub region: String,
}
