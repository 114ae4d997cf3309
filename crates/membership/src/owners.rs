//! Selection of the daemons that own a group's connections.

use config::OwnerCount;
use model::GroupId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Member;

/// The minimum number of owners with [`OwnerCount::Auto`], so that a group keeps an owner while another is replaced.
const MIN_OWNERS: usize = 2;

/// Connections to each server that an owner needs for requests, in addition to one for control.
const WORK_CONNECTIONS_PER_OWNER: u32 = 2;

/// Returns the number of owners of a group with `connections` to each server.
///
/// The owners divide a server's connections. Each owner needs more than one, so that an open
/// transaction doesn't block its reads; this limits the number of owners.
pub fn owner_count(setting: OwnerCount, connections: u32, members: usize) -> usize {
    let wanted = match setting {
        OwnerCount::Fixed(count) => usize::from(count),
        OwnerCount::Auto => {
            let supported = (connections / (1 + WORK_CONNECTIONS_PER_OWNER)) as usize;
            supported.max(MIN_OWNERS)
        }
    };
    wanted.min(members)
}

/// Selects `count` owners of a group by rendezvous hashing, spread over availability zones.
///
/// The daemons with the highest scores for the group own it. A daemon that joins or leaves therefore
/// moves only groups that it owns. Each zone provides one owner before any zone provides a second
/// one, so that the loss of a zone leaves owners in the others.
pub fn select_owners<'a>(group: &GroupId, members: &'a [Member], count: usize) -> Vec<&'a Member> {
    let seed = group_seed(group);
    let mut scored: Vec<(u64, &Member)> =
        members.iter().map(|member| (score(seed, member), member)).collect();
    scored.sort_unstable_by_key(|(score, member)| std::cmp::Reverse((*score, member.key)));
    let mut chosen: Vec<&Member> = Vec::with_capacity(count);
    let mut round = 0;
    while chosen.len() < count.min(members.len()) {
        select_round(&scored, round, count, &mut chosen);
        round += 1;
    }
    chosen
}

/// Selects the member with the next highest score from each zone, in the order of the scores.
fn select_round<'a>(
    scored: &[(u64, &'a Member)],
    round: usize,
    count: usize,
    chosen: &mut Vec<&'a Member>,
) {
    for (_, member) in scored {
        if chosen.len() == count {
            return;
        }
        let from_zone = chosen
            .iter()
            .filter(|other| other.availability_zone == member.availability_zone)
            .count();
        if from_zone <= round && !chosen.iter().any(|other| other.key == member.key) {
            chosen.push(member);
        }
    }
}

fn group_seed(group: &GroupId) -> u64 {
    let seed = xxh3_64_with_seed(group.service.as_bytes(), 0);
    xxh3_64_with_seed(group.group.as_bytes(), seed)
}

fn score(seed: u64, member: &Member) -> u64 {
    xxh3_64_with_seed(&member.key.to_le_bytes(), seed)
}
