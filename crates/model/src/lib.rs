//! Types that all crates of wardtiller share.
//!
//! Distinct types keep terms and positions apart, and every refusal carries a verdict on whether its
//! request may have run. `docs/GLOSSARY.md` defines the terms.

mod log_point;
mod names;
mod refusal;
mod server_status;
mod statement;

pub use log_point::{LogPoint, Position, Term};
pub use names::{GroupId, Name, ServerId};
pub use refusal::{Refusal, RefusalReason, Verdict};
pub use server_status::{ServerRole, ServerStatus, TermStart};
pub use statement::{Priority, StatementClass};
