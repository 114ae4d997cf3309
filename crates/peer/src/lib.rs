//! Messages between wardtiller daemons.
//!
//! Each pair of daemons shares one connection in each direction of calling. Frames are length
//! delimited by `tokio-util` and hold one `prost` [`Envelope`]; requests carry ids, so answers that
//! come late or crossed find their own request or nobody. `docs/PEERS.md` lists the messages.

mod client;
mod messages;
mod server;

pub use client::{Answers, PeerClient, PeerGone};
pub use messages::{
    Body, ChunkAnswer, ChunkRequest, Credit, Envelope, GossipNote, GroupDemand, HeadAnswer,
    HeadRequest, HoldAnswer, HoldRequest, HostListAnswer, HostListRequest, HostNote, Job, Point,
    RelayAbandon, RelayCancel, RelayChunk, RelayEnd, Setting, Statement, Step, StepShape,
    TermNotice, ViewAnswer, ViewRequest,
};
pub use server::{PeerHandler, Reply, ReplyGone, serve_connection};

/// The longest frame; a caller's message may be large, and a chunk of the configuration is not.
pub const LONGEST_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Chunks of an answer that may be under way before the receiver has taken any.
pub const ANSWER_WINDOW: usize = 32;
