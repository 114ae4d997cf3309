//! The platform's list of hosts, which may be outdated.

use std::net::SocketAddr;

use model::Name;

use crate::StoreError;

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// A wardtiller daemon.
    Daemon,
    /// An endpoint: a server of a group.
    Endpoint,
}

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It is in service.
    Live,
    /// It is being taken out of service.
    Leaving,
}

/// An entry of the list of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The host's name.
    pub host: Name,
    /// Its region; empty if the list names none.
    pub region: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// The address for its role: a daemon's address for peers, or an endpoint's address.
    pub address: SocketAddr,
    /// Its role.
    pub role: HostRole,
    /// Its state.
    pub state: HostState,
}

/// A source of the list of hosts.
pub trait HostList: Send + Sync {
    /// Returns the version of the list and its hosts.
    fn hosts(&self) -> Result<(u64, Vec<HostEntry>), StoreError>;
}
