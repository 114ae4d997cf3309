//! The state shared by all parts of a daemon.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use config::{Configuration, Group, HostSettings};
use membership::{LeavingEndpoints, Member, MemberList, WorkAllowed, owner_count, select_owners};
use model::{GroupId, Name};
use parking_lot::{Mutex, RwLock};
use telemetry::{Metrics, Tracer};
use tokio::{runtime::Handle, sync::watch};
use wire::Classifier;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cancel::CancelRegistry,
    configuration_store::ConfigurationStore,
    group_state::{GroupConfiguration, GroupState},
    peers::Peers,
};

/// A configuration with its revision.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationInForce {
    pub(crate) revision: u64,
    pub(crate) configuration: Arc<Configuration>,
}

pub(crate) struct Context {
    pub(crate) settings: HostSettings,
    pub(crate) key: u64,
    pub(crate) endpoint_password: Option<String>,
    pub(crate) metrics: Metrics,
    pub(crate) tracer: Tracer,
    pub(crate) classifier: Classifier,
    pub(crate) in_force: ArcSwap<ConfigurationInForce>,
    pub(crate) configuration_store: ConfigurationStore,
    /// Replaced as a whole, so that readers never block.
    pub(crate) members: ArcSwap<MemberList>,
    /// Endpoints that the platform's host list marks as leaving.
    pub(crate) listed_leaving: RwLock<Vec<SocketAddr>>,
    pub(crate) leaving: RwLock<LeavingEndpoints>,
    pub(crate) groups: RwLock<HashMap<GroupId, Arc<GroupState>>>,
    /// Connections that other owners want, by group and by the key of the owner.
    pub(crate) demands: Mutex<HashMap<GroupId, HashMap<u64, ReportedDemand>>>,
    pub(crate) relay_peers: Peers,
    pub(crate) cancels: CancelRegistry,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) store_reachable: AtomicBool,
    pub(crate) callers: AtomicU32,
    pub(crate) next_session: AtomicU64,
    pub(crate) watch_runtime: Handle,
    pub(crate) started_at: Instant,
    /// The queue of updates for the configuration task.
    pub(crate) updates: flume::Sender<PeerUpdate>,
    owner_cache: Mutex<OwnerCache>,
}

/// An update for the configuration task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerUpdate {
    /// The daemon at this address has a newer configuration.
    Configuration(SocketAddr),
    /// The daemon at this address has a newer host list.
    HostList(SocketAddr),
    /// This daemon has put a newer configuration in force, which has to be announced.
    Installed,
}

/// The demand of another owner, and when it was reported.
#[derive(Clone, Debug)]
pub(crate) struct ReportedDemand {
    pub(crate) wanted: Vec<u32>,
    pub(crate) reported_at: Instant,
}

/// Owner sets computed for the current members.
#[derive(Default)]
struct OwnerCache {
    members: Arc<Vec<Member>>,
    computed_at: Option<Instant>,
    list_version: u64,
    sets: HashMap<GroupId, Arc<Vec<Member>>>,
    /// How often the usable members have changed.
    changes: u64,
}

/// How long owner sets are cached. Suspicions change the usable members without a new host list.
const OWNER_CACHE_TTL: Duration = Duration::from_millis(250);

/// The parts from which a context is built.
pub(crate) struct ContextParts {
    pub(crate) settings: HostSettings,
    pub(crate) endpoint_password: Option<String>,
    pub(crate) tracer: Tracer,
    pub(crate) watch_runtime: Handle,
    pub(crate) updates: flume::Sender<PeerUpdate>,
}

