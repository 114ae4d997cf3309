//! The platform's key-value service and host list.
//!
//! [`KeyValueStore`] and [`HostList`] are all that the daemons know of the platform;
//! [`ConsulClient`] speaks to one over the published HTTP interface of Consul (its key-value,
//! session and catalogue endpoints). An error always says whether a write may have taken effect.

mod consul_client;
mod consul_messages;
mod host_list;
mod key_value;

pub use consul_client::{CallCounts, ConsulClient};
pub use consul_messages::{CatalogNode, KeyValuePair, SessionCreated, SessionRequest};
pub use host_list::{HostEntry, HostList, HostRole, HostState};
pub use key_value::{CasOutcome, Entry, KeyValueStore, Lease, StoreError};
