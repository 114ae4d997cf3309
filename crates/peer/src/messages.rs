//! The messages, as `prost` structs written by hand so that the build needs no generator.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// A frame between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Matches an answer to its request within one connection; never 0 in a request.
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
    /// Requests the receiver to run a job for a caller of the sending daemon.
    #[prost(message, tag = "2")]
    Job(Job),
    /// A part of the answer to a job.
    #[prost(message, tag = "3")]
    Chunk(RelayChunk),
    /// The end of the answer to a job.
    #[prost(message, tag = "4")]
    End(RelayEnd),
    /// The caller of a session has disconnected, so its transaction is to be rolled back.
    #[prost(message, tag = "5")]
    Abandon(RelayAbandon),
    /// The caller of a session requests to cancel its running request.
    #[prost(message, tag = "6")]
    Cancel(RelayCancel),
    /// Allows the sender of an answer to send more chunks.
    #[prost(message, tag = "7")]
    Credit(Credit),
    /// Requests the receiver's view of a group's primary.
    #[prost(message, tag = "8")]
    ViewRequest(ViewRequest),
    /// The view of a group's primary.
    #[prost(message, tag = "9")]
    ViewAnswer(ViewAnswer),
    /// The sender's versions and state; the receiver answers with its own.
    #[prost(message, tag = "10")]
    Gossip(GossipMessage),
    /// Requests the head of the configuration in force.
    #[prost(message, tag = "11")]
    HeadRequest(HeadRequest),
    /// The head of the configuration.
    #[prost(message, tag = "12")]
    HeadAnswer(HeadAnswer),
    /// Requests a chunk of the configuration.
    #[prost(message, tag = "13")]
    ChunkRequest(ChunkRequest),
    /// A chunk of the configuration.
    #[prost(message, tag = "14")]
    ChunkAnswer(ChunkAnswer),
    /// Requests to hold back new transactions of a group for a planned change of primary.
    #[prost(message, tag = "15")]
    HoldRequest(HoldRequest),
    /// The number of transactions of the group that still run.
    #[prost(message, tag = "16")]
    HoldAnswer(HoldAnswer),
    /// Requests the host list.
    #[prost(message, tag = "17")]
    HostListRequest(HostListRequest),
    /// The host list.
    #[prost(message, tag = "18")]
    HostListAnswer(HostListAnswer),
    /// A group has a new primary, so its servers are to be queried now rather than at the next heartbeat.
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

/// A session setting to apply on the endpoint's connection.
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

/// The kind of answer to a step of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum StepShape {
    /// A simple query: anything up to `ReadyForQuery`.
    Query = 0,
    /// `ParseComplete`; not sent if the statement is already prepared on the connection.
    Parse = 1,
    /// `BindComplete`.
    Bind = 2,
    /// `ParameterDescription` and a row description, or one of the latter alone.
    Describe = 3,
    /// Rows up to `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Execute = 4,
    /// `CloseComplete` of a portal.
    Close = 5,
    /// A predefined answer: nothing is sent, and the step's message is the answer.
    Canned = 6,
}

/// One message of a job.
#[derive(Clone, PartialEq, Message)]
pub struct Step {
    /// The kind of its answer, a [`StepShape`].
    #[prost(enumeration = "StepShape", tag = "1")]
    pub shape: i32,
    /// The encoded message, with statement names as they are on the endpoint.
    #[prost(bytes = "bytes", tag = "2")]
    pub message: Bytes,
    /// The id of the prepared statement that it needs; 0 for none.
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
    /// The user; capacity is shared fairly among users.
    #[prost(string, tag = "4")]
    pub user: String,
    /// The log point that the session must see in this group.
    #[prost(message, optional, tag = "5")]
    pub min_point: Option<Point>,
    /// Whether the session is tracked, by a token or by its connection; otherwise the read-index rule applies.
    #[prost(bool, tag = "6")]
    pub tracked: bool,
    /// The kind of read, empty for none.
    #[prost(string, tag = "7")]
    pub read_kind: String,
    /// Whether it may run on a replica: it neither writes nor begins a transaction that may write.
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
    /// The time left for the job, in milliseconds.
    #[prost(uint64, tag = "14")]
    pub remaining_ms: u64,
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
    /// The verdict's name if the job was refused or abandoned; empty if it was answered.
    #[prost(string, tag = "1")]
    pub verdict: String,
    /// The reason's name.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// One sentence for human readers.
    #[prost(string, tag = "3")]
    pub detail: String,
    /// The delay before a retry, in milliseconds.
    #[prost(uint64, optional, tag = "4")]
    pub retry_after_ms: Option<u64>,
    /// The transaction status byte after the job: `I`, `T` or `E`.
    #[prost(uint32, tag = "5")]
    pub transaction: u32,
    /// The log point of an acknowledged write.
    #[prost(message, optional, tag = "6")]
    pub write_point: Option<Point>,
    /// The server that answered.
    #[prost(string, tag = "7")]
    pub served_by: String,
    /// Whether a replica answered.
    #[prost(bool, tag = "8")]
    pub by_replica: bool,
    /// The last messages, which are forwarded after the session token.
    #[prost(bytes = "bytes", tag = "9")]
    pub messages: Bytes,
}

