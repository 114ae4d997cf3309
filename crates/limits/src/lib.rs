//! How much a client account may ask of all daemons together.
//!
//! One daemon, the keeper, lends each account's operations to the daemons at which its callers are; it is elected by
//! the daemons themselves, so that limits hold also while the platform's store is away. Everything here is a small
//! state machine without input, output or clock: the daemon feeds it and carries out what it returns. The guarantee
//! and its proof stand in `docs/ACCOUNTS.md`.

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
