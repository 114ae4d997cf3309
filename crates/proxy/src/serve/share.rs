//! What one daemon may have of the connections that a server grants to all of them.

use routing::{connections_per_owner, single_owner_connections};

/// Connections of a server that no daemon counts on: those of dead daemons linger for some seconds,
/// and changes of primary need some of their own.
const RESERVED_CONNECTIONS: u32 = 3;
/// Daemons that share the connections of the servers, as one of them sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonCounts {
    /// All of them, this one included.
    pub daemons: u32,
    /// Those of this one's availability zone, this one included.
    pub in_zone: u32,
    /// Availability zones in which there are any.
    pub zones: u32,
}

/// How long a daemon may keep connections that it does not need at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdlePolicy {
    /// One for good, and more for a moment.
    #[default]
    KeepOne,
    /// One to servers of the same zone; none to others, where there are more daemons than connections.
    KeepOneInZone,
    /// None.
    KeepNone,
}

/// What one daemon may have of a server's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Connections at a time that nobody else counts on.
    pub limit: u32,
    /// Connections beyond that which may be borrowed while statements wait and the server grants them.
    pub overflow: u32,
    /// Which of them may be kept.
    pub idle_policy: IdlePolicy,
    /// What owners may have and idle_policy, where there are more daemons than connections; `None` where every daemon has its own.
    pub owned: Option<OwnerQuota>,
}

/// What an owner of a server's connections may have and keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerQuota {
    /// Each zone has an owner, with so many connections.
    PerZone(u32),
    /// One in the server's own zone has them, for the callers of all zones: there are client accounts, and one's
    /// connection does no other's work; or there are so many zones that each would have fewer than the server runs at a time,
    /// and statements would wait in one zone beside free slots that another one keeps.
    Single {
        /// So many at the most.
        most: u32,
        /// So many of them for good.
        kept: u32,
    },
}

impl OwnerQuota {
    /// Returns how many connections one owner may have.
    pub fn count(self) -> u32 {
        match self {
            OwnerQuota::PerZone(count) | OwnerQuota::Single { most: count, .. } => count,
        }
    }

    /// Returns how many connections the owner at a rank may have, 0 for the first.
    ///
    /// Behind a queue more connections bring no more work into the server, and a transaction that rests keeps none from
    /// others. The second one only stands in for the first.
    pub fn limit_of(self, rank: usize, has_queue: bool) -> u32 {
        match self {
            OwnerQuota::PerZone(count) if has_queue && rank == 0 => count * QUEUED_LIMIT_FACTOR,
            _ => self.count(),
        }
    }

    /// Returns how many of them the owner at a rank keeps, 0 for the first.
    ///
    /// Where all connections are in one owner's hands, the second one stands in for a moment: if it kept what it opened then,
    /// the first would be refused new ones for as long as both live.
    pub fn kept_by(self, rank: usize) -> u32 {
        match self {
            OwnerQuota::PerZone(count) => count,
            OwnerQuota::Single { kept, .. } if rank == 0 => kept,
            OwnerQuota::Single { .. } => 0,
        }
    }
}

/// So many times as many connections may an owner have whose statements wait in a queue.
const QUEUED_LIMIT_FACTOR: u32 = 2;

/// One part in so many of a server's connections may be kept by the daemons of its zone where there are
/// more daemons than connections; the others take turns at the rest.
const KEPT_IN_ZONE_DIVISOR: u32 = 2;

/// Connections with which one open transaction, which rests between its statements, does not block every
/// other statement of its daemon. Who has fewer may borrow up to this: more was measured to cost more
/// after a restart, when a server still counts what was open, than it brings before.
const MIN_CONNECTIONS: u32 = 2;

/// Returns the share of one daemon in what a server that runs so many statements at a time grants to all of them.
pub fn share_of(granted: u32, slots: u32, counts: DaemonCounts, by_account: bool) -> Share {
    let shared = granted.saturating_sub(RESERVED_CONNECTIONS);
    let each = shared / counts.daemons.max(1);
    let idle_policy = match each {
        0 if counts.in_zone.max(1) * KEPT_IN_ZONE_DIVISOR <= shared => IdlePolicy::KeepOneInZone,
        0 => IdlePolicy::KeepNone,
        _ => IdlePolicy::KeepOne,
    };
    // Where everybody takes turns anyway nobody borrows.
    let overflow = match each {
        0 => 0,
        _ => (shared - each * counts.daemons.max(1)).min(MIN_CONNECTIONS.saturating_sub(each)),
    };
    let of_a_zone = connections_per_owner(shared, counts.zones);
    let owned = match each {
        0 if by_account || of_a_zone < slots.min(shared) => {
            let (most, kept) = single_owner_connections(shared);
            Some(OwnerQuota::Single { most, kept })
        }
        0 => Some(OwnerQuota::PerZone(of_a_zone)),
        _ => None,
    };
    Share { limit: each.max(1), overflow, idle_policy, owned }
}
