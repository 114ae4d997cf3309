//! Chooses the server of a group that runs a statement.

use std::time::Duration;

use overload::ZoneDistance;

/// A server that may run the statement.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the server in the group's list.
    pub index: usize,
    /// Distance to the server.
    pub distance: ZoneDistance,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Number of idle connections to it.
    pub idle: u32,
    /// Number of connections in use by this daemon.
    pub in_use: u32,
    /// Maximum number of connections from this daemon to it.
    pub limit: u32,
    /// Whether the capacity available to the statement is in use.
    pub is_full: bool,
    /// Whether another replica is preferred for the account, since it more likely has a connection for that account.
    pub is_non_preferred: bool,
    /// Average latency in microseconds; 0 if it is unknown.
    pub latency_us: u32,
    /// Expected queueing time before the statement starts, as reported by the owner of the connections, in
    /// microseconds.
    pub wait_us: u64,
}

/// The result of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Use an idle connection to the server at this index.
    UseIdle(usize),
    /// Open a connection to the server at this index.
    Open(usize),
    /// Wait for a connection, since all are in use.
    Wait,
    /// No server may run the statement.
    NoServer,
}

/// Cost added to a server in another availability zone, for the round trip and the traffic charges. Such a
/// server is chosen only if those in the same zone are busy or slow.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(60);
/// Cost added to a server in another region, on top of the cost of crossing zones. The latency is measured
/// separately; this keeps reads off the limited bandwidth between regions, which writes need.
const CROSS_REGION_PENALTY: Duration = Duration::from_millis(60);
/// Cost added to the primary, which is the only server for writes.
const PRIMARY_PENALTY: Duration = Duration::from_millis(10);
/// Cost added to the primary where connections are scarce and all daemons compete for those to the primary. Higher than
/// `CROSS_ZONE_PENALTY`, so that reads prefer a replica in another zone over a primary in the same zone. Otherwise two
/// thirds more writes are late.
const SCARCE_PRIMARY_PENALTY: Duration = Duration::from_millis(65);
/// Cost added to a replica that is not the preferred one of the account. Higher than `CROSS_ZONE_PENALTY`,
/// since opening a connection to such a replica takes one of its slots for longer. On a quiet day of a site with accounts
/// 5,353 connections are opened instead of 7,202.
const NON_PREFERRED_PENALTY: Duration = Duration::from_millis(90);
/// Cost of opening a connection, whose handshake takes a slot of the server.
const OPEN_PENALTY: Duration = Duration::from_millis(15);

/// Chooses among the servers that may run a statement; `scarce` is set if there are more daemons than
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

/// Estimates the cost of a server as the time until its answer in microseconds, plus the added costs.
fn cost_us(candidate: &Candidate, primary_penalty: Duration) -> u64 {
    let outstanding = 1 + u64::from(candidate.in_use);
    let mut cost = u64::from(candidate.latency_us) * outstanding + candidate.wait_us;
    cost += micros(match candidate.distance {
        ZoneDistance::SameZone => Duration::ZERO,
        ZoneDistance::SameRegion => CROSS_ZONE_PENALTY,
        ZoneDistance::OtherRegion => CROSS_ZONE_PENALTY + CROSS_REGION_PENALTY,
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

/// Marks every replica except the preferred one of the account, which has the highest rendezvous score. The
/// reads of an account then reuse its connections instead of opening one at each replica.
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
