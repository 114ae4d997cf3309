//! Serving callers: sessions, the choice of a server, shared connections.

pub(crate) mod admission;
pub mod ask;
pub mod caller_link;
pub mod choose;
pub mod connection;
pub mod contradiction;
pub mod engine;
pub mod errand;
pub mod execute;
pub mod floor;
pub(crate) mod health;
pub mod job;
pub mod lent;
pub(crate) mod limits;
pub(crate) mod paths;
pub mod pool;
pub(crate) mod reachability;
pub mod replay;
pub mod session;
pub mod share;
mod slot;
mod telling;
pub mod transaction;
pub mod verdict;
pub mod wish;
