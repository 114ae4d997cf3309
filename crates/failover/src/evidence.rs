//! Whether a write may be acknowledged, by evidence and without a clock.

use config::Acknowledge;
use model::{LogPoint, ServerRole, ServerStatus};

/// The status of a server other than the primary, asked for after the primary had answered.
#[derive(Clone, Copy, Debug)]
pub struct SecondStatus<'a> {
    /// Its answer.
    pub status: &'a ServerStatus,
}

/// What the evidence allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The write may be acknowledged.
    Enough,
    /// More evidence may come.
    Wait,
    /// So many servers are sealed at a higher term that it can't come: the write's effect is unknown.
    Deposed,
}

/// Judges the evidence for a write at `write`, in a group of `servers` servers.
///
/// `primary` is the status that the primary sent behind the write's answer, on the same connection.
/// `others` are statuses asked for after that. The argument why this suffices:
///
/// * A newer term opens only after a majority was sealed at it. A majority that is not sealed yet,
///   when asked after the primary's answer, shows that no newer term was open when the write ran.
/// * Under [`Acknowledge::Majority`] each of them holds the write as well, so any majority that is
///   sealed later has a server that holds it, and the server with the longest log is chosen.
pub fn judge_evidence(
    rule: Acknowledge,
    write: LogPoint,
    primary: &ServerStatus,
    others: &[SecondStatus<'_>],
    servers: usize,
) -> Evidence {
    // A server that has changed its term or role since tells of another history than the write's.
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
        return Evidence::Enough;
    }
    let sealed_above = |status: &ServerStatus| status.promised_term > write.term;
    let lost = usize::from(sealed_above(primary))
        + others.iter().filter(|other| sealed_above(other.status)).count();
    if servers - lost.min(servers) < majority { Evidence::Deposed } else { Evidence::Wait }
}
