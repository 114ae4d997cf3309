//! What a daemon decides when callers ask for more than the servers can do, or when servers misbehave.
//!
//! Each decision is a type without input, output or clock, so that it runs under any load in a test: the engines feed it
//! with events and times and carry out what it returns. None of it is authority: how fresh a read must be, who leads and how
//! much an account may ask keep their own proofs, and a wrong estimate here costs time, never a promise.
//! `docs/design/hard-load.md` says who decides what and where the state lives.

pub mod account_retry_budget;
mod circuit;
mod concurrency;
mod connection_grant;
mod decaying;
mod demand;
mod fair_queue;
pub mod hold;
mod layout;
mod load_report;
mod rank;
pub mod retry_delay;
mod reuse;
mod work_queue;

pub use circuit::{CircuitBreaker, CircuitChange, PathOutcome};
pub use connection_grant::{AfterRefusal, ConnectionGrant};
pub use layout::{Layout, Reach};
pub use load_report::{AgedReport, LoadReport};
pub use rank::{RANKS, Rank};
pub use reuse::{IdleConnection, ReuseHistory};
pub use work_queue::{Capacity, Next, OfferResult, Request, Stage, Ticket, WorkQueue};
