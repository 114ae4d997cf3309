//! The choice of a server for a read.

use config::ReadPolicy;
use model::{LogPoint, ServerId};

/// What a daemon knows of a server when a read is routed.
///
/// The point can be behind the truth; it only serves to choose well, since the proof that comes with
/// the answer decides whether the answer is given.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Whether it may get new work: it answers, and it is not leaving.
    pub usable: bool,
    /// Whether it is the group's primary as far as is known.
    pub primary: bool,
    /// The last point that its reads were seen to show.
    pub applied: LogPoint,
    /// Requests of this daemon that it is working on or that wait for its connections.
    pub in_flight: u32,
    /// Statements that it runs at a time.
    pub slots: u32,
    /// Its average answering time, in microseconds.
    pub latency_us: u32,
    /// Whether it stands in this daemon's availability zone.
    pub near: bool,
}

/// What a read needs from its server.
#[derive(Clone, Copy, Debug)]
pub struct ReadQuestion {
    /// The lowest point that the server must show.
    pub point: LogPoint,
    /// Whether the session has written anything in the group.
    pub has_written: bool,
    /// How the choice is made.
    pub policy: ReadPolicy,
    /// Spreads equal choices; any number that changes from read to read.
    pub turn: u64,
    /// A server that has just failed to serve this very read.
    pub avoid: Option<ServerId>,
}

/// Where a read goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// To a replica that should be fresh enough.
    Replica(ServerId),
    /// To the primary, since no replica is known to be fresh enough.
    Primary(ServerId),
    /// Nowhere: no server that may get work is known to be fresh enough.
    Nowhere,
}

/// The extra time that an answer from another availability zone is taken to cost.
const FAR_PENALTY_US: u64 = 1_000;

/// Chooses the server for a read.
pub fn route_read(question: &ReadQuestion, candidates: &[Candidate]) -> ReadRoute {
    let primary_first = question.policy == ReadPolicy::PrimaryAfterWrite && question.has_written;
    if !primary_first && let Some(server) = choose_replica(question, candidates) {
        return ReadRoute::Replica(server);
    }
    let primary = candidates.iter().find(|candidate| {
        candidate.primary && candidate.usable && !is_avoided(question, candidate)
    });
    match primary {
        Some(primary) => ReadRoute::Primary(primary.server),
        None if primary_first => {
            choose_replica(question, candidates).map_or(ReadRoute::Nowhere, ReadRoute::Replica)
        }
        None => ReadRoute::Nowhere,
    }
}

fn choose_replica(question: &ReadQuestion, candidates: &[Candidate]) -> Option<ServerId> {
    let fit = candidates.iter().filter(|candidate| is_fit(question, candidate));
    match question.policy {
        ReadPolicy::RoundRobin => {
            let count = fit.clone().count() as u64;
            let place = question.turn.checked_rem(count)?;
            fit.clone().nth(place as usize).map(|candidate| candidate.server)
        }
        ReadPolicy::LeastInFlight => {
            lowest(question, fit, |candidate| u64::from(candidate.in_flight))
        }
        ReadPolicy::Cost | ReadPolicy::PrimaryAfterWrite => lowest(question, fit, cost),
    }
}

fn is_fit(question: &ReadQuestion, candidate: &Candidate) -> bool {
    candidate.usable
        && !candidate.primary
        && !is_avoided(question, candidate)
        && candidate.applied.term >= question.point.term
        && candidate.applied.position >= question.point.position
}

fn is_avoided(question: &ReadQuestion, candidate: &Candidate) -> bool {
    question.avoid == Some(candidate.server)
}

/// Finds the lowest score, spreading equal ones by the question's turn.
fn lowest<'a>(
    question: &ReadQuestion,
    candidates: impl Iterator<Item = &'a Candidate>,
    score: impl Fn(&Candidate) -> u64,
) -> Option<ServerId> {
    candidates
        .min_by_key(|candidate| (score(candidate), spread(question.turn, candidate.server)))
        .map(|candidate| candidate.server)
}

/// The multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
const SPREAD_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns a number that orders servers differently from turn to turn.
fn spread(turn: u64, server: ServerId) -> u64 {
    turn.wrapping_add(u64::from(server.0)).wrapping_mul(SPREAD_MULTIPLIER)
}

/// Returns the time that an answer is expected to take, in units that only compare.
///
/// Work in flight counts in steps of the server's slots: until they are all busy, one more request
/// waits for nothing. The steps are coarse, and a latency is rounded to eighths of itself, so that
/// two servers that are alike share the load rather than taking turns at being a microsecond ahead.
fn cost(candidate: &Candidate) -> u64 {
    let slots = u64::from(candidate.slots.max(1));
    let rounds = 1 + u64::from(candidate.in_flight) / slots;
    let penalty = if candidate.near { 0 } else { FAR_PENALTY_US };
    coarse(u64::from(candidate.latency_us)) * rounds + penalty
}

fn coarse(latency_us: u64) -> u64 {
    let bits = 64 - latency_us.leading_zeros();
    let shift = bits.saturating_sub(3);
    (latency_us >> shift) << shift
}
