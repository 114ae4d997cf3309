//! Failure detection and change of primary for a replicated group.
//!
//! This crate only makes decisions, without I/O or a clock; the daemon carries them out.
//! `docs/FAILOVER.md` explains the design.

mod driver;
mod evidence;
mod record;
mod suspicion;

pub use driver::{
    FailoverDriver, FailoverEvent, FailoverGroup, FailoverOutcome, FailoverStage, FailoverStep,
};
pub use evidence::{Evidence, OtherServerStatus, assess_evidence};
pub use record::{LeadershipRecord, RecordStage};
pub use suspicion::{
    OwnerView, PrimaryAssessment, PrimaryObservation, SuspicionRules, assess_primary,
};
