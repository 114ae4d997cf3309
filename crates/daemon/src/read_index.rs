//! The read index: a log point of the primary, with evidence from other servers that it still leads.
//! Requests that wait at the same time share one read index.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use config::Acknowledge;
use failover::Evidence;
use model::LogPoint;

use crate::group_state::{EvidenceRequest, GroupState};

/// Capacity of the queue for the next round.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Timeout of one round.
const ROUND_TIMEOUT: Duration = Duration::from_secs(1);

/// Why there is no read index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadIndexError {
    /// No primary is known, or it does not answer.
    NoPrimary,
    /// Too few servers confirm that the primary still leads.
    NotConfirmed,
}

type IndexReply = flume::Sender<Result<LogPoint, ReadIndexError>>;

/// A handle for requesting the read index.
#[derive(Debug)]
pub(crate) struct ReadIndex {
    requests: flume::Sender<IndexReply>,
}

impl ReadIndex {
    pub(crate) fn new() -> (ReadIndex, flume::Receiver<IndexReply>) {
        let (sender, requests) = flume::bounded(MAX_QUEUED_REQUESTS);
        (ReadIndex { requests: sender }, requests)
    }

    /// Returns a log point that covers every write acknowledged before the call.
    pub(crate) async fn get(&self) -> Result<LogPoint, ReadIndexError> {
        let (reply, answer) = flume::bounded(1);
        self.requests.send_async(reply).await.map_err(|_| ReadIndexError::NoPrimary)?;
        answer.recv_async().await.map_err(|_| ReadIndexError::NoPrimary)?
    }
}

/// Serves requests in rounds until the group is dropped. A round starts after its requests were made,
/// so that its result covers every write acknowledged before them.
pub(crate) async fn serve_rounds(group: Weak<GroupState>, requests: flume::Receiver<IndexReply>) {
    while let Ok(first) = requests.recv_async().await {
        let mut waiting = vec![first];
        waiting.extend(requests.drain());
        let Some(group) = group.upgrade() else { return };
        let index = run_round(&group).await;
        for reply in waiting {
            // The requester may have given up.
            let _ = reply.send(index);
        }
    }
}

async fn run_round(group: &Arc<GroupState>) -> Result<LogPoint, ReadIndexError> {
    let primary = group.view.read().primary.ok_or(ReadIndexError::NoPrimary)?;
    let answer = group.query_status(primary).await.map_err(|_| ReadIndexError::NoPrimary)?;
    let point = answer.status.held();
    let request = EvidenceRequest {
        rule: Acknowledge::Term,
        point,
        primary,
        primary_status: &answer.status,
        deadline: Instant::now() + ROUND_TIMEOUT,
    };
    let evidence = group.wait_for_evidence(request).await;
    if evidence != Evidence::Sufficient {
        return Err(ReadIndexError::NotConfirmed);
    }
    group.view.write().samples.add(answer.requested_at, point);
    Ok(point)
}
