//! Watches the servers of the groups that this daemon owns or uses.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use failover::{OwnerView, PrimaryAssessment, PrimaryObservation, SuspicionRules, assess_primary};
use model::{GroupId, ServerId, ServerRole, ServerStatus};
use peer::{Body, ViewRequest};
use store::KeyValueStore;

use crate::{
    context::Context,
    dialect::{Dialect, ServerDialect},
    failover_runner::{FailoverReason, FailoverRunner},
    gossip::call_peer,
    group_state::GroupState,
    peers::Peers,
    planned_switch::switch_primary,
};

/// How often the set of watched groups is updated.
const GROUP_SCAN_INTERVAL: Duration = Duration::from_millis(200);

/// A group that is neither owned nor used for this long is dropped.
const UNUSED_GROUP_TTL: Duration = Duration::from_secs(5);

/// Starts a watch for each held group, and drops unused groups.
pub(crate) async fn watch_groups<P: KeyValueStore + 'static>(context: Arc<Context>, store: Arc<P>) {
    let timeout = Duration::from_millis(context.settings.control.peer_timeout_ms);
    let peers = Arc::new(Peers::new(timeout));
    let mut watched: HashSet<GroupId> = HashSet::new();
    let mut scanned_version = None;
    loop {
        // A scan of all configured groups is expensive, so it is done only after a change.
        let version = context.ownership_version();
        if scanned_version.replace(version) != Some(version) {
            load_owned_groups(&context);
        }
        drop_unused_groups(&context);
        let held = context.held_groups();
        watched.retain(|id| held.iter().any(|group| group.id == *id));
        for group in held {
            if watched.insert(group.id.clone()) {
                context.share_connections(&group);
                let failover = FailoverRunner::new(
                    context.clone(),
                    store.clone(),
                    group.clone(),
                    peers.clone(),
                );
                tokio::spawn(watch_group(context.clone(), peers.clone(), group, failover));
            }
        }
        tokio::time::sleep(GROUP_SCAN_INTERVAL).await;
    }
}

/// Creates the state of the groups that this daemon owns. Does nothing while no members are known: the
/// daemon would own all groups, and take connections from the actual owners.
fn load_owned_groups(context: &Context) {
    if context.members.load().all().is_empty() {
        return;
    }
    let in_force = context.in_force.load_full();
    for (id, group) in &in_force.configuration.groups {
        if context.owns(group) {
            // Creating the state is enough. The next scan starts the watch.
            let _ = context.group(id);
        }
    }
}

fn drop_unused_groups(context: &Context) {
    let unused: Vec<Arc<GroupState>> = context
        .held_groups()
        .into_iter()
        .filter(|group| {
            group.unused_for() > UNUSED_GROUP_TTL && !context.owns(&group.in_force.load().group)
        })
        .collect();
    for group in unused {
        context.groups.write().remove(&group.id);
        group.close();
    }
}

/// Whether the daemon still holds this state for the group.
fn is_held(context: &Context, group: &Arc<GroupState>) -> bool {
    context.groups.read().get(&group.id).is_some_and(|held| Arc::ptr_eq(held, group))
}

fn heartbeat_of(group: &GroupState) -> Duration {
    Duration::from_millis(group.in_force.load().configuration.failover.heartbeat_ms)
}

/// Watches one group until its state is dropped or replaced.
async fn watch_group<P: KeyValueStore + 'static>(
    context: Arc<Context>,
    peers: Arc<Peers>,
    group: Arc<GroupState>,
    mut failover: FailoverRunner<P>,
) {
    tokio::spawn(sample_primary(context.clone(), group.clone()));
    for server in (0..group.links.len()).map(ServerId::from_index) {
        tokio::spawn(watch_server(context.clone(), group.clone(), server));
    }
    while is_held(&context, &group) {
        let in_force = group.in_force.load_full();
        let rules = &in_force.configuration.failover;
        let suspicion =
            SuspicionRules { suspect_after: Duration::from_millis(rules.suspect_after_ms) };
        if context.owns(&in_force.group) && !context.is_stopping() {
            check_primary(&context, &peers, &group, &mut failover, suspicion).await;
        }
        let limits = &in_force.configuration.limits;
        for pool in &group.pools {
            pool.close_idle(Duration::from_millis(limits.idle_connection_ms), 1);
        }
        tokio::time::sleep(heartbeat_of(&group)).await;
    }
}

/// Samples the primary's position at each heartbeat, with evidence that it still leads.
async fn sample_primary(context: Arc<Context>, group: Arc<GroupState>) {
    while is_held(&context, &group) {
        if group.view.read().primary.is_some() {
            // `get` adds a sample on success. On failure, the queries have recorded which servers did
            // not answer.
            let _ = group.read_index.get().await;
            tokio::time::sleep(heartbeat_of(&group)).await;
        } else {
            group.wait_for_change(Instant::now() + heartbeat_of(&group)).await;
        }
    }
}

