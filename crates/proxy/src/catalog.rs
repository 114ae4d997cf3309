//! The operators' configuration and the servers' own entries, as the engine uses them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use model::Name;

use crate::accounts::Accounts;

/// What a session that names a database is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Name,
    /// The service whose servers hold the database.
    pub service: Name,
    /// Which reads are allowed where.
    pub reads: ReadRule,
    /// How long one statement may take.
    pub timeout: Duration,
    /// How long the whole operation should take.
    pub target_latency: Duration,
    /// The most urgent is 0.
    pub priority: u8,
    /// How often a statement may be sent to a server in all.
    pub max_attempts: u32,
    /// Whether callers without an account are served.
    pub is_public: bool,
}

/// How old the data of a read may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRule {
    /// Reads see every acknowledged write, so they run at the primary.
    Primary,
    /// Reads see whatever was acknowledged longer ago than this.
    BoundedStaleness {
        /// The bound.
        bound: Duration,
    },
    /// The same, and every write of the session itself.
    OwnWrites {
        /// The bound.
        bound: Duration,
    },
}

impl ReadRule {
    /// Returns how old the data of a read may be; `None` where it must be at the primary.
    pub fn bound(self) -> Option<Duration> {
        match self {
            ReadRule::Primary => None,
            ReadRule::BoundedStaleness { bound } | ReadRule::OwnWrites { bound } => Some(bound),
        }
    }

    /// Returns the word used in logs and metrics.
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
pub struct ServiceRule {
    /// Connections that one server grants to all daemons together.
    pub connections: u32,
    /// Replicas that have received a write before it is acknowledged.
    pub synchronous_replicas: u32,
}

/// A configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Rises with every change; 0 before the first configuration.
    pub version: u64,
    /// Routes by the database that callers name.
    pub routes: HashMap<Name, Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Name, ServiceRule>,
    /// How long a transaction may rest before it may be ended; `None` for as long as it likes.
    pub idle_transaction_timeout: Option<Duration>,
    /// The client accounts; `None` where the configuration has none, so that whoever comes is served.
    pub accounts: Option<Arc<Accounts>>,
}

/// What a server says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server's identity; another at the same address has another one.
    pub server: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub availability_zone: Name,
    /// Statements that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Whether it regards itself as the primary, which proves nothing.
    pub claims_primary: bool,
    /// When it was started, by its own word; `None` where servers don't say. A server that starts again under its
    /// identity holds nothing of before, so it is another one to whoever knew it.
    pub incarnation: Option<ServerIncarnation>,
}

/// One incarnation of a server: the Unix millisecond of its start.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ServerIncarnation(pub u64);

/// An item that can't be understood. A configuration that was known before stays in force; a server whose entry can't be
/// read is none that may be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogError(pub String);

impl std::fmt::Display for CatalogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CatalogError {}

/// Where the catalog lies in the store and how it is written there.
pub trait CatalogFormat: Clone + 'static {
    /// The key that holds the configuration.
    fn configuration_key(&self) -> &str;
    /// The prefix of the servers' entries.
    fn servers_prefix(&self) -> &str;
    /// Reads the configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<Catalog, CatalogError>;
    /// Reads a server's entry; the identity follows from the key.
    fn decode_server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, CatalogError>;
}
