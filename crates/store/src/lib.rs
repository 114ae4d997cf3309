//! Interfaces to the platform's key-value service and host list.
//!
//! Daemons access the platform only through [`KeyValueStore`] and [`HostList`]. [`ConsulClient`] implements both over
//! Consul's HTTP API (key-value, session and catalog). Every error tells whether a write may have taken effect.

mod consul_client;
mod consul_messages;
mod host_list;
mod key_value;

pub use consul_client::{CallCounts, ConsulClient};
pub use consul_messages::{CatalogNode, KeyValuePair, SessionCreated, SessionRequest};
pub use host_list::{HostEntry, HostList, HostRole, HostState};
pub use key_value::{CasOutcome, Entry, KeyValueStore, Lease, StoreError};