/// The caller of a session has disconnected.
#[derive(Clone, PartialEq, Message)]
pub struct RelayAbandon {
    /// The session.
    #[prost(uint64, tag = "1")]
    pub session_id: u64,
}

/// The caller of a session requests to cancel its running request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayCancel {
    /// The session.
    #[prost(uint64, tag = "1")]
    pub session_id: u64,
}

/// Permission to send more chunks.
#[derive(Clone, PartialEq, Message)]
pub struct Credit {
    /// The number of chunks.
    #[prost(uint32, tag = "1")]
    pub chunks: u32,
}

/// Requests a view of a group's primary.
#[derive(Clone, PartialEq, Message)]
pub struct ViewRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
}

/// A group has a new primary.
#[derive(Clone, PartialEq, Message)]
pub struct TermNotice {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// The primary's term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// A view of a group's primary.
#[derive(Clone, PartialEq, Message)]
pub struct ViewAnswer {
    /// Whether the primary answered the daemon recently.
    #[prost(bool, tag = "1")]
    pub reachable: bool,
    /// The latest term that the daemon knows.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// The versions and state that two daemons exchange.
#[derive(Clone, PartialEq, Message)]
pub struct GossipMessage {
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
    /// The sender's demand for connections, for the groups that it owns together with the receiver.
    #[prost(message, repeated, tag = "5")]
    pub demands: Vec<GroupDemand>,
}

/// The demand for a group's connections by one owner.
#[derive(Clone, PartialEq, Message)]
pub struct GroupDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// The number of connections wanted at each server, in the group's order.
    #[prost(uint32, repeated, tag = "3")]
    pub wanted: Vec<u32>,
}

/// Requests the head of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct HeadRequest {}

/// The head of the configuration, as the JSON that the store holds.
#[derive(Clone, PartialEq, Message)]
pub struct HeadAnswer {
    /// The head; empty if no configuration is known.
    #[prost(bytes = "bytes", tag = "1")]
    pub head: Bytes,
}

/// Requests a chunk of the configuration by its hash.
#[derive(Clone, PartialEq, Message)]
pub struct ChunkRequest {
    /// The chunk's hash.
    #[prost(string, tag = "1")]
    pub hash: String,
}

/// A chunk of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ChunkAnswer {
    /// Its text; `None` if the daemon does not have it.
    #[prost(string, optional, tag = "1")]
    pub text: Option<String>,
}

/// Requests to hold back new transactions of a group.
#[derive(Clone, PartialEq, Message)]
pub struct HoldRequest {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// The longest time to hold them, in milliseconds; 0 ends the hold.
    #[prost(uint64, tag = "3")]
    pub hold_ms: u64,
}

/// The number of operations that still run in a held group.
#[derive(Clone, PartialEq, Message)]
pub struct HoldAnswer {
    /// The number of transactions and writes.
    #[prost(uint32, tag = "1")]
    pub running: u32,
}

/// Requests the host list.
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
    pub hosts: Vec<HostListEntry>,
}

/// A host of the list.
#[derive(Clone, PartialEq, Message)]
pub struct HostListEntry {
    /// Its name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub availability_zone: String,
    /// The address of the daemon or endpoint on the host.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether an endpoint runs on the host rather than a daemon.
    #[prost(bool, tag = "4")]
    pub endpoint: bool,
    /// Whether it is leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Its region.
    #[prost(string, tag = "6")]
    pub region: String,
}
