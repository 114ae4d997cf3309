//! Selects the daemon through which another one follows the store; see `docs/PLATFORM.md`, "Following the store".

use std::net::SocketAddr;

/// The largest number of followers per daemon in its zone. A wider tree has fewer levels, but each change is sent to
/// every follower over the daemon's link.
const MAX_FOLLOWERS: usize = 8;

/// A daemon that accepts requests of other daemons.
#[derive(Clone, Copy, Debug)]
pub struct TreeMember<'a> {
    /// The host, by which members are ordered.
    pub host: &'a str,
    /// The host's availability zone.
    pub availability_zone: &'a str,
    /// The address for requests of other daemons.
    pub address: SocketAddr,
}

/// Returns the daemon through which `host` follows the store; `None` if it reads the store itself. `members` are
/// sorted by host and leave out daemons that did not answer recently.
///
/// A daemon follows an earlier one of its zone. The first daemon of a zone follows the earliest daemon of any zone,
/// so that only one daemon of the fleet, and the promoter, read the store directly.
pub fn select_upstream(
    members: &[TreeMember<'_>],
    host: &str,
    availability_zone: &str,
) -> Option<SocketAddr> {
    let before: Vec<&TreeMember<'_>> = members.iter().filter(|member| member.host < host).collect();
    let in_zone: Vec<&&TreeMember<'_>> =
        before.iter().filter(|member| member.availability_zone == availability_zone).collect();
    match in_zone.len().checked_sub(1) {
        Some(last) => Some(in_zone[last / MAX_FOLLOWERS].address),
        None => before.first().map(|member| member.address),
    }
}
