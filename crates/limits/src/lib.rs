//! Limits how many operations a client account may run on all daemons together.
//!
//! One daemon, the limit coordinator, grants quota of each account's limit to the daemons that its callers use. The
//! daemons elect it themselves, so that limits hold even if the platform's store is unavailable. Each type is a small
//! state machine without I/O or a clock, which the daemon drives. See `docs/ACCOUNTS.md` for the guarantee and its
//! proof.

mod budget;
mod election;
mod held_quota;
mod ledger;

pub use budget::{Budget, RateLimit, WindowRule};
pub use election::{
    Ballot, Candidacy, ElectionState, ElectionTimes, Vote, VoteRequest, Voter, campaign_delay,
    should_yield,
};
pub use held_quota::{GrantedQuota, HeldQuota, TakeResult};
pub use ledger::{Grant, Ledger, QuotaRequest};
