//! Which daemon another one follows the store through; see `docs/PLATFORM.md`, "Following the store".

use std::net::SocketAddr;

/// Daemons that follow the store through one daemon: a configuration that is sent to each of them goes
/// over that one's link, and a wide tree is a low one.
const FOLLOWERS_EACH: usize = 8;

/// A daemon that can be asked.
#[derive(Clone, Copy, Debug)]
pub struct TreeMember<'a> {
    /// Its host, by which members are ordered.
    pub host: &'a str,
    /// Where it stands.
    pub availability_zone: &'a str,
    /// Where it is asked.
    pub address: SocketAddr,
}

/// Returns the daemon through which the one on `host` follows the store; `None` if it follows the store
/// itself. `members` come in the order of their hosts, without those that did not answer lately.
///
/// A daemon follows one of its zone that comes before it. The first of a zone follows the first of another
/// zone that comes before it, so only the very first reads and watches the store, and whoever promotes: with
/// one in each of three zones, half of all calls to the store were the same call three times.
pub fn select_upstream(
    members: &[TreeMember<'_>],
    host: &str,
    availability_zone: &str,
) -> Option<SocketAddr> {
    let before: Vec<&TreeMember<'_>> = members.iter().filter(|member| member.host < host).collect();
    let near: Vec<&&TreeMember<'_>> =
        before.iter().filter(|member| member.availability_zone == availability_zone).collect();
    match near.len().checked_sub(1) {
        Some(last) => Some(near[last / FOLLOWERS_EACH].address),
        None => before.first().map(|member| member.address),
    }
}
