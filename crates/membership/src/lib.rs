//! Which daemons own a group's connections, which ones watch the store, and which endpoints are leaving.
//!
//! Each daemon decides this from its own copy of the host list, without consensus. Copies that differ
//! cost an extra hop or connection but don't affect safety; see `docs/MEMBERSHIP.md`.

mod endpoints;
mod members;
mod owners;
mod watchers;

pub use endpoints::{LeavingEndpoints, WorkAllowed};
pub use members::{Member, MemberList, MemberState};
pub use owners::{owner_count, select_owners};
pub use watchers::is_watcher;
