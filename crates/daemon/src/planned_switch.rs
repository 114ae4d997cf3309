//! A planned switch: the primary is replaced without an error for anybody.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use failover::FailoverOutcome;
use model::{Position, ServerId};
use peer::{Body, HoldRequest};
use store::KeyValueStore;

use crate::{
    context::Context,
    control_messages::set_hold,
    failover_runner::{FailoverReason, FailoverRunner},
    gossip::call_peer,
    group_state::GroupState,
    peers::Peers,
};

/// How often running work and the target's position are looked at during a hold.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Replaces a leaving primary: holds new transactions back at every owner, lets running ones finish,
/// waits for the target to hold everything, then promotes it.
///
/// When running work does not finish in time, the hold ends and the switch is tried again later.
pub(crate) async fn switch_primary<P: KeyValueStore + 'static>(
    context: &Arc<Context>,
    peers: &Arc<Peers>,
    group: &Arc<GroupState>,
    failover: &mut FailoverRunner<P>,
) {
    if !is_first_owner(context, group) {
        return;
    }
    let Some(target) = choose_target(context, group) else { return };
    let hold_ms = group.in_force.load().configuration.failover.switch_hold_ms;
    let until = Instant::now() + Duration::from_millis(hold_ms);
    let began = Instant::now();
    let drained = drain(context, peers, group, target, until).await;
    let outcome =
        if drained { Some(failover.run(FailoverReason::Switch { target }).await) } else { None };
    hold_at_all_owners(context, peers, group, 0).await;
    let switched = matches!(outcome, Some(FailoverOutcome::Promoted { .. }));
    log::info!(
        group = group.id.to_string().as_str(), drained, switched,
        held_ms = began.elapsed().as_millis() as u64;
        "a planned switch has ended"
    );
}

/// One owner switches, so that holds do not cross.
fn is_first_owner(context: &Context, group: &GroupState) -> bool {
    let owners = context.owners_of(&group.in_force.load().group);
    owners.first().is_none_or(|owner| owner.key == context.key)
}

/// Chooses the server that is furthest along among those that stay.
fn choose_target(context: &Context, group: &GroupState) -> Option<ServerId> {
    let in_force = group.in_force.load();
    let view = group.view.read();
    view.statuses()
        .filter(|(server, status)| {
            let address = &in_force.group.servers[server.index()].address;
            Some(*server) != view.primary
                && view.is_responding(*server)
                && status.promised_term == view.term
                && !context.leaving.read().is_leaving(address)
        })
        .max_by_key(|(_, status)| status.held())
        .map(|(server, _)| server)
}

async fn drain(
    context: &Arc<Context>,
    peers: &Arc<Peers>,
    group: &Arc<GroupState>,
    target: ServerId,
    until: Instant,
) -> bool {
    while Instant::now() < until {
        let left = u64::try_from((until - Instant::now()).as_millis()).unwrap_or(u64::MAX);
        // The hold outlasts the drain by the time that the promotion itself may take.
        let running = hold_at_all_owners(context, peers, group, left + PROMOTION_HOLD_MS).await;
        if running == Some(0) && has_caught_up(group, target).await {
            return true;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    false
}

/// The time that a promotion under a hold may take.
const PROMOTION_HOLD_MS: u64 = 2_000;

/// Sets or ends the hold at every owner, returning what still runs; `None` if an owner is silent.
async fn hold_at_all_owners(
    context: &Arc<Context>,
    peers: &Arc<Peers>,
    group: &GroupState,
    hold_ms: u64,
) -> Option<u32> {
    let request = HoldRequest {
        service: group.id.service.to_string(),
        group: group.id.group.to_string(),
        hold_ms,
    };
    let owners = context.owners_of(&group.in_force.load().group);
    let requests = owners.iter().filter(|owner| owner.key != context.key).map(|owner| {
        let request = request.clone();
        async move {
            match call_peer(context, peers, owner.peer_address, Body::HoldRequest(request)).await {
                Some(Body::HoldAnswer(answer)) => Some(answer.running),
                _ => None,
            }
        }
    });
    let (own, others) =
        futures::join!(set_hold(context, &request), futures::future::join_all(requests));
    others.into_iter().try_fold(own.running, |running, other| Some(running + other?))
}

/// Whether the target holds everything that the primary has.
async fn has_caught_up(group: &GroupState, target: ServerId) -> bool {
    let Some(primary) = group.view.read().primary else { return false };
    let position = async |server: ServerId| -> Option<Position> {
        group.query_status(server).await.ok().map(|answer| answer.status.held_position)
    };
    let primary_position = position(primary).await;
    let target_position = position(target).await;
    primary_position.is_some() && target_position >= primary_position
}
