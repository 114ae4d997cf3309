//! Session tokens and the consistency requirements of reads.
//!
//! A [`SessionToken`] holds for each group the highest point that the session's writes reached. The
//! caller keeps it, so daemons store no sessions and a session survives the loss of a daemon.
//! `docs/SESSIONS.md` explains the design.

mod requirement;
mod staleness;
mod term_history;
mod token;

pub use requirement::{ReadCheck, ReadRequirement, check_read};
pub use staleness::StalenessSamples;
pub use term_history::{TermHistory, WriteStatus};
pub use token::{InvalidToken, SessionToken};
