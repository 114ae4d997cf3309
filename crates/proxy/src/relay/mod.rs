//! Statements that run on another daemon's connections.
//!
//! Where there are more daemons than connections to a server, few daemons of a zone own them
//! ([`routing::owners_of`]) and the others hand them their statements over one link each. Rights, floors and
//! verdicts are judged where the caller is, as on a connection of its own; an owner only runs what it is given.
//! See `docs/PLATFORM.md`, "Owned connections".

pub mod lease;
pub mod limit_messages;
pub mod link;
pub mod links;
pub mod load_messages;
pub mod messages;
pub mod owner;
pub mod sampling;
