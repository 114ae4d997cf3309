//! Divides the connections that a server grants among the daemons.

use routing::{connections_per_owner, single_owner_connections};

/// Connections of a server that are not divided. They cover those of dead daemons, which the server counts for some
/// seconds, and those needed for changes of primary.
const RESERVED_CONNECTIONS: u32 = 3;

/// Numbers of daemons that share the connections, as one daemon sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonCounts {
    /// All daemons, including this one.
    pub daemons: u32,
    /// Daemons in this one's availability zone, including this one.
    pub in_zone: u32,
    /// Availability zones that have daemons.
    pub zones: u32,
}

/// Which idle connections a daemon may keep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdlePolicy {
    /// One per server.
    #[default]
    KeepOne,
    /// One per server of the daemon's own availability zone, none to others.
    KeepOneInZone,
    /// None.
    KeepNone,
}

/// One daemon's share of a server's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Number of connections reserved for this daemon.
    pub limit: u32,
    /// Number of connections above the limit that may be opened while statements wait and the server grants them.
    pub overflow: u32,
    /// Which idle connections may be kept.
    pub idle_policy: IdlePolicy,
    /// Quota of the owners where there are more daemons than connections; `None` where every daemon has its own
    /// connections.
    pub owned: Option<OwnerQuota>,
}

/// How many connections the owners of a server's connections may have and keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerQuota {
    /// Each zone has an owner with this many connections.
    PerZone(u32),
    /// One owner in the server's zone has all connections and serves the callers of all zones. Used with client
    /// accounts, since a connection serves only one account, and where an owner in each zone would have fewer
    /// connections than the server has slots.
    Single {
        /// Maximum number of connections.
        max: u32,
        /// Number of connections that are kept when idle.
        kept: u32,
    },
}

impl OwnerQuota {
    /// Returns how many connections one owner may have.
    pub fn count(self) -> u32 {
        match self {
            OwnerQuota::PerZone(count) | OwnerQuota::Single { max: count, .. } => count,
        }
    }

    /// Returns how many connections the owner of a rank may have; rank 0 is the first.
    ///
    /// With a queue the first owner has more, so that idle transactions don't block others; the queue bounds what
    /// runs in the server. The second owner only takes over while the first is unavailable.
    pub fn limit_of(self, rank: usize, has_queue: bool) -> u32 {
        match self {
            OwnerQuota::PerZone(count) if has_queue && rank == 0 => count * QUEUED_LIMIT_FACTOR,
            _ => self.count(),
        }
    }

    /// Returns how many idle connections the owner of a rank keeps; rank 0 is the first.
    ///
    /// The second owner of a [`OwnerQuota::Single`] keeps none: they would count against the first owner when it
    /// returns.
    pub fn kept_by(self, rank: usize) -> u32 {
        match self {
            OwnerQuota::PerZone(count) => count,
            OwnerQuota::Single { kept, .. } if rank == 0 => kept,
            OwnerQuota::Single { .. } => 0,
        }
    }
}

/// Factor by which an owner with a queue may exceed its number of connections.
const QUEUED_LIMIT_FACTOR: u32 = 2;

/// Where connections are scarce, the daemons of a server's zone may keep this fraction (1/n) of them.
const KEPT_IN_ZONE_DIVISOR: u32 = 2;

/// Number of connections at which one idle transaction does not block a daemon's other statements. A daemon with a
/// smaller share may use overflow connections up to this number.
const MIN_CONNECTIONS: u32 = 2;

/// Returns one daemon's share of the connections that a server grants. `slots` is the number of statements that the
/// server runs at a time.
pub fn share_of(granted: u32, slots: u32, counts: DaemonCounts, by_account: bool) -> Share {
    let shared = granted.saturating_sub(RESERVED_CONNECTIONS);
    let per_daemon = shared / counts.daemons.max(1);
    let idle_policy = match per_daemon {
        0 if counts.in_zone.max(1) * KEPT_IN_ZONE_DIVISOR <= shared => IdlePolicy::KeepOneInZone,
        0 => IdlePolicy::KeepNone,
        _ => IdlePolicy::KeepOne,
    };
    // Where connections are scarce there is no overflow.
    let overflow = match per_daemon {
        0 => 0,
        _ => (shared - per_daemon * counts.daemons.max(1))
            .min(MIN_CONNECTIONS.saturating_sub(per_daemon)),
    };
    let per_zone = connections_per_owner(shared, counts.zones);
    let owned = match per_daemon {
        0 if by_account || per_zone < slots.min(shared) => {
            let (max, kept) = single_owner_connections(shared);
            Some(OwnerQuota::Single { max, kept })
        }
        0 => Some(OwnerQuota::PerZone(per_zone)),
        _ => None,
    };
    Share { limit: per_daemon.max(1), overflow, idle_policy, owned }
}
