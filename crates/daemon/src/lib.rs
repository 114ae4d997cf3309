//! The wardtiller daemon as a library.
//!
//! [`Daemon`] starts threads for these tasks: `serve` (callers, endpoints, other daemons), `watch`
//! (servers and failover), `control` (gossip and configuration), `head` and `hosts` (the store),
//! `operator` (HTTP) and `trace` (spans). `docs/ARCHITECTURE.md` shows how they interact.

mod apply;
mod caller_log_in;
mod caller_session;
mod caller_settings;
mod cancel;
mod configuration_store;
mod configuration_sync;
mod context;
mod control_link;
mod control_messages;
mod daemon;
mod dialect;
mod endpoint_connection;
mod executor;
mod failover_runner;
mod gossip;
mod group_state;
mod group_view;
mod group_watch;
mod operator;
mod peers;
mod planned_switch;
mod pool;
mod read_index;
mod relay;
mod request;
mod run_read;
mod run_write;
mod show;

pub use apply::{ApplyError, apply_configuration};
pub use daemon::Daemon;
pub use dialect::{Dialect, ServerDialect, StatusFunctions};
pub use show::{ShowGroup, ShowReport, ShowServer};
