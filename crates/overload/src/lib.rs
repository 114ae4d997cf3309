//! Overload control: decides which requests run, wait or are refused when demand exceeds capacity or servers fail.
//!
//! Every decision is a type without I/O or a clock: callers pass in events and times and act on the result. Wrong
//! estimates cost time but never correctness; read freshness, leadership and account limits are enforced elsewhere.
//! See `docs/design/hard-load.md` for which component decides what.

pub mod account_retry_budget;
mod circuit;
mod concurrency;
mod connection_grant;
mod decaying;
mod demand;
mod fair_queue;
pub mod hold;
mod load_report;
mod rank;
pub mod retry_delay;
mod reuse;
mod work_queue;
mod zone_layout;

pub use circuit::{CircuitBreaker, CircuitChange, PathOutcome};
pub use connection_grant::{AfterRefusal, ConnectionGrant};
pub use load_report::{AgedReport, LoadReport};
pub use rank::{RANKS, Rank};
pub use reuse::{IdleConnection, ReuseHistory};
pub use work_queue::{Capacity, Next, OfferResult, Request, Stage, Ticket, WorkQueue};
pub use zone_layout::{ZoneDistance, ZoneLayout};
