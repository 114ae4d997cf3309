//! The load tool: runs a mix of requests against a system and checks its consistency guarantees.
//!
//! Each caller is a session that reconnects to random daemons, with or without its session token. The outcomes of its
//! writes are compared with the contents of the groups at the end of the run, see [`ledger`]. `docs/MEASURING.md`
//! explains the report.

pub mod caller;
pub mod compare;
pub mod faults;
pub mod ledger;
pub mod mix;
pub mod report;
pub mod run;

pub use run::{LoadOptions, run_load};
