//! Which hosts of an availability zone own the connections to a server.
//!
//! A fleet can have more daemons than a server grants connections. Only a few daemons of each zone, the owners, keep
//! connections open to a server; the others forward their statements to an owner. This avoids repeated handshakes and
//! keeps one queue in front of the server. See `docs/PLATFORM.md`, "Owned connections".

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of owners of one server in each zone. The second owner is used while the first one does not answer.
pub const OWNERS_PER_ZONE: usize = 2;
/// All owners together use this fraction (1/n) of the connections that a server grants. The rest is for connections of
/// stopped daemons that the server still counts, and for the commands of a promoter.
const OWNED_DIVISOR: u32 = 2;
/// Maximum number of connections to one server that an owner keeps. Above the number of statements that a server runs
/// at a time, so that idle open transactions don't block other statements.
const MAX_OWNED: u32 = 8;

/// Chooses the owners of a server among the hosts of a zone by rendezvous hashing, best first.
///
/// Every daemon that knows the same hosts finds the same owners. A host that joins or leaves moves only the servers for
/// which it is among the best.
pub fn owners_of<'a>(server: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked = rank_hosts(server, hosts);
    ranked.truncate(OWNERS_PER_ZONE);
    ranked
}

/// Returns the rendezvous hash of a key and a node; the node with the highest score is chosen for the key.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Orders hosts by their rendezvous score for a key, best first; equal on every daemon that knows the same hosts.
pub fn rank_hosts<'a>(key: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> =
        hosts.into_iter().map(|host| (rendezvous_score(key, host), host)).collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored.into_iter().map(|(_, host)| host).collect()
}

/// The share of the granted connections, in tenths, that a single owner may open. The rest is for connections of
/// stopped daemons that the server still counts, and for commands.
const SINGLE_OWNER_TENTHS: u32 = 8;
/// The share of the granted connections, in tenths, that a single owner keeps open. A server counts the connections of
/// a failed host for some seconds, so keeping more would leave a restarted owner too few: with eight tenths, nine of 26.
/// Keeping fewer opens more connections on a quiet day (8,409 instead of 5,353).
const SINGLE_OWNER_KEPT_TENTHS: u32 = 4;

/// Returns how many of `granted` connections the only owner of a server may open, and how many of them it keeps open.
///
/// This applies where a connection belongs to one client account and can't serve another. All zones then share one
/// owner, so that an account's open connection serves its callers in every zone. With an owner in each of three zones, 78
/// accounts opened 13,013 connections for 15,453 statements. See `docs/ACCOUNTS.md`, "Connections".
pub fn single_owner_connections(granted: u32) -> (u32, u32) {
    let part = |tenths: u32| (granted * tenths / 10).max(1);
    (part(SINGLE_OWNER_TENTHS), part(SINGLE_OWNER_KEPT_TENTHS))
}

/// Returns how many connections to a server one owner may have, where the owners of `zones` zones share `granted`.
pub fn connections_per_owner(granted: u32, zones: u32) -> u32 {
    let owners = zones.max(1) * OWNERS_PER_ZONE as u32;
    (granted / OWNED_DIVISOR / owners).clamp(1, MAX_OWNED)
}