/// Queries one server whenever its last answer is older than half a heartbeat. Each server has a
/// separate loop, so that a server that does not answer does not delay the queries of others.
async fn watch_server(context: Arc<Context>, group: Arc<GroupState>, server: ServerId) {
    while is_held(&context, &group) {
        let heartbeat = heartbeat_of(&group);
        let due = {
            let view = group.view.read();
            let observed = &view.servers[server.index()];
            observed.silent_since.is_some()
                || observed.requested_at.is_none_or(|at| at.elapsed() > heartbeat / 2)
        };
        if due && group.query_status(server).await.is_err_and(|error| error.is_shutting_down()) {
            // A server reports its shutdown earlier than the platform's host list does.
            let address = group.in_force.load().group.servers[server.index()].address;
            context.leaving.write().mark_leaving(address, Instant::now());
        }
        tokio::time::sleep(heartbeat).await;
    }
}

/// Assesses the primary, and starts a failover, a planned switch or repairs as needed.
async fn check_primary<P: KeyValueStore + 'static>(
    context: &Arc<Context>,
    peers: &Arc<Peers>,
    group: &Arc<GroupState>,
    failover: &mut FailoverRunner<P>,
    rules: SuspicionRules,
) {
    let observation = observe_primary(group, rules);
    let mut assessment = assess_primary(rules, &observation, None);
    if assessment == PrimaryAssessment::AskOwners {
        let others = other_views(context, peers, group).await;
        assessment = assess_primary(rules, &observation, Some(&others));
    }
    match assessment {
        PrimaryAssessment::Failed => {
            let silent_ms = observation.silent_for.map_or(0, |silent| silent.as_millis() as u64);
            log::warn!(
                group = group.id.to_string().as_str(), silent_ms,
                leaderless = !observation.has_leader;
                "the primary is considered failed"
            );
            failover.run(FailoverReason::Failure).await;
        }
        PrimaryAssessment::NoMajority => failover.warn_no_majority(),
        PrimaryAssessment::Healthy | PrimaryAssessment::AskOwners => {
            reattach_followers(group, rules).await;
            if primary_is_leaving(context, group) {
                switch_primary(context, peers, group, failover).await;
            }
        }
    }
}

fn observe_primary(group: &GroupState, rules: SuspicionRules) -> PrimaryObservation {
    let view = group.view.read();
    let now = Instant::now();
    let primary = view.primary;
    let others = || {
        view.statuses()
            .filter(|(server, _)| Some(*server) != primary && view.is_responding(*server))
    };
    let silent_leader = |status: &ServerStatus| {
        status.role == ServerRole::Replica
            && status
                .leader_silence_ms
                .is_some_and(|silence| Duration::from_millis(silence) >= rules.suspect_after)
    };
    let silent_for = primary.map(|primary| view.silent_for(primary, now).unwrap_or_default());
    PrimaryObservation {
        silent_for,
        watched_for: now.saturating_duration_since(view.watched_since),
        replicas_answering: others().count().min(group.links.len() - 1),
        replicas_without_leader: others().filter(|(_, status)| silent_leader(status)).count(),
        replicas: group.links.len() - 1,
        has_leader: primary.is_some(),
    }
}

async fn other_views(
    context: &Arc<Context>,
    peers: &Arc<Peers>,
    group: &GroupState,
) -> Vec<OwnerView> {
    let owners = context.owners_of(&group.in_force.load().group);
    let request =
        ViewRequest { service: group.id.service.to_string(), group: group.id.group.to_string() };
    let requests = owners.iter().filter(|owner| owner.key != context.key).map(|owner| {
        let request = request.clone();
        async move {
            match call_peer(context, peers, owner.peer_address, Body::ViewRequest(request)).await {
                Some(Body::ViewAnswer(view)) if view.reachable => OwnerView::Reachable,
                Some(Body::ViewAnswer(_)) => OwnerView::Unreachable,
                _ => OwnerView::NoAnswer,
            }
        }
    });
    futures::future::join_all(requests).await
}

/// Makes servers that don't follow the primary follow it, such as a former primary or a server that
/// missed a failover.
async fn reattach_followers(group: &GroupState, rules: SuspicionRules) {
    let (primary, term, detached) = {
        let view = group.view.read();
        let Some(primary) = view.primary else { return };
        if !view.is_responding(primary) {
            return;
        }
        let detached: Vec<ServerId> = view
            .statuses()
            .filter(|(server, status)| {
                *server != primary
                    && view.is_responding(*server)
                    && status.promised_term <= view.term
                    && needs_follow(status, view.term, rules)
            })
            .map(|(server, _)| server)
            .collect();
        (primary, view.term, detached)
    };
    let address = group.in_force.load().group.servers[primary.index()].address;
    for server in detached {
        let outcome = group.run_statement(server, Dialect::follow(term, address)).await;
        log::info!(
            group = group.id.to_string().as_str(), server = server.0, done = outcome.is_ok();
            "requested a server to follow the primary"
        );
    }
}

fn needs_follow(status: &ServerStatus, term: model::Term, rules: SuspicionRules) -> bool {
    let silent = status
        .leader_silence_ms
        .is_some_and(|silence| Duration::from_millis(silence) >= rules.suspect_after);
    status.role == ServerRole::Primary || (status.log_term < term && silent)
}

fn primary_is_leaving(context: &Context, group: &GroupState) -> bool {
    let in_force = group.in_force.load();
    if !in_force.configuration.leaving.switch_primary {
        return false;
    }
    let Some(primary) = group.view.read().primary else { return false };
    let address = in_force.group.servers[primary.index()].address;
    context.leaving.read().is_leaving(&address)
}
