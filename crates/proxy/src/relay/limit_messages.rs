//! Messages between daemons about the limits of client accounts; see `docs/ACCOUNTS.md`.

use std::time::Duration;

use limits::{Grant, QuotaRequest, Vote, VoteRequest};
use model::Name;
use prost::Message;

/// A candidate's request for a vote, see [`limits::VoteRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoteRequestMessage {
    /// The candidate's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Random number of the candidate's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the candidate has a quorum.
    #[prost(bool, tag = "3")]
    pub is_coordinator: bool,
    /// Whether the candidate has stopped granting quota and releases its voters.
    #[prost(bool, tag = "4")]
    pub resigns: bool,
}

/// The answer to a vote request, see [`limits::Vote`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct VoteAnswerMessage {
    /// Whether the voter is bound to the candidate in each of its incarnations.
    #[prost(bool, tag = "1")]
    pub is_granted: bool,
    /// Whether the voter is bound to the candidate as far as its current incarnation knows.
    #[prost(bool, tag = "2")]
    pub is_bound: bool,
    /// Whether the voter's part of the quota that is granted without a coordinator goes to the candidate.
    #[prost(bool, tag = "3")]
    pub is_provisional: bool,
}

/// A request for quota of an account's limit, see [`limits::QuotaRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaRequestMessage {
    /// The requesting host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Operations that it still holds.
    #[prost(uint32, tag = "2")]
    pub unused: u32,
    /// Operations that it requests.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
}

/// The answer to a quota request, see [`limits::Grant`]. Count and wait are 0 if the sender is not the coordinator.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaGrantMessage {
    /// Number of granted operations.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// If nothing is left, the time until the next request may succeed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// The coordinator, if the sender knows another daemon that is; otherwise empty.
    #[prost(string, tag = "3")]
    pub coordinator: String,
}

impl From<&VoteRequest> for VoteRequestMessage {
    fn from(request: &VoteRequest) -> VoteRequestMessage {
        let VoteRequest { host, incarnation, is_coordinator, resigns } = request;
        VoteRequestMessage {
            host: host.to_string(),
            incarnation: *incarnation,
            is_coordinator: *is_coordinator,
            resigns: *resigns,
        }
    }
}

impl VoteRequestMessage {
    /// Converts the message to a vote request.
    pub fn request(&self) -> VoteRequest {
        let host = Name::from(self.host.as_str());
        VoteRequest {
            host,
            incarnation: self.incarnation,
            is_coordinator: self.is_coordinator,
            resigns: self.resigns,
        }
    }
}

impl From<Vote> for VoteAnswerMessage {
    fn from(vote: Vote) -> VoteAnswerMessage {
        let Vote { is_granted, is_bound, is_provisional } = vote;
        VoteAnswerMessage { is_granted, is_bound, is_provisional }
    }
}

impl VoteAnswerMessage {
    /// Converts the message to a vote.
    pub fn vote(self) -> Vote {
        let VoteAnswerMessage { is_granted, is_bound, is_provisional } = self;
        Vote { is_granted, is_bound, is_provisional }
    }
}

impl QuotaRequestMessage {
    /// Creates the message for a quota request.
    pub fn of(request: &QuotaRequest) -> QuotaRequestMessage {
        let QuotaRequest { host, unused, wanted } = request;
        QuotaRequestMessage { host: host.to_string(), unused: *unused, wanted: *wanted }
    }

    /// Converts the message to a quota request.
    pub fn request(&self) -> QuotaRequest {
        let host = Name::from(self.host.as_str());
        QuotaRequest { host, unused: self.unused, wanted: self.wanted }
    }
}

impl QuotaGrantMessage {
    /// Converts the message to a grant.
    pub fn grant(&self) -> Grant {
        match (self.count, self.wait_ms) {
            (0, 0) => Grant::NotCoordinator,
            (0, wait_ms) => Grant::Exhausted(Duration::from_millis(wait_ms)),
            (count, _) => Grant::Granted(count),
        }
    }
}

impl From<Grant> for QuotaGrantMessage {
    fn from(grant: Grant) -> QuotaGrantMessage {
        let (count, wait_ms) = match grant {
            Grant::Granted(count) => (count, 0),
            // Rounded up, since 0 means that the sender is not the coordinator.
            Grant::Exhausted(wait) => (0, wait.as_millis() as u64 + 1),
            Grant::NotCoordinator => (0, 0),
        };
        QuotaGrantMessage { count, wait_ms, coordinator: String::new() }
    }
}
