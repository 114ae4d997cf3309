//! Which daemons look whether a server lives that somebody can't reach, and whose word on it counts.
//!
//! If every daemon looked, each suspicion would open a connection from all of them, and in a large fleet one busy server
//! would be asked by so many that it answers none in time. See `docs/PLATFORM.md`, "Who leads".

use std::collections::HashMap;

use model::Name;
use routing::{rank_hosts, rendezvous_score};

/// Witnesses of one server at the most. A third of them says that it is lost; where a sixth of the daemons is cut off
/// from it, as many as that among 45 are hardly ever found.
pub const MAX_WITNESSES: usize = 45;

/// Returns the witnesses of a server; the same on every daemon that knows the same members.
pub fn witnesses_of<'a>(server: &str, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut witnesses = rank_hosts(server, members);
    witnesses.truncate(MAX_WITNESSES);
    witnesses
}

/// Whether a host is among the witnesses of a server.
pub fn is_witness<'a>(
    server: &str,
    host: &str,
    members: impl IntoIterator<Item = &'a str>,
) -> bool {
    let own = (rendezvous_score(server, host), host);
    let before =
        members.into_iter().filter(|member| (rendezvous_score(server, member), *member) > own);
    before.take(MAX_WITNESSES).count() < MAX_WITNESSES
}

/// The servers of which this daemon is known to be a witness, or not to be one, among the present members.
#[derive(Debug, Default)]
pub(crate) struct WitnessCache {
    members_version: u64,
    known: HashMap<Name, bool>,
}

impl WitnessCache {
    /// Says whether this daemon is a witness, by `look` where that was not found out since members changed.
    pub(crate) fn is_witness(
        &mut self,
        server: &Name,
        members_version: u64,
        look: impl FnOnce() -> bool,
    ) -> bool {
        if self.members_version != members_version {
            self.members_version = members_version;
            self.known.clear();
        }
        *self.known.entry(server.clone()).or_insert_with(look)
    }
}
