//! The platform's lagging list of hosts.

use std::net::SocketAddr;

use model::Name;

use crate::StoreError;

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// A wardtiller daemon.
    Daemon,
    /// An endpoint: a server of a group.
    Endpoint,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It does.
    Live,
    /// It is being taken out.
    Leaving,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Its name.
    pub host: Name,
    /// Its region; empty where the list names none.
    pub region: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// The address that matters for its role: a daemon's peer address, an endpoint's own.
    pub address: SocketAddr,
    /// What runs on it.
    pub role: HostRole,
    /// Whether it stays.
    pub state: HostState,
}

/// The list of hosts.
pub trait HostList: Send + Sync {
    /// Reads the list with its version.
    fn hosts(&self) -> Result<(u64, Vec<HostEntry>), StoreError>;
}
