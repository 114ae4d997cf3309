//! A planned switch: replaces the primary without errors for callers.

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

/// How often running work and the target's position are checked during a hold.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Replaces a leaving primary: holds back new transactions at every owner, lets running ones
/// finish, waits until the target has caught up, then promotes it.
///
/// If running work does not finish in time, the hold ends and the switch is tried again later.
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

/// Whether this daemon is the group's first owner. Only the first owner switches the primary, so that
/// holds of several owners do not interfere.
fn is_first_owner(context: &Context, group: &GroupState) -> bool {
    let owners = context.owners_of(&group.in_force.load().group);
    owners.first().is_none_or(|owner| owner.key == context.key)
}

/// Selects the server with the highest log point among those that are not leaving.
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
        let remaining_ms = u64::try_from((until - Instant::now()).as_millis()).unwrap_or(u64::MAX);
        // The hold must last until the promotion that follows the drain has ended.
        let running =
            hold_at_all_owners(context, peers, group, remaining_ms + PROMOTION_HOLD_MS).await;
        if running == Some(0) && has_caught_up(group, target).await {
            return true;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    false
}

/// Time allowed for a promotion under a hold.
const PROMOTION_HOLD_MS: u64 = 2_000;

/// Sets or ends the hold at every owner. Returns how much work still runs, or `None` if an owner
/// does not answer.
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

/// Whether the target has reached the primary's position.
async fn has_caught_up(group: &GroupState, target: ServerId) -> bool {
    let Some(primary) = group.view.read().primary else { return false };
    let position = async |server: ServerId| -> Option<Position> {
        group.query_status(server).await.ok().map(|answer| answer.status.held_position)
    };
    let primary_position = position(primary).await;
    let target_position = position(target).await;
    primary_position.is_some() && target_position >= primary_position
}
