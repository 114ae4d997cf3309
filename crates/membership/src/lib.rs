//! Which daemons hold which group's connections, which watch the store, and who is leaving.
//!
//! All of it is worked out by each daemon from its own copy of the host list, without agreement.
//! Copies that differ cost efficiency, a hop or a connection, and never safety; `docs/MEMBERSHIP.md`
//! measures how much.

mod endpoints;
mod members;
mod owners;
mod watchers;

pub use endpoints::{LeavingEndpoints, WorkAllowed};
pub use members::{Member, MemberList, MemberState};
pub use owners::{owner_count, owners};
pub use watchers::is_watcher;
