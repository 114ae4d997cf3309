//! The shared words of wardtiller.
//!
//! Every other crate speaks in these types, so that a term is never mistaken for a position and an
//! error never travels without saying whether its request may have run. The words are defined in
//! `docs/GLOSSARY.md`.

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
