//! What a read must have seen.
//!
//! A session is a [`SessionToken`]: for each group the highest point that its writes reached. It
//! travels with the caller, so no daemon has to remember a session and none is lost with a daemon.
//! The design is explained in `docs/SESSIONS.md`.

mod requirement;
mod staleness;
mod term_history;
mod token;

pub use requirement::{ReadRequirement, Shown, judge};
pub use staleness::StalenessSamples;
pub use term_history::{TermHistory, WriteStatus};
pub use token::{InvalidToken, SessionToken};
