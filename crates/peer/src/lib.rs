//! Messages between wardtiller daemons.
//!
//! A daemon sends its requests to another daemon over one connection that it opened. Frames are length delimited by
//! `tokio-util` and hold one `prost` [`Envelope`]. Requests carry ids, so late and reordered answers are matched to
//! their request or dropped. `docs/PEERS.md` lists the messages.

mod client;
mod messages;
mod server;

pub use client::{Answers, PeerClient, PeerDisconnected};
pub use messages::{
    Body, ChunkAnswer, ChunkRequest, Credit, Envelope, GossipMessage, GroupDemand, HeadAnswer,
    HeadRequest, HoldAnswer, HoldRequest, HostListAnswer, HostListEntry, HostListRequest, Job,
    Point, RelayAbandon, RelayCancel, RelayChunk, RelayEnd, Setting, Statement, Step, StepShape,
    TermNotice, ViewAnswer, ViewRequest,
};
pub use server::{PeerHandler, Reply, RequesterDisconnected, serve_connection};

/// The largest frame, which limits the messages of callers that are relayed.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// The number of chunks of an answer that may be sent before the receiver grants credit for more.
pub const ANSWER_WINDOW: usize = 32;
