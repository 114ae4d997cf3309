//! The control thread: its view of the configuration, the servers, the other daemons and the group leaders, and how
//! that view is kept up to date.
//!
//! * `starting`, `watching`, `following`, `freshness` and `mirror` load the metadata store and follow its changes,
//!   either directly or through another daemon, the upstream. `watching`, `daemon_keys` and `servers` apply the
//!   changes.
//! * `membership`, `primary_lease` and `evidence_collection` keep this daemon a member and obtain the leases without
//!   which it may not use a primary. `evidence` is used while the store does not answer.
//! * `suspicion` reports servers that don't answer. One daemon, the `promoter`, evaluates these reports and changes
//!   primaries: `change`, `fencing`, `commands`, `successor`, `selection`, `group_members`, `record` and
//!   `record_confirmation`.
//! * `store_restore` and `republish` handle a store that was restored from a backup, which starts a new era.

pub mod adapter;
mod backoff;
mod change;
mod commands;
pub mod compression;
pub mod control_view;
mod daemon_keys;
pub mod evidence;
mod evidence_collection;
mod fencing;
mod following;
pub mod freshness;
pub mod group_members;
mod membership;
pub mod mirror;
pub mod move_times;
mod owners;
pub(crate) mod peer_link;
pub mod peers;
mod primary_lease;
pub mod probe_schedule;
mod promoter;
pub mod record;
mod record_confirmation;
pub mod reported_suspicions;
mod reports;
mod republish;
pub mod runner;
pub mod selection;
pub mod servers;
pub mod starting;
mod state;
mod store_restore;
mod successor;
mod suspicion;
pub mod tree;
pub(crate) mod tunnel;
mod watching;
pub mod witnesses;
