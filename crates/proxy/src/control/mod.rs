//! What a daemon believes and how it comes to believe it: the configuration, the servers, the other
//! daemons, who leads each group.

pub mod adapter;
mod asking;
mod change;
mod commands;
pub mod compression;
mod confirming;
pub mod control_view;
mod duty;
pub mod evidence;
mod fencing;
mod following;
pub mod freshness;
pub mod looks;
mod membership;
pub mod mirror;
pub mod move_times;
mod owners;
mod pause;
pub(crate) mod peer_link;
pub mod peers;
mod put_back;
pub mod record;
mod records;
mod reports;
mod restored;
mod rights;
pub mod runner;
pub mod servers;
pub mod starting;
mod state;
mod suspicion;
pub mod telling;
pub mod tree;
pub(crate) mod tunnel;
mod watching;
pub mod witnesses;
