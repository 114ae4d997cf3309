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
mod in_turn;
pub mod job;
pub mod lent;
pub(crate) mod limits;
pub mod pool;
pub(crate) mod reachability;
pub mod replay;
pub mod server_queue;
pub mod session;
pub mod share;
mod slot;
mod telling;
pub mod transaction;
pub mod verdict;
mod waiting;
pub mod wish;
