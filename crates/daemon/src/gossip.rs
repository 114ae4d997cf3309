//! Gossip: daemons exchange notes in pairs, so that updates reach all of them without a central
//! sender.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use membership::Member;
use peer::{Body, GossipNote, GroupDemand};
use rand::seq::IndexedRandom;

use crate::{
    context::{Context, PeerUpdate},
    control_messages::record_demands,
    peers::Peers,
};

/// Builds this daemon's note for another one.
pub(crate) fn build_note(context: &Context, to_host: &str) -> GossipNote {
    GossipNote {
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

/// Applies another daemon's note.
pub(crate) fn apply_note(context: &Context, note: &GossipNote) {
    let sender = {
        let members = context.members.load();
        members.all().iter().find(|member| *member.host == *note.host).cloned()
    };
    let Some(sender) = sender else { return };
    if context.members.load().would_change(sender.key, note.stopping) {
        context.change_members(|members| {
            members.clear_suspicion(sender.key);
            if note.stopping {
                members.mark_stopping(sender.key, Instant::now());
            } else {
                members.mark_running(sender.key);
            }
        });
    }
    record_demands(context, sender.key, note);
    request_updates(context, note, sender.peer_address);
}

fn request_updates(context: &Context, note: &GossipNote, address: SocketAddr) {
    // If the queue is full, a later note announces the update again.
    if note.revision > context.in_force.load().revision {
        let _ = context.updates.try_send(PeerUpdate::Configuration(address));
    }
    if note.host_list_version > context.members.load().version() {
        let _ = context.updates.try_send(PeerUpdate::HostList(address));
    }
}

/// Exchanges notes with one random daemon at the configured interval.
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

/// Exchanges notes with several random daemons at once.
pub(crate) async fn push_gossip(context: &Arc<Context>, peers: &Arc<Peers>, count: usize) {
    for target in targets(context, count) {
        let (context, peers) = (context.clone(), peers.clone());
        tokio::spawn(async move { exchange(&context, &peers, target).await });
    }
}

/// Selects daemons to exchange notes with: members, or the seeds while no member is listed.
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
    let note = build_note(context, &target.host);
    let answer = call_peer(context, peers, target.address, Body::Gossip(note)).await;
    match answer {
        Some(Body::Gossip(note)) => {
            apply_note(context, &note);
            // A seed may not be listed yet, but its updates are needed.
            request_updates(context, &note, target.address);
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
