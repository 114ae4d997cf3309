//! The daemons that hold a group's connections.

use config::OwnerCount;
use model::GroupId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Member;

/// Fewer owners than this would leave a group without any while one is being replaced.
const FEWEST_OWNERS: usize = 2;

/// An owner needs one connection for control and this many for work on each server.
const WORK_CONNECTIONS: u32 = 2;

/// Returns how many owners a group has.
///
/// A server's connections are divided among the owners, and an owner with a single one would let a
/// single transaction block its reads; so their number follows from the connections.
pub fn owner_count(setting: OwnerCount, connections: u32, members: usize) -> usize {
    let wanted = match setting {
        OwnerCount::Fixed(count) => usize::from(count),
        OwnerCount::Auto => {
            let most = (connections / (1 + WORK_CONNECTIONS)) as usize;
            most.max(FEWEST_OWNERS)
        }
    };
    wanted.min(members)
}

/// Chooses `count` owners of a group by rendezvous hashing, spread over availability zones.
///
/// Each daemon scores each group by a hash of both; the highest scores own. A daemon that comes or
/// goes then moves only the groups that it scores highest in. Owners are taken from as many zones as
/// there are before a zone gives a second one, so that a lost zone leaves owners elsewhere.
pub fn owners<'a>(group: &GroupId, members: &'a [Member], count: usize) -> Vec<&'a Member> {
    let seed = group_seed(group);
    let mut scored: Vec<(u64, &Member)> =
        members.iter().map(|member| (score(seed, member), member)).collect();
    scored.sort_unstable_by_key(|(score, member)| std::cmp::Reverse((*score, member.key)));
    let mut chosen: Vec<&Member> = Vec::with_capacity(count);
    let mut round = 0;
    while chosen.len() < count.min(members.len()) {
        take_round(&scored, round, count, &mut chosen);
        round += 1;
    }
    chosen
}

/// Takes from each zone its next best member, in the order of their scores.
fn take_round<'a>(
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
