//! The witnesses of a server: the daemons that probe it when another one can't reach it, and whose reports count.
//!
//! Their number is limited, which bounds the connections to a suspected server in a large fleet. See
//! `docs/PLATFORM.md`, "Who leads".

use std::collections::HashMap;

use model::Name;
use routing::{rank_hosts, rendezvous_score};

/// The largest number of witnesses of one server. A third of them must agree to replace a primary, which is very
/// unlikely when only a small part of the fleet, such as a sixth, is disconnected from it.
pub const MAX_WITNESSES: usize = 45;

/// Returns the witnesses of a server. Every daemon that knows the same members gets the same result.
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

/// A cache of whether this daemon is a witness of a server, for the current members.
#[derive(Debug, Default)]
pub(crate) struct WitnessCache {
    members_version: u64,
    known: HashMap<Name, bool>,
}

impl WitnessCache {
    /// Returns whether this daemon is a witness of a server; calls `compute` if the cache does not contain it.
    pub(crate) fn is_witness(
        &mut self,
        server: &Name,
        members_version: u64,
        compute: impl FnOnce() -> bool,
    ) -> bool {
        if self.members_version != members_version {
            self.members_version = members_version;
            self.known.clear();
        }
        *self.known.entry(server.clone()).or_insert_with(compute)
    }
}
