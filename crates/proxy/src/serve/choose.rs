//! Which server of a group a statement goes to.

use std::time::Duration;

use overload::Reach;

/// What is known of a server that may run the statement.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its place in the group's list.
    pub index: usize,
    /// How far it is.
    pub reach: Reach,
    /// Whether it leads, and so has work that no other can do.
    pub is_primary: bool,
    /// Idle connections to it.
    pub idle: u32,
    /// Connections in use by this daemon.
    pub in_use: u32,
    /// Connections that this daemon may have to it.
    pub limit: u32,
    /// Whether the room that the statement may take is taken.
    pub is_full: bool,
    /// Whether another replica is more likely to have a connection that works for the same account.
    pub is_non_preferred: bool,
    /// Its average answering time, in microseconds; 0 if it is not known.
    pub latency_us: u32,
    /// How long the statement would wait there before it begins, as the owner of the connections told it, in microseconds.
    pub wait_us: u64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Take an idle connection to this server.
    UseIdle(usize),
    /// Open a connection to this server.
    Open(usize),
    /// All connections are in use; wait for one.
    Wait,
    /// No server may run it.
    NoServer,
}

/// What crossing to another availability zone is taken to cost: its round trip, and its price, so that
/// a far server is chosen only when the near one is busy or slow.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(60);
/// What crossing to another region is taken to cost beyond that. The time that it takes shows in the answering time; its link
/// is narrow and shared with what must cross, as writes do, so a read rather waits for two or three others near by.
const CROSS_REGION_PENALTY: Duration = Duration::from_millis(60);
/// What reading at the primary is taken to cost, since only the primary can write.
const PRIMARY_PENALTY: Duration = Duration::from_millis(10);
/// The same where there are more daemons than connections: every daemon needs the primary's, and reads that
/// stay away leave theirs to others. More than crossing to another zone: with less, the daemons of its zone
/// read at the primary, and two thirds more writes were late.
const SCARCE_PRIMARY_PENALTY: Duration = Duration::from_millis(65);
/// What a replica is taken to cost that is not the account's own: more than crossing to another zone, since a connection that
/// is opened there takes a slot for longer. On a quiet day 5,353 connections are opened instead of 7,202.
const NON_PREFERRED_PENALTY: Duration = Duration::from_millis(90);
/// What a new connection is taken to cost: its handshake takes a slot of the server.
const OPEN_PENALTY: Duration = Duration::from_millis(15);

/// Chooses among the servers that may run a statement; `scarce` says that there are more daemons than
/// connections to a server.
pub fn choose(candidates: &[Candidate], scarce: bool) -> Choice {
    let primary_penalty = if scarce { SCARCE_PRIMARY_PENALTY } else { PRIMARY_PENALTY };
    let available = candidates.iter().filter(|candidate| has_room(candidate));
    match available.min_by_key(|candidate| cost_us(candidate, primary_penalty)) {
        Some(best) if best.idle > 0 => Choice::UseIdle(best.index),
        Some(best) => Choice::Open(best.index),
        None if candidates.is_empty() => Choice::NoServer,
        None => Choice::Wait,
    }
}

fn has_room(candidate: &Candidate) -> bool {
    !candidate.is_full && (candidate.idle > 0 || candidate.in_use < candidate.limit)
}

/// Estimates the time until the answer: the average for each statement that goes before, and what the
/// detours cost.
fn cost_us(candidate: &Candidate, primary_penalty: Duration) -> u64 {
    let rounds = 1 + u64::from(candidate.in_use);
    let mut cost = u64::from(candidate.latency_us) * rounds + candidate.wait_us;
    cost += micros(match candidate.reach {
        Reach::SameZone => Duration::ZERO,
        Reach::SameRegion => CROSS_ZONE_PENALTY,
        Reach::OtherRegion => CROSS_ZONE_PENALTY + CROSS_REGION_PENALTY,
    });
    if candidate.is_primary {
        cost += micros(primary_penalty);
    }
    if candidate.is_non_preferred {
        cost += micros(NON_PREFERRED_PENALTY);
    }
    if candidate.idle == 0 {
        cost += micros(OPEN_PENALTY);
    }
    cost
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// Marks the replicas that are not the account's own in this group: of those that may run its read, the one that scores
/// highest for it. An account's reads then meet its connection again, instead of having one opened at each replica.
pub(crate) fn mark_non_preferred<'a>(
    candidates: &mut [Candidate],
    account: &str,
    server_at: impl Fn(usize) -> &'a str,
) {
    let score = |it: &Candidate| routing::rendezvous_score(account, server_at(it.index));
    let best = candidates.iter().filter(|it| !it.is_primary).map(&score).max();
    for candidate in candidates.iter_mut().filter(|it| !it.is_primary) {
        candidate.is_non_preferred = Some(score(candidate)) != best;
    }
}
