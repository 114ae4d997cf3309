//! Answers the requests of other daemons, except jobs.

use std::time::{Duration, Instant};

use bytes::Bytes;
use config::ChunkHash;
use model::{GroupId, ServerId};
use peer::{
    Body, ChunkAnswer, GossipMessage, HeadAnswer, HoldAnswer, HoldRequest, HostListAnswer,
    HostListEntry, TermNotice, ViewAnswer, ViewRequest,
};

use crate::{
    context::{Context, ReportedDemand},
    gossip::{apply_gossip_message, build_gossip_message},
    group_state::GroupState,
};

/// Answers a request. Returns `None` for messages without an answer.
pub(crate) async fn answer_control(context: &Context, body: Body) -> Option<Body> {
    match body {
        Body::Gossip(message) => Some(Body::Gossip(exchange_gossip(context, &message))),
        Body::HeadRequest(_) => Some(Body::HeadAnswer(head_answer(context))),
        Body::ChunkRequest(request) => {
            let chunk = context.configuration_store.chunk(&ChunkHash(request.hash));
            Some(Body::ChunkAnswer(ChunkAnswer { text: chunk.map(|chunk| chunk.text.clone()) }))
        }
        Body::HostListRequest(_) => Some(Body::HostListAnswer(host_list_answer(context))),
        Body::ViewRequest(request) => Some(Body::ViewAnswer(view_answer(context, &request))),
        Body::TermNotice(notice) => {
            refresh_for_term(context, &notice).await;
            None
        }
        Body::HoldRequest(request) => Some(Body::HoldAnswer(set_hold(context, &request).await)),
        _ => None,
    }
}

fn exchange_gossip(context: &Context, message: &GossipMessage) -> GossipMessage {
    apply_gossip_message(context, message);
    build_gossip_message(context, &message.host)
}

fn head_answer(context: &Context) -> HeadAnswer {
    let head = context.configuration_store.head();
    if head.revision == 0 {
        return HeadAnswer { head: Bytes::new() };
    }
    let head = serde_json::to_vec(&head).unwrap_or_default();
    HeadAnswer { head: Bytes::from(head) }
}

fn host_list_answer(context: &Context) -> HostListAnswer {
    let members = context.members.load();
    let daemons = members.all().iter().map(|member| HostListEntry {
        host: member.host.to_string(),
        availability_zone: member.availability_zone.to_string(),
        region: member.region.to_string(),
        address: member.peer_address.to_string(),
        endpoint: false,
        leaving: member.state == membership::MemberState::Leaving,
    });
    let leaving = context.listed_leaving.read();
    let endpoints = leaving.iter().map(|address| HostListEntry {
        address: address.to_string(),
        endpoint: true,
        leaving: true,
        ..HostListEntry::default()
    });
    HostListAnswer { version: members.version(), hosts: daemons.chain(endpoints).collect() }
}

fn view_answer(context: &Context, request: &ViewRequest) -> ViewAnswer {
    let id = GroupId::new(request.service.as_str(), request.group.as_str());
    let group = context.groups.read().get(&id).cloned();
    let Some(group) = group else { return ViewAnswer { reachable: false, term: 0 } };
    let in_force = group.in_force.load();
    let rules = &in_force.configuration.failover;
    // An older answer does not show that the primary is reachable now.
    let max_age = Duration::from_millis((rules.suspect_after_ms / 2).max(2 * rules.heartbeat_ms));
    let view = group.view.read();
    let reachable = view.primary.is_some_and(|primary| {
        let requested_at = view.servers[primary.index()].requested_at;
        view.is_responding(primary) && requested_at.is_some_and(|at| at.elapsed() < max_age)
    });
    ViewAnswer { reachable, term: view.term.0 }
}

/// Queries a group's servers at once when another owner announces a new term.
async fn refresh_for_term(context: &Context, notice: &TermNotice) {
    let id = GroupId::new(notice.service.as_str(), notice.group.as_str());
    let group = context.groups.read().get(&id).cloned();
    let Some(group) = group else { return };
    if group.view.read().term.0 >= notice.term {
        return;
    }
    query_all_servers(&group).await;
}

/// Holds back new transactions of a group, or releases them.
///
/// The servers are queried before a release, so that no transaction starts at the former primary,
/// where it would fail.
pub(crate) async fn set_hold(context: &Context, request: &HoldRequest) -> HoldAnswer {
    let id = GroupId::new(request.service.as_str(), request.group.as_str());
    let group = context.groups.read().get(&id).cloned();
    let Some(group) = group else { return HoldAnswer { running: 0 } };
    if request.hold_ms == 0 {
        query_all_servers(&group).await;
        group.view.write().held_until = None;
        group.changed.notify_waiters();
    } else {
        let until = Instant::now() + Duration::from_millis(request.hold_ms);
        group.view.write().held_until = Some(until);
    }
    let running = group.writing.load(std::sync::atomic::Ordering::Acquire);
    HoldAnswer { running }
}

async fn query_all_servers(group: &GroupState) {
    let queries =
        (0..group.links.len()).map(|index| group.query_status(ServerId::from_index(index)));
    futures::future::join_all(queries).await;
}

/// Records the demands of another owner for the groups that it shares with this daemon.
pub(crate) fn record_demands(context: &Context, owner: u64, message: &GossipMessage) {
    let mut demands = context.demands.lock();
    for demand in &message.demands {
        let id = GroupId::new(demand.service.as_str(), demand.group.as_str());
        let reported =
            ReportedDemand { wanted: demand.wanted.clone(), reported_at: Instant::now() };
        demands.entry(id).or_default().insert(owner, reported);
    }
}
