//! Who leads a group, and how that changes when nobody orders it.
//!
//! Everything here is a decision without input, output or clock. The daemon's failover duty carries
//! it out. `docs/FAILOVER.md` explains the design and what was weighed.

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
