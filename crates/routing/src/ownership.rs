//! Which hosts of an availability zone own the connections to a server.
//!
//! Where there are more daemons than connections to a server, each of them opening its own in turn spends the
//! server's time on handshakes, and queues that don't see one another keep it full. So a few daemons of each zone
//! own them and keep them open, and the others hand their statements to one of these. See `docs/PLATFORM.md`,
//! "Owned connections".

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Owners of one server in each zone: the first one is used, the second one while the first does not answer.
pub const OWNERS_EACH_ZONE: usize = 2;
/// Owners use one part in so many of what a server grants: daemons that start anew find room although the
/// connections of their former lives still count, and so do commands of whoever promotes.
const OWNED_PART: u32 = 2;
/// Connections that an owner has at the most: enough that open transactions which rest do not hold up other
/// statements; what a server runs at a time is fewer.
const MOST_OWNED: u32 = 8;

/// Chooses the owners of a server among the hosts of a zone by rendezvous hashing, best first.
///
/// Each host scores the server by a hash of both names. One that comes or goes then moves only the servers that
/// it scores highest for, and every daemon finds the same owners without asking.
pub fn owners_of<'a>(server: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked = ranked(server, hosts);
    ranked.truncate(OWNERS_EACH_ZONE);
    ranked
}

/// Scores a place for something by both names: whoever takes the highest score takes the same place on every daemon.
pub fn score(name: &str, place: &str) -> u64 {
    xxh3_64_with_seed(place.as_bytes(), xxh3_64_with_seed(name.as_bytes(), 0))
}

/// Ranks hosts for something by its name, best first; the same on every daemon that knows the same hosts.
pub fn ranked<'a>(name: &str, hosts: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> =
        hosts.into_iter().map(|host| (score(name, host), host)).collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored.into_iter().map(|(_, host)| host).collect()
}

/// The part of what a server grants that its owner may have where each client account needs connections of its own, in
/// tenths. The rest is for those that daemons which died leave behind for some seconds, and for commands.
const ACCOUNTS_TENTHS: u32 = 8;
/// The part that it keeps for good. What it had is counted by the server for three seconds after its host lost power: with
/// eight tenths kept, a new life had nine of 26 places, and of a day on which daemons stop in turn and then all lose power 0.924 was
/// served instead of 0.942; with four at the most, a quiet day opens 8,409 connections instead of 5,353.
const ACCOUNTS_KEPT_TENTHS: u32 = 4;

/// Returns how many connections to a server its one owner may have, and how many of them it keeps for good, of so many that
/// are granted, where one can't do another client account's work.
///
/// There is one owner for all zones then: an account's connection that stands once serves its callers everywhere. Six of 26 in
/// three zones' hands were 13,013 new ones for 15,453 statements of 78 accounts, each of which takes 12 ms of a
/// server that has two slots. See `docs/ACCOUNTS.md`, "Connections".
pub fn account_connections(granted: u32) -> (u32, u32) {
    let part = |tenths: u32| (granted * tenths / 10).max(1);
    (part(ACCOUNTS_TENTHS), part(ACCOUNTS_KEPT_TENTHS))
}

/// Returns how many connections to a server one owner may have, where `granted` of them are shared by the owners
/// of so many zones.
pub fn owned_connections(granted: u32, zones: u32) -> u32 {
    let owners = zones.max(1) * OWNERS_EACH_ZONE as u32;
    (granted / OWNED_PART / owners).clamp(1, MOST_OWNED)
}
