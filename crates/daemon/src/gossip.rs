//! Gossip: daemons exchange messages in pairs, so that updates reach all daemons without a central
//! sender.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use membership::Member;
use peer::{Body, GossipMessage, GroupDemand};
use rand::seq::IndexedRandom;

use crate::{
    context::{Context, PeerUpdate},
    control_messages::record_demands,
    peers::Peers,
};

/// Builds the gossip message to another daemon.
pub(crate) fn build_gossip_message(context: &Context, to_host: &str) -> GossipMessage {
    GossipMessage {
        host: context.host().to_string(),
        revision: context.in_force.load().revision,
        host_list_version: context.members.load().version(),
        stopping: context.is_stopping(),
        demands: demands_for(context, to_host),
    }
}

/// Returns the demands for the groups that both daemons own.
fn demands_for(context: &Context, to_host: &str) -> Vec<GroupDemand> {
    let mut demands = Vec::new();
    for group in context.held_groups() {
        let in_force = group.in_force.load();
        let owners = context.owners_of(&in_force.group);
        if owners.iter().any(|owner| *owner.host == *to_host) {
            demands.push(GroupDemand {
                service: group.id.service.to_string(),
                group: group.id.group.to_string(),
                wanted: group.pools.iter().map(|pool| pool.wanted()).collect(),
            });
        }
    }
    demands
}

/// Applies a gossip message from another daemon.
pub(crate) fn apply_gossip_message(context: &Context, message: &GossipMessage) {
    let sender = {
        let members = context.members.load();
        members.all().iter().find(|member| *member.host == *message.host).cloned()
    };
    let Some(sender) = sender else { return };
    if context.members.load().would_change(sender.key, message.stopping) {
        context.change_members(|members| {
            members.clear_suspicion(sender.key);
            if message.stopping {
                members.mark_stopping(sender.key, Instant::now());
            } else {
                members.mark_running(sender.key);
            }
        });
    }
    record_demands(context, sender.key, message);
    request_updates(context, message, sender.peer_address);
}

fn request_updates(context: &Context, message: &GossipMessage, address: SocketAddr) {
    // If the queue is full, a later message announces the update again.
    if message.revision > context.in_force.load().revision {
        let _ = context.updates.try_send(PeerUpdate::Configuration(address));
    }
    if message.host_list_version > context.members.load().version() {
        let _ = context.updates.try_send(PeerUpdate::HostList(address));
    }
}

/// Exchanges messages with one random daemon at the configured interval.
pub(crate) async fn gossip(context: Arc<Context>, peers: Arc<Peers>) {
    let interval = Duration::from_millis(context.settings.control.gossip_ms.max(1));
    loop {
        tokio::time::sleep(interval).await;
        for target in targets(&context, 1) {
            exchange(&context, &peers, target).await;
        }
        for group in context.held_groups() {
            context.share_connections(&group);
        }
    }
}

/// Exchanges messages with several random daemons at once.
pub(crate) async fn push_gossip(context: &Arc<Context>, peers: &Arc<Peers>, count: usize) {
    for target in targets(context, count) {
        let (context, peers) = (context.clone(), peers.clone());
        tokio::spawn(async move { exchange(&context, &peers, target).await });
    }
}

/// Selects daemons to exchange messages with: members, or the seeds while no member is listed.
fn targets(context: &Context, count: usize) -> Vec<Target> {
    let members = context.members.load();
    let others: Vec<&Member> =
        members.all().iter().filter(|member| member.key != context.key).collect();
    if others.is_empty() {
        return context
            .settings
            .control
            .seeds
            .iter()
            .map(|address| Target::seed(*address))
            .collect();
    }
    let mut rng = rand::rng();
    others.sample(&mut rng, count).map(|member| Target::member(member)).collect()
}

struct Target {
    address: SocketAddr,
    host: String,
    key: Option<u64>,
}

impl Target {
    fn seed(address: SocketAddr) -> Target {
        Target { address, host: String::new(), key: None }
    }

    fn member(member: &Member) -> Target {
        Target {
            address: member.peer_address,
            host: member.host.to_string(),
            key: Some(member.key),
        }
    }
}

async fn exchange(context: &Context, peers: &Peers, target: Target) {
    let message = build_gossip_message(context, &target.host);
    let answer = call_peer(context, peers, target.address, Body::Gossip(message)).await;
    match answer {
        Some(Body::Gossip(message)) => {
            apply_gossip_message(context, &message);
            // `apply_gossip_message` ignores a seed that is not in the member list, but its updates are
            // needed.
            request_updates(context, &message, target.address);
        }
        _ => {
            if let Some(key) = target.key {
                context.change_members(|members| members.suspect(key, Instant::now()));
            }
        }
    }
}

/// Sends a daemon a request that has one answer.
pub(crate) async fn call_peer(
    context: &Context,
    peers: &Peers,
    address: SocketAddr,
    body: Body,
) -> Option<Body> {
    let timeout = Duration::from_millis(context.settings.control.peer_timeout_ms);
    let answer = async {
        let client = peers.get(address).await.ok()?;
        let mut answers = client.call(body).await.ok()?;
        answers.next().await.ok()
    };
    tokio::time::timeout(timeout, answer).await.ok().flatten()
}
