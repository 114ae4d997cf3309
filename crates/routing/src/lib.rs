//! Which server a request goes to, when it gets a connection, and when it is refused.
//!
//! Every decision here is a function or a small state machine without input, output or clock; the
//! daemon feeds it and carries out what it returns. The design is explained in `docs/ROUTING.md`.

mod admission;
mod connection_share;
mod latency_average;
mod ownership;
mod read_route;
mod retry_budget;
mod write_route;

pub use admission::{Admission, AdmissionQueue, Next, Request, Ticket};
pub use connection_share::{Demand, connection_share};
pub use latency_average::LatencyAverage;
pub use ownership::{
    OWNERS_PER_ZONE, connections_per_owner, owners_of, rank_hosts, rendezvous_score,
    single_owner_connections,
};
pub use read_route::{Candidate, ReadQuestion, ReadRoute, route_read};
pub use retry_budget::RetryBudget;
pub use write_route::{PrimaryView, WriteRoute, WriteRules, route_write};
