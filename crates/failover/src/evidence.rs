//! Decides from server statuses, without a clock, whether a write may be acknowledged.

use config::Acknowledge;
use model::{LogPoint, ServerRole, ServerStatus};

/// The status of a server other than the primary, requested after the primary had answered.
#[derive(Clone, Copy, Debug)]
pub struct OtherServerStatus<'a> {
    /// The server's answer.
    pub status: &'a ServerStatus,
}

/// What the collected statuses prove about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The write may be acknowledged.
    Sufficient,
    /// The write may not be acknowledged yet; further statuses may allow it.
    Insufficient,
    /// A newer term makes a confirmation by a majority impossible: the write's effect is unknown.
    Deposed,
}

/// Assesses the evidence for a write at `write`, in a group of `servers` servers.
///
/// `primary` is the status that the primary sent after the write's answer, on the same connection.
/// `others` are statuses that were requested after that. This is sufficient because:
///
/// * A newer term starts only after a majority of the servers was sealed at that term. If a majority is
///   still unsealed after the primary's answer, no newer term had started when the write ran.
/// * Under [`Acknowledge::Majority`] each of these servers also holds the write. Any majority that is
///   sealed later includes one of them, and the server with the longest log is chosen.
pub fn assess_evidence(
    rule: Acknowledge,
    write: LogPoint,
    primary: &ServerStatus,
    others: &[OtherServerStatus<'_>],
    servers: usize,
) -> Evidence {
    // A server whose term or role has changed reports a history other than the write's.
    if primary.role != ServerRole::Primary || primary.log_term != write.term {
        return Evidence::Deposed;
    }
    let majority = servers / 2 + 1;
    let same_term = |status: &ServerStatus| status.promised_term == write.term;
    let confirms = |status: &ServerStatus| {
        same_term(status)
            && match rule {
                Acknowledge::Term => true,
                Acknowledge::Majority => {
                    status.log_term == write.term && status.held_position >= write.position
                }
            }
    };
    let primary_confirms = primary.leads() && confirms(primary);
    let confirming = usize::from(primary_confirms)
        + others.iter().filter(|other| confirms(other.status)).count();
    if confirming >= majority {
        return Evidence::Sufficient;
    }
    let sealed_above = |status: &ServerStatus| status.promised_term > write.term;
    let sealed_count = usize::from(sealed_above(primary))
        + others.iter().filter(|other| sealed_above(other.status)).count();
    if servers - sealed_count.min(servers) < majority {
        Evidence::Deposed
    } else {
        Evidence::Insufficient
    }
}
