//! What a daemon holds to be true, as one value that is replaced as a whole.
//!
//! The control thread publishes it, the serving thread reads it. Nothing in it is believed for longer
//! than it says: the right to use a primary ends by itself ([`GroupLeader::valid_until`]).

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

/// What gives the right to use a primary; see `docs/PLATFORM.md`, "Who leads".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// A linearizable read of the leadership records.
    Store,
    /// The statuses of a majority of the group's servers.
    Evidence,
}

impl Basis {
    /// Returns the word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Basis::Store => "store",
            Basis::Evidence => "evidence",
        }
    }
}

/// Who leads a group, as far as this daemon may act on it.
#[derive(Clone, Debug)]
pub struct GroupLeader {
    /// The primary.
    pub server: Name,
    /// Its term.
    pub term: Term,
    /// Until when it may be used, by the steady clock; counted from when the question was sent.
    pub valid_until: Instant,
    /// What the right rests on.
    pub basis: Basis,
    /// Whether a change of primary is under way, so that the right can't be renewed for now.
    pub changing: bool,
    /// Whether a planned change of primary is under way, or its new primary is about to be used.
    pub planned: bool,
    /// Where each term began, which says what of an ended term was kept.
    pub history: Arc<TermHistory>,
}

impl GroupLeader {
    /// Whether the primary may be used at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        !self.changing && now < self.valid_until
    }
}

/// Daemons that may reach a server which this one can't, by the server's identity; nearest first.
pub type TunnelPeers = HashMap<Name, Arc<[SocketAddr]>>;

/// Who owns the connections to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Whether this daemon is one of the owners.
    pub is_owner: bool,
    /// The owners that come before this daemon, in the order in which they are asked. The best owner has
    /// nobody to ask; the second one uses its own connections only while the first does not answer, so that one
    /// queue sees the whole zone's demand.
    pub asked: Arc<[SocketAddr]>,
}

/// The daemons by zone, among whom the owners of a server's connections are found.
///
/// They are found when a server is used: a daemon that worked them out for every server whenever a member came or went
/// would compare 3,000 servers with 60 members each time, 7 ms of a core, while its callers use a few groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    /// This daemon's host.
    pub host: Option<Name>,
    /// The members that can be asked, by zone and host.
    pub by_zone: BTreeMap<Name, BTreeMap<Name, SocketAddr>>,
}

impl Owners {
    /// Returns who of a zone owns the connections to a server; `None` before anybody there is known.
    pub fn of(&self, server: &str, zone: &str) -> Option<Ownership> {
        self.among(server, self.by_zone.get(zone)?)
    }

    /// Returns who owns them where nobody of the server's own zone is known.
    pub fn elsewhere(&self, server: &str) -> Option<Ownership> {
        self.among(server, self.by_zone.values().next()?)
    }

    fn among(&self, server: &str, members: &BTreeMap<Name, SocketAddr>) -> Option<Ownership> {
        let hosts = owners_of(server, members.keys().map(|host| &**host));
        if hosts.is_empty() {
            return None;
        }
        let own_place = hosts.iter().position(|host| Some(*host) == self.host.as_deref());
        let before = own_place.unwrap_or(hosts.len());
        let asked = hosts[..before].iter().map(|host| members[*host]).collect();
        Some(Ownership { is_owner: own_place.is_some(), asked })
    }
}

/// Everything that the serving thread needs to know.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// Servers by service.
    pub servers: Arc<HashMap<Name, Vec<Arc<ServerEntry>>>>,
    /// Who leads, by service.
    pub leaders: Arc<HashMap<Name, GroupLeader>>,
    /// Daemons that share the servers' connections.
    pub sharers: DaemonCounts,
    /// Ways around to the servers that this daemon can't reach itself.
    pub tunnel_peers: Arc<TunnelPeers>,
    /// Who owns the connections to servers, where there are too few for every daemon to have its own.
    pub owners: Arc<Owners>,
    /// Where primaries' logs stood, as other daemons of the zone saw it.
    pub samples: Arc<HashMap<Name, PrimarySample>>,
    /// Whether the servers' entries have been read at least once.
    pub servers_known: bool,
    /// Every member that can be asked, by host.
    pub members: Arc<BTreeMap<Name, SocketAddr>>,
    /// Until when this daemon is a member by its own clock.
    pub member_until: Option<Instant>,
}

impl ControlView {
    /// Whether callers can be served at all.
    pub fn is_ready(&self) -> bool {
        self.catalog.version > 0 && self.servers_known
    }

    /// Whether this daemon is a member, so that others count it as one too.
    pub fn is_member(&self, now: Instant) -> bool {
        self.member_until.is_some_and(|until| now < until)
    }

    /// Whether any client account has a limit.
    pub fn has_limits(&self) -> bool {
        self.catalog.accounts.as_ref().is_some_and(|accounts| accounts.has_limits())
    }

    /// Returns who leads a service if that may be acted on now.
    pub fn usable_leader(&self, service: &str, now: Instant) -> Option<&GroupLeader> {
        self.leaders.get(service).filter(|lead| lead.is_valid(now))
    }

    /// Whether there is no primary only because of a planned change, which is over within a second.
    pub fn is_planned_gap(&self, service: &str, now: Instant) -> bool {
        self.leaders.get(service).is_some_and(|lead| lead.planned && !lead.is_valid(now))
    }

    /// Whether the primary is being replaced.
    pub fn is_changing(&self, service: &str) -> bool {
        self.leaders.get(service).is_some_and(|lead| lead.changing)
    }
}

/// What the serving thread tells the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Whether a server answers this daemon changed.
    Reachability {
        /// The service.
        service: Name,
        /// The server.
        server: Name,
        /// Whether it answers.
        reachable: bool,
        /// When the question was sent that shows it.
        asked_at: Instant,
    },
    /// Where a primary's log stood while this daemon might use it.
    PrimarySampled {
        /// The service.
        service: Name,
        /// The sample.
        sample: PrimarySample,
    },
    /// Callers of this daemon ask for a service; told again every second while they do.
    Used {
        /// The service.
        service: Name,
    },
    /// A read had to go to the primary of some service only because nobody knows where its log stood lately.
    SampleWanted,
    /// A primary's answer contradicts the right to use it in a term.
    Contradicted {
        /// The service.
        service: Name,
        /// The term.
        term: Term,
    },
    /// Reads are refused at a primary because every replica is too far behind to run them.
    ReplicasBehind {
        /// The service.
        service: Name,
    },
}
