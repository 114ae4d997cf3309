//! The control thread's view of the fleet, published as one immutable value.
//!
//! The control thread publishes it and the serving thread reads it. Primary leases in it expire by themselves, see
//! [`GroupLeader::valid_until`].

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use model::{Name, Term};
use routing::owners_of;
use session::TermHistory;

use crate::{
    catalog::{Catalog, ServerEntry},
    control::peers::PrimarySample,
    serve::share::DaemonCounts,
};

/// What a primary lease is based on; see `docs/PLATFORM.md`, "Who leads".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// A linearizable read of the leadership records.
    Store,
    /// The statuses of a majority of the group's servers.
    Evidence,
}

impl Basis {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Basis::Store => "store",
            Basis::Evidence => "evidence",
        }
    }
}

/// The leader of a group and this daemon's lease to use it.
#[derive(Clone, Debug)]
pub struct GroupLeader {
    /// The primary.
    pub server: Name,
    /// The primary's term.
    pub term: Term,
    /// When the primary lease expires by the monotonic clock, counted from when the request was sent.
    pub valid_until: Instant,
    /// What the primary lease is based on.
    pub basis: Basis,
    /// Whether a change of primary is running, during which the lease can't be renewed.
    pub changing: bool,
    /// Whether a planned change of primary is running, or its new primary is not used yet.
    pub planned: bool,
    /// The log point at which each term began, which shows which writes of an ended term were kept.
    pub history: Arc<TermHistory>,
}

impl GroupLeader {
    /// Whether the primary may be used at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        !self.changing && now < self.valid_until
    }
}

/// Daemons that may reach a server which this one can't reach, by server identity; nearest first.
pub type TunnelPeers = HashMap<Name, Arc<[SocketAddr]>>;

/// The owners of the connections to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Whether this daemon is one of the owners.
    pub is_owner: bool,
    /// The owners ranked before this daemon, best first. An owner uses its own connections only while those ranked
    /// before it do not answer, so that one queue sees the demand of the whole zone.
    pub owners_before: Arc<[SocketAddr]>,
}

/// The members by zone, from which the owners of a server's connections are chosen.
///
/// Owners are computed when a server is used: computing them for every server at each membership change is too
/// expensive in a large fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    /// This daemon's host.
    pub host: Option<Name>,
    /// The request addresses of the members, by zone and host.
    pub by_zone: BTreeMap<Name, BTreeMap<Name, SocketAddr>>,
}

impl Owners {
    /// Returns the owners within a zone of the connections to a server; `None` if the zone has no members.
    pub fn in_zone(&self, server: &str, zone: &str) -> Option<Ownership> {
        self.owners_among(server, self.by_zone.get(zone)?)
    }

    /// Returns the owners in the first zone that has members, for servers whose own zone has none.
    pub fn in_any_zone(&self, server: &str) -> Option<Ownership> {
        self.owners_among(server, self.by_zone.values().next()?)
    }

    fn owners_among(
        &self,
        server: &str,
        members: &BTreeMap<Name, SocketAddr>,
    ) -> Option<Ownership> {
        let hosts = owners_of(server, members.keys().map(|host| &**host));
        if hosts.is_empty() {
            return None;
        }
        let own_rank = hosts.iter().position(|host| Some(*host) == self.host.as_deref());
        let before = own_rank.unwrap_or(hosts.len());
        let owners_before = hosts[..before].iter().map(|host| members[*host]).collect();
        Some(Ownership { is_owner: own_rank.is_some(), owners_before })
    }
}

/// Everything that the serving thread needs to know.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// The servers by service.
    pub servers: Arc<HashMap<Name, Vec<Arc<ServerEntry>>>>,
    /// The leaders by service.
    pub leaders: Arc<HashMap<Name, GroupLeader>>,
    /// The numbers of daemons that share the servers' connections.
    pub daemon_counts: DaemonCounts,
    /// Daemons that can open tunnels to servers which this one can't reach.
    pub tunnel_peers: Arc<TunnelPeers>,
    /// The members from which connection owners are chosen, for servers with too few connections for every daemon.
    pub owners: Arc<Owners>,
    /// The latest log samples of primaries, by service, from any daemon of the zone.
    pub samples: Arc<HashMap<Name, PrimarySample>>,
    /// Whether the store has been loaded at least once.
    pub store_loaded: bool,
    /// The request addresses of the members, by host.
    pub members: Arc<BTreeMap<Name, SocketAddr>>,
    /// When this daemon's membership ends by its own clock.
    pub member_until: Option<Instant>,
}

impl ControlView {
    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.catalog.version > 0 && self.store_loaded
    }

    /// Whether this daemon is a member, so that other daemons count it.
    pub fn is_member(&self, now: Instant) -> bool {
        self.member_until.is_some_and(|until| now < until)
    }

    /// Whether any client account has a limit.
    pub fn has_limits(&self) -> bool {
        self.catalog.accounts.as_ref().is_some_and(|accounts| accounts.has_limits())
    }

    /// Returns the leader of a service if this daemon holds a valid lease to use it.
    pub fn usable_leader(&self, service: &str, now: Instant) -> Option<&GroupLeader> {
        self.leaders.get(service).filter(|leader| leader.is_valid(now))
    }

    /// Whether this daemon has no usable primary of the service only because of a planned change, and so only briefly.
    pub fn is_planned_gap(&self, service: &str, now: Instant) -> bool {
        self.leaders.get(service).is_some_and(|leader| leader.planned && !leader.is_valid(now))
    }

    /// Whether the primary is being replaced.
    pub fn is_changing(&self, service: &str) -> bool {
        self.leaders.get(service).is_some_and(|leader| leader.changing)
    }
}

/// An observation that the serving thread reports to the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A server became reachable or unreachable from this daemon.
    Reachability {
        /// The service.
        service: Name,
        /// The server.
        server: Name,
        /// Whether the server answers.
        reachable: bool,
        /// When the request whose outcome showed this was sent.
        asked_at: Instant,
    },
    /// The log position of a primary that this daemon was allowed to use.
    PrimarySampled {
        /// The service.
        service: Name,
        /// The sample.
        sample: PrimarySample,
    },
    /// Callers of this daemon use a service; repeated every second while they do.
    Used {
        /// The service.
        service: Name,
    },
    /// A read had to go to a primary only because there was no recent sample of its log.
    SampleWanted,
    /// A primary's answer contradicts the lease to use it in a term.
    Contradicted {
        /// The service.
        service: Name,
        /// The term.
        term: Term,
    },
    /// Reads keep being refused, because every replica is too far behind and the primary can't run all of them.
    ReplicasBehind {
        /// The service.
        service: Name,
    },
}
