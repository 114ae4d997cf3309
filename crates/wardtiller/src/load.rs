//! The load tool: drives a system with a user's mix of requests and checks its promises.
//!
//! Each caller is a session that roams between daemons, with its token or without. What it was told
//! is compared with what the groups hold in the end, see [`ledger`]. `docs/MEASURING.md` says how to
//! read the report.

pub mod caller;
pub mod compare;
pub mod faults;
pub mod ledger;
pub mod mix;
pub mod report;
pub mod run;

pub use run::{LoadOptions, run_load};
