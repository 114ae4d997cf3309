//! The report of `wardtiller show`.

use std::{sync::atomic::Ordering, time::Instant};

use model::ServerId;
use serde::{Deserialize, Serialize};

use crate::{context::Context, group_state::GroupState};

/// A daemon's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShowReport {
    /// The host.
    pub host: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// How long the daemon has run.
    pub up_ms: u64,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// The configuration revision in force.
    pub revision: u64,
    /// The id of the change that introduced the revision.
    pub change_id: String,
    /// Whether the last call to the platform's store succeeded. Otherwise configurations come only
    /// from other daemons, and no server is promoted.
    pub store_reachable: bool,
    /// Daemons in the host list.
    pub members_listed: usize,
    /// Daemons in the host list that may get work.
    pub members_usable: usize,
    /// Connected callers.
    pub callers: u32,
    /// Configured groups that this daemon owns.
    pub groups_to_own: usize,
    /// The groups whose state this daemon holds.
    pub groups: Vec<ShowGroup>,
}

/// A group's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShowGroup {
    /// The group.
    pub group: String,
    /// Whether this daemon is among its owners.
    pub owned: bool,
    /// The newest term known.
    pub term: u64,
    /// The primary's name, if there is one.
    pub primary: Option<String>,
    /// Whether a planned switch holds back new transactions.
    pub held: bool,
    /// Requests that wait for a connection.
    pub waiting: u32,
    /// The servers.
    pub servers: Vec<ShowServer>,
}

/// A server's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShowServer {
    /// Its name.
    pub server: String,
    /// Its address.
    pub address: String,
    /// Whether it answered the last query.
    pub answers: bool,
    /// Whether it may get new work.
    pub gets_work: bool,
    /// The last position that is visible to its reads.
    pub applied_position: u64,
    /// The last position that it holds.
    pub held_position: u64,
    /// The maximum age of its data, or `None` without a sample.
    pub staleness_ms: Option<u64>,
    /// Connections open from this daemon.
    pub connections: u32,
    /// Connections that this daemon may open.
    pub connection_share: u32,
    /// The average response time.
    pub latency_us: u32,
}

pub(crate) fn show_report(context: &Context) -> ShowReport {
    let in_force = context.in_force.load();
    let mut groups: Vec<ShowGroup> =
        context.held_groups().iter().map(|group| show_group(context, group)).collect();
    groups.sort_by(|left, right| left.group.cmp(&right.group));
    ShowReport {
        host: context.host().to_string(),
        availability_zone: context.settings.daemon.availability_zone.to_string(),
        up_ms: context.started_at.elapsed().as_millis() as u64,
        stopping: context.is_stopping(),
        revision: in_force.revision,
        change_id: context.configuration_store.head().change_id,
        store_reachable: context.store_reachable.load(Ordering::Relaxed),
        members_listed: context.members.load().all().len(),
        members_usable: context.usable_members().len(),
        callers: context.callers.load(Ordering::Relaxed),
        groups_to_own: in_force
            .configuration
            .groups
            .values()
            .filter(|group| context.owns(group))
            .count(),
        groups,
    }
}

fn show_group(context: &Context, group: &GroupState) -> ShowGroup {
    let in_force = group.in_force.load();
    let owned = context.owns(&in_force.group);
    let view = group.view.read();
    let now = Instant::now();
    let servers = in_force.group.servers.iter().enumerate().map(|(index, server)| {
        let id = ServerId::from_index(index);
        let status = view.servers[index].status.as_ref();
        let age = status.and_then(|status| view.samples.age_of(status.applied(), now));
        let (connections, connection_share) = group.pools[index].open_and_share();
        ShowServer {
            server: server.name.to_string(),
            address: server.address.to_string(),
            answers: view.is_responding(id),
            gets_work: context.may_get_new_work(&server.address, &in_force.configuration),
            applied_position: status.map_or(0, |status| status.applied_position.0),
            held_position: status.map_or(0, |status| status.held_position.0),
            staleness_ms: age.map(|age| age.as_millis() as u64),
            connections,
            connection_share,
            latency_us: group.pools[index].latency().get_us(),
        }
    });
    let primary =
        view.primary.map(|primary| in_force.group.servers[primary.index()].name.to_string());
    ShowGroup {
        group: group.id.to_string(),
        owned,
        term: view.term.0,
        primary,
        held: view.held_until.is_some_and(|until| until > now),
        waiting: group.pools.iter().map(|pool| pool.waiting()).sum(),
        servers: servers.collect(),
    }
}
