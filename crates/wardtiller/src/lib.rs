//! The commands of wardtiller, each a function, and the local system that the demo, the load tool
//! and the tests run on.

pub mod commands;
pub mod load;
pub mod local_system;
pub mod sizing;

#[allow(missing_docs, reason = "the items are made by xflags, whose help texts say it all")]
mod cli;

pub use cli::{Wardtiller, WardtillerCmd};
