//! The commands of the `wardtiller` binary, and the local system that the demo, the load tool and the tests run on.

pub mod commands;
pub mod load;
pub mod local_system;
pub mod sizing;

#[allow(missing_docs, reason = "xflags generates the items, and the help texts document them")]
mod cli;

pub use cli::{Wardtiller, WardtillerCmd};
