//! The servers of a group that may hold acknowledged commits, also while they are not listed.
//!
//! The list of servers shrinks when an entry lapses, although the server may be alive behind a partition and acknowledge
//! commits, and when a server ends before another one has taken over its log. See `docs/PLATFORM.md`, "Which log has every
//! acknowledged commit".

use std::{collections::HashSet, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::catalog::ServerEntry;

/// A server of a group with synchronous replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Its identity.
    pub server: String,
    /// Where it listens. A new server at this address has the log of the one before it.
    pub address: SocketAddr,
}

/// Returns the members of a group after `recorded`, with the servers that are listed now. A server that is not listed
/// remains a member until another one is listed at its address.
pub fn updated_members(recorded: &[GroupMember], listed: &[Arc<ServerEntry>]) -> Vec<GroupMember> {
    let servers: HashSet<&str> = listed.iter().map(|entry| &*entry.server).collect();
    let addresses: HashSet<SocketAddr> = listed.iter().map(|entry| entry.address).collect();
    let is_kept = |member: &&GroupMember| {
        !servers.contains(member.server.as_str()) && !addresses.contains(&member.address)
    };
    let current = listed
        .iter()
        .map(|entry| GroupMember { server: entry.server.to_string(), address: entry.address });
    let mut members: Vec<_> = recorded.iter().filter(is_kept).cloned().chain(current).collect();
    members.sort_by(|one, other| one.server.cmp(&other.server));
    members
}
