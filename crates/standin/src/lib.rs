//! In-process stand-ins for the platform and for database endpoints, with fault injection.
//!
//! Only tests, the demo and the load tool use them. They speak the same protocols as the real systems: the HTTP API of
//! Consul and the PostgreSQL wire protocol.

mod database;
mod endpoint;
mod group;
mod platform;
mod replication;
mod responses;
mod server_core;
mod server_session;
mod sql_text;
mod value_codec;

pub use endpoint::{Endpoint, EndpointOptions};
pub use group::{GroupStandin, StandinRuntime};
pub use platform::{PlatformFaults, PlatformStandin};
pub use server_core::{LogRecord, ServerFaults};
