//! Request routing: the choice of a server, admission to its connections, and retries.
//!
//! Everything here is a function or a small state machine without I/O or a clock; the daemon carries out
//! the decisions. `docs/ROUTING.md` explains the design.

mod admission;
mod connection_share;
mod latency_average;
mod ownership;
mod read_route;
mod retry_budget;
mod write_route;

pub use admission::{Admission, AdmissionQueue, NextRequest, Request, Ticket};
pub use connection_share::{Demand, connection_share};
pub use latency_average::LatencyAverage;
pub use ownership::{
    OWNERS_PER_ZONE, connections_per_owner, owners_of, rank_hosts, rendezvous_score,
    single_owner_connections,
};
pub use read_route::{Candidate, ReadCriteria, ReadRoute, route_read};
pub use retry_budget::RetryBudget;
pub use write_route::{PrimaryView, WriteRoute, WriteRules, route_write};
