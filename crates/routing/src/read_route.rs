//! Choice of a server for a read.

use config::ReadPolicy;
use model::{LogPoint, ServerId};

/// What a daemon knows about a server when a read is routed.
///
/// The applied point can be outdated. It only guides the choice: the status that the server sends with
/// its answer decides whether the answer is used.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Whether the server may get new work, because it answers and is not leaving.
    pub usable: bool,
    /// Whether the server is the group's last known primary.
    pub primary: bool,
    /// The last known point that is visible to reads on the server.
    pub applied: LogPoint,
    /// This daemon's requests that the server is processing or that wait for a connection to it.
    pub in_flight: u32,
    /// The number of statements that the server runs concurrently.
    pub slots: u32,
    /// The average response time, in microseconds.
    pub latency_us: u32,
    /// Whether the server is in this daemon's availability zone.
    pub same_zone: bool,
}

/// The criteria for the choice of a read's server.
#[derive(Clone, Copy, Debug)]
pub struct ReadCriteria {
    /// The lowest point that must be visible on the server.
    pub point: LogPoint,
    /// Whether the session has written anything in the group.
    pub has_written: bool,
    /// The policy for choosing among eligible replicas.
    pub policy: ReadPolicy,
    /// A number that changes with each read, for round robin and for spreading equal choices.
    pub sequence: u64,
    /// A server that has just failed to serve this read.
    pub avoid: Option<ServerId>,
}

/// The chosen destination of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// A replica that is expected to be fresh enough.
    Replica(ServerId),
    /// The primary, by policy or because no eligible replica is known to be fresh enough.
    Primary(ServerId),
    /// No server that may get new work is known to be fresh enough.
    NoServer,
}

/// The cost of using a server in another availability zone, in microseconds.
const CROSS_ZONE_PENALTY_US: u64 = 1_000;

/// Chooses the server for a read.
pub fn route_read(criteria: &ReadCriteria, candidates: &[Candidate]) -> ReadRoute {
    let primary_first = criteria.policy == ReadPolicy::PrimaryAfterWrite && criteria.has_written;
    if !primary_first && let Some(server) = choose_replica(criteria, candidates) {
        return ReadRoute::Replica(server);
    }
    let primary = candidates.iter().find(|candidate| {
        candidate.primary && candidate.usable && !is_avoided(criteria, candidate)
    });
    match primary {
        Some(primary) => ReadRoute::Primary(primary.server),
        None if primary_first => {
            choose_replica(criteria, candidates).map_or(ReadRoute::NoServer, ReadRoute::Replica)
        }
        None => ReadRoute::NoServer,
    }
}

fn choose_replica(criteria: &ReadCriteria, candidates: &[Candidate]) -> Option<ServerId> {
    let eligible = candidates.iter().filter(|candidate| is_eligible(criteria, candidate));
    match criteria.policy {
        ReadPolicy::RoundRobin => {
            let count = eligible.clone().count() as u64;
            let index = criteria.sequence.checked_rem(count)?;
            eligible.clone().nth(index as usize).map(|candidate| candidate.server)
        }
        ReadPolicy::LeastInFlight => {
            lowest(criteria, eligible, |candidate| u64::from(candidate.in_flight))
        }
        ReadPolicy::Cost | ReadPolicy::PrimaryAfterWrite => lowest(criteria, eligible, cost),
    }
}

fn is_eligible(criteria: &ReadCriteria, candidate: &Candidate) -> bool {
    candidate.usable
        && !candidate.primary
        && !is_avoided(criteria, candidate)
        && candidate.applied.term >= criteria.point.term
        && candidate.applied.position >= criteria.point.position
}

fn is_avoided(criteria: &ReadCriteria, candidate: &Candidate) -> bool {
    criteria.avoid == Some(candidate.server)
}

/// Returns the candidate with the lowest score; the sequence number spreads equal scores.
fn lowest<'a>(
    criteria: &ReadCriteria,
    candidates: impl Iterator<Item = &'a Candidate>,
    score: impl Fn(&Candidate) -> u64,
) -> Option<ServerId> {
    candidates
        .min_by_key(|candidate| (score(candidate), tie_order(criteria.sequence, candidate.server)))
        .map(|candidate| candidate.server)
}

/// The multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns a number that orders servers differently for each sequence number.
fn tie_order(sequence: u64, server: ServerId) -> u64 {
    sequence.wrapping_add(u64::from(server.0)).wrapping_mul(FIBONACCI_MULTIPLIER)
}

/// Returns a relative cost that grows with the expected response time.
///
/// Requests in flight count in whole rounds of the server's slots, since a request does not wait while a
/// slot is free. Latencies are rounded down, so that small differences do not send all reads to one of
/// two similar servers.
fn cost(candidate: &Candidate) -> u64 {
    let slots = u64::from(candidate.slots.max(1));
    let rounds = 1 + u64::from(candidate.in_flight) / slots;
    let penalty = if candidate.same_zone { 0 } else { CROSS_ZONE_PENALTY_US };
    round_latency(u64::from(candidate.latency_us)) * rounds + penalty
}

/// Keeps the three most significant bits of a latency.
fn round_latency(latency_us: u64) -> u64 {
    let bits = 64 - latency_us.leading_zeros();
    let shift = bits.saturating_sub(3);
    (latency_us >> shift) << shift
}