impl Context {
    pub(crate) fn new(parts: ContextParts) -> Context {
        let key = xxh3_64(parts.settings.daemon.host.as_bytes());
        let peer_timeout = Duration::from_millis(parts.settings.control.peer_timeout_ms);
        Context {
            key,
            endpoint_password: parts.endpoint_password,
            metrics: Metrics::new(),
            tracer: parts.tracer,
            classifier: Classifier::default(),
            in_force: ArcSwap::from_pointee(ConfigurationInForce::default()),
            configuration_store: ConfigurationStore::default(),
            members: ArcSwap::default(),
            listed_leaving: RwLock::default(),
            leaving: RwLock::default(),
            groups: RwLock::default(),
            demands: Mutex::default(),
            relay_peers: Peers::new(peer_timeout),
            cancels: CancelRegistry::default(),
            stopping: watch::Sender::new(false),
            store_reachable: AtomicBool::new(false),
            callers: AtomicU32::new(0),
            // Random, so that a restarted daemon does not reuse its earlier session ids.
            next_session: AtomicU64::new(rand::random::<u64>() | 1),
            watch_runtime: parts.watch_runtime,
            started_at: Instant::now(),
            settings: parts.settings,
            updates: parts.updates,
            owner_cache: Mutex::default(),
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns the id of a new session.
    pub(crate) fn new_session(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether an endpoint may get new work.
    pub(crate) fn may_get_new_work(
        &self,
        address: &SocketAddr,
        configuration: &Configuration,
    ) -> bool {
        self.work_allowed(address, configuration) == WorkAllowed::All
    }

    /// Returns what an endpoint may be used for.
    pub(crate) fn work_allowed(
        &self,
        address: &SocketAddr,
        configuration: &Configuration,
    ) -> WorkAllowed {
        let rules = &configuration.leaving;
        self.leaving.read().work_allowed(
            address,
            Duration::from_millis(rules.new_work_ms),
            Duration::from_millis(rules.finish_ms),
            Instant::now(),
        )
    }

    /// Returns the daemons that may get work. This daemon is left out while it stops.
    pub(crate) fn usable_members(&self) -> Arc<Vec<Member>> {
        let mut cache = self.owner_cache.lock();
        self.refresh_owners(&mut cache);
        cache.members.clone()
    }

    /// Returns a group's owners in order of preference.
    pub(crate) fn owners_of(&self, group: &Group) -> Arc<Vec<Member>> {
        let mut cache = self.owner_cache.lock();
        self.refresh_owners(&mut cache);
        if let Some(cached) = cache.sets.get(&group.id) {
            return cached.clone();
        }
        let members = self.members_for(group, &cache.members);
        let count = owner_count(group.options.owners, group.options.connections, members.len());
        let set: Vec<Member> =
            select_owners(&group.id, &members, count).into_iter().cloned().collect();
        let set = Arc::new(set);
        cache.sets.insert(group.id.clone(), set.clone());
        set
    }

    /// Leaves out the daemons of other regions if the service is bound to a region.
    fn members_for(&self, group: &Group, members: &Arc<Vec<Member>>) -> Arc<Vec<Member>> {
        let in_force = self.in_force.load();
        let service = in_force.configuration.services.get(&group.id.service);
        let Some(region) = service.and_then(|service| service.options.region.as_ref()) else {
            return members.clone();
        };
        let in_region = members.iter().filter(|member| member.region == *region);
        Arc::new(in_region.cloned().collect())
    }

    fn refresh_owners(&self, cache: &mut OwnerCache) {
        let now = Instant::now();
        let members = self.members.load();
        let fresh = cache.computed_at.is_some_and(|at| now.duration_since(at) < OWNER_CACHE_TTL)
            && cache.list_version == members.version();
        if fresh {
            return;
        }
        let mut usable = members.usable(now);
        if self.is_stopping() {
            usable.retain(|member| member.key != self.key);
        }
        cache.computed_at = Some(now);
        cache.list_version = members.version();
        if *cache.members != usable {
            cache.members = Arc::new(usable);
            cache.sets.clear();
            cache.changes += 1;
        }
    }

    /// Returns a version that changes whenever the set of groups that this daemon owns may have changed.
    pub(crate) fn ownership_version(&self) -> (u64, u64) {
        let mut cache = self.owner_cache.lock();
        self.refresh_owners(&mut cache);
        (self.in_force.load().revision, cache.changes)
    }

    /// Invalidates the cached usable members.
    pub(crate) fn invalidate_members(&self) {
        self.owner_cache.lock().computed_at = None;
    }

    /// Drops the cached owners of groups that a new configuration changes.
    fn invalidate_changed_owners(&self, before: &Configuration, after: &Configuration) {
        let is_unchanged = |id: &GroupId| {
            let group = before.groups.get(id).zip(after.groups.get(id));
            let service = before.services.get(&id.service).zip(after.services.get(&id.service));
            group.is_some_and(|(old, new)| Arc::ptr_eq(old, new))
                && service.is_some_and(|(old, new)| Arc::ptr_eq(old, new))
        };
        self.owner_cache.lock().sets.retain(|id, _| is_unchanged(id));
    }

    /// Whether this daemon owns a group. While no members are known, it owns every group.
    pub(crate) fn owns(&self, group: &Group) -> bool {
        let owners = self.owners_of(group);
        owners.is_empty() || owners.iter().any(|owner| owner.key == self.key)
    }

    /// Returns the state of a configured group, creating it if needed.
    pub(crate) fn group(&self, id: &GroupId) -> Option<Arc<GroupState>> {
        if let Some(group) = self.groups.read().get(id) {
            return Some(group.clone());
        }
        let in_force = self.in_force.load();
        let options = group_options(&in_force.configuration, id)?;
        let mut groups = self.groups.write();
        if let Some(group) = groups.get(id) {
            return Some(group.clone());
        }
        let group = GroupState::new(self, options, &self.watch_runtime);
        groups.insert(id.clone(), group.clone());
        drop(groups);
        self.share_connections(&group);
        Some(group)
    }

    /// Returns the groups whose state this daemon holds.
    pub(crate) fn held_groups(&self) -> Vec<Arc<GroupState>> {
        self.groups.read().values().cloned().collect()
    }

    /// Puts a newer configuration in force. Returns `false` for an older or equal revision.
    pub(crate) fn install(&self, revision: u64, configuration: Configuration) -> bool {
        let mut groups = self.groups.write();
        if revision <= self.in_force.load().revision {
            return false;
        }
        let configuration = Arc::new(configuration);
        let before = self.in_force.load_full();
        self.in_force.store(Arc::new(ConfigurationInForce {
            revision,
            configuration: configuration.clone(),
        }));
        groups.retain(|id, group| match group_options(&configuration, id) {
            Some(options) if options.group.has_same_servers(&group.in_force.load().group) => {
                let limits = &configuration.limits;
                for pool in &group.pools {
                    pool.set_limits(limits.queue_length, limits.prepared_statements);
                }
                group.retries.lock().set_percent(limits.retry_percent);
                group.in_force.store(Arc::new(options));
                true
            }
            // A group whose servers changed gets a new state on its next use. Running work finishes with
            // the old state.
            _ => {
                group.close();
                false
            }
        });
        drop(groups);
        self.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.invalidate_changed_owners(&before.configuration, &configuration);
        true
    }

    /// Divides a group's connections among its owners by their demands.
    pub(crate) fn share_connections(&self, group: &GroupState) {
        let in_force = group.in_force.load();
        let owners = self.owners_of(&in_force.group);
        let others: Vec<u64> =
            owners.iter().map(|owner| owner.key).filter(|key| *key != self.key).collect();
        // Every owner keeps one connection to each server for control.
        let control = 1 + others.len() as u32;
        let limit = in_force.group.options.connections.saturating_sub(control).max(1);
        let demands = self.demands.lock();
        let reported = demands.get(&group.id);
        for (index, pool) in group.pools.iter().enumerate() {
            let other_demands: Vec<routing::Demand> = others
                .iter()
                .map(|key| routing::Demand {
                    owner: *key,
                    wanted: wanted_by_owner(reported.and_then(|reported| reported.get(key)), index),
                })
                .collect();
            let wanted = pool.wanted() + DEMAND_HEADROOM;
            let own = routing::Demand { owner: self.key, wanted };
            pool.set_share(routing::connection_share(limit, own, &other_demands));
        }
    }

    /// Changes the member list. `change` may run more than once, so it must have no side effects.
    pub(crate) fn change_members(&self, change: impl Fn(&mut MemberList)) {
        self.members.rcu(|members| {
            let mut changed = MemberList::clone(members);
            change(&mut changed);
            changed
        });
    }

    pub(crate) fn host(&self) -> &Name {
        &self.settings.daemon.host
    }
}

/// Connections added to the demand of every owner. All owners get the same amount, so that their
/// shares together stay within the limit.
const DEMAND_HEADROOM: u32 = 4;

/// How long a reported demand is used.
const DEMAND_TTL: Duration = Duration::from_secs(5);

fn wanted_by_owner(reported: Option<&ReportedDemand>, server: usize) -> u32 {
    let fresh = reported.filter(|reported| reported.reported_at.elapsed() < DEMAND_TTL);
    let wanted = fresh.and_then(|reported| reported.wanted.get(server)).copied().unwrap_or(0);
    wanted + DEMAND_HEADROOM
}

fn group_options(configuration: &Arc<Configuration>, id: &GroupId) -> Option<GroupConfiguration> {
    let group = configuration.groups.get(id)?.clone();
    let service = configuration.services.get(&id.service)?.clone();
    Some(GroupConfiguration { group, service, configuration: configuration.clone() })
}
