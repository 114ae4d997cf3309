//! Small stand-ins for the platform and for endpoints.
//!
//! They serve tests, the demo and the load tool, and nothing else: no daemon depends on them. They
//! speak the published protocols, HTTP as Consul and the PostgreSQL protocol, so daemons can't tell,
//! and each has the faults that the real ones have, on command.

mod answers;
mod database;
mod endpoint;
mod group;
mod platform;
mod replication;
mod server_core;
mod server_session;
mod sql_text;
mod value_codec;

pub use endpoint::{Endpoint, EndpointOptions};
pub use group::{GroupStandin, Network};
pub use platform::{PlatformFaults, PlatformStandin};
pub use server_core::{LogRecord, ServerFaults};
