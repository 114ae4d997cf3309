//! The operators' configuration and the entries that servers write about themselves, as the engine uses them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use model::Name;

use crate::accounts::Accounts;

/// How the sessions of a database are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Name,
    /// The service whose servers hold the database.
    pub service: Name,
    /// How old the data of the route's reads may be.
    pub read_rule: ReadRule,
    /// How long one statement may take.
    pub timeout: Duration,
    /// The time within which a whole operation should complete.
    pub target_latency: Duration,
    /// The priority of its statements; 0 is the highest.
    pub priority: u8,
    /// The maximum number of times that a statement may be sent to a server.
    pub max_attempts: u32,
    /// Whether callers without an account are served.
    pub is_public: bool,
}

/// How old the data of a read may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRule {
    /// Reads see every acknowledged write, so they run at the primary.
    Primary,
    /// Reads see every write that was acknowledged longer ago than the bound.
    BoundedStaleness {
        /// The maximum staleness.
        bound: Duration,
    },
    /// Like `BoundedStaleness`, and reads also see every earlier write of their session.
    OwnWrites {
        /// The maximum staleness.
        bound: Duration,
    },
}

impl ReadRule {
    /// Returns the maximum staleness; `None` if reads run at the primary.
    pub fn bound(self) -> Option<Duration> {
        match self {
            ReadRule::Primary => None,
            ReadRule::BoundedStaleness { bound } | ReadRule::OwnWrites { bound } => Some(bound),
        }
    }

    /// Returns the rule's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadRule::Primary => "primary",
            ReadRule::BoundedStaleness { .. } => "bounded",
            ReadRule::OwnWrites { .. } => "own_writes",
        }
    }
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The number of connections that one server grants to all daemons together.
    pub connections: u32,
    /// The number of replicas that must have received a write before it is acknowledged.
    pub synchronous_replicas: u32,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Increases with every change; 0 before the first configuration.
    pub version: u64,
    /// Routes by the database that callers name.
    pub routes: HashMap<Name, Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Name, ServiceSettings>,
    /// How long a transaction may be idle before it may be ended; `None` for no limit.
    pub idle_transaction_timeout: Option<Duration>,
    /// The client accounts; `None` if the configuration has none, so that every caller is served.
    pub accounts: Option<Arc<Accounts>>,
}

/// The entry that a server writes about itself to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server's identity; another server at the same address has a different one.
    pub server: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub availability_zone: Name,
    /// The number of statements that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Whether it regards itself as the primary. The claim may be outdated, so it is no evidence.
    pub claims_primary: bool,
    /// The start time that it reports; `None` if servers report none. A server that restarts under its identity has
    /// lost its data, so it is treated as another server.
    pub incarnation: Option<ServerIncarnation>,
}

/// One incarnation of a server: the Unix millisecond of its start.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ServerIncarnation(pub u64);

/// The error for an item that can't be decoded. The previous configuration remains active; a server whose entry can't
/// be decoded is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogError(pub String);

impl std::fmt::Display for CatalogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CatalogError {}

/// The keys of the catalog in the store and the encoding of its items.
pub trait CatalogFormat: Clone + 'static {
    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &str;
    /// Returns the key prefix of the servers' entries.
    fn servers_prefix(&self) -> &str;
    /// Decodes the configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<Catalog, CatalogError>;
    /// Decodes a server's entry; its identity is taken from the key.
    fn decode_server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError>;
}
