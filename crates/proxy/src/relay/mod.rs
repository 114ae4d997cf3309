//! Forwards statements to the daemons that own the connections to a server.
//!
//! Where there are more daemons than connections to a server, a few daemons of each zone own them
//! ([`routing::owners_of`]), and the others forward their statements over one link to each. The forwarding daemon
//! checks leases, log points and verdicts as for its own connections; an owner only runs what it is sent. See
//! `docs/PLATFORM.md`, "Owned connections".

pub mod lease;
pub mod limit_messages;
pub mod link;
pub mod links;
pub mod load_messages;
pub mod messages;
pub mod owner;
pub mod sampling;
